package control

import (
	"context"
	"net/http"
	"sync"

	"github.com/cicadapulley/cicadapulley/api/codec"
	"github.com/cicadapulley/cicadapulley/api/rpc"
	"github.com/cicadapulley/cicadapulley/core/raft"
	"github.com/cicadapulley/cicadapulley/daemon/control/consensus"
	"github.com/cicadapulley/cicadapulley/daemon/events"
	"github.com/cicadapulley/cicadapulley/daemon/transport"
)

// raftAPI receives the messages of other control VMs.
type raftAPI struct {
	driver *consensus.Driver
	log    *events.Log
	id     raft.ServerID
}

// Step implements rpc.Raft.
func (a *raftAPI) Step(_ context.Context, q *rpc.StepRequest) (*rpc.StepResponse, error) {
	a.log.Observe(q.Clock)
	a.driver.Receive(raft.ServerID(q.From), q.Address, codec.MessagesFromRPC(q.Messages))
	return &rpc.StepResponse{Clock: a.log.Now()}, nil
}

// raftTransport sends messages to other control VMs by twirp.
type raftTransport struct {
	http    *http.Client
	scheme  string
	id      raft.ServerID
	address string
	log     *events.Log

	mu      sync.Mutex
	clients map[string]rpc.Raft
}

func newRaftTransport(o Options, id raft.ServerID, address string) *raftTransport {
	// A VM that catches up gets many appends at once; package consensus bounds the concurrent calls.
	queueBytes := max(o.Settings.LinkQueueBytes(), transport.MaxRequestBytes)
	return &raftTransport{
		http:    transport.NewClient(transport.ClientOptions{Network: o.Network, TLS: o.Security.ClientConfig(), QueueBytes: queueBytes}),
		scheme:  o.Security.Scheme(),
		id:      id,
		address: address,
		log:     o.Log,
		clients: map[string]rpc.Raft{},
	}
}

// Send implements consensus.Transport.
func (t *raftTransport) Send(ctx context.Context, address string, messages []raft.Message) error {
	resp, err := t.client(address).Step(ctx, &rpc.StepRequest{
		From:     string(t.id),
		Address:  t.address,
		Messages: codec.MessagesToRPC(messages),
		Clock:    t.log.Now(),
	})
	if err != nil {
		return err
	}
	t.log.Observe(resp.Clock)
	return nil
}

func (t *raftTransport) client(address string) rpc.Raft {
	t.mu.Lock()
	defer t.mu.Unlock()
	c, ok := t.clients[address]
	if !ok {
		c = rpc.NewRaftProtobufClient(t.scheme+"://"+address, t.http)
		t.clients[address] = c
	}
	return c
}
