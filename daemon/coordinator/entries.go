package coordinator

import (
	"context"
	"time"

	"github.com/cicadapulley/cicadapulley/api/mesh"
	"github.com/cicadapulley/cicadapulley/core/ledger"
	"github.com/cicadapulley/cicadapulley/core/placement"
	"github.com/cicadapulley/cicadapulley/core/work"
	"github.com/cicadapulley/cicadapulley/daemon/boottime"
	"github.com/cicadapulley/cicadapulley/daemon/events"
	"github.com/cicadapulley/cicadapulley/daemon/link"
	"github.com/cicadapulley/cicadapulley/daemon/scheduler"
)

// maxLoggedPath bounds a caller's path in the log.
const maxLoggedPath = 100

// request handles a caller's request that an entry has forwarded. Requests that
// need the log run in a goroutine, so that they don't block the connection.
func (cl *client) request(ctx context.Context, q *mesh.Request) {
	switch {
	case q.Operation == mesh.Inspect:
		cl.conn.Send(cl.service.inspect(q))
	case q.Operation == mesh.Submit && q.Job != nil && q.Job.BestEffort:
		if id := cl.service.submitBestEffort(cl.conn, q); id != "" {
			cl.waiting[q.Sequence] = id
		}
	default:
		cl.spawn(func() { cl.conn.Send(cl.service.submitOrCancel(ctx, q)) })
	}
}

// target is the queue and job to which a request refers.
type target struct {
	queue work.Queue
	// id is empty if the request refers to the queue itself.
	id work.JobID
	// known is set if the job is recorded in the ledger.
	known bool
	state work.State
	// version is the version of the configuration in force, set also if it has no such
	// queue.
	version uint64
}

// resolve looks up the target of a request. The outcome is zero if the queue
// exists.
func (s *Service) resolve(q *mesh.Request) (target, mesh.Outcome) {
	var found target
	outcome := mesh.Uncertain
	_ = s.driver.Read(func() {
		routes := s.machine.Routes()
		if routes == nil {
			outcome = mesh.NotReady
			return
		}
		found.version = s.machine.Configuration().Version
		queue, id := routes.Resolve(q.Host, q.Path)
		if queue == nil {
			outcome = mesh.NoQueue
			return
		}
		found.queue = *queue
		found.id = id
		if r := s.machine.Job(found.id); r != nil {
			found.known = true
			found.state = r.State
		}
		outcome = 0
	}) // if this VM doesn't lead, the outcome stays uncertain
	if outcome == mesh.NoQueue {
		s.opts.Log.Emit(events.Event{ID: events.RouteUnknown, Ticket: found.version, Text: q.Host + q.Path[:min(len(q.Path), maxLoggedPath)]})
	}
	return found, outcome
}

// inspect answers an Inspect request for a job or a queue.
func (s *Service) inspect(q *mesh.Request) *mesh.Response {
	found, outcome := s.resolve(q)
	r := &mesh.Response{Sequence: q.Sequence, Version: found.version}
	switch {
	case outcome != 0:
		r.Outcome = outcome
	case found.id == "":
		r.Outcome = mesh.Uncertain
		if s.whileLeading(func(t *term, _ time.Time) { r.Pending = t.Planner.Pending(found.queue.Name) }) {
			r.Outcome = mesh.Found
			r.Counted = true
		}
	case !found.known:
		r.Outcome = mesh.NoJob
	default:
		r.Outcome = mesh.Found
		r.State = s.visibleState(found)
	}
	return r
}

// visibleState returns the state that callers see: a job counts as running from its
// first start on, which is not recorded in the ledger.
func (s *Service) visibleState(found target) work.State {
	state := found.state
	if state == work.Pending {
		s.mu.Lock()
		if s.term != nil && s.term.Planner.Running(found.id) {
			state = work.Running
		}
		s.mu.Unlock()
	}
	return state
}

// submitOrCancel handles a request to submit or cancel a job.
func (s *Service) submitOrCancel(ctx context.Context, q *mesh.Request) *mesh.Response {
	found, outcome := s.resolve(q)
	r := &mesh.Response{Sequence: q.Sequence, Version: found.version}
	switch {
	case outcome != 0:
		r.Outcome = outcome
	case found.id == "":
		r.Outcome = mesh.NoQueue
	case q.Operation == mesh.Cancel:
		s.cancel(ctx, found, r)
	case found.known:
		r.Outcome = mesh.Accepted
	case q.Job == nil:
		r.Outcome = mesh.Invalid
	default:
		s.submit(ctx, found, q, r)
	}
	return r
}

// submit admits a job and records it in the ledger before any of its tasks starts.
func (s *Service) submit(ctx context.Context, found target, q *mesh.Request, r *mesh.Response) {
	if !prepare(q.Job, found, r) {
		return
	}
	s.admitAndRecord(ctx, q, r)
	if !r.Outcome.NotRun() {
		return
	}
	// Another submission may have been recorded since the job was looked up.
	if again, _ := s.resolve(q); again.known {
		*r = mesh.Response{Sequence: r.Sequence, Version: r.Version, Outcome: mesh.Accepted}
	}
}

func (s *Service) admitAndRecord(ctx context.Context, q *mesh.Request, r *mesh.Response) {
	if s.memory.isShort() && !q.PriorState.MayHaveRun() && !s.isSubmitting(q.Job.ID) {
		s.memory.refuse(r)
		return
	}
	admission, t := s.admit(q.Job, q.PriorState)
	switch {
	case t == nil:
		r.Outcome = mesh.Uncertain
	case !admission.Accepted:
		refusal := t.Refuse(q.Job, admission)
		r.Outcome = refusal.Outcome
		r.RetryAfterMS = refusal.RetryAfterMS
	default:
		s.memory.accept(q.Job)
		s.accept(ctx, t, q.Job, q.PriorState.Waited, r)
	}
}

// submitBestEffort submits a best-effort job, whose answer is sent when the job
// ends. It returns the ID of the job that the request waits for, empty if the
// request has been answered.
func (s *Service) submitBestEffort(c *link.Conn, q *mesh.Request) work.JobID {
	r := &mesh.Response{Sequence: q.Sequence}
	found, outcome := s.resolve(q)
	switch {
	case outcome != 0:
		r.Outcome = outcome
	case found.id == "":
		r.Outcome = mesh.NoQueue
	case prepare(q.Job, found, r):
		r = s.placeBestEffort(c, found, q)
	}
	if r == nil {
		return found.id
	}
	r.Version = found.version
	c.Send(r)
	return ""
}

// placeBestEffort adds a best-effort job to the planner, or returns the answer.
func (s *Service) placeBestEffort(c *link.Conn, found target, q *mesh.Request) *mesh.Response {
	r := &mesh.Response{Sequence: q.Sequence, Outcome: mesh.Uncertain}
	answer := func(r *mesh.Response) {
		r.Version = found.version
		c.Send(r)
	}
	s.whileLeading(func(t *term, now time.Time) {
		if s.memory.isShort() && !q.PriorState.MayHaveRun() && !t.Planner.Has(q.Job.ID) {
			s.memory.refuse(r)
			return
		}
		s.memory.accept(q.Job)
		r = t.Submit(now, scheduler.Waiter{Conn: c, Sequence: q.Sequence, Answer: answer}, q.Job, q.PriorState)
		s.place(t, now)
	})
	return r
}

// abandon records that a request no longer waits for a best-effort job.
func (s *Service) abandon(c *link.Conn, sequence uint64, id work.JobID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.abandonIn(s.term, c, sequence, id)
}

// abandonIn abandons a request in a term, nil for none, also while this VM can't serve: it may
// lead on afterwards, and must not start the job then. The caller holds mu.
func (s *Service) abandonIn(t *term, c *link.Conn, sequence uint64, id work.JobID) {
	if t == nil || id == "" {
		return
	}
	now := boottime.Now()
	t.Abandon(now, c, sequence, id)
	s.place(t, now)
}

// prepare sets the properties of a job that its queue determines. If the job is not
// valid, it sets the answer's outcome and detail and returns false.
func prepare(job *work.Job, found target, r *mesh.Response) bool {
	job.AssignQueue(&found.queue, found.id)
	if err := job.Validate(); err != nil {
		r.Outcome = mesh.Invalid
		r.Detail = err.Error()
		return false
	}
	return true
}

// admit decides whether to accept a job, and counts an accepted one as being
// submitted. A job with another submission in progress is never refused, since
// that submission may succeed. admitted is the term that decided, nil if this VM
// doesn't lead.
func (s *Service) admit(job *work.Job, prior placement.PriorState) (a placement.Admission, admitted *term) {
	s.whileLeading(func(t *term, now time.Time) {
		admitted = t
		a = placement.Admission{Accepted: true}
		if t.submitting[job.ID] == 0 {
			a = t.Planner.Admit(now, job, prior)
		}
		if a.Accepted {
			t.submitting[job.ID]++
		}
	})
	return a, admitted
}

// isSubmitting reports whether a submission of the job is in progress. Another one must not be
// refused then, since the first may succeed.
func (s *Service) isSubmitting(id work.JobID) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.term != nil && s.term.submitting[id] > 0
}

// cancelledMeanwhile reports whether a job, whose submission waited for so long at its entry, was
// cancelled before it was recorded.
func (s *Service) cancelledMeanwhile(t *term, id work.JobID, waited time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return t.Cancelled(boottime.Now(), id, waited)
}

// accept records a job that a term has admitted.
func (s *Service) accept(ctx context.Context, t *term, job *work.Job, waited time.Duration, r *mesh.Response) {
	_, err := s.propose(ctx, ledger.Command{Accept: job})
	if err == nil && s.cancelledMeanwhile(t, job.ID, waited) {
		_, err = s.propose(ctx, ledger.Command{Cancel: job.ID})
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if t.submitting[job.ID]--; t.submitting[job.ID] <= 0 {
		delete(t.submitting, job.ID)
	}
	if err != nil {
		r.Outcome = mesh.Uncertain
		r.Detail = err.Error()
		s.opts.Log.Emit(events.Event{ID: events.WorkUncertain, Job: scheduler.JobKey(job.ID), Err: err})
		return
	}
	r.Outcome = mesh.Accepted
}

// cancel records the cancellation of a job and stops its runs. That of a job that isn't recorded is
// kept in the log: a later leader may receive the job from an entry that was cut off.
func (s *Service) cancel(ctx context.Context, found target, r *mesh.Response) {
	var unrecorded unrecordedJob
	r.Outcome = mesh.Uncertain
	if !found.known {
		leads := false
		if unrecorded, leads = s.stopUnrecorded(found.id); !leads {
			return
		}
	}
	result, err := s.propose(ctx, ledger.Command{Cancel: found.id})
	switch {
	case err != nil || unrecorded.submitting && !result.Changed: // the job may be recorded right after this
	case found.known || unrecorded.stopped || result.Changed:
		r.Outcome = mesh.Accepted
	default:
		r.Outcome = mesh.NoJob
	}
}

// unrecordedJob is what the leader has of a job that is not in the ledger.
type unrecordedJob struct {
	// stopped is set if the planner had the job, and submitting if it is being recorded.
	stopped, submitting bool
}

// stopUnrecorded stops a job that is not in the ledger, without waiting for the record of its
// cancellation. It returns false if this VM doesn't lead.
func (s *Service) stopUnrecorded(id work.JobID) (found unrecordedJob, leads bool) {
	leads = s.whileLeading(func(t *term, now time.Time) {
		found = unrecordedJob{stopped: t.Cancel(now, id), submitting: t.submitting[id] > 0}
		if found.stopped {
			s.place(t, now)
		}
	})
	return found, leads
}
