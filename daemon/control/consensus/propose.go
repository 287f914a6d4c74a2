package consensus

import (
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cicadapulley/cicadapulley/core/raft"
	"github.com/cicadapulley/cicadapulley/daemon/events"
)

// proposal is a command that waits to be committed and applied.
type proposal struct {
	data []byte
	// onlyIn is the term in which the command may be appended, or AnyTerm.
	onlyIn uint64
	// term is the term in which the command was appended.
	term uint64
	// answer has a buffer of one, so that the driver doesn't block.
	answer chan answer
}

type answer struct {
	result any
	err    error
}

// Propose replicates an encoded command and returns the result of its application.
// The error is a *raft.NotLeaderError, which means that the command was not
// appended, or ErrUncertain, or that of ctx.
func (d *Driver) Propose(ctx context.Context, data []byte) (any, error) {
	return d.ProposeIn(ctx, AnyTerm, data)
}

// AnyTerm is the term of a command that holds whichever leader appends it.
const AnyTerm = 0

// ProposeIn does as Propose, but appends the command in the given term only. It is for
// decisions that depend on what this VM knows as the leader of that term.
func (d *Driver) ProposeIn(ctx context.Context, term uint64, data []byte) (any, error) {
	p := &proposal{data: data, onlyIn: term, answer: make(chan answer, 1)}
	select {
	case d.proposals <- p:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	select {
	case a := <-p.answer:
		return a.result, a.err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// collectProposals returns first and the proposals queued behind it, so that they
// share one sync.
func (d *Driver) collectProposals(first *proposal) []*proposal {
	batch := []*proposal{first}
	for len(batch) < maxProposalsPerAppend {
		select {
		case p := <-d.proposals:
			batch = append(batch, p)
		default:
			return batch
		}
	}
	return batch
}

// proposeBatch passes a batch of proposals to the node. The caller holds mu.
func (d *Driver) proposeBatch(now time.Time, batch []*proposal) {
	batch = slices.DeleteFunc(batch, func(p *proposal) bool {
		outdated := p.onlyIn != AnyTerm && p.onlyIn != d.node.Term()
		if outdated {
			p.answer <- answer{err: d.notLeader()}
		}
		return outdated
	})
	if len(batch) == 0 {
		return
	}
	payloads := make([][]byte, len(batch))
	for i, p := range batch {
		payloads[i] = p.data
	}
	first, err := d.node.Propose(now, payloads)
	for i, p := range batch {
		if err != nil {
			p.answer <- answer{err: err}
			continue
		}
		p.term = d.node.Term()
		d.pending[first+uint64(i)] = p
	}
}

// apply restores a received snapshot and then applies committed entries in order.
// The caller holds mu.
func (d *Driver) apply(rd raft.Ready) error {
	if rd.Snapshot != nil {
		if err := d.restore(*rd.Snapshot); err != nil {
			return err
		}
		d.opts.Log.Emit(events.Event{ID: events.SnapshotInstalled})
		d.failPending()
	}
	before := d.machine.Revision()
	for _, e := range rd.CommittedEntries {
		if err := d.applyEntry(e); err != nil {
			return err
		}
	}
	if rd.Snapshot != nil || d.machine.Revision() != before {
		d.notifyWatchers()
	}
	return nil
}

func (d *Driver) applyEntry(e raft.Entry) error {
	if e.Type == raft.EntryGroup {
		d.opts.Log.Emit(events.Event{ID: events.GroupChanged})
		e.Data = nil
	}
	d.snapshots.loggedBytes += len(e.Data)
	result, err := d.machine.Apply(e.Index, e.Data)
	if err != nil {
		return errors.Wrapf(err, "log index %d", e.Index)
	}
	p, ok := d.pending[e.Index]
	if !ok {
		return nil
	}
	delete(d.pending, e.Index)
	if p.term != e.Term {
		p.answer <- answer{err: ErrUncertain}
		return nil
	}
	p.answer <- answer{result: result}
	return nil
}

// failPending answers all appended proposals with ErrUncertain, since the next
// leader may still commit them. The caller holds mu.
func (d *Driver) failPending() {
	for index, p := range d.pending {
		p.answer <- answer{err: ErrUncertain}
		delete(d.pending, index)
	}
}

// failAll answers appended proposals with ErrUncertain and queued ones with err.
func (d *Driver) failAll(err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.failPending()
	for {
		select {
		case p := <-d.proposals:
			p.answer <- answer{err: err}
		default:
			return
		}
	}
}
