package harness

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"github.com/cicadapulley/cicadapulley/daemon/dev/standin"
)

// faultInjector injects faults, several at a time.
type faultInjector struct {
	s       *soak
	r       *rand.Rand
	running sync.WaitGroup
	count   int

	mu sync.Mutex
	// busy holds the processes that a fault is stopping and restarting.
	busy map[string]bool
	// cuts counts the overlapping cuts of each pair of hosts.
	cuts         map[[2]string]int
	repairing    bool
	lines        []string
	drainWindows []drainWindow
	drained      map[string]bool
	bulkFaults   int
	// longIsolationDone is set after the only long isolation of a control VM.
	longIsolationDone bool
}

// maxBulkFaults limits the tickets of a run to the 1000 that the control VMs keep in
// their history, so that checkFinal finds all of them.
const maxBulkFaults = 2

// drainWindow is a period in which an endpoint may get no new work.
type drainWindow struct {
	endpoint string
	from, to time.Time
	reason   string
}

func newFaultInjector(s *soak) *faultInjector {
	return &faultInjector{
		s: s, r: s.newRand("faults", 0),
		busy: map[string]bool{}, cuts: map[[2]string]int{}, drained: map[string]bool{},
	}
}

func (f *faultInjector) record(format string, args ...any) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.count++
	f.lines = append(f.lines, time.Now().UTC().Format("  04:05.000 ")+fmt.Sprintf(format, args...))
}

func (f *faultInjector) history() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return strings.Join(f.lines, "\n")
}

// injectFor starts faults for d. Each of them ends by itself later.
func (f *faultInjector) injectFor(d time.Duration) {
	end := time.Now().Add(d)
	for time.Now().Before(end) {
		f.injectOne(rand.New(rand.NewPCG(f.r.Uint64(), 1)))
		time.Sleep(time.Duration(100+f.r.IntN(2400)) * time.Millisecond)
	}
}

// injectOne starts one fault, or two at once.
func (f *faultInjector) injectOne(r *rand.Rand) {
	list := []func(*rand.Rand){
		f.kill, f.kill, f.kill, f.stop, f.isolate, f.isolateLong, f.cutTwo, f.cutTwo, f.silenceConnections, f.silenceConnections,
		f.degradeEndpoint, f.degradeEndpoint, f.loseDisks, f.cancelJobs, f.cancelJobs, f.conflictingTickets, f.conflictingTickets, f.conflictingTickets, f.missTickets, f.drainEndpoint,
	}
	for range 1 + r.IntN(2) {
		fault := list[r.IntN(len(list))]
		own := rand.New(rand.NewPCG(r.Uint64(), 2))
		f.running.Go(func() { fault(own) })
	}
}

// wait blocks until all faults have ended and are repaired.
func (f *faultInjector) wait() { f.running.Wait() }

// claim reserves a process for one fault. It returns false if it is reserved already.
func (f *faultInjector) claim(id string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.busy[id] {
		return false
	}
	f.busy[id] = true
	return true
}

func (f *faultInjector) release(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.busy, id)
}

func (f *faultInjector) isRepairing() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.repairing
}

// isCut reports whether a process is cut off from any host.
func (f *faultInjector) isCut(id string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for pair := range f.cuts {
		if pair[0] == id || pair[1] == id {
			return true
		}
	}
	return false
}

func (f *faultInjector) anyProcess(r *rand.Rand) string {
	n := r.IntN(soakSize.Controls + soakSize.Entries + soakSize.Agents)
	switch {
	case n < soakSize.Controls:
		return ControlID(n)
	case n < soakSize.Controls+soakSize.Entries:
		return EntryID(n - soakSize.Controls)
	}
	return AgentID(n - soakSize.Controls - soakSize.Entries)
}

func between(r *rand.Rand, low, high time.Duration) time.Duration {
	return low + time.Duration(r.Int64N(int64(high-low)))
}

// kill kills a process and starts it again.
func (f *faultInjector) kill(r *rand.Rand) {
	id := f.anyProcess(r)
	if !f.claim(id) {
		return
	}
	defer f.release(id)
	f.record("kill %s", id)
	p := f.s.cluster.Process(id)
	p.Kill()
	if p.role == roleControl {
		p.PowerLoss(r)
	}
	time.Sleep(between(r, time.Millisecond, 7*time.Second))
	f.start(p)
}

func (f *faultInjector) start(p *Process) {
	f.record("start %s", p.ID)
	if err := p.Start(); err != nil {
		f.s.checker.AddViolation("process", "%s does not start: %v", p.ID, err)
	}
}

// stop makes a planned stop of a process and starts it again.
func (f *faultInjector) stop(r *rand.Rand) {
	id := f.anyProcess(r)
	if !f.claim(id) {
		return
	}
	defer f.release(id)
	f.record("stop %s", id)
	p := f.s.cluster.Process(id)
	began := time.Now()
	incarnation := p.Stop()
	<-incarnation.ended
	if p.role == roleAgent {
		f.addDrainWindow(drainWindow{id, began.Add(drainBound), time.Now(), "planned stop"})
	}
	f.record("stopped %s", id)
	p.Clear()
	time.Sleep(between(r, time.Millisecond, 3*time.Second))
	f.start(p)
}

func (f *faultInjector) addDrainWindow(w drainWindow) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.drainWindows = append(f.drainWindows, w)
}

// checkDrainWindows checks the time limit of I6.
func (f *faultInjector) checkDrainWindows() {
	for _, start := range f.s.cluster.Starts.All() {
		for _, w := range f.drainWindows {
			if start.Endpoint == w.endpoint && start.At.After(w.from) && start.At.Before(w.to) {
				f.s.checker.AddViolation("I6", "%s started task %d of %s %s after the bound (%s)",
					w.endpoint, start.Key.Task, start.Key.Job, start.At.Sub(w.from), w.reason)
			}
		}
	}
}

func pairOf(a, b string) [2]string {
	if a > b {
		a, b = b, a
	}
	return [2]string{a, b}
}

// cut cuts a host off from others for d. Cuts may overlap.
func (f *faultInjector) cut(a string, others []string, d time.Duration) {
	f.changeCuts(a, others, 1)
	time.Sleep(d)
	f.changeCuts(a, others, -1)
}

func (f *faultInjector) changeCuts(a string, others []string, change int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, b := range others {
		pair := pairOf(a, b)
		f.cuts[pair] += change
		if f.cuts[pair] == 0 {
			delete(f.cuts, pair)
			f.s.cluster.Heal(a, b)
		} else {
			f.s.cluster.Cut(a, b)
		}
		f.recordDisruption(a)
		f.recordDisruption(b)
	}
}

func (f *faultInjector) recordDisruption(id string) {
	if p := f.s.cluster.Process(id); p != nil {
		p.RecordDisruption()
	}
}

// isolate cuts a process off from all other processes and callers.
func (f *faultInjector) isolate(r *rand.Rand) {
	id := f.anyProcess(r)
	d := between(r, 100*time.Millisecond, 9*time.Second)
	f.record("isolate %s for %s", id, d)
	f.cut(id, f.otherHosts(id), d)
	f.record("reconnected %s", id)
}

// otherHosts returns all processes and callers except one. Hosts of operators, which
// exist for a short time only, are not cut off.
func (f *faultInjector) otherHosts(except string) []string {
	var list []string
	for _, h := range f.s.cluster.otherHosts(except) {
		if !strings.HasPrefix(h, "operator") && !strings.HasPrefix(h, "bulk") && h != "drainer" {
			list = append(list, h)
		}
	}
	return list
}

// isolateLong isolates a control VM for longer than isolate, once in a run.
func (f *faultInjector) isolateLong(r *rand.Rand) {
	f.mu.Lock()
	taken := f.longIsolationDone
	f.longIsolationDone = true
	f.mu.Unlock()
	if taken {
		return
	}
	id := ControlID(r.IntN(soakSize.Controls))
	d := between(r, 10*time.Second, 20*time.Second)
	f.record("isolate %s for a long time, %s", id, d)
	f.cut(id, f.otherHosts(id), d)
	f.record("long isolation of %s ended", id)
}

// cutTwo cuts two processes off from each other.
func (f *faultInjector) cutTwo(r *rand.Rand) {
	a, b := f.anyProcess(r), f.anyProcess(r)
	if a == b {
		return
	}
	d := between(r, 50*time.Millisecond, 8*time.Second)
	f.record("cut %s and %s for %s", a, b, d)
	f.cut(a, []string{b}, d)
}

// silenceConnections drops the traffic of open connections while new ones work.
func (f *faultInjector) silenceConnections(r *rand.Rand) {
	a := f.anyProcess(r)
	targets := []string{f.anyProcess(r)}
	if r.IntN(3) == 0 {
		targets = f.otherHosts(a)
	}
	f.record("silence connections of %s with %v", a, targets)
	for _, b := range targets {
		if a == b {
			continue
		}
		f.s.cluster.Silence(a, b)
		f.recordDisruption(a)
		f.recordDisruption(b)
	}
}

// degradeEndpoint makes an endpoint fail all requests, hang, or run slowly.
func (f *faultInjector) degradeEndpoint(r *rand.Rand) {
	e := f.s.cluster.Endpoints[AgentID(r.IntN(soakSize.Agents))]
	b := []standin.Behaviour{
		{Mode: standin.Fail, Speed: 1}, {Mode: standin.Silent, Speed: 1}, {Mode: standin.Normal, Speed: 0.1},
	}[r.IntN(3)]
	f.record("endpoint of %s: %+v", e.name, b)
	e.Set(b)
	time.Sleep(between(r, 500*time.Millisecond, 9*time.Second))
	e.Set(standin.Behaviour{Mode: standin.Normal, Speed: 1})
}

func (f *faultInjector) cancelJobs(r *rand.Rand) {
	f.record("cancel about half of the unfinished jobs")
	f.s.cancelOpenJobs(r)
}

func (f *faultInjector) conflictingTickets(r *rand.Rand) { f.s.config.applyConflicting(r) }

// missTickets applies hundreds of tickets while an entry or an agent is down.
func (f *faultInjector) missTickets(r *rand.Rand) {
	id := EntryID(r.IntN(soakSize.Entries))
	if r.IntN(2) == 0 {
		id = AgentID(r.IntN(soakSize.Agents))
	}
	f.mu.Lock()
	f.bulkFaults++
	enough := f.bulkFaults > maxBulkFaults
	f.mu.Unlock()
	if enough || !f.claim(id) {
		return
	}
	defer f.release(id)
	f.record("%d tickets while %s is down", bulkTickets, id)
	p := f.s.cluster.Process(id)
	p.Kill()
	f.s.config.applyMany()
	f.start(p)
}
