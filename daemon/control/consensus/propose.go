package consensus

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cicadapulley/cicadapulley/core/raft"
	"github.com/cicadapulley/cicadapulley/daemon/events"
)

// proposal is a command on its way through the log.
type proposal struct {
	data []byte
	term uint64
	// answer has room for one answer.
	answer chan answer
}

type answer struct {
	result any
	err    error
}

// Propose replicates an encoded command and returns the result of its
// application. The error is a *raft.NotLeaderError, which means that nothing
// happened, or ErrUncertain, or that of ctx.
func (d *Driver) Propose(ctx context.Context, data []byte) (any, error) {
	p := &proposal{data: data, answer: make(chan answer, 1)}
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

// gather collects the proposals that wait, so that they share one sync.
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

// append hands a batch to the core. The caller holds mu.
func (d *Driver) proposeBatch(now time.Time, batch []*proposal) {
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

// apply brings committed entries and a received snapshot into force, in order.
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
	if len(rd.CommittedEntries) > 0 {
		d.startSnapshot()
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

// failWaiting gives up on proposals of a lost leadership; they may still come
// into force under the next leader. The caller holds mu.
func (d *Driver) failPending() {
	for index, p := range d.pending {
		p.answer <- answer{err: ErrUncertain}
		delete(d.pending, index)
	}
}

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
