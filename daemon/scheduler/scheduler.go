// Package scheduler runs a placement planner: it passes the planner's orders to the
// sessions of agents, the agents' reports to the planner, and the ends of best-effort
// jobs to the requests that wait for them. Parent: the component that places tasks,
// which is the leader in package coordinator and, while there is no leader, an entry
// in package fallback. It has no goroutines; its owner serialises all methods. State:
// the planner, the sessions, the waiting requests, and the latest ends.
package scheduler

import (
	"maps"
	"slices"
	"time"

	"github.com/cicadapulley/cicadapulley/api/mesh"
	"github.com/cicadapulley/cicadapulley/core/job"
	"github.com/cicadapulley/cicadapulley/core/placement"
	"github.com/cicadapulley/cicadapulley/core/work"
	"github.com/cicadapulley/cicadapulley/daemon/events"
	"github.com/cicadapulley/cicadapulley/daemon/link"
)

// resultTTL is how long the end of a best-effort job is kept. A caller without an
// answer submits its job again after about 1.3 s.
const resultTTL = 5 * time.Second

// JobKey identifies a job in events. It has no caller, since jobs with steps have
// none.
func JobKey(id work.JobID) job.Key { return job.Key{ID: string(id)} }

// Session is an agent's session with the owner of the scheduler.
type Session struct {
	ID   placement.SessionID
	VM   string
	Conn *link.Conn
	// RenewedAt is when the agent's lease was last renewed.
	RenewedAt time.Time
	// agentSlowdown is the slowdown of its endpoint that the agent has, in thousandths; 0 if it
	// has none.
	agentSlowdown int
}

// Waiter is a request that waits for the end of a best-effort job.
type Waiter struct {
	// Conn is the connection on which the request arrived, nil for a request of this
	// process.
	Conn     *link.Conn
	Sequence uint64
	// Answer is called with the answer. It must not block.
	Answer func(*mesh.Response)
}

// result is the end of a best-effort job.
type result struct {
	state      work.State
	recordedAt time.Time
}

// Scheduler is a planner with the sessions and requests that it serves.
type Scheduler struct {
	Planner  *placement.Planner
	log      *events.Log
	metrics  *Metrics
	sessions map[placement.SessionID]*Session
	// waiters are the requests that wait for the end of a best-effort job.
	waiters map[work.JobID][]Waiter
	// results are the latest ends of best-effort jobs, for requests that are sent
	// again after their answer was lost.
	results map[work.JobID]result
	// cancellations has when jobs were cancelled that were not recorded.
	cancellations map[work.JobID]time.Time
	shareLog      shareLog
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

		cancellations: map[work.JobID]time.Time{},
	}
}

// Submit adds a best-effort job. It returns nil if the waiter gets its answer when
// the job ends, and the answer otherwise.
func (s *Scheduler) Submit(now time.Time, w Waiter, j *work.Job, prior placement.PriorState) *mesh.Response {
	if ended, ok := s.results[j.ID]; ok {
		return &mesh.Response{Sequence: w.Sequence, Outcome: mesh.Found, State: ended.state}
	}
	if s.Cancelled(now, j.ID, prior.Waited) {
		return &mesh.Response{Sequence: w.Sequence, Outcome: mesh.Found, State: work.Cancelled}
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

// Abandon removes a request that no longer waits for a best-effort job. It abandons
// the job if no other request waits for it.
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

// Join adds an agent's endpoint to the planner with the runs and ends that it lists.
// It returns the ends that must be recorded.
func (s *Scheduler) Join(now time.Time, session *Session, m *mesh.Inventory) []work.End {
	info := m.Endpoint
	info.Session = session.ID
	info.VM = session.VM
	s.sessions[session.ID] = session
	session.agentSlowdown = info.Slowdown
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

// JoinUnreachable adds an agent whose endpoint does not answer it to the planner, with
// the runs that may exist there until leaseExpiry.
func (s *Scheduler) JoinUnreachable(now time.Time, session *Session, m *mesh.PossibleRuns, leaseExpiry time.Time) {
	ends := make([]work.End, len(m.Ends))
	for i, e := range m.Ends {
		ends[i] = e.End
	}
	s.Planner.JoinUnreachable(now, placement.Endpoint{Session: session.ID, VM: session.VM}, m.Runs, ends, leaseExpiry)
	s.log.Emit(events.Event{ID: events.EndpointUnreachable, Peer: session.VM, Text: CountText("possible runs", len(m.Runs))})
}

// Report applies an agent's report. It returns the ends that must be recorded.
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

// updateReachability applies a change of whether the endpoint answers its agent.
func (s *Scheduler) updateReachability(now time.Time, session *Session, r mesh.Reachability) {
	switch r {
	case mesh.ReachabilityUnchanged:
	case mesh.Unreachable, mesh.Reachable:
		s.Planner.SetReachable(session.ID, r == mesh.Reachable)
	case mesh.LeaseExpired:
		s.Planner.Leave(now, session.ID)
	}
}

// Renew records that the answer to an agent's ping renews its lease.
func (s *Scheduler) Renew(now time.Time, session *Session, m *mesh.Ping) {
	session.RenewedAt = now
	s.Planner.SetUsedByOthers(session.ID, m.UsedByOthers)
	s.Planner.UpdateProgress(now.Add(-time.Duration(m.AgeMS)*time.Millisecond), session.ID, m.Running)
}

// NextSlowdown returns the slowdown that the planner has learned of a session's endpoint, in
// thousandths, for the next message to the agent. It returns 0 if the slowdown is unknown or the
// agent has it.
func (s *Scheduler) NextSlowdown(session *Session) int {
	learned := s.Planner.Slowdown(session.ID)
	if learned == session.agentSlowdown {
		return 0
	}
	session.agentSlowdown = learned
	return learned
}

// Lost records that an agent cannot be reached. Its runs may continue until
// leaseExpiry.
func (s *Scheduler) Lost(session *Session, leaseExpiry time.Time) {
	delete(s.sessions, session.ID)
	s.Planner.Lost(session.ID, leaseExpiry)
}

// Tick applies what depends on time, and drops old results and cancellations.
func (s *Scheduler) Tick(now time.Time) {
	s.Planner.Tick(now)
	s.logInterference()
	s.logShares(now)
	for id, r := range s.results {
		if now.Sub(r.recordedAt) > resultTTL {
			delete(s.results, id)
		}
	}
	maps.DeleteFunc(s.cancellations, func(_ work.JobID, at time.Time) bool { return now.Sub(at) > CancellationTTL })
}

// Place answers requests for ended jobs, assigns waiting tasks and sends the orders.
// The owner must ensure that no other scheduler places the same jobs.
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

// AnswerFinished answers the requests that wait for best-effort jobs that have
// ended or are refused.
func (s *Scheduler) AnswerFinished(now time.Time) {
	for _, rejected := range s.Planner.TakeRejected() {
		var refusal *mesh.Response
		if rejected.MayHaveRun {
			refusal = s.giveUp(rejected.Job, rejected.Admission)
		} else {
			refusal = s.Refuse(rejected.Job, rejected.Admission)
		}
		for _, w := range s.waiters[rejected.Job.ID] {
			answer := *refusal
			answer.Sequence = w.Sequence
			w.Answer(&answer)
		}
		delete(s.waiters, rejected.Job.ID)
	}
	for _, finished := range s.Planner.TakeFinished() {
		s.results[finished.ID] = result{state: finished.State, recordedAt: now}
		s.logFinished(finished)
		s.answer(finished.ID, finished.State)
	}
}

// Refuse returns the answer to a job that would complete too late, or that has no endpoint.
func (s *Scheduler) Refuse(j *work.Job, a placement.Admission) *mesh.Response {
	s.metrics.refused.Inc()
	s.log.Emit(events.Event{ID: events.WorkRefused, Job: JobKey(j.ID), Text: refusalText(j, a)})
	return &mesh.Response{Outcome: mesh.Overloaded, RetryAfterMS: int(a.RetryAfter.Milliseconds())}
}

// giveUp returns the answer to a job that would complete too late and may have run.
func (s *Scheduler) giveUp(j *work.Job, a placement.Admission) *mesh.Response {
	s.metrics.refused.Inc()
	s.log.Emit(events.Event{ID: events.WorkGivenUp, Job: JobKey(j.ID), Text: refusalText(j, a)})
	return &mesh.Response{Outcome: mesh.GivenUp, Detail: "the job would complete too late"}
}
