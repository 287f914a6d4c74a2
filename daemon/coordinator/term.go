package coordinator

import (
	"context"
	"time"

	"github.com/cicadapulley/cicadapulley/core/lease"
	"github.com/cicadapulley/cicadapulley/core/ledger"
	"github.com/cicadapulley/cicadapulley/core/placement"
	"github.com/cicadapulley/cicadapulley/core/relay"
	"github.com/cicadapulley/cicadapulley/core/work"
	"github.com/cicadapulley/cicadapulley/daemon/boottime"
	"github.com/cicadapulley/cicadapulley/daemon/events"
	"github.com/cicadapulley/cicadapulley/daemon/scheduler"
)

const (
	// tickInterval is the time between checks for due work.
	tickInterval = 50 * time.Millisecond
	// stallThreshold is how late a tick of the leader may be, or how long its work may take, before
	// that is reported. Clients take a leader for lost after 350 ms without a message.
	stallThreshold = 150 * time.Millisecond
	// sessionBits is the number of low bits of a fencing token that count the
	// sessions of a term.
	sessionBits = 20
	// maxForgetPerCommand bounds the jobs that one command forgets.
	maxForgetPerCommand = 1000
)

// term is the leader's state from its election until it loses the leadership.
// Its fields are guarded by Service.mu.
type term struct {
	*scheduler.Scheduler
	number uint64
	// sessionCount is the number of sessions that have begun.
	sessionCount uint64
	// submitting counts the proposals in progress for each job.
	submitting map[work.JobID]int
	// removed are the VMs whose removal from the enrolled ones this term has decided.
	// The record may still list them while the removal is being committed. A new
	// leader waits only for the inventories of enrolled VMs, so the agent of a
	// removed VM enrols again before it joins.
	removed map[string]bool
	// relays decides which entries relay the agents without a connection.
	relays *relay.Planner
	// finalJobs lists final jobs in the order in which they were found to be final.
	finalJobs []finalJob
}

// finalJob is a job and the time at which it was found to be final.
type finalJob struct {
	id work.JobID
	at time.Time
}

// lead begins, runs and ends terms as the leadership changes, until ctx ends.
func (s *Service) lead(ctx context.Context) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		changed := s.driver.Changed()
		begun := boottime.Now()
		s.checkLeadership(ctx)
		worked := boottime.Now()
		select {
		case <-ctx.Done():
			s.endTerm()
			return nil
		case <-ticker.C:
		case <-changed:
		}
		if cause := stallCause(worked.Sub(begun), boottime.Now().Sub(worked)); cause != "" && s.driver.Leading() {
			s.opts.Log.Emit(events.Event{ID: events.LeaderStalled, Text: cause})
		}
	}
}

// stallCause describes what held the leader up, empty if nothing did: its own work, which
// includes waiting for locks and commits, or a process that didn't run when its tick was due.
func stallCause(work, wait time.Duration) string {
	switch {
	case work > stallThreshold:
		return "work took " + work.Round(time.Millisecond).String()
	case wait > tickInterval+stallThreshold:
		return "did not run for " + (wait - tickInterval).Round(time.Millisecond).String()
	}
	return ""
}

// checkLeadership begins or ends the term when the leadership has changed, and
// runs the periodic work of the current term.
func (s *Service) checkLeadership(ctx context.Context) {
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

// beginTerm restores the planner from the ledger and sends a Welcome to all clients.
func (s *Service) beginTerm(number uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := boottime.Now()
	t := &term{number: number, submitting: map[work.JobID]int{}, removed: map[string]bool{}}
	open := 0
	err := s.driver.Read(func() {
		s.machine.beginRecording()
		planner := placement.NewPlanner(number, now.Add(lease.ExpiresAfter), s.machine.EnrolledVMs())
		if s.opts.DetectInterference {
			planner.DetectInterference()
		}
		s.shares.Apply(planner, s.machine.Routes())
		t.Scheduler = scheduler.New(planner, s.metrics, s.opts.Log)
		s.machine.restoreCancellations(t)
		t.relays = s.beginRelays(now)
		s.machine.Each(func(r *ledger.Record) {
			if r.State.Final() {
				t.finalJobs = append(t.finalJobs, finalJob{id: r.Job.ID, at: now})
				return
			}
			open++
			job := r.Job
			planner.Restore(now, &job, taskRecords(r))
		})
	})
	if err != nil {
		return // this VM has already lost the leadership
	}
	s.updateDrains()
	t.Planner.SetDrained(now, s.drains)
	s.term = t
	s.opts.Log.Emit(events.Event{ID: events.TermBegan, Ticket: number, Text: scheduler.CountText("open jobs", open)})
	for cl := range s.clients {
		s.sendWelcome(cl)
	}
}

func taskRecords(r *ledger.Record) []placement.TaskRecord {
	list := make([]placement.TaskRecord, len(r.Tasks))
	for i, t := range r.Tasks {
		list[i] = placement.TaskRecord{Done: t.Done, Failures: t.Failures, LastRun: t.LastRun, FailedRuns: t.FailedRuns}
	}
	return list
}

// endTerm drops the planner and sends a Welcome to all clients, which announces
// that this VM no longer leads.
func (s *Service) endTerm() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.term == nil {
		return
	}
	s.opts.Log.Emit(events.Event{ID: events.TermEnded, Ticket: s.term.number})
	s.term = nil
	s.driver.Local(s.machine.endRecording)
	for cl := range s.clients {
		cl.session = nil
		s.sendWelcome(cl)
	}
}

// tick runs the planner's due work, removes absent agents, and forgets cancellations and
// final jobs whose retention time has passed.
func (s *Service) tick(ctx context.Context, t *term) {
	s.memory.check(boottime.Now())
	forget, absent := s.tickTerm(t)
	s.removeAbsent(ctx, t, absent)
	s.forgetCancellations(ctx)
	if len(forget) > 0 {
		s.forget(ctx, ledger.Command{Forget: forget})
	}
}

// tickTerm runs what needs no commit, and returns the final jobs to forget and the
// enrolments to remove.
func (s *Service) tickTerm(t *term) (forget []work.JobID, absent []ledger.Enrolment) {
	s.mu.Lock()
	defer s.mu.Unlock() // also after a panic in the planner
	now := boottime.Now()
	s.applyEffects()
	t.Tick(now)
	for cl := range s.clients {
		if !cl.welcomed {
			s.sendWelcome(cl)
		}
	}
	s.orderRelays(t, now)
	s.place(t, now)
	for len(t.finalJobs) > 0 && now.Sub(t.finalJobs[0].at) > s.opts.KeepFinal && len(forget) < maxForgetPerCommand {
		forget = append(forget, t.finalJobs[0].id)
		t.finalJobs = t.finalJobs[1:]
	}
	return forget, s.absent(t, now)
}

// absent returns the enrolments of VMs that have neither a session nor runs, and
// records the VMs as removed. The caller holds mu.
func (s *Service) absent(t *term, now time.Time) []ledger.Enrolment {
	var enrolled []string
	s.driver.Local(func() { enrolled = s.machine.EnrolledVMs() })
	var absent []ledger.Enrolment
	for _, vm := range t.Planner.Absent(now, enrolled) {
		if t.removed[vm] || s.connected(vm) {
			continue
		}
		t.removed[vm] = true
		s.driver.Local(func() { absent = append(absent, s.machine.Enrolment(vm)) })
	}
	return absent
}

// removeAbsent removes enrolments that were found to be absent. The removals wait for
// their commits without holding mu, so an agent may enrol again before its removal is
// committed; each removal therefore names the enrolment that it ends. It is proposed in
// the term that decided it only: in a later one the agent may have runs again under the
// same enrolment.
func (s *Service) removeAbsent(ctx context.Context, t *term, absent []ledger.Enrolment) {
	for _, e := range absent {
		if _, err := s.proposeIn(ctx, t.number, ledger.Command{RemoveEnrolment: &e}); err != nil {
			s.opts.Log.Emit(events.Event{ID: events.ForgetFailed, Peer: e.VM, Err: err})
		}
	}
}

// connected reports whether a VM's agent has a session. The caller holds mu.
func (s *Service) connected(vm string) bool {
	for cl := range s.clients {
		if cl.vm == vm && cl.session != nil {
			return true
		}
	}
	return false
}

// place answers the requests that wait for finished jobs and, while the leader's
// lease holds, assigns waiting tasks and sends the orders. The caller holds mu.
func (s *Service) place(t *term, now time.Time) {
	if !s.leads(t) {
		t.AnswerFinished(now)
		return // the next tick places the waiting tasks
	}
	t.Place(now)
}

// leads reports whether a term, nil for none, is the one in which this VM leads and its
// lease holds. A VM may have lost the leadership and won a later term before checkLeadership
// ends the term, and another leader may have placed tasks in between.
func (s *Service) leads(t *term) bool {
	number, ok := s.driver.LeadingTerm()
	return ok && t != nil && t.number == number
}

// whileLeading runs fn on the term if this VM leads and its lease holds, and
// reports whether it did.
func (s *Service) whileLeading(fn func(t *term, now time.Time)) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.leads(s.term) {
		return false
	}
	fn(s.term, boottime.Now())
	return true
}
