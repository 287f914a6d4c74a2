package harness

import (
	"context"
	"math/rand/v2"
	"time"
)

// drainEndpoint drains an endpoint by a ticket and ends the drain later.
func (f *faultInjector) drainEndpoint(r *rand.Rand) {
	id := AgentID(r.IntN(soakSize.Agents))
	f.mu.Lock()
	taken := f.drained[id] || len(f.drained) >= 2
	f.drained[id] = true
	f.mu.Unlock()
	if taken {
		return
	}
	acked := f.s.config.applyDrain(id, true)
	f.record("drain mark of %s", id)
	time.Sleep(between(r, 4*time.Second, 10*time.Second))
	if p := f.s.cluster.Process(id); !acked.IsZero() && p.LastDisruption().Before(acked) && !f.isCut(id) {
		f.addDrainWindow(drainWindow{id, acked.Add(drainBound), time.Now(), "drain mark"})
	}
	for f.s.config.applyDrain(id, false).IsZero() && f.s.ctx.Err() == nil {
	}
	f.mu.Lock()
	delete(f.drained, id)
	f.mu.Unlock()
}

// loseDisks replaces a control VM that lost its disk, and another one right after
// the first is replaced.
func (f *faultInjector) loseDisks(r *rand.Rand) {
	f.mu.Lock()
	taken := f.repairing
	f.repairing = true
	f.mu.Unlock()
	if taken {
		return
	}
	first := r.IntN(soakSize.Controls)
	for i := range 2 {
		f.replaceDisk(ControlID((first + i) % soakSize.Controls))
	}
	f.mu.Lock()
	f.repairing = false
	f.mu.Unlock()
}

// claimWhenHealthy reserves a control VM once all control VMs are up and connected:
// no disk may be lost while the copy of another VM is unreachable.
func (f *faultInjector) claimWhenHealthy(id string) {
	for {
		all := f.s.stableSince(soakSize.Controls, ControlID)
		if time.Since(all[soakSize.Controls-1]) > 0 && f.claim(id) {
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
}

func (f *faultInjector) replaceDisk(id string) {
	f.claimWhenHealthy(id)
	defer f.release(id)
	p := f.s.cluster.Process(id)
	incarnation := p.Current()
	if incarnation == nil {
		f.s.checker.AddViolation("process", "%s is down before its disk is lost", id)
		return
	}
	identity := string(incarnation.Control.Replica().Status().ID)
	f.record("%s loses its disk", id)
	p.Kill()
	p.LoseDisk()
	f.start(p)
	o := f.s.cluster.Operator("operator-repair")
	defer o.Close()
	ctx, cancel := context.WithTimeout(f.s.ctx, 2*time.Minute)
	defer cancel()
	if err := o.AddControlVM(ctx, id); err != nil {
		f.s.checker.AddViolation("liveness", "%s can't join after the loss of its disk: %v", id, err)
	}
	if err := o.RemoveControlVM(ctx, identity); err != nil {
		f.s.checker.AddViolation("liveness", "the lost identity of %s can't be removed: %v", id, err)
	}
	// A committed ticket proves that the change of the group is committed too.
	f.s.config.applyDrain("no-endpoint", false)
	f.record("%s is replaced", id)
}
