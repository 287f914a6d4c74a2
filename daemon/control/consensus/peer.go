package consensus

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc/pool"

	"github.com/cicadapulley/cicadapulley/core/raft"
	"github.com/cicadapulley/cicadapulley/daemon/events"
)

const (
	// outboxSize bounds the messages that wait for one control VM.
	outboxSize = 1024
	// sendTimeout bounds one exchange with another control VM.
	sendTimeout = 2 * time.Second
	// sendPause is the wait after a failed exchange.
	sendBackoff = 20 * time.Millisecond
	// maxExchanges is how many exchanges with one control VM overlap. With one
	// alone, an append waits a round trip for the answer to the message before it.
	maxConcurrentSends = 4
)

// peer sends to one other control VM.
type peer struct {
	server    raft.Server
	outbox    chan raft.Message
	transport Transport
	log       *events.Log
	// reachable avoids an event for each failed exchange.
	reachable atomic.Bool
}

// Run sends messages until ctx ends, mostly in order. Those that fail are
// dropped; the core repeats what matters.
func (p *peer) Run(ctx context.Context) error {
	sends := pool.New().WithMaxGoroutines(maxConcurrentSends)
	defer sends.Wait()
	for {
		select {
		case <-ctx.Done():
			return nil
		case first := <-p.outbox:
			batch := p.collectBatch(first)
			sends.Go(func() { p.sendBatch(ctx, batch) })
		}
	}
}

// gather takes the messages that wait into one exchange.
func (p *peer) collectBatch(first raft.Message) []raft.Message {
	batch := []raft.Message{first}
	for len(batch) < outboxSize {
		select {
		case m := <-p.outbox:
			batch = append(batch, m)
		default:
			return batch
		}
	}
	return batch
}

func (p *peer) sendBatch(ctx context.Context, batch []raft.Message) {
	callCtx, cancel := context.WithTimeout(ctx, sendTimeout)
	defer cancel()
	err := p.transport.Send(callCtx, p.server.Address, batch)
	if err == nil {
		p.reachable.Store(true)
		return
	}
	if p.reachable.Swap(false) && ctx.Err() == nil {
		p.log.Emit(events.Event{ID: events.PeerUnreachable, Peer: p.server.Address, Err: err})
	}
	select {
	case <-ctx.Done():
	case <-time.After(sendBackoff):
	}
}

// send queues messages for their receivers; a full outbox drops them. The
// caller holds mu.
func (d *Driver) send(messages []raft.Message) {
	for _, m := range messages {
		p := d.peer(m.To)
		if p == nil {
			continue
		}
		select {
		case p.outbox <- m:
		default:
		}
	}
}

// peer finds or starts the sender of a control VM. The caller holds mu.
func (d *Driver) peer(id raft.ServerID) *peer {
	if p := d.peers[id]; p != nil {
		return p
	}
	server, ok := d.lookupServer(id)
	if !ok {
		return nil
	}
	p := &peer{
		server:    server,
		outbox:    make(chan raft.Message, outboxSize),
		transport: d.opts.Transport,
		log:       d.opts.Log,
	}
	p.reachable.Store(true)
	d.peers[id] = p
	d.group.Start(d.runCtx, server.Address, p.Run)
	return p
}

// find looks a control VM up in the group. Answers to a VM that is not in this
// VM's group yet, as while joining, go to the address it sent from.
func (d *Driver) lookupServer(id raft.ServerID) (raft.Server, bool) {
	for _, s := range d.node.Status().Group.Servers {
		if s.ID == id {
			return s, true
		}
	}
	address, ok := d.senderAddresses[id]
	return raft.Server{ID: id, Address: address}, ok
}

// Receive takes messages from another control VM at an address.
func (d *Driver) Receive(from raft.ServerID, address string, messages []raft.Message) {
	d.mu.Lock()
	if len(d.senderAddresses) < maxSenderAddresses {
		d.senderAddresses[from] = address
	}
	d.mu.Unlock()
	for _, m := range messages {
		select {
		case d.inbox <- m:
		default:
		}
	}
}
