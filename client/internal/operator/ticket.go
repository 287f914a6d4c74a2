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
	waitSlice = 2 * time.Second
	// maxRaces bounds how often a drain mark is written anew after another
	// ticket took its number. Operators act by hand, so few races are lost in a row.
	maxRaces = 20
)

// Applied is a ticket that is committed.
type Applied struct {
	Number   uint64
	Revision uint64
	// Repeated means that the same ticket had been applied before.
	Repeated bool
}

// Apply applies a ticket. It is sent again while answers are lost, which is
// safe: the same ticket is applied once. A ticket that lost to another has the
// exit code TicketLost.
func (c *Client) Apply(ctx context.Context, t state.Ticket) (Applied, error) {
	resp, err := c.Control.ApplyTicket(ctx, &rpc.ApplyTicketRequest{Ticket: codec.TicketToRPC(t)})
	if err != nil {
		return Applied{}, ticketFailure(t.Number, err)
	}
	switch state.TicketStatus(resp.Status) {
	case state.TicketApplied:
		return Applied{Number: t.Number, Revision: resp.Revision}, nil
	case state.TicketRepeated:
		return Applied{Number: t.Number, Revision: resp.Revision, Repeated: true}, nil
	case state.TicketConflict:
		return Applied{}, exit.Errorf(exit.TicketLost, "ticket %d lost: %s already applied another ticket with this number",
			t.Number, author(resp.WinnerAuthor))
	case state.TicketStale:
		return Applied{}, exit.Errorf(exit.TicketLost, "ticket %d lost: %s has the newer ticket %d of %s",
			t.Number, resp.Object, resp.Winner, author(resp.WinnerAuthor))
	}
	return Applied{}, exit.Errorf(exit.Failure, "ticket %d: unknown status %d", t.Number, resp.Status)
}

// ticketFailure says whether control may have taken the ticket.
func ticketFailure(number uint64, err error) error {
	coded := failure(fmt.Sprintf("apply ticket %d", number), err)
	var lost *controlclient.NoLeaderError
	if errors.As(err, &lost) && lost.MaybeApplied {
		return exit.Errorf(exit.Of(coded), "%w; it may have been applied, and sending it again is safe", coded)
	}
	return coded
}

func author(name string) string {
	if name == "" {
		return "an unnamed author"
	}
	return fmt.Sprintf("author %q", name)
}

// Tickets lists the kept tickets in the order in which they were applied.
func (c *Client) Tickets(ctx context.Context) ([]state.AppliedTicket, error) {
	resp, err := c.Control.ListTickets(ctx, &rpc.ListTicketsRequest{})
	if err != nil {
		return nil, failure("list tickets", err)
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
		return state.AppliedTicket{}, failure(fmt.Sprintf("read ticket %d", number), err)
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
		hold := waitSlice
		if deadline, ok := ctx.Deadline(); ok {
			hold = min(hold, time.Until(deadline))
		}
		resp, err := c.waitOnce(ctx, revision, hold)
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
		sleep(ctx, pollPause)
	}
}

// waitOnce holds one call for a time. The answer to a call that is held until
// ctx ends would be lost, so the call gets some time beyond it. Cancelling ctx
// earlier, as an interrupt does, still ends the call.
func (c *Client) waitOnce(ctx context.Context, revision uint64, hold time.Duration) (*rpc.WaitTicketResponse, error) {
	call, cancel := context.WithTimeout(context.WithoutCancel(ctx), max(hold, 0)+answerMargin)
	defer cancel()
	defer context.AfterFunc(ctx, func() {
		if errors.Is(ctx.Err(), context.Canceled) {
			cancel()
		}
	})()
	request := &rpc.WaitTicketRequest{Revision: revision, MaxWaitMs: max(1, hold.Milliseconds())}
	resp, err := c.Control.WaitTicket(call, request)
	if err != nil {
		return nil, failure(fmt.Sprintf("wait for revision %d", revision), err)
	}
	return resp, nil
}

// answerMargin is the time beyond a held call in which its answer arrives. An
// election within it takes several hundred milliseconds.
const answerMargin = 2 * time.Second

// SetDrain writes a ticket that sets or clears an endpoint's drain mark, with
// the next free number. A race lost to another ticket is tried again. applied
// is false if the mark already was as wanted.
func (c *Client) SetDrain(ctx context.Context, by, endpoint string, drain bool) (result Applied, applied bool, err error) {
	for range maxRaces {
		config, err := c.Config(ctx)
		if err != nil {
			return Applied{}, false, err
		}
		old := config.Drains[endpoint]
		if old.Drain == drain {
			return Applied{Number: old.Ticket, Revision: old.Revision}, false, nil
		}
		mark := state.DrainMark{Endpoint: endpoint, Drain: drain}
		ticket := state.Ticket{Number: config.Highest + 1, Author: by, Drains: []state.DrainMark{mark}}
		result, err = c.Apply(ctx, ticket)
		if exit.Of(err) != exit.TicketLost {
			return result, err == nil, err
		}
		c.progress("%v; trying the next number", err)
	}
	return Applied{}, false, exit.Errorf(exit.TicketLost, "drain mark of %q: lost %d races to other tickets", endpoint, maxRaces)
}
