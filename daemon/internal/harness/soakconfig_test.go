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
	// watchEvery is how often the configuration of all processes is looked at.
	watchEvery = 200 * time.Millisecond
	// ticketPatience is how long an operator repeats a ticket.
	ticketPatience = 15 * time.Second
	// bulkTickets is more than the hundreds of changes that a restarted process may miss.
	bulkTickets = 300
)

// applied is a ticket that an operator was told is applied.
type applied struct {
	number   uint64
	author   string
	revision uint64
	object   string
	at       time.Time
}

// configWatch sends tickets and checks I8 at all processes.
type configWatch struct {
	s *soak

	mu     sync.Mutex
	next   uint64
	acks   map[uint64]applied
	seen   map[string]map[string]uint64
	latest map[string]uint64
	claims map[uint64]string
}

func newConfigWatch(s *soak) *configWatch {
	return &configWatch{
		s: s, next: 2,
		acks:   map[uint64]applied{},
		seen:   map[string]map[string]uint64{},
		latest: map[string]uint64{},
		claims: map[uint64]string{},
	}
}

func (w *configWatch) acknowledged() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.acks)
}

func (w *configWatch) number() uint64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.next++
	return w.next
}

// run looks at all processes until ctx ends.
func (w *configWatch) run(ctx context.Context) {
	for pause(ctx, watchEvery) {
		for _, p := range w.s.cluster.procs {
			w.check(p)
		}
	}
}

// objects are the ticket numbers of a replica's objects.
func objects(r *state.Replica) map[string]uint64 {
	all := map[string]uint64{}
	for name, q := range r.Config.Quotas {
		all["quota "+name] = q.Ticket
	}
	for name, d := range r.Config.Drains {
		all["drain "+name] = d.Ticket
	}
	return all
}

func (w *configWatch) check(p *Process) {
	life := p.Life()
	members := life.Members()
	if members == nil || !life.stopped.IsZero() {
		return
	}
	replica := members.Replica()
	if replica.Revision == 0 {
		return
	}
	now := objects(replica)
	w.mu.Lock()
	defer w.mu.Unlock()
	// A restarted process may not show an older configuration than its earlier life.
	for name, number := range w.seen[p.ID] {
		if now[name] < number {
			w.s.ledger.Violate("I8", "%s went from ticket %d to %d of %s", p.ID, number, now[name], name)
		}
	}
	w.seen[p.ID] = now
	w.checkInForce(p, now)
}

// checkInForce checks the bound of I8 at a process that has been connected to
// a majority of control VMs for as long. The caller holds mu.
func (w *configWatch) checkInForce(p *Process, now map[string]uint64) {
	since := time.Now().Add(-inForceBound)
	if w.s.faults.isCut(p.ID) || p.Disturbed().After(since) || w.controlSince().After(since) {
		return
	}
	for _, a := range w.acks {
		if a.at.Before(since) && now[a.object] < a.number {
			w.s.ledger.Violate("I8", "%s has ticket %d of %s, not %d, which was applied %s ago",
				p.ID, now[a.object], a.object, a.number, time.Since(a.at))
		}
	}
}

// controlSince is the time since which a fixed majority of control VMs has
// been up and connected.
func (w *configWatch) controlSince() time.Time {
	if w.s.faults.isRepairing() {
		return time.Now()
	}
	return w.s.undisturbed(soakSize.Controls, ControlID)[soakSize.Controls/2]
}

// healthySince also asks for an entry.
func (w *configWatch) healthySince() time.Time {
	entry := w.s.undisturbed(soakSize.Entries, EntryID)[0]
	if control := w.controlSince(); control.After(entry) {
		return control
	}
	return entry
}

// undisturbed lists since when the processes of a role are up and connected,
// the longest first.
func (s *soak) undisturbed(n int, id func(int) string) []time.Time {
	list := make([]time.Time, n)
	for i := range list {
		p := s.cluster.Process(id(i))
		list[i] = p.Disturbed()
		if life := p.Life(); life == nil || !life.stopped.IsZero() || s.faults.isCut(p.ID) {
			list[i] = time.Now()
		}
	}
	slices.SortFunc(list, time.Time.Compare)
	return list
}

// race lets operators apply different contents under one number.
func (w *configWatch) race(r *rand.Rand) {
	number := w.number()
	caller := fmt.Sprintf("team-%d", r.IntN(6))
	for i := range 1 + r.IntN(3) {
		author := fmt.Sprintf("operator-%d", i)
		patience := time.Duration(5+r.IntN(3000)) * time.Millisecond
		t := &rpc.Ticket{Number: number, Author: author, Quotas: []*rpc.Quota{
			{Caller: caller, MaxTasks: 10_000, Weight: int64(1 + i)},
		}}
		w.s.work.Go(func() { w.apply(t, "quota "+caller, patience) })
	}
}

// apply sends a ticket until there is an answer, and once more after it.
func (w *configWatch) apply(t *rpc.Ticket, object string, patience time.Duration) *rpc.ApplyTicketResponse {
	o := w.s.cluster.Operator(t.Author)
	defer o.Close()
	ctx, cancel := context.WithTimeout(w.s.ctx, ticketPatience)
	defer cancel()
	var last *rpc.ApplyTicketResponse
	for answers := 0; answers < 2 && ctx.Err() == nil; {
		// The first answers may be lost, which makes the operator send again.
		bounded, stop := context.WithTimeout(ctx, patience)
		resp, err := o.ApplyTicket(bounded, &rpc.ApplyTicketRequest{Ticket: t})
		stop()
		patience = 5 * time.Second
		if err != nil {
			pause(ctx, operatorPause)
			continue
		}
		w.answered(t, object, resp)
		last = resp
		answers++
	}
	return last
}

// answered checks the answer to a ticket against all earlier ones.
func (w *configWatch) answered(t *rpc.Ticket, object string, resp *rpc.ApplyTicketResponse) {
	w.mu.Lock()
	defer w.mu.Unlock()
	a, known := w.acks[t.Number]
	switch state.TicketStatus(resp.Status) {
	case state.TicketApplied, state.TicketRepeated:
		if known && (a.author != t.Author || a.revision != resp.Revision) {
			w.s.ledger.Violate("ticket", "number %d is applied for %s at %d and for %s at %d",
				t.Number, a.author, a.revision, t.Author, resp.Revision)
		}
		if !known {
			w.acks[t.Number] = applied{t.Number, t.Author, resp.Revision, object, time.Now()}
		}
	case state.TicketConflict:
		w.claim(t.Number, resp.WinnerAuthor)
		if resp.Winner != t.Number || resp.WinnerAuthor == t.Author {
			w.s.ledger.Violate("ticket", "number %d of %s lost against %d of %s", t.Number, t.Author, resp.Winner, resp.WinnerAuthor)
		}
	case state.TicketStale:
		if known && a.author == t.Author {
			w.s.ledger.Violate("ticket", "number %d of %s was applied and is now stale", t.Number, t.Author)
		}
		if resp.Winner <= t.Number {
			w.s.ledger.Violate("ticket", "number %d is stale against %d", t.Number, resp.Winner)
		}
	}
}

// claim notes the winner that a refusal named. The caller holds mu.
func (w *configWatch) claim(number uint64, author string) {
	if old, ok := w.claims[number]; ok && old != author {
		w.s.ledger.Violate("ticket", "number %d is said to be won by %s and by %s", number, old, author)
	}
	w.claims[number] = author
}

// bulk applies hundreds of tickets.
func (w *configWatch) bulk() {
	var batch sync.WaitGroup
	for i := range bulkTickets {
		caller := fmt.Sprintf("bulk-%d", i)
		t := &rpc.Ticket{Number: w.number(), Author: fmt.Sprintf("bulk-%d", i%4), Quotas: []*rpc.Quota{{Caller: caller, Weight: 1}}}
		batch.Go(func() { w.apply(t, "quota "+caller, 5*time.Second) })
		if i%20 == 0 {
			batch.Wait()
		}
	}
	batch.Wait()
}

// drain applies a drain mark; it returns when the mark was acknowledged, or
// zero if it was not.
func (w *configWatch) drain(endpoint string, drain bool) time.Time {
	t := &rpc.Ticket{Number: w.number(), Author: "drainer", Drains: []*rpc.DrainMark{{Endpoint: endpoint, Drain: drain}}}
	w.apply(t, "drain "+endpoint, 5*time.Second)
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.acks[t.Number].at
}

// checkFinal checks that no acknowledged ticket was lost.
func (w *configWatch) checkFinal() {
	o := w.s.cluster.Operator("operator-final")
	defer o.Close()
	ctx, cancel := context.WithTimeout(w.s.ctx, 10*time.Second)
	defer cancel()
	resp, err := o.ListTickets(ctx, &rpc.ListTicketsRequest{})
	if err != nil {
		w.s.ledger.Violate("liveness", "tickets can't be listed after all faults ended: %v", err)
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	kept := map[uint64]*rpc.AppliedTicket{}
	for _, t := range resp.Tickets {
		kept[t.Ticket.Number] = t
	}
	for number, a := range w.acks {
		t := kept[number]
		if t == nil || t.Ticket.Author != a.author || t.Revision != a.revision {
			w.s.ledger.Violate("I8", "ticket %d of %s at %d is now %v", number, a.author, a.revision, t)
		}
	}
	for number, author := range w.claims {
		if t := kept[number]; t == nil || t.Ticket.Author != author {
			w.s.ledger.Violate("ticket", "number %d was said to be won by %s and is %v", number, author, t)
		}
	}
}
