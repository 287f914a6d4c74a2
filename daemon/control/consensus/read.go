package consensus

import (
	"time"

	"github.com/cicadapulley/cicadapulley/core/raft"
)

// Read runs fn if this VM may serve reads now: it leads, its lease holds, and all
// entries up to the read index are applied. Otherwise it returns a
// *raft.NotLeaderError. fn may read the machine but must not retain references to
// its data.
func (d *Driver) Read(fn func()) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.canServe() {
		return d.notLeader()
	}
	fn()
	return nil
}

// canServe reports whether this VM leads and its state is the latest. mu is held.
func (d *Driver) canServe() bool {
	return d.node.LeaseValid(d.opts.Now()) && d.machine.Applied() >= d.node.ReadIndex()
}

// Local runs fn on this VM's copy of the state, which may be behind the leader's.
// It is for uses that tolerate this, such as metrics.
func (d *Driver) Local(fn func()) {
	d.mu.Lock()
	defer d.mu.Unlock()
	fn()
}

// notLeader returns an error that names the leader, unless this VM is leader in its
// own view but may not serve reads. The caller holds mu.
func (d *Driver) notLeader() error {
	leader := d.node.Leader()
	if d.node.IsLeader() {
		leader = ""
	}
	return &raft.NotLeaderError{Leader: leader}
}

// Changed returns a channel that is closed at the next change of the machine's
// revision or of this VM's leadership, or when a snapshot is installed.
func (d *Driver) Changed() <-chan struct{} {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.changed
}

// Leading reports whether this VM leads and may serve reads now.
func (d *Driver) Leading() bool { return d.Read(func() {}) == nil }

// LeadingTerm returns the current term, and whether this VM leads in it and can serve
// reads.
func (d *Driver) LeadingTerm() (term uint64, ok bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.node.Term(), d.canServe()
}

// Term returns the current term.
func (d *Driver) Term() uint64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.node.Term()
}

// Status returns the state of the raft node.
func (d *Driver) Status() raft.Status {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.node.Status()
}

// AddressOf returns the address of a control VM of the group, empty if it is unknown.
func (d *Driver) AddressOf(id raft.ServerID) string {
	for _, s := range d.Status().Group.Servers {
		if s.ID == id {
			return s.Address
		}
	}
	return ""
}

// ChangeGroup proposes one change of the group. A nil error means that the change
// is appended; it is final once committed. The errors are those of
// raft.Node.ProposeGroup.
func (d *Driver) ChangeGroup(c raft.GroupChange) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	_, err := d.node.ProposeGroup(d.opts.Now(), c)
	d.wake()
	return err
}

// TransferLeadership starts a transfer of the leadership to the voter with the
// longest matching log, before a planned stop. It reports whether a transfer began.
func (d *Driver) TransferLeadership() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	status := d.node.Status()
	var best raft.ServerStatus
	for _, s := range status.Servers {
		if s.Server.Voter && s.Server.ID != status.ID && s.Match >= best.Match {
			best = s
		}
	}
	if best.Server.ID == "" {
		return false
	}
	err := d.node.TransferLeadership(d.opts.Now(), best.Server.ID)
	d.wake()
	return err == nil
}

// HandOver transfers the leadership to another VM before a planned stop, so that
// proposals don't wait for an election. It returns when this VM no longer leads, or
// after timeout.
func (d *Driver) HandOver(timeout time.Duration) {
	if !d.Leading() || !d.TransferLeadership() {
		return
	}
	deadline := time.After(timeout)
	for {
		changed := d.Changed()
		if !d.Leading() {
			return
		}
		select {
		case <-changed:
		case <-deadline:
			return
		}
	}
}

// wake makes the loop process the node's ready work after a call from another
// goroutine. The caller holds mu.
func (d *Driver) wake() {
	select {
	case d.wakeups <- struct{}{}:
	default:
	}
}
