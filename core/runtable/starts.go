package runtable

import (
	"time"

	"github.com/cicadapulley/cicadapulley/core/placement"
	"github.com/cicadapulley/cicadapulley/core/work"
)

// AdmitStart decides whether a run may start, and returns the deadline until which
// it may continue, or the reason for the refusal. The leader tracks the endpoint's
// capacity itself; among entries the agent assigns it.
func (t *Table) AdmitStart(now time.Time, s *Scheduler, o placement.Order) (time.Duration, placement.Refusal) {
	deadline := t.deadline(now, s.Owner)
	switch {
	case t.opts.Draining:
		return 0, placement.RefusedDraining
	case t.drained:
		return 0, placement.RefusedDrained
	case t.schedulers[s.VM] != s, deadline <= t.clock.At(now):
		return 0, placement.RefusedLease
	case s.VM != "" && (t.hasDisputedEnds() || !o.Need.Fits(t.freeCapacity()) || len(t.unacked) >= MaxUnacked):
		return 0, placement.RefusedCapacity
	}
	started := startedRun{owner: s.Owner, need: o.Need, bestEffort: o.BestEffort}
	t.runs[o.Run] = &run{startedRun: started, state: ordered, sinceHold: t.holdsSent}
	t.opts.Records.recordStart(o.Run, started)
	t.latestDeadline = max(t.latestDeadline, deadline)
	return deadline, 0
}

// freeCapacity returns the endpoint's unused resources; none while the need of one
// of its runs is unknown.
func (t *Table) freeCapacity() work.Resources {
	free := t.opts.Incarnation.Capacity
	for _, r := range t.runs {
		if r.unknownNeed {
			return work.Resources{}
		}
		free = free.Minus(r.need)
	}
	return free
}

// StartUnanswered records that the endpoint has not answered a start in time. The run may
// start late.
func (t *Table) StartUnanswered(r work.Run) { t.setState(r, unanswered) }

// StartAnswered applies the answer to a start.
func (t *Table) StartAnswered(now time.Time, r work.Run, a Answer) {
	t.observeClock(now, a.Clock)
	switch a.Verdict {
	case Done:
		t.setState(r, confirmed)
	case Refused:
		t.remove(r)
	}
}

// StopOrdered adds a run that a scheduler wants to be stopped and that the table doesn't have.
func (t *Table) StopOrdered(r work.Run) {
	if t.runs[r] == nil {
		t.runs[r] = &run{state: confirmed, sinceHold: t.holdsSent}
	}
}

// StopAnswered applies the answer to a stop. A stop without an answer is repeated: only after
// one can the run no longer start.
func (t *Table) StopAnswered(now time.Time, r work.Run, a Answer) {
	t.observeClock(now, a.Clock)
	if a.Verdict == Done {
		t.setState(r, stopped)
	}
}

// setState sets a run's state, unless its end has been reported in the meantime.
func (t *Table) setState(r work.Run, state runState) {
	if local := t.runs[r]; local != nil {
		local.state = state
		local.sinceHold = t.holdsSent
	}
}

func (t *Table) observeClock(now time.Time, clock time.Duration) {
	if clock != 0 {
		t.clock.Observe(clock, now)
	}
}
