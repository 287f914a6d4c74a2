package runsearch

import (
	"fmt"

	"github.com/cicadapulley/cicadapulley/core/ledger"
	"github.com/cicadapulley/cicadapulley/core/work"
)

// kind is a kind of event.
type kind uint8

// Events. Those from cutLeader on are faults.
const (
	// tick lets 0.2 s pass, and wait 1.4 s.
	tick kind = iota
	wait
	submit
	submitBestEffort
	// resubmit lets the caller of a refused job return.
	resubmit
	cancel
	// done and failed end a run.
	done
	failed
	// heal ends the cuts of a link.
	healLeader
	healEntry
	healControl
	elect
	// runLate carries out the calls to an endpoint that were held up.
	runLate
	answer
	// drain and withdraw change the drains of data centres. A control VM that doesn't lead
	// sends them with agentDrains and entryDrains.
	drain
	withdraw
	agentDrains
	entryDrains
	cutLeader
	cutEntry
	// cutControl cuts the entry off from the leader.
	cutControl
	loseLeader
	// replaceLeader loses the leader and elects the next at once.
	replaceLeader
	// keepUncommitted keeps what is proposed in the next tick from being committed.
	keepUncommitted
	restartAgent
	restartEndpoint
	// silence lets an endpoint answer no calls.
	silence
	// startUnanswered, startLate, stopUnanswered and stopLate are the fate of the next call.
	startUnanswered
	startLate
	stopUnanswered
	stopLate
	// overtakenHold is a hold that is carried out now and answered after the holds of the next tick.
	overtakenHold
	// lateHold is a hold that gets no answer and may be carried out later.
	lateHold
	kinds
)

var kindNames = [kinds]string{
	"0.2 s pass", "1.4 s pass", "a stored job is submitted", "a best-effort job is submitted", "the refused caller returns", "a stored job is cancelled", "a run ends done", "a run ends failed",
	"leader and agent are in contact again", "entry and agent are in contact again", "leader and entry are in contact again", "a leader is elected",
	"held up calls are carried out", "the endpoint answers again",
	"its data centre is drained", "the drain of its data centre is withdrawn", "another control VM sends the agent drains", "another control VM sends the entry drains",
	"leader and agent are cut", "entry and agent are cut", "leader and entry are cut", "the leader is lost", "another leader is elected",
	"what is proposed is not committed for 0.2 s", "the agent restarts", "the endpoint restarts", "the endpoint answers nothing",
	"the next start is carried out without an answer", "the next start is held up", "the next stop is carried out without an answer", "the next stop is held up",
	"a hold is carried out, and newer answers overtake its own", "a hold is held up",
}

func (k kind) isFault() bool { return k >= cutLeader }

// event is one event. agent is the index of the agent that it concerns, and detail tells apart the
// events of one kind at it.
type event struct {
	kind          kind
	agent, detail uint8
}

func (e event) String() string {
	text := kindNames[e.kind]
	switch e.kind {
	case tick, wait, submit, submitBestEffort, resubmit, healControl, elect, cutControl, loseLeader, replaceLeader, keepUncommitted:
		return text
	case agentDrains, entryDrains:
		return fmt.Sprintf("%d: %s, %s", e.agent+1, text, [...]string{"the newest", "older ones"}[e.detail])
	case cancel:
		return fmt.Sprintf("%s (%d)", text, e.detail)
	case cutLeader, cutEntry:
		return fmt.Sprintf("%d: %s, %s", e.agent+1, text, [...]string{"both ways", "to the agent", "from the agent"}[e.detail])
	case done, failed:
		return fmt.Sprintf("%d: %s (%d)", e.agent+1, text, e.detail)
	}
	return fmt.Sprintf("%d: %s", e.agent+1, text)
}

// enabled returns the events that may follow.
func (w *world) enabled(list []event) []event {
	faults := 0
	for k, n := range w.counts {
		if kind(k).isFault() {
			faults += n
		}
	}
	add := func(possible bool, k kind, agent, detail int) {
		limit, limited := w.scenario.limits[k]
		if possible && (!limited || w.counts[k] < limit) && (!k.isFault() || faults < w.scenario.faults) {
			list = append(list, event{k, uint8(agent), uint8(detail)})
		}
	}
	add(true, tick, 0, 0)
	add(true, wait, 0, 0)
	stored := len(w.storedJobs())
	add(w.leader != nil && stored < len(w.scenario.storedTasks), submit, 0, 0)
	add(w.bestEffort == nil && w.scenario.bestEffortTasks > 0, submitBestEffort, 0, 0)
	add(w.bestEffort != nil && w.bestEffort.answered && w.bestEffort.notRun, resubmit, 0, 0)
	for i, id := range w.storedJobs() {
		add(w.leader != nil && w.jobs[id].accepted && !w.jobs[id].cancelling, cancel, 0, i)
	}
	add(!w.entry.up, healControl, 0, 0)
	add(w.entry.up, cutControl, 0, 0)
	add(w.leader == nil, elect, 0, 0)
	add(w.leader != nil, loseLeader, 0, 0)
	add(w.leader != nil, replaceLeader, 0, 0)
	add(w.leader != nil && !w.noCommit, keepUncommitted, 0, 0)
	for detail := range w.sentDrainsCount() {
		add(true, entryDrains, 0, detail)
	}
	for i, a := range w.agents {
		e := w.endpoints[i]
		drained := w.drains.Contains(a.vm)
		add(w.scenario.drains && w.leader != nil && !drained, drain, i, 0)
		add(w.leader != nil && drained, withdraw, i, 0)
		for detail := range w.sentDrainsCount() {
			add(true, agentDrains, i, detail)
		}
		for n := range len(e.running) {
			add(true, done, i, n)
			add(true, failed, i, n)
		}
		add(!w.leaderLinks[i].isUp(), healLeader, i, 0)
		add(!w.entryLinks[i].isUp(), healEntry, i, 0)
		for direction := range directions[:w.scenario.cutDirections] {
			add(w.leaderLinks[i].isUp(), cutLeader, i, direction)
			add(w.entryLinks[i].isUp() && w.entry.placer != nil, cutEntry, i, direction)
		}
		add(len(e.lateStarts)+len(e.lateStops)+len(e.lateHolds) > 0, runLate, i, 0)
		add(e.silent, answer, i, 0)
		add(!e.silent, silence, i, 0)
		add(true, restartAgent, i, 0)
		add(true, restartEndpoint, i, 0)
		add(e.nextStart == answered, startUnanswered, i, 0)
		add(e.nextStart == answered, startLate, i, 0)
		add(e.nextStop == answered, stopUnanswered, i, 0)
		add(e.nextStop == answered, stopLate, i, 0)
		add(a.table != nil && !e.silent, overtakenHold, i, 0)
		add(a.table != nil && !e.silent, lateHold, i, 0)
	}
	return list
}

// storedJobs returns the stored jobs in the order of their submission.
func (w *world) storedJobs() []work.JobID {
	var list []work.JobID
	for n := range w.scenario.storedTasks {
		if id := storedID(n); w.jobs[id] != nil {
			list = append(list, id)
		}
	}
	return list
}

func storedID(n int) work.JobID { return work.JobID(fmt.Sprintf("stored-%d", n)) }

// apply lets an event happen.
func (w *world) apply(ev event) {
	w.counts[ev.kind]++
	a, e := w.agents[ev.agent], w.endpoints[ev.agent]
	switch ev.kind {
	case tick:
		w.tick()
	case wait:
		for range waitTicks {
			w.tick()
		}
	case submit:
		n := len(w.storedJobs())
		j := &jobState{spec: newJob(storedID(n), w.scenario.storedTasks[n], false)}
		w.jobs[j.spec.ID] = j
		spec := j.spec
		w.leader.proposals = append(w.leader.proposals, proposal{command: ledger.Command{Accept: &spec}})
	case submitBestEffort:
		j := &jobState{spec: newJob("best-effort", w.scenario.bestEffortTasks, true)}
		if w.scenario.short {
			j.spec = newShortJob("best-effort", w.scenario.bestEffortTasks)
		}
		w.jobs[j.spec.ID] = j
		w.bestEffort = j
		w.entry.accept(j)
	case resubmit:
		w.entry.accept(w.bestEffort)
	case cancel:
		id := w.storedJobs()[ev.detail]
		w.jobs[id].cancelling = true
		w.leader.proposals = append(w.leader.proposals, proposal{command: ledger.Command{Cancel: id}})
	case done, failed:
		reason := work.Done
		if ev.kind == failed {
			reason = work.Failed
		}
		e.end(sortedRuns(e.running)[ev.detail], reason)
	case healLeader:
		w.leaderLinks[ev.agent].cut = [2]bool{}
	case healEntry:
		w.entryLinks[ev.agent].cut = [2]bool{}
	case healControl:
		w.entry.up = true
	case elect:
		w.elect()
	case runLate:
		e.runLate()
	case answer:
		e.silent = false
	case drain:
		w.drain(a.vm)
	case withdraw:
		w.withdraw(a.vm)
	case agentDrains:
		a.receiveDrains(w.sentDrains(ev.detail))
	case entryDrains:
		w.entry.receiveDrains(w.sentDrains(ev.detail))
	case cutLeader:
		w.leaderLinks[ev.agent].cut = directions[ev.detail]
	case cutEntry:
		w.entryLinks[ev.agent].cut = directions[ev.detail]
	case cutControl:
		w.entry.up = false
	case loseLeader:
		w.loseLeader()
	case replaceLeader:
		w.loseLeader()
		w.elect()
	case keepUncommitted:
		w.noCommit = true
	case restartAgent:
		a.restart()
	case restartEndpoint:
		e.restart()
	case silence:
		e.silent = true
	case startUnanswered:
		e.nextStart = unanswered
	case startLate:
		e.nextStart = late
	case stopUnanswered:
		e.nextStop = unanswered
	case stopLate:
		e.nextStop = late
	case overtakenHold:
		number, q := a.table.NextHold(w.now)
		a.delayed = append(a.delayed, delayedListing{fence: a.tableFence, number: number, listing: e.hold(int(a.session.StartTimeMS), q)})
	case lateHold:
		_, q := a.table.NextHold(w.now)
		e.lateHolds = append(e.lateHolds, q)
		a.missHold()
	}
}

// directions are the receiving sides that a cut affects.
var directions = [...][2]bool{{true, true}, {false, true}, {true, false}}
