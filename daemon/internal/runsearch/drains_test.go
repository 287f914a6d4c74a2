package runsearch

import (
	"slices"

	"github.com/cicadapulley/cicadapulley/api/mesh"
	"github.com/cicadapulley/cicadapulley/core/work"
)

// Each agent's data centre has the name of its VM.

// setDrains commits a change of the drains. Other control VMs may send it before the leader
// has applied it, and one that is behind the former state later.
func (w *world) setDrains(dataCentres []string) {
	slices.Sort(dataCentres)
	w.formerDrains = w.drains
	w.drains = work.DataCentreDrains{Revision: w.drains.Revision + 1, DataCentres: dataCentres}
}

// applyDrains applies the committed drains at the leader, which sends them.
func (l *leader) applyDrains() {
	if l.received.Revision == l.w.drains.Revision {
		return
	}
	l.receiveDrains(l.w.drains)
	for _, link := range l.links {
		link.send(schedulerSide, &mesh.Drains{State: l.received})
	}
	if e := l.w.entry; e.connected && e.up {
		e.receiveDrains(l.received)
	}
}

// drain adds a data centre to the drained ones, and withdraw removes it.
func (w *world) drain(dataCentre string) {
	w.setDrains(append(slices.Clone(w.drains.DataCentres), dataCentre))
}

func (w *world) withdraw(dataCentre string) {
	w.setDrains(slices.DeleteFunc(slices.Clone(w.drains.DataCentres), func(name string) bool { return name == dataCentre }))
}

// sentDrains returns what a control VM that doesn't lead sends: 0 for one that has applied all
// changes, 1 for one that is behind.
func (w *world) sentDrains(detail uint8) work.DataCentreDrains {
	return [...]work.DataCentreDrains{w.drains, w.formerDrains}[detail]
}

// sentDrainsCount returns how many different drains control VMs that don't lead may send.
func (w *world) sentDrainsCount() int {
	if w.drains.Revision == 0 {
		return 0
	}
	return 2
}

// newer returns the drains of the higher revision. The model's own record of what a process
// has received goes by it, independent of the product's.
func newer(a, b work.DataCentreDrains) work.DataCentreDrains {
	if b.Revision > a.Revision {
		return b
	}
	return a
}

// receiveDrains applies the drains at a scheduler.
func (s *scheduling) receiveDrains(d work.DataCentreDrains) {
	s.received = newer(s.received, d)
	s.Planner.SetDrained(s.w.now, d)
}

// receiveDrains applies the drains at an entry, and its placer if it has one.
func (e *entry) receiveDrains(d work.DataCentreDrains) {
	e.received = newer(e.received, d)
	if e.view.Drained(d) && e.placer != nil {
		e.placer.receiveDrains(d)
	}
}

// receiveDrains applies the drains at an agent.
func (a *agent) receiveDrains(d work.DataCentreDrains) {
	a.received = newer(a.received, d)
	a.drains.Received(d)
}

// startsOn checks that a process which has received these drains may start a run at an agent.
func (j *judge) startsOn(process string, received work.DataCentreDrains, vm string, r work.Run) {
	if received.Contains(vm) {
		j.breakf("DRAINED: %s starts run %d of %s on %s and has received its drain", process, r.Number, r.Task.Job, vm)
	}
}
