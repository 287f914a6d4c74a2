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
	// maxWaitPerCall limits one call that waits for a ticket, so that progress is
	// reported and a new leader is found.
	maxWaitPerCall = 2 * time.Second
	// maxDrainAttempts limits how often a drain mark is written again after another
	// ticket took its number. Operators act by hand, so long series of conflicts
	// are unlikely.
	maxDrainAttempts = 20
)

// ApplyResult describes a committed ticket.
type ApplyResult struct {
	Number   uint64
	Revision uint64
	// Repeated means that the same ticket had been applied before.
	Repeated bool
}

// Apply applies a ticket. The ticket is resent while answers are lost, which is
// safe: the same ticket is applied once. If another ticket takes precedence, the
// error has the exit code TicketRefused.
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
		return ApplyResult{}, exit.Errorf(exit.TicketRefused, "ticket %d refused: %s already applied another ticket with this number",
			t.Number, describeAuthor(resp.WinnerAuthor))
	case state.TicketStale:
		return ApplyResult{}, exit.Errorf(exit.TicketRefused, "ticket %d refused: %s has the newer ticket %d of %s",
			t.Number, resp.Object, resp.Winner, describeAuthor(resp.WinnerAuthor))
	}
	return ApplyResult{}, exit.Errorf(exit.Failure, "ticket %d: unknown status %d", t.Number, resp.Status)
}

// ticketFailure is callFailure for a ticket; the message also says if the ticket
// may have been applied.
func ticketFailure(number uint64, err error) error {
	coded := callFailure(fmt.Sprintf("apply ticket %d", number), err)
	var noLeader *controlclient.NoLeaderError
	if errors.As(err, &noLeader) && noLeader.MaybeApplied {
		return exit.Errorf(exit.CodeOf(coded), "%w; the ticket may have been applied, and resending it is safe", coded)
	}
	return coded
}

func describeAuthor(name string) string {
	if name == "" {
		return "an unnamed author"
	}
	return fmt.Sprintf("author %q", name)
}

// Tickets lists the retained tickets in the order in which they were applied.
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

// Ticket returns one retained ticket.
func (c *Client) Ticket(ctx context.Context, number uint64) (state.AppliedTicket, error) {
	resp, err := c.Control.GetTicket(ctx, &rpc.GetTicketRequest{Number: number})
	if err != nil {
		return state.AppliedTicket{}, callFailure(fmt.Sprintf("read ticket %d", number), err)
	}
	if !resp.Found {
		return state.AppliedTicket{}, exit.Errorf(exit.Failure, "ticket %d: not applied, or no longer retained", number)
	}
	return codec.AppliedTicketFromRPC(resp.Ticket), nil
}

// Wait returns once every active process has a revision in force. If ctx ends
// first, it returns the processes that are behind and an error with the exit code
// NotInForce.
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
			return resp.Behind, exit.Errorf(exit.NotInForce, "timed out: revision %d is not in force in every active process", revision)
		}
		c.progress("waiting for %s", strings.Join(resp.Behind, ", "))
		// A leader that is stopping answers at once; the delay limits the rate of
		// calls in that case.
		sleep(ctx, pollInterval)
	}
}

// waitOnce makes one call that waits for up to maxWait. If the call ended with
// the deadline of ctx, its answer would be lost, so the call may take answerMargin
// longer. Cancelling ctx earlier, as an interrupt does, still ends the call.
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

// answerMargin is the time after the longest wait in which the answer must arrive.
// It allows for an election, which takes several hundred milliseconds.
const answerMargin = 2 * time.Second

// SetDrain applies a ticket that sets or clears an endpoint's drain mark, with
// the next free number. If another ticket takes that number first, it retries.
// changed is false if the mark already had the wanted value.
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
	return ApplyResult{}, false, exit.Errorf(exit.TicketRefused, "drain mark of %q: another ticket took the number in each of %d attempts", endpoint, maxDrainAttempts)
}
