package harness

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/cicadapulley/cicadapulley/api/controlclient"
	"github.com/cicadapulley/cicadapulley/api/rpc"
	"github.com/cicadapulley/cicadapulley/daemon/dev/standin"
)

// operatorRetryDelay is the delay between attempts of an operator.
const operatorRetryDelay = 50 * time.Millisecond

// Operator is an operator's machine.
type Operator struct {
	*controlclient.Client
	cluster *Cluster
	close   func()
}

// Operator returns a client on its own host.
func (c *Cluster) Operator(host string) *Operator {
	client, h := c.controlClient(c.Host(host))
	return &Operator{Client: client, cluster: c, close: h.CloseIdleConnections}
}

// Close ends the operator's connections.
func (o *Operator) Close() { o.close() }

// DemoService is the configuration of the test service.
func DemoService() *rpc.ServiceConfig {
	return &rpc.ServiceConfig{Name: ServiceName, Kinds: []*rpc.Kind{
		{Name: standin.KindSleep},
		{Name: standin.KindFail},
		{Name: standin.KindHold},
		{Name: KindQuote, Repeatable: true},
		{Name: KindWrongEstimate, ExpectedMs: 20_000},
		{Name: KindHuge, Needs: &rpc.Resources{MilliCpu: 1_000_000}},
		{Name: KindOrphan},
	}}
}

// FormGroup starts the control VMs, joins them to one group and applies the first ticket.
func (c *Cluster) FormGroup(ctx context.Context) error {
	for i := range c.size.Controls {
		if err := c.Process(ControlID(i)).Start(); err != nil {
			return err
		}
	}
	o := c.Operator("operator-setup")
	defer o.Close()
	for i := 1; i < c.size.Controls; i++ {
		if err := o.AddControlVM(ctx, ControlID(i)); err != nil {
			return err
		}
	}
	resp, err := o.ApplyTicket(ctx, &rpc.ApplyTicketRequest{Ticket: &rpc.Ticket{
		Number: 1, Author: "setup", Services: []*rpc.ServiceConfig{DemoService()},
	}})
	if err == nil && resp.Status != 0 {
		err = fmt.Errorf("first ticket has status %d", resp.Status)
	}
	return err
}

// AddControlVM adds a running control VM to the group and waits until it is a voter.
func (o *Operator) AddControlVM(ctx context.Context, id string) error {
	incarnation := o.cluster.Process(id).Current()
	if incarnation == nil {
		return fmt.Errorf("%s is down", id)
	}
	identity := string(incarnation.Control.Replica().Status().ID)
	return o.changeGroup(ctx, &rpc.ChangeGroupRequest{Id: identity, Address: address(id)}, func(s *rpc.StatusResponse) bool {
		for _, vm := range s.Group {
			if vm.Id == identity && vm.Voter {
				return true
			}
		}
		return false
	})
}

// RemoveControlVM removes the identity of a control VM from the group.
func (o *Operator) RemoveControlVM(ctx context.Context, identity string) error {
	return o.changeGroup(ctx, &rpc.ChangeGroupRequest{Id: identity, Remove: true}, func(s *rpc.StatusResponse) bool {
		for _, vm := range s.Group {
			if vm.Id == identity {
				return false
			}
		}
		return true
	})
}

// changeGroup repeats a request until done returns true for the group's status.
func (o *Operator) changeGroup(ctx context.Context, q *rpc.ChangeGroupRequest, done func(*rpc.StatusResponse) bool) error {
	last := "no answer"
	for ctx.Err() == nil {
		status, err := o.Status(ctx, &rpc.StatusRequest{})
		if err == nil && done(status) {
			return nil
		}
		if err == nil {
			resp, err := o.ChangeGroup(ctx, q)
			if err == nil {
				last = resp.Message
			}
		}
		sleepContext(ctx, operatorRetryDelay)
	}
	return errors.Join(ctx.Err(), errors.New(last))
}

// Start starts all processes and waits until every entry would accept a job.
func (c *Cluster) Start(ctx context.Context) error {
	if err := c.FormGroup(ctx); err != nil {
		return fmt.Errorf("form the group: %w", err)
	}
	for _, p := range c.procs {
		if p.role == roleControl {
			continue
		}
		if err := p.Start(); err != nil {
			return err
		}
	}
	for i := range c.size.Entries {
		for !c.Ready(EntryID(i)) {
			if !sleepContext(ctx, operatorRetryDelay) {
				return fmt.Errorf("%s is not ready", EntryID(i))
			}
		}
	}
	return nil
}

// Ready reports whether an entry is ready and has received the list of all agents.
func (c *Cluster) Ready(entry string) bool {
	incarnation := c.Process(entry).Current()
	return incarnation != nil && incarnation.Entry.Ready() && len(incarnation.Entry.Status().Endpoints) == c.size.Agents
}

// sleepContext waits for d and returns false if ctx ends first.
func sleepContext(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
