package dispatch

// Queued returns the number of items that wait for a start.
func (s *Scheduler) Queued() int { return s.queue.size }

// SetMaxQueued changes the bound of the queue; zero or less is the default.
func (s *Scheduler) SetMaxQueued(n int) {
	s.opts.MaxQueued = n
	s.opts = s.opts.withDefaults()
}
