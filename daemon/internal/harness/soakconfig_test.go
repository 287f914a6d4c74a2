package harness

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cicadapulley/cicadapulley/api/rpc"
	"github.com/cicadapulley/cicadapulley/core/state"
)

const (
	// watchInterval is the interval between checks of the configuration of all processes.
	watchInterval = 200 * time.Millisecond
	// ticketTimeout is how long an operator repeats a ticket.
	ticketTimeout = 15 * time.Second
	// bulkTickets is more than the hundreds of changes that a restarted process may miss.
	bulkTickets = 300
)

// appliedTicket is a ticket that was acknowledged as applied.
type appliedTicket struct {
	number   uint64
	author   string
	revision uint64
	object   string
	at       time.Time
}

// configChecker sends tickets and checks I8 at all processes.
type configChecker struct {
	s *soak

	mu         sync.Mutex
	lastNumber uint64
	// acks holds the acknowledged tickets by number.
	acks map[uint64]appliedTicket
	// seen maps a process and an object to the object's ticket number at the last check.
	seen   map[string]map[string]uint64
	latest map[string]uint64
	// reportedWinners maps a ticket number to the author that refusals named.
	reportedWinners map[uint64]string
}

func newConfigChecker(s *soak) *configChecker {
	return &configChecker{
		s: s, lastNumber: 2,
		acks:            map[uint64]appliedTicket{},
		seen:            map[string]map[string]uint64{},
		latest:          map[string]uint64{},
		reportedWinners: map[uint64]string{},
	}
}

func (c *configChecker) acknowledged() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.acks)
}

func (c *configChecker) nextNumber() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastNumber++
	return c.lastNumber
}

// run checks all processes until ctx ends.
func (c *configChecker) run(ctx context.Context) {
	for sleepContext(ctx, watchInterval) {
		for _, p := range c.s.cluster.procs {
			c.checkProcess(p)
		}
	}
}

// objectTickets returns the ticket number of each object of a replica.
func objectTickets(r *state.Replica) map[string]uint64 {
	all := map[string]uint64{}
	for name, q := range r.Config.Quotas {
		all["quota "+name] = q.Ticket
	}
	for name, d := range r.Config.Drains {
		all["drain "+name] = d.Ticket
	}
	return all
}

func (c *configChecker) checkProcess(p *Process) {
	incarnation := p.Current()
	members := incarnation.Members()
	if members == nil || !incarnation.stopRequestedAt.IsZero() {
		return
	}
	replica := members.Replica()
	if replica.Revision == 0 {
		return
	}
	now := objectTickets(replica)
	c.mu.Lock()
	defer c.mu.Unlock()
	// A restarted process may not have an older configuration than its earlier
	// incarnation.
	for name, number := range c.seen[p.ID] {
		if now[name] < number {
			c.s.checker.AddViolation("I8", "%s went from ticket %d to %d of %s", p.ID, number, now[name], name)
		}
	}
	c.seen[p.ID] = now
	c.checkInForce(p, now)
}

// checkInForce checks the time limit of I8 at a process that has been connected to
// a majority of control VMs for at least this time. The caller holds mu.
func (c *configChecker) checkInForce(p *Process, now map[string]uint64) {
	since := time.Now().Add(-inForceBound)
	if c.s.faults.isCut(p.ID) || p.LastDisruption().After(since) || c.majoritySince().After(since) {
		return
	}
	for _, a := range c.acks {
		if a.at.Before(since) && now[a.object] < a.number {
			c.s.checker.AddViolation("I8", "%s has ticket %d of %s, not %d, which was applied %s ago",
				p.ID, now[a.object], a.object, a.number, time.Since(a.at))
		}
	}
}

// majoritySince returns the time since which a fixed majority of control VMs has
// been up and connected.
func (c *configChecker) majoritySince() time.Time {
	if c.s.faults.isRepairing() {
		return time.Now()
	}
	return c.s.stableSince(soakSize.Controls, ControlID)[soakSize.Controls/2]
}

// healthySince returns the time since which this majority and an entry have been up
// and connected.
func (c *configChecker) healthySince() time.Time {
	entry := c.s.stableSince(soakSize.Entries, EntryID)[0]
	if control := c.majoritySince(); control.After(entry) {
		return control
	}
	return entry
}

// stableSince returns the times since which the processes of a role have been up
// and connected, the earliest first.
func (s *soak) stableSince(n int, id func(int) string) []time.Time {
	list := make([]time.Time, n)
	for i := range list {
		p := s.cluster.Process(id(i))
		list[i] = p.LastDisruption()
		if incarnation := p.Current(); incarnation == nil || !incarnation.stopRequestedAt.IsZero() || s.faults.isCut(p.ID) {
			list[i] = time.Now()
		}
	}
	slices.SortFunc(list, time.Time.Compare)
	return list
}

// applyConflicting lets several operators apply different tickets under one number.
func (c *configChecker) applyConflicting(r *rand.Rand) {
	number := c.nextNumber()
	caller := fmt.Sprintf("team-%d", r.IntN(6))
	for i := range 1 + r.IntN(3) {
		author := fmt.Sprintf("operator-%d", i)
		timeout := time.Duration(5+r.IntN(3000)) * time.Millisecond
		t := &rpc.Ticket{Number: number, Author: author, Quotas: []*rpc.Quota{
			{Caller: caller, MaxTasks: 10_000, Weight: int64(1 + i)},
		}}
		c.s.work.Go(func() { c.apply(t, "quota "+caller, timeout) })
	}
}

// apply sends a ticket until it has been answered twice, and returns the last answer.
func (c *configChecker) apply(t *rpc.Ticket, object string, timeout time.Duration) *rpc.ApplyTicketResponse {
	o := c.s.cluster.Operator(t.Author)
	defer o.Close()
	ctx, cancel := context.WithTimeout(c.s.ctx, ticketTimeout)
	defer cancel()
	var last *rpc.ApplyTicketResponse
	for answers := 0; answers < 2 && ctx.Err() == nil; {
		// The first attempts may time out, so the operator sends the ticket again.
		callCtx, stop := context.WithTimeout(ctx, timeout)
		resp, err := o.ApplyTicket(callCtx, &rpc.ApplyTicketRequest{Ticket: t})
		stop()
		timeout = 5 * time.Second
		if err != nil {
			sleepContext(ctx, operatorRetryDelay)
			continue
		}
		c.checkAnswer(t, object, resp)
		last = resp
		answers++
	}
	return last
}

// checkAnswer checks the answer to a ticket against all earlier ones.
func (c *configChecker) checkAnswer(t *rpc.Ticket, object string, resp *rpc.ApplyTicketResponse) {
	c.mu.Lock()
	defer c.mu.Unlock()
	a, known := c.acks[t.Number]
	switch state.TicketStatus(resp.Status) {
	case state.TicketApplied, state.TicketRepeated:
		if known && (a.author != t.Author || a.revision != resp.Revision) {
			c.s.checker.AddViolation("ticket", "number %d is applied for %s at %d and for %s at %d",
				t.Number, a.author, a.revision, t.Author, resp.Revision)
		}
		if !known {
			c.acks[t.Number] = appliedTicket{t.Number, t.Author, resp.Revision, object, time.Now()}
		}
	case state.TicketConflict:
		c.recordWinner(t.Number, resp.WinnerAuthor)
		if resp.Winner != t.Number || resp.WinnerAuthor == t.Author {
			c.s.checker.AddViolation("ticket", "number %d of %s lost against %d of %s", t.Number, t.Author, resp.Winner, resp.WinnerAuthor)
		}
	case state.TicketStale:
		if known && a.author == t.Author {
			c.s.checker.AddViolation("ticket", "number %d of %s was applied and is now stale", t.Number, t.Author)
		}
		if resp.Winner <= t.Number {
			c.s.checker.AddViolation("ticket", "number %d is stale against %d", t.Number, resp.Winner)
		}
	}
}

// recordWinner records the winner that a refusal named. The caller holds mu.
func (c *configChecker) recordWinner(number uint64, author string) {
	if old, ok := c.reportedWinners[number]; ok && old != author {
		c.s.checker.AddViolation("ticket", "number %d was reported as won by %s and by %s", number, old, author)
	}
	c.reportedWinners[number] = author
}

// applyMany applies hundreds of tickets.
func (c *configChecker) applyMany() {
	var batch sync.WaitGroup
	for i := range bulkTickets {
		caller := fmt.Sprintf("bulk-%d", i)
		t := &rpc.Ticket{Number: c.nextNumber(), Author: fmt.Sprintf("bulk-%d", i%4), Quotas: []*rpc.Quota{{Caller: caller, Weight: 1}}}
		batch.Go(func() { c.apply(t, "quota "+caller, 5*time.Second) })
		if i%20 == 0 {
			batch.Wait()
		}
	}
	batch.Wait()
}

// applyDrain applies a drain mark. It returns the time of the acknowledgement, or
// zero if there was none.
func (c *configChecker) applyDrain(endpoint string, drain bool) time.Time {
	t := &rpc.Ticket{Number: c.nextNumber(), Author: "drainer", Drains: []*rpc.DrainMark{{Endpoint: endpoint, Drain: drain}}}
	c.apply(t, "drain "+endpoint, 5*time.Second)
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.acks[t.Number].at
}

// checkFinal checks that no acknowledged ticket was lost.
func (c *configChecker) checkFinal() {
	o := c.s.cluster.Operator("operator-final")
	defer o.Close()
	ctx, cancel := context.WithTimeout(c.s.ctx, 10*time.Second)
	defer cancel()
	resp, err := o.ListTickets(ctx, &rpc.ListTicketsRequest{})
	if err != nil {
		c.s.checker.AddViolation("liveness", "tickets can't be listed after all faults ended: %v", err)
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	kept := map[uint64]*rpc.AppliedTicket{}
	for _, t := range resp.Tickets {
		kept[t.Ticket.Number] = t
	}
	for number, a := range c.acks {
		t := kept[number]
		if t == nil || t.Ticket.Author != a.author || t.Revision != a.revision {
			c.s.checker.AddViolation("I8", "ticket %d of %s at %d is now %v", number, a.author, a.revision, t)
		}
	}
	for number, author := range c.reportedWinners {
		if t := kept[number]; t == nil || t.Ticket.Author != author {
			c.s.checker.AddViolation("ticket", "number %d was reported as won by %s and is %v", number, author, t)
		}
	}
}
