package dispatch

import (
	"math"
	"time"

	"github.com/cicadapulley/cicadapulley/core/verdict"
)

const (
	// minRetryAfter and maxRetryAfter bound the time that a refused caller is
	// asked to wait, before jitter.
	minRetryAfter = 50 * time.Millisecond
	maxRetryAfter = 10 * time.Second
	// admitShare is the part of the time until the deadline that a job may be
	// expected to wait. The rest covers errors of the estimates and work of
	// other callers that arrives later.
	admitShare = 0.5
)

// Admit decides whether a whole job is taken in. It returns nil or a refusal
// with the verdict NotRun: no_endpoint if a part can never run, quota_exceeded
// if the caller has too many unfinished tasks, overloaded if there is no room,
// deadline_exceeded if the deadline cannot be met. A quota of zero is no bound;
// a zero deadline is none.
func (s *Scheduler) Admit(now time.Time, callerName, service string, kinds []KindCount, deadline time.Time, quota int64) *verdict.Error {
	s.advance(now)
	if err := s.checkServed(service, kinds); err != nil {
		return err
	}
	count := 0
	for _, k := range kinds {
		count += k.Count
	}
	if err := s.checkQuota(callerName, count, quota); err != nil {
		return err
	}
	if err := s.checkRoom(callerName, count); err != nil {
		return err
	}
	s.declare(service, kinds)
	return s.checkDeadline(now, callerName, service, kinds, deadline)
}

// checkServed refuses a job with a part that no endpoint can ever run.
func (s *Scheduler) checkServed(service string, kinds []KindCount) *verdict.Error {
	for _, part := range kinds {
		k := s.lookup(service, part.Kind)
		if k == nil || len(k.pools) == 0 {
			return verdict.Errorf(verdict.CodeNoEndpoint, verdict.NotRun,
				"no endpoint serves kind %q of service %q", part.Kind, service)
		}
		if !k.fits(part.Needs) {
			return verdict.Errorf(verdict.CodeNoEndpoint, verdict.NotRun,
				"kind %q of service %q needs more than any endpoint has", part.Kind, service)
		}
	}
	return nil
}

func (s *Scheduler) checkQuota(name string, count int, quota int64) *verdict.Error {
	if quota <= 0 {
		return nil
	}
	used := 0
	if c := s.callers[name]; c != nil {
		used = c.queued + c.inFlight
	}
	if int64(used+count) <= quota {
		return nil
	}
	err := verdict.Errorf(verdict.CodeQuota, verdict.NotRun,
		"caller %q has %d unfinished tasks and may have %d", name, used, quota)
	if int64(count) > quota {
		return err
	}
	return err.WithRetryAfter(s.retryAfter(s.queueWait()))
}

// checkRoom refuses a job for which the queue has no room. When several
// callers wait, each may use at most as much as is still free, so that one
// caller cannot fill the queue for the others.
func (s *Scheduler) checkRoom(name string, count int) *verdict.Error {
	own := 0
	if c := s.callers[name]; c != nil {
		own = c.queued
	}
	free := s.opts.MaxQueued - s.queue.size
	limit := free
	if own < s.queue.size {
		limit = free - own
	}
	if count <= limit || (own == 0 && count <= free) {
		return nil
	}
	err := verdict.Errorf(verdict.CodeOverloaded, verdict.NotRun,
		"%d tasks are queued, no room for %d more", s.queue.size, count)
	if count > s.opts.MaxQueued {
		return err
	}
	return err.WithRetryAfter(s.retryAfter(s.queueWait()))
}

// declare seeds the estimates of kinds that have not run yet.
func (s *Scheduler) declare(service string, kinds []KindCount) {
	for _, part := range kinds {
		k := s.lookup(service, part.Kind)
		if !k.learned() && part.Declared > 0 {
			k.work = part.Declared.Seconds()
		}
	}
}

// checkDeadline refuses a job that is not expected to end in time. Kinds that
// are not learned are let through, as are jobs of a kind of which nothing is
// queued or running: otherwise a wrong estimate could never be corrected.
func (s *Scheduler) checkDeadline(now time.Time, name, service string, kinds []KindCount, deadline time.Time) *verdict.Error {
	if deadline.IsZero() {
		return nil
	}
	if !deadline.After(now) {
		return verdict.Errorf(verdict.CodeDeadline, verdict.NotRun, "the deadline has passed")
	}
	longest := 0.0
	total := 0.0
	for _, part := range kinds {
		k := s.lookup(service, part.Kind)
		if !k.learned() || k.queued+k.inFlight == 0 {
			return nil
		}
		longest = max(longest, k.work)
		total += k.work * float64(part.Count)
	}
	wait := max(s.flowWait(name, service, total), s.oldestWait(now, name, service, kinds))
	left := deadline.Sub(now).Seconds()
	if longest*math.Exp(-s.fastest) <= left && wait <= admitShare*left {
		return nil
	}
	err := verdict.Errorf(verdict.CodeDeadline, verdict.NotRun,
		"the expected time of %.3f s is longer than the %.3f s until the deadline", wait+longest, left)
	if longest > left {
		return err
	}
	return err.WithRetryAfter(s.retryAfter(wait))
}

func (s *Scheduler) retryAfter(wait float64) time.Duration {
	base := time.Duration(wait * float64(time.Second))
	base = min(max(base, minRetryAfter), maxRetryAfter)
	return base/2 + time.Duration(s.random.Int64N(int64(base)))
}
