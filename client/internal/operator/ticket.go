package operator

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/cicadapulley/cicadapulley/api/codec"
	"github.com/cicadapulley/cicadapulley/api/controlclient"
	"github.com/cicadapulley/cicadapulley/api/rpc"
	"github.com/cicadapulley/cicadapulley/client/internal/exit"
	"github.com/cicadapulley/cicadapulley/core/state"
)

const (
	// waitSlice bounds one call that waits for a ticket, so that progress is
	// reported and a new leader is found.
	maxWaitPerCall = 2 * time.Second
	// maxRaces bounds how often a drain mark is written anew after another
	// ticket took its number. Operators act by hand, so few races are lost in a row.
	maxDrainAttempts = 20
)

// Applied is a ticket that is committed.
type ApplyResult struct {
	Number   uint64
	Revision uint64
	// Repeated means that the same ticket had been applied before.
	Repeated bool
}

// Apply applies a ticket. It is sent again while answers are lost, which is
// safe: the same ticket is applied once. A ticket that lost to another has the
// exit code TicketLost.
func (c *Client) Apply(ctx context.Context, t state.Ticket) (ApplyResult, error) {
	resp, err := c.Control.ApplyTicket(ctx, &rpc.ApplyTicketRequest{Ticket: codec.TicketToRPC(t)})
	if err != nil {
		return ApplyResult{}, ticketFailure(t.Number, err)
	}
	switch state.TicketStatus(resp.Status) {
	case state.TicketApplied:
		return ApplyResult{Number: t.Number, Revision: resp.Revision}, nil
	case state.TicketRepeated:
		return ApplyResult{Number: t.Number, Revision: resp.Revision, Repeated: true}, nil
	case state.TicketConflict:
		return ApplyResult{}, exit.Errorf(exit.TicketRefused, "ticket %d lost: %s already applied another ticket with this number",
			t.Number, describeAuthor(resp.WinnerAuthor))
	case state.TicketStale:
		return ApplyResult{}, exit.Errorf(exit.TicketRefused, "ticket %d lost: %s has the newer ticket %d of %s",
			t.Number, resp.Object, resp.Winner, describeAuthor(resp.WinnerAuthor))
	}
	return ApplyResult{}, exit.Errorf(exit.Failure, "ticket %d: unknown status %d", t.Number, resp.Status)
}

// ticketFailure says whether control may have taken the ticket.
func ticketFailure(number uint64, err error) error {
	coded := callFailure(fmt.Sprintf("apply ticket %d", number), err)
	var noLeader *controlclient.ErrNoLeader
	if errors.As(err, &noLeader) && noLeader.MaybeApplied {
		return exit.Errorf(exit.CodeOf(coded), "%w; it may have been applied, and sending it again is safe", coded)
	}
	return coded
}

func describeAuthor(name string) string {
	if name == "" {
		return "an unnamed author"
	}
	return fmt.Sprintf("author %q", name)
}

// Tickets lists the kept tickets in the order in which they were applied.
func (c *Client) Tickets(ctx context.Context) ([]state.AppliedTicket, error) {
	resp, err := c.Control.ListTickets(ctx, &rpc.ListTicketsRequest{})
	if err != nil {
		return nil, callFailure("list tickets", err)
	}
	list := make([]state.AppliedTicket, len(resp.Tickets))
	for i, t := range resp.Tickets {
		list[i] = codec.AppliedTicketFromRPC(t)
	}
	return list, nil
}

// Ticket returns one kept ticket.
func (c *Client) Ticket(ctx context.Context, number uint64) (state.AppliedTicket, error) {
	resp, err := c.Control.GetTicket(ctx, &rpc.GetTicketRequest{Number: number})
	if err != nil {
		return state.AppliedTicket{}, callFailure(fmt.Sprintf("read ticket %d", number), err)
	}
	if !resp.Found {
		return state.AppliedTicket{}, exit.Errorf(exit.Failure, "ticket %d: not applied, or too old to be kept", number)
	}
	return codec.AppliedTicketFromRPC(resp.Ticket), nil
}

// Wait returns once every active process has a revision in force. When ctx
// ends first, it returns the processes that are behind and the code NotInForce.
func (c *Client) Wait(ctx context.Context, revision uint64) ([]string, error) {
	for {
		maxWait := maxWaitPerCall
		if deadline, ok := ctx.Deadline(); ok {
			maxWait = min(maxWait, time.Until(deadline))
		}
		resp, err := c.waitOnce(ctx, revision, maxWait)
		if err != nil {
			return nil, err
		}
		if resp.InForce {
			return nil, nil
		}
		if ctx.Err() != nil {
			return resp.Behind, exit.Errorf(exit.NotInForce, "revision %d is not in force everywhere in time", revision)
		}
		c.progress("waiting for %s", strings.Join(resp.Behind, ", "))
		// A leader that stops answers at once; this pause bounds the calls then.
		sleep(ctx, pollInterval)
	}
}

// waitOnce holds one call for a time. The answer to a call that is held until
// ctx ends would be lost, so the call gets some time beyond it. Cancelling ctx
// earlier, as an interrupt does, still ends the call.
func (c *Client) waitOnce(ctx context.Context, revision uint64, maxWait time.Duration) (*rpc.WaitTicketResponse, error) {
	callCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), max(maxWait, 0)+answerMargin)
	defer cancel()
	defer context.AfterFunc(ctx, func() {
		if errors.Is(ctx.Err(), context.Canceled) {
			cancel()
		}
	})()
	request := &rpc.WaitTicketRequest{Revision: revision, MaxWaitMs: max(1, maxWait.Milliseconds())}
	resp, err := c.Control.WaitTicket(callCtx, request)
	if err != nil {
		return nil, callFailure(fmt.Sprintf("wait for revision %d", revision), err)
	}
	return resp, nil
}

// answerMargin is the time beyond a held call in which its answer arrives. An
// election within it takes several hundred milliseconds.
const answerMargin = 2 * time.Second

// SetDrain writes a ticket that sets or clears an endpoint's drain mark, with
// the next free number. A race lost to another ticket is tried again. applied
// is false if the mark already was as wanted.
func (c *Client) SetDrain(ctx context.Context, author, endpoint string, drain bool) (result ApplyResult, changed bool, err error) {
	for range maxDrainAttempts {
		config, err := c.Config(ctx)
		if err != nil {
			return ApplyResult{}, false, err
		}
		old := config.Drains[endpoint]
		if old.Drain == drain {
			return ApplyResult{Number: old.Ticket, Revision: old.Revision}, false, nil
		}
		mark := state.DrainMark{Endpoint: endpoint, Drain: drain}
		ticket := state.Ticket{Number: config.HighestTicket + 1, Author: author, Drains: []state.DrainMark{mark}}
		result, err = c.Apply(ctx, ticket)
		if exit.CodeOf(err) != exit.TicketRefused {
			return result, err == nil, err
		}
		c.progress("%v; trying the next number", err)
	}
	return ApplyResult{}, false, exit.Errorf(exit.TicketRefused, "drain mark of %q: lost %d races to other tickets", endpoint, maxDrainAttempts)
}
