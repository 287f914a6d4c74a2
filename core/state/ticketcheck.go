package state

import "fmt"

// Validate checks a ticket's form. The error names the field.
func (t Ticket) Validate() error {
	if t.Number == 0 {
		return fmt.Errorf("number: must be above zero")
	}
	if len(t.Services)+len(t.Quotas)+len(t.Drains) == 0 && t.Limits == nil {
		return fmt.Errorf("the ticket touches nothing")
	}
	for _, check := range []func() error{t.validateServices, t.validateQuotas, t.validateDrains, t.validateLimits} {
		if err := check(); err != nil {
			return err
		}
	}
	return nil
}

func (t Ticket) validateServices() error {
	seen := map[string]bool{}
	for i, s := range t.Services {
		path := fmt.Sprintf("services[%d]", i)
		if err := checkUnique(seen, path+".name", s.Name); err != nil {
			return err
		}
		if len(s.Kinds) == 0 && !s.Removed {
			return fmt.Errorf("%s.kinds: is required unless the service is removed", path)
		}
		if err := validateKinds(path, s.Kinds); err != nil {
			return err
		}
	}
	return nil
}

func validateKinds(path string, kinds []Kind) error {
	seen := map[string]bool{}
	for i, k := range kinds {
		kindPath := fmt.Sprintf("%s.kinds[%d]", path, i)
		if err := checkUnique(seen, kindPath+".name", k.Name); err != nil {
			return err
		}
		if k.ExpectedMS < 0 {
			return fmt.Errorf("%s.expected_ms: is negative", kindPath)
		}
		if k.Needs.MilliCPU < 0 || k.Needs.MemoryMB < 0 || k.Needs.Accelerators < 0 {
			return fmt.Errorf("%s.needs: is negative", kindPath)
		}
	}
	return nil
}

func (t Ticket) validateQuotas() error {
	seen := map[string]bool{}
	for i, q := range t.Quotas {
		path := fmt.Sprintf("quotas[%d]", i)
		if err := checkUnique(seen, path+".caller", q.Caller); err != nil {
			return err
		}
		if q.MaxTasks < 0 {
			return fmt.Errorf("%s.max_tasks: is negative", path)
		}
		if q.Weight < 0 {
			return fmt.Errorf("%s.weight: is negative", path)
		}
	}
	return nil
}

func (t Ticket) validateDrains() error {
	seen := map[string]bool{}
	for i, d := range t.Drains {
		if err := checkUnique(seen, fmt.Sprintf("drains[%d].endpoint", i), d.Endpoint); err != nil {
			return err
		}
	}
	return nil
}

func (t Ticket) validateLimits() error {
	if t.Limits != nil && t.Limits.MaxQueued < 0 {
		return fmt.Errorf("limits.max_queued: is negative")
	}
	return nil
}

// checkUnique refuses an empty or repeated name.
func checkUnique(seen map[string]bool, path, name string) error {
	if name == "" {
		return fmt.Errorf("%s: is required", path)
	}
	if seen[name] {
		return fmt.Errorf("%s: %q appears twice", path, name)
	}
	seen[name] = true
	return nil
}

// Config returns the configuration in force. The caller must not change it.
func (m *Machine) Config() Config { return m.config }

// JobCounts returns the numbers of running and finished jobs.
func (m *Machine) JobCounts() (running, finished uint64) {
	finished = uint64(len(m.finished) + len(m.dropped))
	return uint64(len(m.jobs)) - finished, finished
}

// LastChange returns the log index of the last change of the configuration, not
// counting members.
func (c Config) LastChange() uint64 {
	last := c.Limits.Revision
	for _, s := range c.Services {
		last = max(last, s.Revision)
	}
	for _, q := range c.Quotas {
		last = max(last, q.Revision)
	}
	for _, d := range c.Drains {
		last = max(last, d.Revision)
	}
	return last
}
