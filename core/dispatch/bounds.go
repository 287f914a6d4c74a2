package dispatch

// SetMaxQueued changes the bound of the queue; zero or less is the default.
func (s *Scheduler) SetMaxQueued(n int) {
	s.opts.MaxQueued = n
	s.opts = s.opts.withDefaults()
}
