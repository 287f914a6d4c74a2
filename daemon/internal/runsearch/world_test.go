package runsearch

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/cicadapulley/cicadapulley/api/mesh"
	"github.com/cicadapulley/cicadapulley/core/ledger"
	"github.com/cicadapulley/cicadapulley/core/runtable"
	"github.com/cicadapulley/cicadapulley/core/work"
	"github.com/cicadapulley/cicadapulley/daemon/events"
	"github.com/cicadapulley/cicadapulley/daemon/scheduler"
)

const (
	// agents is the number of agents, each with an endpoint.
	agents = 2
	// tickInterval is a step of time: the interval of renewals.
	tickInterval = 200 * time.Millisecond
	// waitTicks is the number of ticks of a wait, in which every lease expires.
	waitTicks = 7
	// leaderTimeout, clientTimeout and entryTimeout are the ticks without a message after which a
	// connection is closed by a client of the leader, by the leader, and by an entry or its agent.
	leaderTimeout = 2
	clientTimeout = 4
	entryTimeout  = 3
	// maxHold is the longest lease that endpoints grant.
	maxHold = time.Second
	// maxAttempts is the number of failures after which a stored job fails.
	maxAttempts = 2
	entryVM     = "entry"
)

// Sides of a link. A message from one side is received by the other.
const (
	schedulerSide = iota
	agentSide
)

// link is a connection between a scheduler and an agent. Messages of a direction that is cut wait,
// and arrive late if the connection lasts.
type link struct {
	// timeout is the number of ticks without a message after which each side closes the connection.
	timeout [2]int
	// cut has the directions, by the side that receives, in which nothing arrives.
	cut [2]bool
	// open has the sides that have not closed the connection.
	open [2]bool
	// quiet counts the ticks without a message, and queue has the messages, by the side that receives.
	quiet [2]int
	queue [2][]mesh.Message
}

// closed is received when the other side has closed the connection.
type closed struct{ mesh.Message }

func (l *link) send(from int, m mesh.Message) {
	if l.open[from] {
		l.queue[1-from] = append(l.queue[1-from], m)
	}
}

func (l *link) close(side int) {
	if !l.open[side] {
		return
	}
	l.send(side, closed{})
	l.open[side] = false
	l.queue[side] = nil
}

// isUp reports whether both directions work.
func (l *link) isUp() bool { return !l.cut[0] && !l.cut[1] }

// take returns the messages that arrive at a side.
func (l *link) take(side int) []mesh.Message {
	if l.cut[side] {
		return nil
	}
	arrived := l.queue[side]
	l.queue[side] = nil
	if !l.open[side] {
		return nil
	}
	return arrived
}

// peer handles what a scheduler receives from its agents.
type peer interface {
	connected(i int)
	lost(i int)
	receive(i int, m mesh.Message)
}

// jobState is a job that a caller has handed in, and what the caller knows of it.
type jobState struct {
	spec work.Job
	// accepted is set for a stored job that is recorded, and cancelling once the caller has asked to
	// cancel the job.
	accepted, cancelling bool
	// answered is set for a best-effort job whose latest request has its answer, and notRun if that
	// answer says that the job has not run. started is set once a task has started since that
	// request.
	answered, notRun, started bool
}

// scenario is what a search starts from.
type scenario struct {
	name        string
	slowPercent int
	capacity    work.Resources
	// storedTasks are the tasks of each stored job, and bestEffortTasks those of the best-effort job.
	storedTasks     []int
	bestEffortTasks int
	// short is set if the best-effort job has a short objective, so that it can be refused.
	short bool
	// submitted stored jobs run at the start, and prefix are events that have happened then.
	submitted int
	prefix    []kind
	// allowed are the faults that happen, none for all of them, and faults is how many.
	allowed []kind
	faults  int
	// cutDirections is 1 for cuts of both directions only, 3 for those of a single one too.
	cutDirections int
	// drains is set if the operator drains data centres.
	drains bool
	// limits bound how often each kind of event happens.
	limits map[kind]int
}

// world is one state of everything.
type world struct {
	scenario *scenario
	metrics  *scheduler.Metrics
	log      *events.Log
	now      time.Time
	ticks    int
	ledger   *ledger.Machine
	applied  uint64
	term     uint64
	// drains are the newest that control has committed, and formerDrains those before.
	drains, formerDrains work.DataCentreDrains
	leader               *leader
	entry                *entry
	agents               [agents]*agent
	endpoints            [agents]*endpoint
	// leaderLinks and entryLinks are the connections to the agents.
	leaderLinks, entryLinks [agents]*link
	jobs                    map[work.JobID]*jobState
	bestEffort              *jobState
	// noCommit keeps proposals from being committed in the next tick.
	noCommit bool
	judge    judge
	// counts has how often each kind of event has happened.
	counts [kinds]int
	trace  func(format string, args ...any)
}

var startOfTime = time.Unix(1_000_000, 0)

// tools are shared by the worlds of one goroutine.
type tools struct {
	metrics *scheduler.Metrics
	log     *events.Log
}

func newTools() *tools {
	return &tools{metrics: scheduler.NewMetrics(), log: events.NewLog("search", zap.NewNop(), events.NewClock())}
}

func newWorld(t *tools, s *scenario) *world {
	w := &world{scenario: s, metrics: t.metrics, log: t.log, now: startOfTime, ledger: ledger.New(), jobs: map[work.JobID]*jobState{}}
	w.judge.w = w
	for i := range agents {
		w.leaderLinks[i] = &link{timeout: [2]int{clientTimeout, leaderTimeout}}
		w.entryLinks[i] = &link{timeout: [2]int{entryTimeout, entryTimeout}}
		e := &endpoint{w: w, name: fmt.Sprintf("%dw", i+1)}
		e.restart()
		w.endpoints[i] = e
		w.agents[i] = &agent{w: w, vm: fmt.Sprintf("%da", i+1), endpoint: e, toLeader: w.leaderLinks[i], toEntry: w.entryLinks[i], records: runtable.NewRecords(), drains: runtable.NewDrains(fmt.Sprintf("%da", i+1))}
	}
	w.entry = &entry{w: w, up: true, lostAt: w.now}
	w.elect()
	for range 3 {
		w.tick()
	}
	for range s.submitted {
		w.apply(event{kind: submit})
	}
	w.tick()
	for _, k := range s.prefix {
		w.apply(event{kind: k})
	}
	w.counts = [kinds]int{}
	return w
}

func (w *world) tracef(format string, args ...any) {
	if w.trace != nil {
		w.trace(format, args...)
	}
}

// need returns what a task of a job needs.
func (w *world) need(id work.JobID) work.Resources {
	if j := w.jobs[id]; j != nil {
		return j.spec.Steps[0].Need
	}
	return work.Resources{}
}

// newJob returns a job whose tasks take long, so that nothing but an event ends them.
func newJob(id work.JobID, tasks int, bestEffort bool) work.Job {
	return work.Job{
		ID: id, Queue: "queue", Pool: "pool", MaxAttempts: maxAttempts, Stretch: 100, Target: time.Hour, BestEffort: bestEffort,
		Steps: []work.Step{{Tasks: tasks, Need: work.Resources{CPU: 1}, Estimate: time.Minute}},
	}
}

// newShortJob returns a best-effort job that is refused or given up within a few seconds. It is done
// in time if the leader is lost once, but not after a wait for the end of that leader's runs.
func newShortJob(id work.JobID, tasks int) work.Job {
	j := newJob(id, tasks, true)
	j.Stretch, j.Target = 1, 500*time.Millisecond
	j.Steps[0].Estimate = time.Second
	return j
}

// connect opens and closes the connections of a scheduler, nil for none, at the start of a tick.
// The side that dials opens a new one once its own has ended.
func (w *world) connect(s peer, links [agents]*link, dialer int, lost func(a *agent)) {
	for i, l := range links {
		for side := range l.quiet {
			switch {
			case !l.open[side]:
				continue
			case !l.cut[side]:
				l.quiet[side] = 0
				continue
			}
			if l.quiet[side]++; l.quiet[side] < l.timeout[side] {
				continue
			}
			l.close(side)
			w.closed(s, i, side, lost)
		}
		if s == nil || l.open[dialer] || !l.isUp() {
			continue
		}
		for side, open := range l.open {
			if open {
				l.open[side] = false
				w.closed(s, i, side, lost)
			}
		}
		*l = link{timeout: l.timeout, open: [2]bool{true, true}}
		s.connected(i)
	}
}

func (w *world) closed(s peer, i, side int, lost func(a *agent)) {
	if side == agentSide {
		lost(w.agents[i])
	} else if s != nil {
		s.lost(i)
	}
}

// deliver delivers the messages that have arrived, and those that follow from them at once.
func (w *world) deliver() {
	for busy := true; busy; {
		busy = false
		for i := range agents {
			busy = w.deliverTo(i, w.leaderLinks[i], w.leaderPeer(), (*agent).fromLeader, (*agent).lostLeader) || busy
			busy = w.deliverTo(i, w.entryLinks[i], w.placerPeer(), (*agent).fromEntry, (*agent).lostEntry) || busy
		}
	}
}

func (w *world) leaderPeer() peer {
	if w.leader == nil {
		return nil
	}
	return w.leader
}

func (w *world) placerPeer() peer {
	if w.entry.placer == nil {
		return nil
	}
	return w.entry.placer
}

func (w *world) deliverTo(i int, l *link, s peer, toAgent func(*agent, mesh.Message), lost func(*agent)) bool {
	busy := false
	for side := range l.queue {
		for _, m := range l.take(side) {
			busy = true
			_, end := m.(closed)
			switch {
			case !l.open[side]:
			case end:
				l.open[side] = false
				l.queue[side] = nil
				w.closed(s, i, side, lost)
			case side == agentSide:
				toAgent(w.agents[i], m)
			case s != nil:
				s.receive(i, m)
			}
		}
	}
	return busy
}

// tick lets time pass and exchanges what is exchanged in calm.
func (w *world) tick() {
	w.now = w.now.Add(tickInterval)
	w.ticks++
	for _, e := range w.endpoints {
		e.lapse()
	}
	w.entry.update()
	w.connect(w.leaderPeer(), w.leaderLinks, agentSide, (*agent).lostLeader)
	w.connect(w.placerPeer(), w.entryLinks, schedulerSide, (*agent).lostEntry)
	for _, a := range w.agents {
		a.heartbeat()
	}
	if w.leader != nil {
		w.leader.tick()
	}
	if p := w.entry.placer; p != nil {
		p.Tick(w.now)
	}
	const rounds = 2
	for range rounds {
		w.place()
		for _, a := range w.agents {
			a.begin()
			a.takeOffer()
			a.runStops()
			a.hold()
		}
		w.deliver()
		if w.leader != nil && !w.noCommit {
			w.leader.commit()
		}
	}
	for _, a := range w.agents {
		a.renew()
	}
	w.deliver()
	for _, a := range w.agents {
		a.timeOut()
	}
	w.place()
	w.noCommit = false
}

// place lets the schedulers assign tasks, and delivers the orders.
func (w *world) place() {
	if w.leader != nil {
		w.leader.place()
	}
	if w.entry.placer != nil {
		w.entry.submitLocally()
		w.entry.placer.place()
	}
	w.deliver()
}

// settle ends all disturbances and lets every run end, and then checks that every job has ended.
func (w *world) settle() {
	for i := range agents {
		w.leaderLinks[i].cut, w.entryLinks[i].cut = [2]bool{}, [2]bool{}
		w.endpoints[i].silent = false
		w.endpoints[i].nextStart, w.endpoints[i].nextStop = answered, answered
	}
	w.entry.up = true
	w.noCommit = false
	if w.leader == nil {
		w.elect()
	}
	if len(w.drains.DataCentres) > 0 {
		w.setDrains(nil)
	}
	const calmTicks = 100 // 20 s: longer than the longest suspension of an endpoint, twice
	for range calmTicks {
		for _, e := range w.endpoints {
			for _, r := range sortedRuns(e.running) {
				if w.now.Sub(e.running[r]) >= 2*tickInterval {
					e.end(r, work.Done)
				}
			}
		}
		w.tick()
		if w.judge.broken != "" {
			return
		}
	}
	w.checkEnded()
}

func (w *world) checkEnded() {
	for _, e := range w.endpoints {
		if len(e.running) > 0 {
			w.judge.breakf("PROGRESS: %d runs go on at %s", len(e.running), e.name)
		}
	}
	for _, id := range slices.Sorted(maps.Keys(w.jobs)) {
		j := w.jobs[id]
		if j.spec.BestEffort {
			if !j.answered {
				w.judge.breakf("PROGRESS: best-effort job %s gets no answer", id)
			}
			continue
		}
		r := w.ledger.Job(id)
		switch {
		case !j.accepted:
		case r == nil:
			w.judge.breakf("LOST: %s is not known", id)
		case !r.State.Final():
			w.judge.breakf("PROGRESS: %s has not ended", id)
		case r.State == work.JobFailed && w.judge.failures(id) < maxAttempts:
			w.judge.breakf("LOST: %s failed after %d failures", id, w.judge.failures(id))
		}
	}
}

// failures counts the failed runs of a job.
func (j *judge) failures(id work.JobID) (count int) {
	for _, e := range j.ends {
		if e.run.Task.Job == id && e.reason == work.Failed {
			count++
		}
	}
	return count
}

func sortedRuns[V any](runs map[work.Run]V) []work.Run {
	return slices.SortedFunc(maps.Keys(runs), func(a, b work.Run) int {
		return cmp.Or(cmp.Compare(a.Number, b.Number), cmp.Compare(a.Task.String(), b.Task.String()))
	})
}

func sortedOwners(reports runtable.Reports) []runtable.Owner {
	return slices.SortedFunc(maps.Keys(reports), func(a, b runtable.Owner) int {
		return cmp.Or(cmp.Compare(a.VM, b.VM), cmp.Compare(a.Period, b.Period))
	})
}
