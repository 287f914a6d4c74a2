package coordinator

import (
	"context"

	"github.com/cicadapulley/cicadapulley/api/mesh"
	"github.com/cicadapulley/cicadapulley/core/ledger"
	"github.com/cicadapulley/cicadapulley/daemon/boottime"
	"github.com/cicadapulley/cicadapulley/daemon/control/consensus"
	"github.com/cicadapulley/cicadapulley/daemon/events"
)

// Apply implements consensus.Machine.
func (m *machine) Apply(index uint64, data []byte) (any, error) {
	var command ledger.Command
	if len(data) > 0 {
		var err error
		if command, err = mesh.DecodeCommand(data); err != nil {
			return nil, err
		}
	}
	result := m.Machine.Apply(index, command)
	if command.Configure != nil && result.Changed {
		m.log.Emit(events.Event{ID: events.ConfigurationApplied, Ticket: command.Configure.Version})
	}
	if command.Drain != nil && result.Changed {
		m.logDrain(index, command.Drain)
	}
	if result.Kept {
		m.cancelledAt.add(index, boottime.Now())
	}
	if command.ForgetCancellations > 0 {
		m.cancelledAt.forget(command.ForgetCancellations)
	}
	if m.recording && len(data) > 0 {
		m.effects = append(m.effects, effect{command, result})
	}
	return result, nil
}

// Revision implements consensus.Machine. Watchers wait for changes of the drains only:
// proposers and ticks apply the effects of other commands.
func (m *machine) Revision() uint64 { return m.DrainsRevision() }

// Restore implements consensus.Machine.
func (m *machine) Restore(data []byte) error {
	content, err := mesh.DecodeSnapshot(data)
	if err != nil {
		return err
	}
	m.endRecording()
	m.Machine.Restore(content)
	m.dateCancellations(boottime.Now())
	return nil
}

// Freeze implements consensus.Machine.
func (m *machine) Freeze() func() ([]byte, error) {
	content := m.Snapshot()
	return func() ([]byte, error) { return mesh.EncodeSnapshot(content) }
}

// propose replicates a command, and returns its result after its effects. The caller
// must not hold mu. Errors are those of consensus.Driver.Propose; the command may be
// applied nevertheless, and then the next tick applies its effects.
func (s *Service) propose(ctx context.Context, c ledger.Command) (ledger.Result, error) {
	return s.proposeIn(ctx, consensus.AnyTerm, c)
}

// proposeIn proposes a command as propose does, in the given term only.
func (s *Service) proposeIn(ctx context.Context, term uint64, c ledger.Command) (ledger.Result, error) {
	data, err := mesh.EncodeCommand(c)
	if err != nil {
		return ledger.Result{}, err
	}
	result, err := s.driver.ProposeIn(ctx, term, data)
	if err != nil {
		return ledger.Result{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.applyEffects()
	return result.(ledger.Result), nil
}
