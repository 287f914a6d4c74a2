package coordinator

import (
	"time"

	"github.com/cicadapulley/cicadapulley/api/mesh"
	"github.com/cicadapulley/cicadapulley/core/ledger"
	"github.com/cicadapulley/cicadapulley/core/placement"
	"github.com/cicadapulley/cicadapulley/core/work"
	"github.com/cicadapulley/cicadapulley/daemon/events"
	"github.com/cicadapulley/cicadapulley/daemon/scheduler"
)

// effect is a command that was applied during a term of this VM, with its result. The
// planner and the clients are updated from it and not by the goroutine that proposed
// the command: that one may have stopped waiting before the commit.
type effect struct {
	command ledger.Command
	result  ledger.Result
}

// beginRecording makes Apply record effects. The caller holds the driver's lock.
func (m *machine) beginRecording() {
	m.recording = true
	m.effects = nil
}

// endRecording drops the recorded effects; the next term restores the planner from the
// ledger. The caller holds the driver's lock.
func (m *machine) endRecording() {
	m.recording = false
	m.effects = nil
}

// takeEffect removes and returns the first recorded effect. They are taken one at a time,
// so that a panic in one of them does not lose the others. The caller holds the driver's
// lock.
func (m *machine) takeEffect() (first effect, found bool) {
	if len(m.effects) == 0 {
		return effect{}, false
	}
	first = m.effects[0]
	m.effects = m.effects[1:]
	return first, true
}

// applyEffects updates the planner and the clients from the commands that were applied
// since the last call. The caller holds mu.
func (s *Service) applyEffects() {
	if s.term == nil {
		return
	}
	at := now()
	applied := false
	for {
		var next effect
		found := false
		s.driver.Local(func() { next, found = s.machine.takeEffect() })
		if !found {
			break
		}
		s.applyEffect(s.term, at, next)
		applied = true
	}
	if applied {
		s.place(s.term, at)
	}
}

func (s *Service) applyEffect(t *term, at time.Time, e effect) {
	c := e.command
	switch {
	case c.Accept != nil:
		if e.result.Changed {
			s.opts.Log.Emit(events.Event{ID: events.WorkAccepted, Job: scheduler.JobKey(c.Accept.ID), Text: c.Accept.Queue})
			t.Planner.Add(at, c.Accept, placement.PriorState{})
		}
	case len(c.Ends) > 0:
		t.Planner.Recorded(c.Ends)
	case c.Cancel != "" && e.result.Kept:
		t.Cancel(at, c.Cancel) // also if its submission came after the DELETE or in another term
	case c.Cancel != "" && e.result.Changed:
		s.opts.Log.Emit(events.Event{ID: events.WorkCancelled, Job: scheduler.JobKey(c.Cancel)})
	case c.Configure != nil && e.result.Changed:
		var routes *work.Routes
		s.driver.Local(func() { routes = s.machine.Routes() })
		s.shares.Apply(t.Planner, routes)
		s.eachEntry(s.sendWelcome)
	case c.Enrol != nil:
		s.opts.Log.Emit(events.Event{ID: events.AgentEnrolled, Peer: c.Enrol.VM, Text: c.Enrol.Incarnation.Instance})
		delete(t.removed, c.Enrol.VM)
		t.relays.Enrol(at, c.Enrol.VM, c.Enrol.Address)
		enrolled := &mesh.Enrolled{Agent: ledger.Agent{VM: c.Enrol.VM, Address: c.Enrol.Address}}
		s.eachEntry(func(cl *client) { cl.conn.Send(enrolled) })
	case c.RemoveEnrolment != nil:
		removed := events.Event{ID: events.AgentRemoved, Peer: c.RemoveEnrolment.VM}
		if e.result.Changed {
			t.relays.Remove(c.RemoveEnrolment.VM)
		} else {
			removed.Text = "enrolled again, stays"
		}
		s.opts.Log.Emit(removed)
	}
	s.closeJobs(t, at, e.result.Closed)
}

// closeJobs removes jobs that became final from the planner. The caller holds mu.
func (s *Service) closeJobs(t *term, at time.Time, ids []work.JobID) {
	for _, id := range ids {
		t.Planner.Close(id)
		s.opts.Log.Emit(events.Event{ID: events.WorkClosed, Job: scheduler.JobKey(id), Text: "recorded"})
		t.finalJobs = append(t.finalJobs, finalJob{id: id, at: at})
	}
}
