package coordinator

import (
	"context"
	"slices"
	"time"

	"github.com/cicadapulley/cicadapulley/api/mesh"
	"github.com/cicadapulley/cicadapulley/core/ledger"
	"github.com/cicadapulley/cicadapulley/core/placement"
	"github.com/cicadapulley/cicadapulley/core/work"
	"github.com/cicadapulley/cicadapulley/daemon/events"
	"github.com/cicadapulley/cicadapulley/daemon/link"
)

// request answers a caller's request, passed on by an entry. What needs the log
// is done beside the connection.
func (cl *client) request(ctx context.Context, q *mesh.Request) {
	switch {
	case q.Operation == mesh.Inspect:
		cl.conn.Send(cl.service.inspect(q))
	case q.Operation == mesh.Submit && q.Job != nil && q.Job.BestEffort:
		if id := cl.service.attempt(cl.conn, q); id != "" {
			cl.waiting[q.Sequence] = id
		}
	default:
		cl.tasks.Go(func() { cl.conn.Send(cl.service.change(ctx, q)) })
	}
}

// target is the queue and job that a request names.
type target struct {
	queue work.Queue
	// id is empty for the queue itself.
	id    work.JobID
	known bool
	state work.State
}

// resolve finds what a request names; the outcome is zero if it is there.
func (s *Service) resolve(q *mesh.Request) (target, mesh.Outcome) {
	var found target
	outcome := mesh.Uncertain
	_ = s.driver.Read(func() {
		routes := s.machine.Routes()
		if routes == nil {
			outcome = mesh.NotReady
			return
		}
		queue, rest := routes.Match(q.Host, q.Path)
		if queue == nil || !validPlace(rest) {
			outcome = mesh.NoQueue
			return
		}
		found = target{queue: *queue, id: work.JobID(rest)}
		if r := s.machine.Job(found.id); r != nil {
			found.known = true
			found.state = r.State
		}
		outcome = 0
	}) // without the leadership the outcome is uncertain
	return found, outcome
}

// jobIDLength is the number of hexadecimal digits of a job's id.
const jobIDLength = 16

// validPlace tells whether the rest of a path is empty or a job's id.
func validPlace(rest string) bool {
	if rest == "" {
		return true
	}
	if len(rest) != jobIDLength {
		return false
	}
	for _, c := range []byte(rest) {
		if (c < '0' || c > '9') && (c < 'a' || c > 'f') && (c < 'A' || c > 'F') {
			return false
		}
	}
	return true
}

// inspect answers a question about a job or a queue.
func (s *Service) inspect(q *mesh.Request) *mesh.Response {
	r := &mesh.Response{Sequence: q.Sequence}
	found, outcome := s.resolve(q)
	switch {
	case outcome != 0:
		r.Outcome = outcome
	case found.id == "":
		r.Outcome = mesh.Uncertain
		if s.current(func(t *term, _ time.Time) { r.Pending = t.board.Pending(found.queue.Name) }) {
			r.Outcome = mesh.Found
			r.Counted = true
		}
	case !found.known:
		r.Outcome = mesh.NoJob
	default:
		r.Outcome = mesh.Found
		r.State = s.shown(found)
	}
	return r
}

// shown is the state as callers see it: a job runs from its first start on,
// which isn't recorded.
func (s *Service) shown(found target) work.State {
	state := found.state
	if state == work.Pending {
		s.mu.Lock()
		if s.term != nil && s.term.board.Begun(found.id) {
			state = work.Running
		}
		s.mu.Unlock()
	}
	return state
}

// change submits or cancels a job.
func (s *Service) change(ctx context.Context, q *mesh.Request) *mesh.Response {
	r := &mesh.Response{Sequence: q.Sequence}
	found, outcome := s.resolve(q)
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
		s.submit(ctx, found, q.Job, q.Offered, r)
	}
	return r
}

// submit admits a job and records it before any of its tasks starts.
func (s *Service) submit(ctx context.Context, found target, job *work.Job, offered bool, r *mesh.Response) {
	if !prepare(job, found, r) {
		return
	}
	admission, t := s.admit(job, offered)
	switch {
	case t == nil:
		r.Outcome = mesh.Uncertain
	case !admission.Accepted:
		s.refuse(job, admission, r)
	default:
		s.accept(ctx, t, job, r)
	}
}

// attempt takes a best-effort job. The answer follows when the job ends. It
// returns the job that the request waits for.
func (s *Service) attempt(c *link.Conn, q *mesh.Request) work.JobID {
	r := &mesh.Response{Sequence: q.Sequence}
	found, outcome := s.resolve(q)
	switch {
	case outcome != 0:
		r.Outcome = outcome
	case found.id == "":
		r.Outcome = mesh.NoQueue
	default:
		s.try(c, found, q, r)
	}
	if r.Outcome != 0 {
		c.Send(r)
		return ""
	}
	return found.id
}

// try places a best-effort job, or sets the outcome of the answer.
func (s *Service) try(c *link.Conn, found target, q *mesh.Request, r *mesh.Response) {
	job := q.Job
	if !prepare(job, found, r) {
		return
	}
	leads := s.current(func(t *term, now time.Time) {
		if known, ok := t.results[job.ID]; ok {
			r.Outcome = mesh.Found
			r.State = known.state
			return
		}
		if !t.board.Knows(job.ID) {
			if a := t.board.Admit(now, job, q.Offered); !a.Accepted {
				s.refuse(job, a, r)
				return
			}
		}
		t.waiters[job.ID] = append(t.waiters[job.ID], waiter{conn: c, sequence: r.Sequence})
		t.board.Add(now, job, q.Offered)
		s.place(t, now)
	})
	if !leads {
		r.Outcome = mesh.Uncertain
	}
}

// refuse sets the outcome of a job that would complete too late.
func (s *Service) refuse(job *work.Job, a placement.Admission, r *mesh.Response) {
	r.Outcome = mesh.Overloaded
	s.metrics.refused.Inc()
	r.RetryAfterMS = int(a.RetryAfter.Milliseconds())
	s.opts.Log.Emit(events.Event{ID: events.WorkRefused, Job: key(job.ID), Text: refusal(job, a)})
}

// abandon notes that a request no longer waits for a best-effort job.
func (s *Service) abandon(c *link.Conn, sequence uint64, id work.JobID) {
	if id == "" {
		return
	}
	s.current(func(t *term, now time.Time) {
		rest := slices.DeleteFunc(t.waiters[id], func(w waiter) bool { return w.conn == c && w.sequence == sequence })
		if len(rest) > 0 {
			t.waiters[id] = rest
			return
		}
		delete(t.waiters, id)
		if account, known := t.board.Abandon(now, id); known {
			s.logAbandoned(id, account)
		}
		s.place(t, now)
	})
}

// prepare sets what the queue decides about a job; false, with the answer's outcome
// set, if the job is not valid.
func prepare(job *work.Job, found target, r *mesh.Response) bool {
	job.ID = found.id
	job.Queue = found.queue.Name
	job.Pool = found.queue.Pool
	job.Priority = found.queue.Priority
	job.MaxAttempts = max(found.queue.MaxAttempts, 1)
	job.Stretch = found.queue.Stretch
	job.Target = found.queue.Target
	if err := job.Validate(); err != nil {
		r.Outcome = mesh.Invalid
		r.Detail = err.Error()
		return false
	}
	return true
}

// admit decides about a job and counts it as being submitted. A job of which a
// submission is already under way is never refused, since that one may succeed.
// It returns the term that admitted it, nil without the leadership.
func (s *Service) admit(job *work.Job, offered bool) (a placement.Admission, admitted *term) {
	s.current(func(t *term, now time.Time) {
		admitted = t
		a = placement.Admission{Accepted: true}
		if t.submitting[job.ID] == 0 {
			a = t.board.Admit(now, job, offered)
		}
		if a.Accepted {
			t.submitting[job.ID]++
		}
	})
	return a, admitted
}

// accept records a job and puts it on the board of the term that admitted it.
// A later term restores the job from the ledger, where it may have gone further.
func (s *Service) accept(ctx context.Context, t *term, job *work.Job, r *mesh.Response) {
	result, err := s.propose(ctx, ledger.Command{Accept: job})
	s.mu.Lock()
	defer s.mu.Unlock()
	if t.submitting[job.ID]--; t.submitting[job.ID] <= 0 {
		delete(t.submitting, job.ID)
	}
	if err != nil {
		r.Outcome = mesh.Uncertain
		r.Detail = err.Error()
		s.opts.Log.Emit(events.Event{ID: events.WorkUncertain, Job: key(job.ID), Err: err})
		return
	}
	r.Outcome = mesh.Accepted
	if !result.New || s.term != t {
		return
	}
	s.opts.Log.Emit(events.Event{ID: events.WorkAccepted, Job: key(job.ID), Text: job.Queue})
	at := now()
	t.board.Add(at, job, false)
	s.place(t, at)
}

// cancel closes a job and stops its runs.
func (s *Service) cancel(ctx context.Context, found target, r *mesh.Response) {
	if !found.known {
		r.Outcome = mesh.NoJob
		return
	}
	result, err := s.propose(ctx, ledger.Command{Cancel: found.id})
	if err != nil {
		r.Outcome = mesh.Uncertain
		return
	}
	s.opts.Log.Emit(events.Event{ID: events.WorkCancelled, Job: key(found.id)})
	s.close(result.Closed)
	r.Outcome = mesh.Accepted
}

// close takes jobs that became final off the board.
func (s *Service) close(ids []work.JobID) {
	if len(ids) == 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.term
	if t == nil {
		return
	}
	at := now()
	for _, id := range ids {
		t.board.Close(id)
		s.opts.Log.Emit(events.Event{ID: events.WorkClosed, Job: key(id), Text: "recorded"})
		t.final = append(t.final, finalJob{id: id, at: at})
	}
	s.place(t, at)
}
