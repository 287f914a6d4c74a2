package coordinator

import (
	"context"
	"slices"
	"time"

	"github.com/cicadapulley/cicadapulley/api/mesh"
	"github.com/cicadapulley/cicadapulley/core/lease"
	"github.com/cicadapulley/cicadapulley/core/ledger"
	"github.com/cicadapulley/cicadapulley/core/placement"
	"github.com/cicadapulley/cicadapulley/core/work"
	"github.com/cicadapulley/cicadapulley/daemon/boottime"
	"github.com/cicadapulley/cicadapulley/daemon/events"
	"github.com/cicadapulley/cicadapulley/daemon/link"
)

const (
	// tickInterval is the pause between looks at what is due.
	tickInterval = 50 * time.Millisecond
	// sessionBits is the part of a fencing token that counts sessions in a term.
	sessionBits = 20
	// forgetBatch bounds the jobs that one command forgets.
	forgetBatch = 1000
)

// term is the leader's state from its election to the loss of the leadership.
// Its fields are guarded by the service's lock.
type term struct {
	number uint64
	board  *placement.Board
	// sessions are those that have joined, and issued counts all.
	sessions map[placement.SessionID]*agentSession
	issued   uint64
	// submitting counts the proposals under way for a job.
	submitting map[work.JobID]int
	// waiters are the requests that wait for the end of a best-effort job.
	waiters map[work.JobID][]waiter
	// results are the latest ends of best-effort jobs, for requests that come
	// again after their answer was lost.
	results map[work.JobID]result
	// expelled are VMs that this term has taken off the list of those that a new
	// leader waits for. They enrol again before they join.
	expelled map[string]bool
	// final lists final jobs with the time at which they were seen so.
	final []finalJob
}

// waiter is a request that waits for an end.
type waiter struct {
	conn     *link.Conn
	sequence uint64
}

// result is the end of a best-effort job.
type result struct {
	state work.State
	at    time.Time
}

// resultLife is how long the end of a best-effort job is kept. A caller without
// an answer submits its job again after about 1.3 s.
const resultLife = 5 * time.Second

type finalJob struct {
	id work.JobID
	at time.Time
}

// lead waits for the leadership, keeps the term, and waits again.
func (s *Service) lead(ctx context.Context) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		changed := s.driver.Changed()
		s.step(ctx)
		select {
		case <-ctx.Done():
			s.endTerm()
			return nil
		case <-ticker.C:
		case <-changed:
		}
	}
}

// step begins, keeps or ends the term.
func (s *Service) step(ctx context.Context) {
	status := s.driver.Status()
	s.mu.Lock()
	current := s.term
	s.mu.Unlock()
	leads := s.driver.Leading()
	if current != nil && (status.Term != current.number || status.Leader != status.ID) {
		s.endTerm()
		current = nil
	}
	if current == nil && leads {
		s.beginTerm(status.Term)
		return
	}
	if current != nil && leads {
		s.tick(ctx, current)
	}
}

// beginTerm restores the board from the ledger.
func (s *Service) beginTerm(number uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := boottime.Now()
	t := &term{
		number:     number,
		sessions:   map[placement.SessionID]*agentSession{},
		submitting: map[work.JobID]int{},
		waiters:    map[work.JobID][]waiter{},
		results:    map[work.JobID]result{},
		expelled:   map[string]bool{},
	}
	open := 0
	err := s.driver.Read(func() {
		t.board = placement.NewBoard(number, now.Add(lease.GoneAfter), s.machine.EnrolledVMs())
		s.machine.Each(func(r *ledger.Record) {
			if r.State.Final() {
				t.final = append(t.final, finalJob{id: r.Job.ID, at: now})
				return
			}
			open++
			job := r.Job
			t.board.Restore(now, &job, progress(r))
		})
	})
	if err != nil {
		return // the leadership is gone again
	}
	s.term = t
	s.opts.Log.Emit(events.Event{ID: events.TermBegan, Ticket: number, Text: countText("open jobs", open)})
	for cl := range s.clients {
		s.welcome(cl)
	}
}

func progress(r *ledger.Record) []placement.Progress {
	list := make([]placement.Progress, len(r.Tasks))
	for i, t := range r.Tasks {
		list[i] = placement.Progress{Done: t.Done, Failures: t.Failures, LastRun: t.LastRun}
	}
	return list
}

// endTerm drops the board and tells all clients.
func (s *Service) endTerm() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.term == nil {
		return
	}
	s.opts.Log.Emit(events.Event{ID: events.TermEnded, Ticket: s.term.number})
	s.term = nil
	for cl := range s.clients {
		cl.session = nil
		s.welcome(cl)
	}
}

// tick does what is due and forgets final jobs that nobody may ask for any more.
func (s *Service) tick(ctx context.Context, t *term) {
	now := boottime.Now()
	s.mu.Lock()
	t.board.Tick(now)
	t.forgetResults(now)
	for cl := range s.clients {
		if !cl.told {
			s.welcome(cl)
		}
	}
	s.place(t, now)
	var forget []work.JobID
	for len(t.final) > 0 && now.Sub(t.final[0].at) > s.opts.KeepFinal && len(forget) < forgetBatch {
		forget = append(forget, t.final[0].id)
		t.final = t.final[1:]
	}
	absent := s.absent(t, now)
	s.mu.Unlock()
	for _, vm := range absent {
		if _, err := s.propose(ctx, ledger.Command{Expel: vm}); err != nil {
			s.opts.Log.Emit(events.Event{ID: events.ForgetFailed, Peer: vm, Err: err})
		}
	}
	if len(forget) == 0 {
		return
	}
	if _, err := s.propose(ctx, ledger.Command{Forget: forget}); err != nil {
		s.opts.Log.Emit(events.Event{ID: events.ForgetFailed, Err: err})
	}
}

// absent returns enrolled VMs that have neither a connection nor runs, and marks
// them as expelled. The caller holds mu.
func (s *Service) absent(t *term, now time.Time) []string {
	var enrolled []string
	s.driver.Local(func() { enrolled = s.machine.EnrolledVMs() })
	absent := t.board.Absent(now, enrolled)
	absent = slices.DeleteFunc(absent, func(vm string) bool { return t.expelled[vm] || s.connected(vm) })
	for _, vm := range absent {
		t.expelled[vm] = true
	}
	return absent
}

// connected tells whether a VM's agent has a session. The caller holds mu.
func (s *Service) connected(vm string) bool {
	for cl := range s.clients {
		if cl.vm == vm && cl.session != nil {
			return true
		}
	}
	return false
}

// place answers for ended jobs and, while the leader's lease holds, assigns
// waiting tasks and sends the orders. The caller holds mu.
func (s *Service) place(t *term, now time.Time) {
	s.answerSettled(t, now)
	if !s.driver.Leading() {
		return // the next tick places what waits
	}
	t.board.Assign(now)
	orders := t.board.TakeOrders()
	if len(orders) == 0 {
		return
	}
	batches := map[placement.SessionID][]placement.Order{}
	for _, o := range orders {
		batches[o.Session] = append(batches[o.Session], o)
	}
	for session, batch := range batches {
		a := t.sessions[session]
		if a == nil {
			continue
		}
		a.client.conn.Send(&mesh.Orders{Orders: batch})
		for _, o := range batch {
			s.logOrder(a.client.vm, o)
		}
	}
}

// answerSettled answers those who wait for best-effort jobs that have ended.
// The caller holds mu.
func (s *Service) answerSettled(t *term, now time.Time) {
	for _, settled := range t.board.TakeSettled() {
		t.results[settled.ID] = result{state: settled.State, at: now}
		s.logSettled(settled)
		for _, w := range t.waiters[settled.ID] {
			w.conn.Send(&mesh.Response{Sequence: w.sequence, Outcome: mesh.Found, State: settled.State})
		}
		delete(t.waiters, settled.ID)
	}
}

// forgetResults drops old ends of best-effort jobs. The caller holds mu.
func (t *term) forgetResults(now time.Time) {
	for id, r := range t.results {
		if now.Sub(r.at) > resultLife {
			delete(t.results, id)
		}
	}
}

// current runs fn on the term if this VM leads and its lease holds.
func (s *Service) current(fn func(t *term, now time.Time)) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.term == nil || !s.driver.Leading() {
		return false
	}
	fn(s.term, boottime.Now())
	return true
}
