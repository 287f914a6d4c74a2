package cli

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/twitchtv/twirp"
	"gotest.tools/v3/assert"

	"github.com/cicadapulley/cicadapulley/api/codec"
	"github.com/cicadapulley/cicadapulley/api/rpc"
	"github.com/cicadapulley/cicadapulley/client/internal/exit"
	"github.com/cicadapulley/cicadapulley/client/internal/ticketfile"
	"github.com/cicadapulley/cicadapulley/core/state"
)

// fakeControl is a control VM with the real state machine but without a log.
type fakeControl struct {
	rpc.Operator // methods that no test calls

	mu      sync.Mutex
	machine *state.Machine
	index   uint64
	// answersToDrop is the number of ApplyTicket answers to drop after the ticket
	// is applied.
	answersToDrop int
	// racingTicket, if set, is applied just before the next ticket.
	racingTicket *state.Ticket
	behind       []string
	waitRequests []*rpc.WaitTicketRequest
	status       *rpc.StatusResponse
}

func newFakeControl() *fakeControl {
	return &fakeControl{machine: state.New(state.Retention{Tickets: 100}), status: &rpc.StatusResponse{Id: "c1"}}
}

func startFakeControl(t *testing.T) (*fakeControl, string) {
	t.Helper()
	c := newFakeControl()
	twirpServer := rpc.NewOperatorServer(c)
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		recorder := httptest.NewRecorder()
		twirpServer.ServeHTTP(recorder, r)
		if strings.HasSuffix(r.URL.Path, "/ApplyTicket") && c.dropsAnswer() {
			panic(http.ErrAbortHandler)
		}
		for k, v := range recorder.Header() {
			w.Header()[k] = v
		}
		w.WriteHeader(recorder.Code)
		_, _ = w.Write(recorder.Body.Bytes())
	}))
	t.Cleanup(s.Close)
	return c, strings.TrimPrefix(s.URL, "http://")
}

func (c *fakeControl) dropsAnswer() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.answersToDrop--
	return c.answersToDrop >= 0
}

func (c *fakeControl) apply(t state.Ticket) *state.TicketResult {
	c.index++
	encoded, _ := ticketfile.Encode(t) // a ticket can always be encoded
	command := &state.ApplyTicket{Ticket: t, Digest: sha256.Sum256(encoded)}
	return c.machine.Apply(c.index, state.Command{ApplyTicket: command}).Ticket
}

func (c *fakeControl) ApplyTicket(_ context.Context, q *rpc.ApplyTicketRequest) (*rpc.ApplyTicketResponse, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.racingTicket != nil {
		c.apply(*c.racingTicket)
		c.racingTicket = nil
	}
	t := codec.TicketFromRPC(q.Ticket)
	if err := t.Validate(); err != nil {
		return nil, twirp.InvalidArgument.Error(err.Error())
	}
	r := c.apply(t)
	return &rpc.ApplyTicketResponse{Status: uint32(r.Status), Revision: r.Revision, Winner: r.Winner, WinnerAuthor: r.WinnerAuthor, Object: r.Object}, nil
}

func (c *fakeControl) ListTickets(context.Context, *rpc.ListTicketsRequest) (*rpc.ListTicketsResponse, error) {
	resp := &rpc.ListTicketsResponse{}
	for _, t := range c.machine.Tickets() {
		resp.Tickets = append(resp.Tickets, codec.AppliedTicketToRPC(t))
	}
	return resp, nil
}

func (c *fakeControl) GetTicket(_ context.Context, q *rpc.GetTicketRequest) (*rpc.GetTicketResponse, error) {
	t, found := c.machine.Ticket(q.Number)
	return &rpc.GetTicketResponse{Found: found, Ticket: codec.AppliedTicketToRPC(t)}, nil
}

func (c *fakeControl) GetConfig(context.Context, *rpc.GetConfigRequest) (*rpc.GetConfigResponse, error) {
	resp := codec.ConfigToRPC(c.machine.Config())
	resp.Revision, resp.HighestTicket = c.machine.ConfigRevision(), c.machine.HighestTicket()
	return resp, nil
}

func (c *fakeControl) WaitTicket(_ context.Context, q *rpc.WaitTicketRequest) (*rpc.WaitTicketResponse, error) {
	c.waitRequests = append(c.waitRequests, q)
	if len(c.behind) > 0 {
		time.Sleep(time.Duration(q.MaxWaitMs) * time.Millisecond)
	}
	return &rpc.WaitTicketResponse{InForce: len(c.behind) == 0, Behind: c.behind}, nil
}

func (c *fakeControl) Status(context.Context, *rpc.StatusRequest) (*rpc.StatusResponse, error) {
	return c.status, nil
}

// ChangeGroup promotes a learner on the third request for it.
func (c *fakeControl) ChangeGroup(_ context.Context, q *rpc.ChangeGroupRequest) (*rpc.ChangeGroupResponse, error) {
	i := slices.IndexFunc(c.status.Group, func(vm *rpc.ControlVM) bool { return vm.Id == q.Id })
	switch {
	case q.Remove && i < 0:
		return &rpc.ChangeGroupResponse{Message: "invalid group change: no such server"}, nil
	case q.Remove:
		c.status.Group = slices.Delete(c.status.Group, i, i+1)
	case i < 0:
		c.status.Group = append(c.status.Group, &rpc.ControlVM{Id: q.Id, Address: q.Address})
	case c.status.Group[i].MatchIndex < 1:
		c.status.Group[i].MatchIndex++
		return &rpc.ChangeGroupResponse{Message: "server has not caught up"}, nil
	default:
		c.status.Group[i].Voter = true
	}
	return &rpc.ChangeGroupResponse{Done: true}, nil
}

// result holds the exit code and the output of one invocation.
type result struct {
	code           exit.Code
	stdout, stderr string
}

// run invokes the command line. env has the addresses of the fake servers.
func run(t *testing.T, env map[string]string, in string, args ...string) result {
	t.Helper()
	return runApp(t.Context(), app{}, env, in, args...)
}

// run invokes the command line with c as the control VMs and without a network,
// for tests in virtual time.
func (c *fakeControl) run(args ...string) result {
	return runApp(context.Background(), app{control: c}, nil, "", args...)
}

func runApp(ctx context.Context, a app, env map[string]string, in string, args ...string) result {
	var stdout, stderr bytes.Buffer
	a.streams = Streams{In: strings.NewReader(in), Out: &stdout, Err: &stderr, Progress: true}
	code := a.execute(ctx, args, func(name string) string { return env[name] })
	return result{code, stdout.String(), stderr.String()}
}

func (r result) decodeJSON(t *testing.T, v any) {
	t.Helper()
	assert.NilError(t, json.Unmarshal([]byte(r.stdout), v), r.stdout+r.stderr)
}
