package dispatch

// SetMaxQueued sets the maximum number of queued tasks; zero or less selects
// the default.
func (s *Scheduler) SetMaxQueued(n int) {
	s.opts.MaxQueued = n
	s.opts = s.opts.withDefaults()
}
