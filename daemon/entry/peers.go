package entry

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/cicadapulley/cicadapulley/api/codec"
	"github.com/cicadapulley/cicadapulley/api/rpc"
	"github.com/cicadapulley/cicadapulley/core/dispatch"
	"github.com/cicadapulley/cicadapulley/core/job"
	"github.com/cicadapulley/cicadapulley/core/state"
	"github.com/cicadapulley/cicadapulley/daemon/events"
	"github.com/cicadapulley/cicadapulley/daemon/membership"
	"github.com/cicadapulley/cicadapulley/daemon/supervisor"
	"github.com/cicadapulley/cicadapulley/daemon/transport"
)

const (
	// cancelBatchWindow is how long cancels for an agent are collected into one
	// message.
	cancelBatchWindow = 5 * time.Millisecond
	// cancelTimeout bounds one cancel message. A lost message only costs work.
	cancelTimeout = time.Second
	// maxQueuedCancels bounds the cancels that wait for one agent.
	maxQueuedCancels = 4096
)

// peer is the client of one agent.
type peer struct {
	member  state.Member
	client  *http.Client
	agent   rpc.Agent
	cancels chan *rpc.CancelRef
	log     *events.Log
}

// Run sends cancels to the agent in batches until ctx is done.
func (p *peer) Run(ctx context.Context) error {
	p.log.Emit(events.Event{ID: events.PeerConnected, Peer: p.member.ID})
	defer p.client.CloseIdleConnections()
	for {
		select {
		case <-ctx.Done():
			p.log.Emit(events.Event{ID: events.PeerLost, Peer: p.member.ID})
			return nil
		case first := <-p.cancels:
			p.sendCancels(ctx, p.collectBatch(first))
		}
	}
}

// collectBatch collects first and the cancels that follow within
// cancelBatchWindow.
func (p *peer) collectBatch(first *rpc.CancelRef) []*rpc.CancelRef {
	batch := []*rpc.CancelRef{first}
	timer := time.NewTimer(cancelBatchWindow)
	defer timer.Stop()
	for {
		select {
		case next := <-p.cancels:
			batch = append(batch, next)
		case <-timer.C:
			return batch
		}
	}
}

func (p *peer) sendCancels(ctx context.Context, batch []*rpc.CancelRef) {
	ctx, cancel := context.WithTimeout(ctx, cancelTimeout)
	defer cancel()
	// If a cancel is lost, its tasks run to their end, which is allowed.
	_, _ = p.agent.Cancel(ctx, &rpc.CancelRequest{Jobs: batch, Clock: p.log.Now()})
}

// cancel queues a job's cancel for the agent. A full queue drops it.
func (p *peer) cancel(k job.Key, epoch uint64, left time.Duration) {
	ref := &rpc.CancelRef{Job: codec.KeyToRPC(k), Epoch: epoch, TimeoutMs: left.Milliseconds()}
	select {
	case p.cancels <- ref:
	default:
	}
}

// peerSet maintains one peer for each active agent of the membership.
type peerSet struct {
	members    *membership.Service
	dispatcher *dispatcher
	log        *events.Log
	network    transport.Network
	security   transport.Security
	// queueBytes bounds the bytes that wait to be sent to an agent; 0 for the default.
	queueBytes int
	group      *supervisor.Group

	mu   sync.RWMutex
	byID map[string]*peer
}

// Run updates the peers whenever the membership changes, until ctx is done.
func (ps *peerSet) Run(ctx context.Context) error {
	defer ps.group.StopAll()
	for {
		changed := ps.members.Changed()
		ps.update(ctx, ps.members.Replica())
		select {
		case <-ctx.Done():
			return nil
		case <-changed:
		}
	}
}

// update starts and stops peers and configures the dispatcher.
func (ps *peerSet) update(ctx context.Context, r *state.Replica) {
	ps.mu.Lock()
	for id, p := range ps.byID {
		if m := r.Members[id]; m.Active() && m.Incarnation == p.member.Incarnation {
			continue
		}
		ps.group.Stop(id)
		delete(ps.byID, id)
	}
	for id, m := range r.Members {
		if m.Role != state.RoleAgent || !m.Active() || ps.byID[id] != nil {
			continue
		}
		p := ps.newPeer(m)
		ps.byID[id] = p
		ps.group.Start(ctx, id, p.Run)
	}
	ps.mu.Unlock()
	ps.dispatcher.configure(endpoints(r), callerWeights(r), int(r.Config.Limits.MaxQueued))
}

func (ps *peerSet) newPeer(m state.Member) *peer {
	client := transport.NewClient(transport.ClientOptions{Network: ps.network, TLS: ps.security.ClientConfig(), QueueBytes: ps.queueBytes})
	return &peer{
		member:  m,
		client:  client,
		agent:   rpc.NewAgentProtobufClient(ps.security.Scheme()+"://"+m.Address, client),
		cancels: make(chan *rpc.CancelRef, maxQueuedCancels),
		log:     ps.log,
	}
}

// get returns the peer of an endpoint, or nil if the endpoint is not active.
func (ps *peerSet) get(id string) *peer {
	ps.mu.RLock()
	defer ps.mu.RUnlock()
	return ps.byID[id]
}

// endpoints converts members for the scheduler. A draining member or one
// with a drain mark stays listed, so that its tasks in flight are counted.
func endpoints(r *state.Replica) []dispatch.Endpoint {
	var list []dispatch.Endpoint
	for _, m := range r.Members {
		if m.Role != state.RoleAgent || !m.Active() {
			continue
		}
		list = append(list, dispatch.Endpoint{
			ID:         m.ID,
			Slots:      m.Slots,
			DataCentre: m.DataCentre,
			Rack:       m.Rack,
			Capacity:   m.Resources,
			Serves:     m.Serves,
			Drain:      m.State == state.MemberDraining || r.Config.Drains[m.ID].Drain,
		})
	}
	return list
}

func callerWeights(r *state.Replica) map[string]int64 {
	byCaller := map[string]int64{}
	for caller, q := range r.Config.Quotas {
		if q.Weight > 0 {
			byCaller[caller] = q.Weight
		}
	}
	return byCaller
}
