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
	// outboxSize bounds the messages that wait to be sent to one control VM.
	outboxSize = 1024
	// sendTimeout bounds one Send to another control VM.
	sendTimeout = 2 * time.Second
	// sendBackoff is the delay after a failed Send.
	sendBackoff = 20 * time.Millisecond
	// maxConcurrentSends is the number of concurrent Sends to one control VM. With a
	// single one, an append would wait a round trip for the answer to the message
	// before it.
	maxConcurrentSends = 4
)

// peer sends messages to one other control VM.
type peer struct {
	server    raft.Server
	outbox    chan raft.Message
	transport Transport
	log       *events.Log
	// reachable is false after a failed Send, so that only the first failure in a row
	// emits an event.
	reachable atomic.Bool
}

// Run sends messages until ctx ends. Concurrent batches may arrive out of order.
// Messages of a failed Send are dropped; the raft node repeats those that matter.
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

// collectBatch returns first and the messages queued behind it, for one Send.
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

// peer returns the sender for a control VM and starts it if needed, nil if the VM's
// address is unknown. The caller holds mu.
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

// lookupServer returns a control VM of the group. For a VM that is not yet in this
// VM's copy of the group, as during a join, it uses the address from which the VM
// sent messages. The caller holds mu.
func (d *Driver) lookupServer(id raft.ServerID) (raft.Server, bool) {
	for _, s := range d.node.Status().Group.Servers {
		if s.ID == id {
			return s, true
		}
	}
	address, ok := d.senderAddresses[id]
	return raft.Server{ID: id, Address: address}, ok
}

// Receive queues messages from another control VM, whose address is given. Messages
// that find the inbox full are dropped.
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
