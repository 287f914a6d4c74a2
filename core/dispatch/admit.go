package dispatch

import (
	"math"
	"time"

	"github.com/cicadapulley/cicadapulley/core/verdict"
)

const (
	// minRetryAfter and maxRetryAfter are the bounds, before jitter, of the
	// time that a refused caller is asked to wait.
	minRetryAfter = 50 * time.Millisecond
	maxRetryAfter = 10 * time.Second
	// maxWaitShare is the share of the time until the deadline that a job may be
	// expected to wait. The rest is for errors of the estimates and for work of
	// other callers that arrives later.
	maxWaitShare = 0.5
)

// Admit decides whether a job is accepted as a whole. It returns nil or a
// refusal with the verdict NotRun: no_endpoint if a task can never run,
// quota_exceeded if the caller has too many unfinished tasks, overloaded if the
// queue is full, deadline_exceeded if the deadline cannot be met. A quota of
// zero means no limit, a zero deadline means none.
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
	if err := s.checkQueueSpace(callerName, count); err != nil {
		return err
	}
	s.seedEstimates(service, kinds)
	return s.checkDeadline(now, callerName, service, kinds, deadline)
}

// checkServed refuses a job with a task that no endpoint can ever run.
func (s *Scheduler) checkServed(service string, kinds []KindCount) *verdict.Error {
	for _, part := range kinds {
		k := s.lookupKind(service, part.Kind)
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

func (s *Scheduler) checkQuota(callerName string, count int, quota int64) *verdict.Error {
	if quota <= 0 {
		return nil
	}
	used := 0
	if c := s.callers[callerName]; c != nil {
		used = c.queued + c.inFlight
	}
	if int64(used+count) <= quota {
		return nil
	}
	err := verdict.Errorf(verdict.CodeQuota, verdict.NotRun,
		"caller %q has %d unfinished tasks and may have %d", callerName, used, quota)
	if int64(count) > quota {
		return err
	}
	return err.WithRetryAfter(s.retryAfter(s.queueWait()))
}

// checkQueueSpace refuses a job for which the queue has no space. If several
// callers have queued tasks, each may have at most as many as there is space
// left, so that one caller cannot fill the queue at the others' expense.
func (s *Scheduler) checkQueueSpace(callerName string, count int) *verdict.Error {
	queued := 0
	if c := s.callers[callerName]; c != nil {
		queued = c.queued
	}
	free := s.opts.MaxQueued - s.queue.size
	limit := free
	if queued < s.queue.size {
		limit = free - queued
	}
	if count <= limit || (queued == 0 && count <= free) {
		return nil
	}
	err := verdict.Errorf(verdict.CodeOverloaded, verdict.NotRun,
		"%d tasks are queued, no room for %d more", s.queue.size, count)
	if count > s.opts.MaxQueued {
		return err
	}
	return err.WithRetryAfter(s.retryAfter(s.queueWait()))
}

// seedEstimates sets the estimates of kinds that have not run yet to their
// declared run times.
func (s *Scheduler) seedEstimates(service string, kinds []KindCount) {
	for _, part := range kinds {
		k := s.lookupKind(service, part.Kind)
		if !k.hasSamples() && part.Declared > 0 {
			k.work = part.Declared.Seconds()
		}
	}
}

// checkDeadline refuses a job that is not expected to end in time. A job with a
// kind that has not run yet, or of which no task is queued or running, is
// accepted: otherwise a wrong estimate could never be corrected.
func (s *Scheduler) checkDeadline(now time.Time, callerName, service string, kinds []KindCount, deadline time.Time) *verdict.Error {
	if deadline.IsZero() {
		return nil
	}
	if !deadline.After(now) {
		return verdict.Errorf(verdict.CodeDeadline, verdict.NotRun, "the deadline has passed")
	}
	longest := 0.0
	total := 0.0
	for _, part := range kinds {
		k := s.lookupKind(service, part.Kind)
		if !k.hasSamples() || k.queued+k.inFlight == 0 {
			return nil
		}
		longest = max(longest, k.work)
		total += k.work * float64(part.Count)
	}
	wait := max(s.flowWait(callerName, service, total), s.oldestWait(now, callerName, service, kinds))
	remaining := deadline.Sub(now).Seconds()
	if longest*math.Exp(-s.maxLogSpeed) <= remaining && wait <= maxWaitShare*remaining {
		return nil
	}
	err := verdict.Errorf(verdict.CodeDeadline, verdict.NotRun,
		"the expected time of %.3f s is longer than the %.3f s until the deadline", wait+longest, remaining)
	if longest > remaining {
		return err
	}
	return err.WithRetryAfter(s.retryAfter(wait))
}

func (s *Scheduler) retryAfter(wait float64) time.Duration {
	base := time.Duration(wait * float64(time.Second))
	base = min(max(base, minRetryAfter), maxRetryAfter)
	return base/2 + time.Duration(s.random.Int64N(int64(base)))
}
