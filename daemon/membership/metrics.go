package membership

import "github.com/prometheus/client_golang/prometheus"

// Collectors returns the metrics of the lease and of the configuration.
func (s *Service) Collectors() []prometheus.Collector {
	return []prometheus.Collector{
		gauge("cicadapulley_lease_valid", "1 while this process holds a lease on its own clock.", s.leaseValue),
		gauge("cicadapulley_config_revision", "Revision of configuration and members in effect in this process.",
			func() float64 { return float64(s.Replica().Revision) }),
		gauge("cicadapulley_highest_ticket", "Highest ticket number in effect in this process.",
			func() float64 { return float64(s.Replica().HighestTicket()) }),
	}
}

func (s *Service) leaseValue() float64 {
	if s.LeaseValid() {
		return 1
	}
	return 0
}

func gauge(name, help string, value func() float64) prometheus.Collector {
	return prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: name, Help: help}, value)
}
