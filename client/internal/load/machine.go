package load

import (
	"os"
	"regexp"
	"strconv"
	"strings"
	"time"
)

// machineStats is the load of the machine at one time. Other programs on the
// machine disturb a measurement, so reports include how busy it was.
type machineStats struct {
	// loadAvg is the kernel's load average over one minute.
	loadAvg string
	// cpuWait is the time since boot in which some thread waited for a processor.
	cpuWait time.Duration
	readAt  time.Time
}

var pressureTotal = regexp.MustCompile(`some .*total=(\d+)`)

// readMachineStats reads /proc; values that cannot be read stay zero.
func readMachineStats() machineStats {
	m := machineStats{readAt: time.Now()}
	if data, err := os.ReadFile("/proc/loadavg"); err == nil {
		m.loadAvg, _, _ = strings.Cut(string(data), " ")
	}
	data, err := os.ReadFile("/proc/pressure/cpu")
	if err != nil {
		return m
	}
	if match := pressureTotal.FindSubmatch(data); match != nil {
		micros, _ := strconv.ParseInt(string(match[1]), 10, 64) // the pattern has digits only
		m.cpuWait = time.Duration(micros) * time.Microsecond
	}
	return m
}

// cpuPressure is the fraction of the time since an earlier reading in which some
// thread of the machine waited for a processor.
func (m machineStats) cpuPressure(before machineStats) float64 {
	return (m.cpuWait - before.cpuWait).Seconds() / m.readAt.Sub(before.readAt).Seconds()
}
