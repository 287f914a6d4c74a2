package harness

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"github.com/cicadapulley/cicadapulley/daemon/dev/standin"
)

// faults brings failures about, several at a time.
type faults struct {
	s       *soak
	r       *rand.Rand
	running sync.WaitGroup
	count   int

	mu sync.Mutex
	// busy are the processes that a fault stops and starts now.
	busy map[string]bool
	// cuts counts the cuts of each pair of hosts.
	cuts      map[[2]string]int
	repairing bool
	lines     []string
	leaving   []leaving
	drained   map[string]bool
	bulks     int
	// silenced is set after the one long silence of a control VM.
	silenced bool
}

// maxBulks keeps all tickets of a run in the history of 1000, so that the end
// can check them.
const maxBulks = 2

// leaving is a time in which an endpoint may get no new work.
type leaving struct {
	endpoint string
	from, to time.Time
	why      string
}

func newFaults(s *soak) *faults {
	return &faults{
		s: s, r: s.random("faults", 0),
		busy: map[string]bool{}, cuts: map[[2]string]int{}, drained: map[string]bool{},
	}
}

func (f *faults) note(format string, args ...any) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.count++
	f.lines = append(f.lines, time.Now().UTC().Format("  04:05.000 ")+fmt.Sprintf(format, args...))
}

func (f *faults) history() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return strings.Join(f.lines, "\n")
}

// storm starts faults for d; each one ends by itself later.
func (f *faults) storm(d time.Duration) {
	end := time.Now().Add(d)
	for time.Now().Before(end) {
		f.one(rand.New(rand.NewPCG(f.r.Uint64(), 1)))
		time.Sleep(time.Duration(100+f.r.IntN(2400)) * time.Millisecond)
	}
}

// one starts one fault, or two at once.
func (f *faults) one(r *rand.Rand) {
	list := []func(*rand.Rand){
		f.kill, f.kill, f.kill, f.stop, f.freeze, f.longSilence, f.cutPair, f.cutPair, f.silence, f.silence,
		f.endpoint, f.endpoint, f.loseDisks, f.cancels, f.cancels, f.tickets, f.tickets, f.tickets, f.manyChanges, f.drain,
	}
	for range 1 + r.IntN(2) {
		fault := list[r.IntN(len(list))]
		own := rand.New(rand.NewPCG(r.Uint64(), 2))
		f.running.Go(func() { fault(own) })
	}
}

// heal waits for the faults in progress to end and brings everything back.
func (f *faults) heal() { f.running.Wait() }

// claim reserves a process for one fault.
func (f *faults) claim(id string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.busy[id] {
		return false
	}
	f.busy[id] = true
	return true
}

func (f *faults) release(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.busy, id)
}

func (f *faults) isRepairing() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.repairing
}

// isCut reports whether a process is cut off from any host.
func (f *faults) isCut(id string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for pair := range f.cuts {
		if pair[0] == id || pair[1] == id {
			return true
		}
	}
	return false
}

func (f *faults) anyProcess(r *rand.Rand) string {
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

// kill ends a process without warning and starts it again.
func (f *faults) kill(r *rand.Rand) {
	id := f.anyProcess(r)
	if !f.claim(id) {
		return
	}
	defer f.release(id)
	f.note("kill %s", id)
	p := f.s.cluster.Process(id)
	p.Kill()
	if p.role == roleControl {
		p.PowerLoss(r)
	}
	time.Sleep(between(r, time.Millisecond, 7*time.Second))
	f.start(p)
}

func (f *faults) start(p *Process) {
	f.note("start %s", p.ID)
	if err := p.Start(); err != nil {
		f.s.ledger.Violate("process", "%s does not start: %v", p.ID, err)
	}
}

// stop stops a process as planned and starts it again.
func (f *faults) stop(r *rand.Rand) {
	id := f.anyProcess(r)
	if !f.claim(id) {
		return
	}
	defer f.release(id)
	f.note("stop %s", id)
	p := f.s.cluster.Process(id)
	began := time.Now()
	life := p.Stop()
	<-life.ended
	if p.role == roleAgent {
		f.leave(leaving{id, began.Add(leavingBound), time.Now(), "planned stop"})
	}
	f.note("stopped %s", id)
	p.Clear()
	time.Sleep(between(r, time.Millisecond, 3*time.Second))
	f.start(p)
}

func (f *faults) leave(l leaving) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.leaving = append(f.leaving, l)
}

// checkLeaving checks the bound of I6.
func (f *faults) checkLeaving() {
	for _, one := range f.s.cluster.Starts.All() {
		for _, l := range f.leaving {
			if one.Endpoint == l.endpoint && one.At.After(l.from) && one.At.Before(l.to) {
				f.s.ledger.Violate("I6", "%s started task %d of %s %s after the bound (%s)",
					l.endpoint, one.Key.Task, one.Key.Job, one.At.Sub(l.from), l.why)
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

// cut cuts hosts off from each other for a time; cuts may overlap.
func (f *faults) cut(a string, others []string, d time.Duration) {
	f.changeCuts(a, others, 1)
	time.Sleep(d)
	f.changeCuts(a, others, -1)
}

func (f *faults) changeCuts(a string, others []string, change int) {
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
		f.disturb(a)
		f.disturb(b)
	}
}

func (f *faults) disturb(id string) {
	if p := f.s.cluster.Process(id); p != nil {
		p.Disturb()
	}
}

// freeze cuts a process off from everything.
func (f *faults) freeze(r *rand.Rand) {
	id := f.anyProcess(r)
	d := between(r, 100*time.Millisecond, 9*time.Second)
	f.note("freeze %s for %s", id, d)
	f.cut(id, f.hosts(id), d)
	f.note("thawed %s", id)
}

// hosts lists the processes and callers but one. Operators' hosts, which come
// and go, are not cut off.
func (f *faults) hosts(but string) []string {
	var list []string
	for _, h := range f.s.cluster.others(but) {
		if !strings.HasPrefix(h, "operator") && !strings.HasPrefix(h, "bulk") && h != "drainer" {
			list = append(list, h)
		}
	}
	return list
}

// longSilence cuts a control VM off for long, from all processes.
func (f *faults) longSilence(r *rand.Rand) {
	f.mu.Lock()
	taken := f.silenced
	f.silenced = true
	f.mu.Unlock()
	if taken {
		return
	}
	id := ControlID(r.IntN(soakSize.Controls))
	d := between(r, 10*time.Second, 20*time.Second)
	f.note("silence %s for %s", id, d)
	f.cut(id, f.hosts(id), d)
	f.note("silence of %s ended", id)
}

func (f *faults) cutPair(r *rand.Rand) {
	a, b := f.anyProcess(r), f.anyProcess(r)
	if a == b {
		return
	}
	d := between(r, 50*time.Millisecond, 8*time.Second)
	f.note("cut %s and %s for %s", a, b, d)
	f.cut(a, []string{b}, d)
}

// silence makes old connections silent while new ones work.
func (f *faults) silence(r *rand.Rand) {
	a := f.anyProcess(r)
	targets := []string{f.anyProcess(r)}
	if r.IntN(3) == 0 {
		targets = f.hosts(a)
	}
	f.note("silence connections of %s with %v", a, targets)
	for _, b := range targets {
		if a == b {
			continue
		}
		f.s.cluster.Silence(a, b)
		f.disturb(a)
		f.disturb(b)
	}
}

// endpoint makes a worker fail everything, hang, or work slowly.
func (f *faults) endpoint(r *rand.Rand) {
	e := f.s.cluster.Endpoints[AgentID(r.IntN(soakSize.Agents))]
	b := []standin.Behaviour{
		{Mode: standin.Fail, Speed: 1}, {Mode: standin.Silent, Speed: 1}, {Mode: standin.Normal, Speed: 0.1},
	}[r.IntN(3)]
	f.note("endpoint of %s: %+v", e.name, b)
	e.Set(b)
	time.Sleep(between(r, 500*time.Millisecond, 9*time.Second))
	e.Set(standin.Behaviour{Mode: standin.Normal, Speed: 1})
}

func (f *faults) cancels(r *rand.Rand) {
	f.note("cancel wave")
	f.s.cancelWave(r)
}

func (f *faults) tickets(r *rand.Rand) { f.s.config.race(r) }

// manyChanges applies hundreds of tickets while an entry or an agent is down.
func (f *faults) manyChanges(r *rand.Rand) {
	id := EntryID(r.IntN(soakSize.Entries))
	if r.IntN(2) == 0 {
		id = AgentID(r.IntN(soakSize.Agents))
	}
	f.mu.Lock()
	f.bulks++
	enough := f.bulks > maxBulks
	f.mu.Unlock()
	if enough || !f.claim(id) {
		return
	}
	defer f.release(id)
	f.note("%d tickets while %s is down", bulkTickets, id)
	p := f.s.cluster.Process(id)
	p.Kill()
	f.s.config.bulk()
	f.start(p)
}

// drain marks an endpoint by a ticket and removes the mark later.
func (f *faults) drain(r *rand.Rand) {
	id := AgentID(r.IntN(soakSize.Agents))
	f.mu.Lock()
	taken := f.drained[id] || len(f.drained) >= 2
	f.drained[id] = true
	f.mu.Unlock()
	if taken {
		return
	}
	acked := f.s.config.drain(id, true)
	f.note("drain mark of %s", id)
	time.Sleep(between(r, 4*time.Second, 10*time.Second))
	if p := f.s.cluster.Process(id); !acked.IsZero() && p.Disturbed().Before(acked) && !f.isCut(id) {
		f.leave(leaving{id, acked.Add(leavingBound), time.Now(), "drain mark"})
	}
	for f.s.config.drain(id, false).IsZero() && f.s.ctx.Err() == nil {
	}
	f.mu.Lock()
	delete(f.drained, id)
	f.mu.Unlock()
}

// loseDisks takes a control VM's disk, replaces it through the group change,
// and takes another one's disk right after the repair.
func (f *faults) loseDisks(r *rand.Rand) {
	f.mu.Lock()
	taken := f.repairing
	f.repairing = true
	f.mu.Unlock()
	if taken {
		return
	}
	first := r.IntN(soakSize.Controls)
	for i := range 2 {
		f.replace(ControlID((first + i) % soakSize.Controls))
	}
	f.mu.Lock()
	f.repairing = false
	f.mu.Unlock()
}

// claimHealthy waits until all control VMs are up and connected, since no disk
// may be lost while another VM's copy is out of reach; then it reserves one.
func (f *faults) claimHealthy(id string) {
	for {
		all := f.s.undisturbed(soakSize.Controls, ControlID)
		if time.Since(all[soakSize.Controls-1]) > 0 && f.claim(id) {
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
}

func (f *faults) replace(id string) {
	f.claimHealthy(id)
	defer f.release(id)
	p := f.s.cluster.Process(id)
	life := p.Life()
	if life == nil {
		f.s.ledger.Violate("process", "%s is down before its disk is lost", id)
		return
	}
	identity := string(life.Control.Driver().Status().ID)
	f.note("%s loses its disk", id)
	p.Kill()
	p.LoseDisk()
	f.start(p)
	o := f.s.cluster.Operator("operator-repair")
	defer o.Close()
	ctx, cancel := context.WithTimeout(f.s.ctx, 2*time.Minute)
	defer cancel()
	if err := o.Join(ctx, id); err != nil {
		f.s.ledger.Violate("liveness", "%s can't join after the loss of its disk: %v", id, err)
	}
	if err := o.Expel(ctx, identity); err != nil {
		f.s.ledger.Violate("liveness", "the lost identity of %s can't be removed: %v", id, err)
	}
	// A committed ticket proves that the change of the group is committed too.
	f.s.config.drain("no-endpoint", false)
	f.note("%s is replaced", id)
}
