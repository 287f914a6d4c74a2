package control

import (
	"context"
	"time"

	"github.com/cicadapulley/cicadapulley/api/codec"
	"github.com/cicadapulley/cicadapulley/core/state"
	"github.com/cicadapulley/cicadapulley/daemon/control/consensus"
)

// Replica is this VM's copy of the state, with the log that it is built from.
type Replica struct {
	*consensus.Driver
	machine *machine
}

func newReplica(o consensus.Options, r state.Retention) (*Replica, error) {
	m := &machine{Machine: state.New(r), retention: r}
	o.Machine = m
	driver, err := consensus.New(o)
	if err != nil {
		return nil, err
	}
	return &Replica{Driver: driver, machine: m}, nil
}

// Propose sets the command's time and replicates it. It returns the errors of
// consensus.Driver.Propose.
func (r *Replica) Propose(ctx context.Context, c state.Command) (state.Result, error) {
	c.Now = time.Now()
	data, err := codec.EncodeCommand(c)
	if err != nil {
		return state.Result{}, err
	}
	result, err := r.Driver.Propose(ctx, data)
	if err != nil {
		return state.Result{}, err
	}
	return result.(state.Result), nil
}

// Read runs fn on the state if this VM may serve reads now, and otherwise returns a
// *raft.NotLeaderError. fn must not keep the machine.
func (r *Replica) Read(fn func(m *state.Machine)) error {
	return r.Driver.Read(func() { fn(r.machine.Machine) })
}

// Local runs fn on this VM's copy of the state, for metrics only.
func (r *Replica) Local(fn func(m *state.Machine)) {
	r.Driver.Local(func() { fn(r.machine.Machine) })
}

// machine adapts the state machine and its codec to the log.
type machine struct {
	*state.Machine
	retention state.Retention
}

// Apply implements consensus.Machine.
func (m *machine) Apply(index uint64, data []byte) (any, error) {
	var command state.Command
	if len(data) > 0 {
		var err error
		if command, err = codec.DecodeCommand(data); err != nil {
			return nil, err
		}
	}
	return m.Machine.Apply(index, command), nil
}

// Revision implements consensus.Machine.
func (m *machine) Revision() uint64 { return m.ConfigRevision() }

// Restore implements consensus.Machine.
func (m *machine) Restore(data []byte) error {
	snapshot, err := codec.DecodeSnapshot(data)
	if err != nil {
		return err
	}
	m.Machine = state.Restore(m.retention, snapshot)
	return nil
}

// Freeze implements consensus.Machine.
func (m *machine) Freeze() func() ([]byte, error) {
	snapshot := m.Snapshot()
	return func() ([]byte, error) { return codec.EncodeSnapshot(snapshot) }
}
