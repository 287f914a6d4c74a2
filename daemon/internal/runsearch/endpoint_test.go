package runsearch

import (
	"fmt"
	"time"

	"github.com/cicadapulley/cicadapulley/api/mesh"
	"github.com/cicadapulley/cicadapulley/core/placement"
	"github.com/cicadapulley/cicadapulley/core/runtable"
	"github.com/cicadapulley/cicadapulley/core/work"
)

// fate is what becomes of a call to an endpoint.
type fate uint8

const (
	answered fate = iota
	// unanswered calls are carried out, and the answer is lost.
	unanswered
	// late calls are carried out later or never, without an answer.
	late
)

// endpoint is a model of one life after another of an endpoint. It guards no capacity.
type endpoint struct {
	w    *world
	name string
	life int
	born time.Time
	// fence is the highest fencing token seen.
	fence   placement.SessionID
	running map[work.Run]time.Time
	ends    []runtable.End
	lastEnd uint64
	// lease is when the lease ends on the endpoint's clock, 0 for no lease.
	lease time.Duration
	// highest has the highest run of each task that was stopped or has ended.
	highest map[work.TaskID]uint64
	silent  bool
	// nextStart is the fate of the next start, and nextStop that of the next stop.
	nextStart, nextStop fate
	lateStarts          []startCall
	lateStops           []stopCall
	lateHolds           []runtable.HoldRequest
}

type startCall struct {
	run      work.Run
	need     work.Resources
	fence    placement.SessionID
	deadline time.Duration
	life     int
}

type stopCall struct {
	run   work.Run
	fence placement.SessionID
	life  int
}

// restart begins a new life, which knows nothing of the earlier one.
func (e *endpoint) restart() {
	e.w.judge.lose(e)
	*e = endpoint{
		w: e.w, name: e.name, life: e.life + 1, born: e.w.now, running: map[work.Run]time.Time{}, highest: map[work.TaskID]uint64{},
		lateStarts: e.lateStarts, lateStops: e.lateStops, silent: e.silent,
	}
}

// incarnation is what the endpoint announces.
func (e *endpoint) incarnation() work.Incarnation {
	return work.Incarnation{Instance: e.name, StartTimeMS: int64(e.life), Pool: "pool", Capacity: e.w.scenario.capacity}
}

// clock returns the reading of the endpoint's clock, which may be slow.
func (e *endpoint) clock() time.Duration {
	elapsed := e.w.now.Sub(e.born)
	return time.Minute + elapsed - elapsed*time.Duration(e.w.scenario.slowPercent)/100
}

// lapse kills what runs once the lease has ended.
func (e *endpoint) lapse() {
	if e.lease == 0 || e.clock() <= e.lease {
		return
	}
	e.lease = 0
	e.w.judge.void(e)
	for _, r := range sortedRuns(e.running) {
		e.end(r, work.LeaseExpired)
	}
}

func (e *endpoint) extend(deadline time.Duration) {
	if clock := e.clock(); deadline > clock {
		e.lease = max(e.lease, min(deadline, clock+maxHold))
	}
}

// end ends a run and lists the end.
func (e *endpoint) end(r work.Run, reason work.EndReason) {
	delete(e.running, r)
	e.highest[r.Task] = max(e.highest[r.Task], r.Number)
	e.lastEnd++
	e.ends = append(e.ends, runtable.End{Number: e.lastEnd, End: work.End{Run: r, Reason: reason}})
	e.w.judge.ended(e, r, reason, e.lastEnd)
	e.w.tracef("%s: run %d of %s ends %s", e.name, r.Number, r.Task.Job, reason)
}

// check returns Done if a call is meant for this life and no higher fencing token was seen.
func (e *endpoint) check(life int, fence placement.SessionID) runtable.Verdict {
	switch {
	case life != e.life:
		return runtable.OtherInstance
	case fence < e.fence:
		return runtable.Fenced
	}
	e.fence = fence
	return runtable.Done
}

// start carries out a start call.
func (e *endpoint) start(c startCall) runtable.Answer {
	answer := runtable.Answer{Verdict: e.check(c.life, c.fence), Clock: e.clock()}
	if answer.Verdict != runtable.Done {
		return answer
	}
	answer.Verdict = runtable.Refused
	e.extend(c.deadline)
	_, runs := e.running[c.run]
	switch {
	case runs:
		answer.Verdict = runtable.Done
	case c.run.Number <= e.highest[c.run.Task]:
		answer.Reason = placement.RefusedStale
	case c.deadline <= e.clock():
		answer.Reason = placement.RefusedLease
	default:
		answer.Verdict = runtable.Done
		e.w.tracef("%s: run %d of %s starts", e.name, c.run.Number, c.run.Task.Job)
		e.w.judge.started(e, c)
		e.running[c.run] = e.w.now
	}
	return answer
}

// stop carries out a stop call.
func (e *endpoint) stop(c stopCall) runtable.Answer {
	answer := runtable.Answer{Verdict: e.check(c.life, c.fence), Clock: e.clock()}
	if answer.Verdict != runtable.Done {
		return answer
	}
	if _, runs := e.running[c.run]; runs {
		e.end(c.run, work.Stopped)
	}
	e.highest[c.run.Task] = max(e.highest[c.run.Task], c.run.Number)
	return answer
}

// hold carries out a hold call.
func (e *endpoint) hold(life int, q runtable.HoldRequest) runtable.Listing {
	l := runtable.Listing{Verdict: e.check(life, q.Fence), Clock: e.clock(), StartTimeMS: int64(e.life)}
	if l.Verdict != runtable.Done {
		return l
	}
	e.extend(q.Deadline)
	for len(e.ends) > 0 && e.ends[0].Number <= q.AckedUpTo {
		e.w.judge.noted(e, e.ends[0].Number)
		e.ends = e.ends[1:]
	}
	for _, r := range sortedRuns(e.running) {
		progress := int(e.w.now.Sub(e.running[r]) / tickInterval)
		l.Running = append(l.Running, placement.ListedRun{Run: r, Percent: min(progress, 99)})
	}
	l.Ends = append(l.Ends, e.ends...)
	return l
}

// runLate carries out the calls that were held up.
func (e *endpoint) runLate() {
	for _, c := range e.lateStarts {
		e.start(c)
	}
	for _, c := range e.lateStops {
		e.stop(c)
	}
	for _, q := range e.lateHolds {
		e.hold(e.life, q)
	}
	e.lateStarts, e.lateStops, e.lateHolds = nil, nil, nil
}

// judge checks the rules for what endpoints were told to do.
type judge struct {
	w    *world
	ends []judgedEnd
	// overBudget has, for each start after enough failures of which some were not taken note of
	// yet, the indexes of these failures in ends.
	overBudget [][]int
	broken     string
}

// judgedEnd is an end of a stored job that decides about further starts.
type judgedEnd struct {
	endpoint string
	life     int
	number   uint64
	run      work.Run
	reason   work.EndReason
	// noted is set once the end is taken note of, and void once it no longer counts: the lease has
	// lapsed, or the endpoint has restarted, before.
	noted, void bool
	// startedAfter is set once the task has started again after the end.
	startedAfter bool
}

func (j *judge) breakf(format string, args ...any) {
	if j.broken == "" {
		j.broken = fmt.Sprintf(format, args...)
		j.w.tracef("BROKEN: %s", j.broken)
	}
}

func (j *judge) started(e *endpoint, c startCall) {
	used := c.need
	for _, other := range j.w.endpoints {
		for r := range other.running {
			if r.Task == c.run.Task {
				j.breakf("TWICE: run %d of %s starts on %s while run %d goes on at %s", c.run.Number, c.run.Task.Job, e.name, r.Number, other.name)
			}
			if other == e {
				used = used.Plus(j.w.need(r.Task.Job))
			}
		}
	}
	if !used.Fits(j.w.scenario.capacity) {
		j.breakf("LIMIT: %s has %d of %d", e.name, used.CPU, j.w.scenario.capacity.CPU)
	}
	job := j.w.jobs[c.run.Task.Job]
	if job == nil {
		j.breakf("UNASKED: run %d of unknown job %s starts", c.run.Number, c.run.Task.Job)
		return
	}
	if job.spec.BestEffort {
		job.started = true
		if job.notRun {
			j.breakf("REFUSED: run %d of %s starts on %s after its caller was told that it has not run", c.run.Number, c.run.Task.Job, e.name)
		}
		return
	}
	var failures []int
	for i := range j.ends {
		end := &j.ends[i]
		if end.run.Task != c.run.Task || end.void {
			continue
		}
		if end.reason == work.Failed {
			failures = append(failures, i)
			continue
		}
		end.startedAfter = true
		if end.noted {
			j.breakf("TWICE: run %d of %s starts after run %d was done", c.run.Number, c.run.Task.Job, end.run.Number)
		}
	}
	if len(failures) >= maxAttempts {
		j.overBudget = append(j.overBudget, failures)
		j.checkBudget()
	}
}

// answered checks what the caller of a best-effort job is told.
func (j *judge) answered(job *jobState, outcome mesh.Outcome) {
	j.w.tracef("entry: the caller of %s gets outcome %d", job.spec.ID, outcome)
	job.notRun = outcome.NotRun()
	if job.notRun && job.started {
		j.breakf("REFUSED: the caller of %s is told that it has not run after a task has started", job.spec.ID)
	}
}

func (j *judge) checkBudget() {
	for _, failures := range j.overBudget {
		noted := 0
		for _, i := range failures {
			if j.ends[i].noted {
				noted++
			}
		}
		if noted >= maxAttempts {
			j.breakf("BUDGET: a task of %s starts after %d failures", j.ends[failures[0]].run.Task.Job, noted)
		}
	}
}

func (j *judge) ended(e *endpoint, r work.Run, reason work.EndReason, number uint64) {
	if job := j.w.jobs[r.Task.Job]; job == nil || job.spec.BestEffort || !reason.Durable() {
		return
	}
	j.ends = append(j.ends, judgedEnd{endpoint: e.name, life: e.life, number: number, run: r, reason: reason})
}

func (j *judge) noted(e *endpoint, number uint64) {
	for i := range j.ends {
		end := &j.ends[i]
		if end.endpoint != e.name || end.life != e.life || end.number != number || end.void {
			continue
		}
		end.noted = true
		if end.startedAfter {
			j.breakf("TWICE: %s started again after run %d was done on %s, which is taken note of now", end.run.Task.Job, end.run.Number, e.name)
		}
	}
	j.checkBudget()
}

// void records that the lease has lapsed: ends that were not taken note of never count.
func (j *judge) void(e *endpoint) {
	for i := range j.ends {
		if end := &j.ends[i]; end.endpoint == e.name && end.life == e.life && !end.noted {
			end.void = true
		}
	}
}

// lose records that the endpoint's life has ended.
func (j *judge) lose(e *endpoint) { j.void(e) }

// suspicious reports whether a rule is broken if an end is taken note of later.
func (j *judge) suspicious() bool {
	for i := range j.ends {
		if end := &j.ends[i]; end.startedAfter && !end.noted && !end.void {
			return true
		}
	}
	return len(j.overBudget) > 0
}
