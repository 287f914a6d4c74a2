// Package scheduler runs a placement board: it passes the board's orders to the
// sessions of agents, their news to the board, and the ends of best-effort jobs to
// those who wait for them. Parent: whoever places tasks, which is the leader in
// package coordinator and, while there is none, an entry in package fallback. It
// has no goroutines; its owner serialises all methods. State: the board, the
// sessions, the waiting callers, and the latest ends.
package scheduler

import (
	"slices"
	"time"

	"github.com/cicadapulley/cicadapulley/api/mesh"
	"github.com/cicadapulley/cicadapulley/core/job"
	"github.com/cicadapulley/cicadapulley/core/placement"
	"github.com/cicadapulley/cicadapulley/core/work"
	"github.com/cicadapulley/cicadapulley/daemon/events"
	"github.com/cicadapulley/cicadapulley/daemon/link"
)

// resultLife is how long the end of a best-effort job is kept. A caller without
// an answer submits its job again after about 1.3 s.
const resultTTL = 5 * time.Second

// JobKey names a job in events; jobs with steps have no caller.
func JobKey(id work.JobID) job.Key { return job.Key{ID: string(id)} }

// Session is an agent's session with the owner of the board.
type Session struct {
	ID   placement.SessionID
	VM   string
	Conn *link.Conn
	// RenewedAt is when the agent's lease was last renewed.
	RenewedAt time.Time
}

// Waiter is a request that waits for the end of a best-effort job.
type Waiter struct {
	// Conn is where the request came from, nil for one of this process.
	Conn     *link.Conn
	Sequence uint64
	// Answer takes the answer. It must not block.
	Answer func(*mesh.Response)
}

// result is the end of a best-effort job.
type result struct {
	state      work.State
	recordedAt time.Time
}

// Scheduler is a board with those whom it serves.
type Scheduler struct {
	Planner  *placement.Planner
	log      *events.Log
	metrics  *Metrics
	sessions map[placement.SessionID]*Session
	// waiters are the requests that wait for the end of a best-effort job.
	waiters map[work.JobID][]Waiter
	// results are the latest ends of best-effort jobs, for requests that come
	// again after their answer was lost.
	results map[work.JobID]result
}

// New returns a scheduler without sessions.
func New(planner *placement.Planner, m *Metrics, log *events.Log) *Scheduler {
	return &Scheduler{
		Planner:  planner,
		log:      log,
		metrics:  m,
		sessions: map[placement.SessionID]*Session{},
		waiters:  map[work.JobID][]Waiter{},
		results:  map[work.JobID]result{},
	}
}

// Submit takes a best-effort job. Nil means that the waiter gets its answer when
// the job ends; otherwise the answer is returned.
func (s *Scheduler) Submit(now time.Time, w Waiter, j *work.Job, prior placement.PriorState) *mesh.Response {
	if ended, ok := s.results[j.ID]; ok {
		return &mesh.Response{Sequence: w.Sequence, Outcome: mesh.Found, State: ended.state}
	}
	if !s.Planner.Has(j.ID) {
		if a := s.Planner.Admit(now, j, prior); !a.Accepted {
			r := s.Refuse(j, a)
			r.Sequence = w.Sequence
			return r
		}
	}
	s.waiters[j.ID] = append(s.waiters[j.ID], w)
	s.Planner.Add(now, j, prior)
	return nil
}

// Abandon notes that a request no longer waits for a best-effort job.
func (s *Scheduler) Abandon(now time.Time, conn *link.Conn, sequence uint64, id work.JobID) {
	remaining := slices.DeleteFunc(s.waiters[id], func(w Waiter) bool { return w.Conn == conn && w.Sequence == sequence })
	if len(remaining) > 0 {
		s.waiters[id] = remaining
		return
	}
	delete(s.waiters, id)
	if summary, known := s.Planner.Abandon(now, id); known {
		s.logAbandoned(id, summary)
	}
}

// Join puts an agent's endpoint on the board with what it lists. It returns the
// ends that must be recorded.
func (s *Scheduler) Join(now time.Time, session *Session, m *mesh.Inventory) []work.End {
	info := m.Endpoint
	info.Session = session.ID
	info.VM = session.VM
	s.sessions[session.ID] = session
	var durable []work.End
	ends := make([]work.End, len(m.Ends))
	for i, e := range m.Ends {
		ends[i] = e.End
		if e.End.Reason.Durable() && !e.BestEffort {
			durable = append(durable, e.End)
		}
	}
	s.Planner.Join(now, info, m.Running, ends)
	s.log.Emit(events.Event{
		ID: events.EndpointJoined, Peer: info.VM,
		Text: info.Instance + " " + CountText("running", len(m.Running)) + " " + CountText("ends", len(m.Ends)),
	})
	return durable
}

// Report takes an agent's news. It returns the ends that must be recorded.
func (s *Scheduler) Report(now time.Time, session *Session, m *mesh.Report) []work.End {
	var durable []work.End
	for _, e := range m.Ends {
		if s.Planner.Ended(now, session.ID, e.End) {
			durable = append(durable, e.End)
		}
		s.logEnd(session.VM, e.End)
	}
	s.Planner.SetUsedByOthers(session.ID, m.UsedByOthers)
	for _, r := range m.Refused {
		s.Planner.Refused(now, session.ID, r.Run, r.Reason)
		s.log.Emit(events.Event{
			ID: events.StartRefused, Job: JobKey(r.Run.Task.Job), Peer: session.VM, Text: r.Run.Task.String() + " " + r.Reason.String(),
		})
	}
	s.Planner.Vanished(now, session.ID, m.Vanished)
	if m.Draining {
		s.Planner.SetDraining(session.ID)
	}
	s.updateReachability(now, session, m.Reachability)
	return durable
}

// reach notes whether the endpoint answers its agent.
func (s *Scheduler) updateReachability(now time.Time, session *Session, r mesh.Reachability) {
	switch r {
	case mesh.ReachabilityUnchanged:
	case mesh.Unreachable, mesh.Reachable:
		s.Planner.SetReachable(session.ID, r == mesh.Reachable)
	case mesh.LeaseExpired:
		s.Planner.Leave(now, session.ID)
	}
}

// Renew notes that an agent's lease is renewed by the answer to its ping.
func (s *Scheduler) Renew(now time.Time, session *Session, m *mesh.Ping) {
	session.RenewedAt = now
	s.Planner.SetUsedByOthers(session.ID, m.UsedByOthers)
	s.Planner.UpdateProgress(now.Add(-time.Duration(m.AgeMS)*time.Millisecond), session.ID, m.Running)
}

// Lost notes that an agent can't be reached. Its runs may go on until goneAt.
func (s *Scheduler) Lost(session *Session, leaseExpiry time.Time) {
	delete(s.sessions, session.ID)
	s.Planner.Lost(session.ID, leaseExpiry)
}

// Tick does what is due.
func (s *Scheduler) Tick(now time.Time) {
	s.Planner.Tick(now)
	for id, r := range s.results {
		if now.Sub(r.recordedAt) > resultTTL {
			delete(s.results, id)
		}
	}
}

// Place assigns waiting tasks, sends the orders, and answers for ended jobs. The
// owner must be sure that nobody else places the same jobs.
func (s *Scheduler) Place(now time.Time) {
	s.AnswerFinished(now)
	s.Planner.Assign(now)
	orders := s.Planner.TakeOrders()
	if len(orders) == 0 {
		return
	}
	batches := map[placement.SessionID][]placement.Order{}
	for _, o := range orders {
		batches[o.Session] = append(batches[o.Session], o)
	}
	for id, batch := range batches {
		session := s.sessions[id]
		if session == nil {
			continue
		}
		session.Conn.Send(&mesh.Orders{Orders: batch})
		for _, o := range batch {
			s.logOrder(session.VM, o)
		}
	}
}

// AnswerFinished answers those who wait for best-effort jobs that have ended.
func (s *Scheduler) AnswerFinished(now time.Time) {
	for _, finished := range s.Planner.TakeFinished() {
		s.results[finished.ID] = result{state: finished.State, recordedAt: now}
		s.logFinished(finished)
		for _, w := range s.waiters[finished.ID] {
			w.Answer(&mesh.Response{Sequence: w.Sequence, Outcome: mesh.Found, State: finished.State})
		}
		delete(s.waiters, finished.ID)
	}
}

// Refuse returns the answer to a job that would complete too late.
func (s *Scheduler) Refuse(j *work.Job, a placement.Admission) *mesh.Response {
	s.metrics.refused.Inc()
	s.log.Emit(events.Event{ID: events.WorkRefused, Job: JobKey(j.ID), Text: refusalText(j, a)})
	return &mesh.Response{Outcome: mesh.Overloaded, RetryAfterMS: int(a.RetryAfter.Milliseconds())}
}
