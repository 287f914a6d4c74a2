package runsearch

import (
	"fmt"
	"maps"
	"os"
	"runtime"
	"runtime/debug"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cicadapulley/cicadapulley/core/work"
)

// node is a state that was reached, by its last event and the state before.
type node struct {
	parent int32
	event  event
}

// shards is the number of parts of the set of states, each with its own lock.
const shards = 256

type stateSet [shards]struct {
	mu    sync.Mutex
	known map[uint64]struct{}
}

// add adds a state. It returns false if it was known.
func (s *stateSet) add(hash uint64) bool {
	part := &s[hash%shards]
	part.mu.Lock()
	defer part.mu.Unlock()
	if part.known == nil {
		part.known = map[uint64]struct{}{}
	}
	if _, ok := part.known[hash]; ok {
		return false
	}
	part.known[hash] = struct{}{}
	return true
}

// search explores the states of a scenario, breadth first.
type search struct {
	scenario *scenario
	deadline time.Time
	maxDepth int
	// settleEvery is the share of states from which calm has to end every job: one in this many.
	settleEvery uint64
	nodes       []node
	states      stateSet
	settled     int
	depth       int
	transitions int
	complete    bool
	// broken is the index of the first state that breaks a rule, -1 if there is none.
	broken int
	rule   string
	// settledBreak is set if the rule breaks only in the calm that follows.
	settledBreak bool
}

// path returns the events that lead to a state.
func (s *search) path(at int) []event {
	var events []event
	for ; at > 0; at = int(s.nodes[at].parent) {
		events = append(events, s.nodes[at].event)
	}
	slices.Reverse(events)
	return events
}

// found is a state that a worker has reached.
type found struct {
	node
	rule    string
	settled bool
}

// run explores until a rule breaks, the time is up or there is no further state.
func (s *search) run() {
	s.nodes = []node{{}}
	s.broken = -1
	level := []int{0}
	for s.depth = 0; len(level) > 0 && s.depth < s.maxDepth; s.depth++ {
		next, complete := s.expand(level)
		if s.broken >= 0 || !complete {
			return
		}
		level = next
	}
	s.complete = true
}

// expand adds the states that follow from a level. It returns them, and false if the time
// was up before the end.
func (s *search) expand(level []int) (next []int, complete bool) {
	const batch = 64
	workers := max(runtime.GOMAXPROCS(0), 1)
	var mu sync.Mutex
	taken := 0
	late := false
	var results [][]found
	var group sync.WaitGroup
	for range workers {
		group.Go(func() {
			t := newTools()
			h := &hasher{visited: map[uintptr]int{}}
			var list []found
			transitions, settled := 0, 0
			for {
				mu.Lock()
				first := taken
				taken = min(taken+batch, len(level))
				last := taken
				late = late || time.Now().After(s.deadline)
				stop := late || s.broken >= 0
				mu.Unlock()
				if first == last || stop {
					break
				}
				for _, at := range level[first:last] {
					list = s.follow(t, h, at, list, &transitions, &settled)
				}
			}
			mu.Lock()
			defer mu.Unlock()
			results = append(results, list)
			s.transitions += transitions
			s.settled += settled
		})
	}
	group.Wait()
	for _, list := range results {
		for _, f := range list {
			s.nodes = append(s.nodes, f.node)
			next = append(next, len(s.nodes)-1)
			if f.rule != "" && s.broken < 0 {
				s.broken, s.rule, s.settledBreak = len(s.nodes)-1, f.rule, f.settled
			}
		}
	}
	return next, !late
}

// follow appends the new states that follow from one.
func (s *search) follow(t *tools, h *hasher, at int, list []found, transitions, settled *int) []found {
	path := s.path(at)
	var enabled []event
	for _, ev := range s.replay(t, path).enabled(enabled) {
		w := s.replay(t, path)
		w.apply(ev)
		*transitions++
		hash := w.stateHash(h)
		if !s.states.add(hash) {
			continue
		}
		f := found{node: node{parent: int32(at), event: ev}}
		if w.judge.broken == "" && (w.judge.suspicious() || hash%s.settleEvery == 0) {
			*settled++
			f.settled = true
			w.settle()
		}
		f.rule = w.judge.broken
		list = append(list, f)
	}
	return list
}

func (s *search) replay(t *tools, path []event) *world {
	w := newWorld(t, s.scenario)
	for _, ev := range path {
		w.apply(ev)
	}
	return w
}

// table describes the events that lead to the broken state, one line an event, each with what followed.
func (s *search) table() string {
	var b strings.Builder
	w := newWorld(newTools(), s.scenario)
	w.trace = func(format string, args ...any) { fmt.Fprintf(&b, "%42s| "+format+"\n", append([]any{""}, args...)...) }
	for n, ev := range s.path(s.broken) {
		fmt.Fprintf(&b, "%3d %6d ms  %s\n", n+1, w.now.Sub(startOfTime).Milliseconds(), ev)
		w.apply(ev)
	}
	if s.settledBreak {
		b.WriteString("    then all is calm and every run ends done\n")
		w.settle()
	}
	return b.String()
}

// scenarios are what the search starts from. Each has the faults that act on each other, so that
// it gets deeper than one with all of them.
func scenarios() []*scenario {
	one, two := work.Resources{CPU: 1}, work.Resources{CPU: 2}
	return []*scenario{
		{
			name: "late calls", capacity: two, storedTasks: []int{1}, faults: 3,
			allowed: []kind{startLate, startUnanswered, overtakenHold, lateHold, stopLate, stopUnanswered},
		},
		{
			name: "cuts", slowPercent: 2, capacity: two, storedTasks: []int{1}, submitted: 1, bestEffortTasks: 1, faults: 3, cutDirections: 1,
			allowed: []kind{cutLeader, cutEntry, cutControl},
		},
		{
			name: "cuts of one direction", slowPercent: 2, capacity: two, storedTasks: []int{1}, submitted: 1, faults: 2, cutDirections: 3,
			allowed: []kind{cutLeader, replaceLeader},
		},
		{
			name: "failures and new leaders", capacity: two, storedTasks: []int{1}, submitted: 1, faults: 3, cutDirections: 1,
			allowed: []kind{replaceLeader, keepUncommitted, cutLeader}, limits: map[kind]int{done: 0, cancel: 0, wait: 1, cutLeader: 1},
		},
		{
			name: "new leaders and agents", capacity: two, storedTasks: []int{1}, submitted: 1, faults: 3, cutDirections: 1,
			allowed: []kind{loseLeader, keepUncommitted, cutLeader, restartAgent},
		},
		{
			name: "best-effort jobs", slowPercent: 2, capacity: two, bestEffortTasks: 1, faults: 3, cutDirections: 1,
			allowed: []kind{loseLeader, cutLeader, cutEntry, cutControl, restartAgent},
		},
		{
			name: "the next leader takes over", slowPercent: 2, capacity: two, bestEffortTasks: 1, faults: 3, cutDirections: 1,
			prefix:  []kind{submitBestEffort, loseLeader, tick, tick},
			allowed: []kind{cutLeader, cutEntry, cutControl},
			limits:  map[kind]int{done: 0, failed: 0, wait: 0, healLeader: 0, healEntry: 0, healControl: 0, cutLeader: 1, cutEntry: 1},
		},
		{
			name: "a leader without the entry", slowPercent: 2, capacity: two, bestEffortTasks: 1, faults: 3, cutDirections: 1,
			prefix:  []kind{submitBestEffort, tick},
			allowed: []kind{cutLeader, cutControl, replaceLeader, loseLeader},
			limits:  map[kind]int{done: 0, failed: 0, wait: 0, healLeader: 0, healEntry: 0, healControl: 0, cutLeader: 1},
		},
		{
			name: "sessions that overtake each other", capacity: two, storedTasks: []int{2}, faults: 4, cutDirections: 1,
			allowed: []kind{cutLeader, keepUncommitted, restartAgent},
			limits:  map[kind]int{done: 0, failed: 0, cancel: 0, cutLeader: 1, keepUncommitted: 2},
		},
		{
			name: "endpoints that fail", capacity: two, storedTasks: []int{1}, submitted: 1, bestEffortTasks: 1, faults: 3, cutDirections: 1,
			allowed: []kind{silence, restartEndpoint, restartAgent, replaceLeader, startLate},
		},
		{
			name: "full endpoints", capacity: one, storedTasks: []int{2, 1}, submitted: 1, faults: 2, cutDirections: 1,
			allowed: []kind{startLate, stopLate, overtakenHold, cutLeader, replaceLeader},
		},
		{
			name: "drains", capacity: one, storedTasks: []int{1}, submitted: 1, faults: 2, cutDirections: 1, drains: true,
			allowed: []kind{cutLeader, replaceLeader, restartAgent},
			limits:  map[kind]int{wait: 1, done: 0, failed: 1, cancel: 0, drain: 2, withdraw: 2, agentDrains: 2, entryDrains: 0, cutLeader: 1},
		},
		{
			name: "drains without a leader", capacity: one, bestEffortTasks: 1, faults: 2, cutDirections: 1, drains: true,
			prefix:  []kind{cutControl, tick, tick},
			allowed: []kind{loseLeader, cutEntry, restartAgent},
			limits:  map[kind]int{wait: 1, done: 0, failed: 1, healControl: 0, elect: 0, drain: 2, withdraw: 1, agentDrains: 2, entryDrains: 2, cutEntry: 1},
		},
		{
			name: "refusals for want of room", slowPercent: 2, capacity: one, storedTasks: []int{3}, bestEffortTasks: 1, short: true, faults: 3, cutDirections: 1,
			prefix:  []kind{submitBestEffort, tick, submit, tick},
			allowed: []kind{cutControl, cutLeader, loseLeader, replaceLeader},
			limits:  map[kind]int{wait: 3, done: 1, failed: 0, cancel: 0, cutLeader: 1},
		},
		{
			name: "refusals for drains", slowPercent: 2, capacity: two, bestEffortTasks: 1, short: true, faults: 3, cutDirections: 1, drains: true,
			prefix:  []kind{submitBestEffort},
			allowed: []kind{cutControl, cutLeader, loseLeader, restartAgent},
			limits:  map[kind]int{wait: 3, done: 0, failed: 1, drain: 2, withdraw: 1, agentDrains: 0, entryDrains: 1, cutLeader: 1},
		},
		{
			name: "short objectives", slowPercent: 2, capacity: two, bestEffortTasks: 1, short: true, faults: 3, cutDirections: 1,
			allowed: []kind{loseLeader, cutControl, cutEntry, cutLeader, startLate},
			limits:  map[kind]int{wait: 3, failed: 1},
		},
		{
			name: "given up without a leader", slowPercent: 2, capacity: one, bestEffortTasks: 1, short: true, faults: 3, cutDirections: 3,
			prefix:  []kind{loseLeader, wait},
			allowed: []kind{cutEntry, startUnanswered},
			limits:  map[kind]int{wait: 3, done: 0, failed: 1, elect: 0, cutEntry: 2},
		},
		{name: "everything", slowPercent: 2, capacity: two, storedTasks: []int{1}, submitted: 1, bestEffortTasks: 1, faults: 4, cutDirections: 3},
	}
}

// commonLimits bound the events that only repeat what one or two of them do.
var commonLimits = map[kind]int{
	wait: 2, submit: 2, resubmit: 1, cancel: 1, done: 2, failed: 2, loseLeader: 1, replaceLeader: 1, restartAgent: 1, restartEndpoint: 1, keepUncommitted: 1, silence: 1,
	startUnanswered: 1, startLate: 1, stopUnanswered: 1, stopLate: 1, overtakenHold: 1, lateHold: 1, cutControl: 1,
}

func setting(name string, otherwise int) int {
	if n, err := strconv.Atoi(os.Getenv(name)); err == nil {
		return n
	}
	return otherwise
}

// TestNoOrderOfEventsBreaksARule guards against every fault that an order of messages, losses, late
// calls, cuts and restarts can show up to the depth reached: a task that runs twice, too often, unasked
// or over an endpoint's capacity, a caller who is told that a job has not run whose task starts, and a job
// that never ends. Without MODEL_SECONDS it looks three events deep only, since other tests run beside it;
// make model sets it.
func TestNoOrderOfEventsBreaksARule(t *testing.T) {
	seconds := setting("MODEL_SECONDS", 0)
	maxDepth := setting("MODEL_DEPTH", 100)
	if seconds == 0 {
		seconds, maxDepth = 60, 3
	}
	only := os.Getenv("MODEL_SCENARIO")
	list := scenarios()
	if only != "" {
		list = slices.DeleteFunc(list, func(s *scenario) bool { return s.name != only })
	}
	for _, sc := range list {
		limits := maps.Clone(commonLimits)
		maps.Copy(limits, sc.limits)
		sc.limits = limits
		for k := range kinds {
			if k.isFault() && len(sc.allowed) > 0 && !slices.Contains(sc.allowed, k) {
				sc.limits[k] = 0
			}
		}
		sc.faults = setting("MODEL_FAULTS", sc.faults)
		t.Run(sc.name, func(t *testing.T) {
			began := time.Now()
			debug.SetGCPercent(400) // the states need little memory, the worlds on the way to them much
			s := &search{
				scenario: sc, maxDepth: maxDepth, settleEvery: uint64(setting("MODEL_SETTLE", 64)),
				deadline: began.Add(time.Duration(seconds) * time.Second / time.Duration(len(list))),
			}
			s.run()
			t.Logf("%s: %d states, %d transitions, %d settled, %d levels whole, %.1f s", sc.name, len(s.nodes), s.transitions, s.settled, s.depth, time.Since(began).Seconds())
			if s.broken >= 0 {
				t.Fatalf("%s, after %d events:\n%s", s.rule, len(s.path(s.broken)), s.table())
			}
		})
	}
}

// TestKnownTraces guards against the faults that the search finds when their mends are taken out.
func TestKnownTraces(t *testing.T) {
	for name, trace := range map[string]struct {
		scenario string
		events   []event
	}{
		"an end that no leader recorded stays valid (review/7)": {"cuts", []event{
			{kind: submitBestEffort}, {kind: cutControl}, {kind: done}, {kind: cutLeader}, {kind: wait},
		}},
		"an overtaken listing ends a run (review/8)": {"late calls", []event{
			{kind: submit}, {kind: startLate}, {kind: tick}, {kind: overtakenHold}, {kind: runLate}, {kind: wait},
		}},
		"a held job starts a task with unknown failures (review/4)": {"failures and new leaders", []event{
			{kind: keepUncommitted}, {kind: failed}, {kind: tick}, {kind: replaceLeader}, {kind: tick}, {kind: cutLeader}, {kind: tick},
			{kind: failed, agent: 1}, {kind: tick},
		}},
		"a former session joins after the present one": {"sessions that overtake each other", []event{
			{kind: cutLeader}, {kind: wait}, {kind: healLeader}, {kind: keepUncommitted}, {kind: tick}, {kind: restartAgent}, {kind: keepUncommitted},
			{kind: tick}, {kind: submit}, {kind: tick}, {kind: tick},
		}},
		"a job whose runs have ended is refused as one that never ran (review/13)": {"refusals for want of room", []event{
			{kind: cutControl}, {kind: wait}, {kind: wait}, {kind: tick}, {kind: healControl}, {kind: tick}, {kind: tick},
		}},
		"a job whose start was not confirmed is given up as one that never ran": {"given up without a leader", []event{
			{kind: submitBestEffort}, {kind: cutEntry, detail: 2}, {kind: cutEntry, agent: 1}, {kind: wait}, {kind: wait}, {kind: wait},
		}},
		"a refusal for a drain lasts for the session": {"drains", []event{
			{kind: drain}, {kind: drain, agent: 1}, {kind: agentDrains}, {kind: agentDrains, agent: 1}, {kind: failed}, {kind: keepUncommitted},
			{kind: tick}, {kind: tick}, {kind: withdraw}, {kind: withdraw, agent: 1}, {kind: tick},
		}},
		"a run outlasts what its entry assumes after a takeover": {"the next leader takes over", []event{
			{kind: cutEntry}, {kind: tick}, {kind: tick}, {kind: tick}, {kind: tick}, {kind: elect}, {kind: cutLeader, agent: 1}, {kind: cutControl},
			{kind: tick}, {kind: tick}, {kind: tick}, {kind: tick}, {kind: tick},
		}},
	} {
		t.Run(name, func(t *testing.T) {
			list := scenarios()
			sc := list[slices.IndexFunc(list, func(s *scenario) bool { return s.name == trace.scenario })]
			w := newWorld(newTools(), sc)
			for n, ev := range trace.events {
				w.apply(ev)
				assert.Equal(t, w.judge.broken, "", "after event %d: %s", n+1, ev)
			}
			w.settle()
			assert.Equal(t, w.judge.broken, "", "in the calm afterwards")
		})
	}
}

// TestLeaderLostAfterEntry guards against a best-effort task that runs twice at the same time: the
// leader is lost after the entry has lost contact with it and before it would have abandoned the entry's
// job, so that its runs last for longer than the entry, which counts from its own loss, takes them to.
func TestLeaderLostAfterEntry(t *testing.T) {
	list := scenarios()
	w := newWorld(newTools(), list[slices.IndexFunc(list, func(s *scenario) bool { return s.name == "best-effort jobs" })])
	for _, ev := range []event{
		{kind: submitBestEffort}, {kind: tick}, {kind: cutControl}, {kind: tick}, {kind: tick}, {kind: tick}, {kind: cutEntry}, {kind: loseLeader}, {kind: wait},
	} {
		w.apply(ev)
		assert.Equal(t, w.judge.broken, "", "after %s", ev)
	}
}

// TestReplaysAreEqual guards against a search that loses its way: the same events must lead to the
// same state each time, so nothing may depend on the order of a map.
func TestReplaysAreEqual(t *testing.T) {
	for _, sc := range scenarios() {
		sc.limits = commonLimits
		s := &search{scenario: sc}
		h := &hasher{visited: map[uintptr]int{}}
		tools := newTools()
		var path []event
		for n := range 60 {
			w := s.replay(tools, path)
			hash := w.stateHash(h)
			assert.Equal(t, s.replay(tools, path).stateHash(h), hash, "%s: %v", sc.name, path)
			enabled := w.enabled(nil)
			path = append(path, enabled[n*7919%len(enabled)])
			if n%12 == 11 {
				path = nil
			}
		}
	}
}
