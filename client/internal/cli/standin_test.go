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

// control is a control VM: the real replicated state without its log.
type control struct {
	rpc.Operator // methods that no test calls

	mu      sync.Mutex
	machine *state.Machine
	index   uint64
	// lose is the number of answers to tickets that are lost on their way.
	lose int
	// race applies another ticket just before the next one.
	race   *state.Ticket
	behind []string
	waits  []*rpc.WaitTicketRequest
	status *rpc.StatusResponse
}

func newControl() *control {
	return &control{machine: state.New(state.Retention{Tickets: 100}), status: &rpc.StatusResponse{Id: "c1"}}
}

func startControl(t *testing.T) (*control, string) {
	t.Helper()
	c := newControl()
	twirpServer := rpc.NewOperatorServer(c)
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		answer := httptest.NewRecorder()
		twirpServer.ServeHTTP(answer, r)
		if strings.HasSuffix(r.URL.Path, "/ApplyTicket") && c.loses() {
			panic(http.ErrAbortHandler)
		}
		for k, v := range answer.Header() {
			w.Header()[k] = v
		}
		w.WriteHeader(answer.Code)
		_, _ = w.Write(answer.Body.Bytes())
	}))
	t.Cleanup(s.Close)
	return c, strings.TrimPrefix(s.URL, "http://")
}

func (c *control) loses() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lose--
	return c.lose >= 0
}

func (c *control) apply(t state.Ticket) *state.TicketResult {
	c.index++
	content, _ := ticketfile.Encode(t) // a ticket can always be encoded
	command := &state.ApplyTicket{Ticket: t, Digest: sha256.Sum256(content)}
	return c.machine.Apply(c.index, state.Command{ApplyTicket: command}).Ticket
}

func (c *control) ApplyTicket(_ context.Context, q *rpc.ApplyTicketRequest) (*rpc.ApplyTicketResponse, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.race != nil {
		c.apply(*c.race)
		c.race = nil
	}
	t := codec.TicketFromRPC(q.Ticket)
	if err := t.Validate(); err != nil {
		return nil, twirp.InvalidArgument.Error(err.Error())
	}
	r := c.apply(t)
	return &rpc.ApplyTicketResponse{Status: uint32(r.Status), Revision: r.Revision, Winner: r.Winner, WinnerAuthor: r.WinnerAuthor, Object: r.Object}, nil
}

func (c *control) ListTickets(context.Context, *rpc.ListTicketsRequest) (*rpc.ListTicketsResponse, error) {
	resp := &rpc.ListTicketsResponse{}
	for _, t := range c.machine.Tickets() {
		resp.Tickets = append(resp.Tickets, codec.AppliedTicketToRPC(t))
	}
	return resp, nil
}

func (c *control) GetTicket(_ context.Context, q *rpc.GetTicketRequest) (*rpc.GetTicketResponse, error) {
	t, found := c.machine.Ticket(q.Number)
	return &rpc.GetTicketResponse{Found: found, Ticket: codec.AppliedTicketToRPC(t)}, nil
}

func (c *control) GetConfig(context.Context, *rpc.GetConfigRequest) (*rpc.GetConfigResponse, error) {
	resp := codec.ConfigToRPC(c.machine.Config())
	resp.Revision, resp.HighestTicket = c.machine.ConfigRevision(), c.machine.HighestTicket()
	return resp, nil
}

func (c *control) WaitTicket(_ context.Context, q *rpc.WaitTicketRequest) (*rpc.WaitTicketResponse, error) {
	c.waits = append(c.waits, q)
	if len(c.behind) > 0 {
		time.Sleep(time.Duration(q.MaxWaitMs) * time.Millisecond)
	}
	return &rpc.WaitTicketResponse{InForce: len(c.behind) == 0, Behind: c.behind}, nil
}

func (c *control) Status(context.Context, *rpc.StatusRequest) (*rpc.StatusResponse, error) {
	return c.status, nil
}

// ChangeGroup catches a learner up on the third request for it.
func (c *control) ChangeGroup(_ context.Context, q *rpc.ChangeGroupRequest) (*rpc.ChangeGroupResponse, error) {
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

// result is what one run of the command line left.
type result struct {
	code     exit.Code
	out, err string
}

// run runs the command line with an environment of the stand-ins' addresses.
func run(t *testing.T, env map[string]string, in string, args ...string) result {
	t.Helper()
	return runApp(t.Context(), app{}, env, in, args...)
}

// run runs the command line without a network, in virtual time.
func (c *control) run(args ...string) result {
	return runApp(context.Background(), app{control: c}, nil, "", args...)
}

func runApp(ctx context.Context, a app, env map[string]string, in string, args ...string) result {
	var out, errs bytes.Buffer
	a.streams = Streams{In: strings.NewReader(in), Out: &out, Err: &errs, Progress: true}
	code := a.execute(ctx, args, func(name string) string { return env[name] })
	return result{code, out.String(), errs.String()}
}

func (r result) json(t *testing.T, v any) {
	t.Helper()
	assert.NilError(t, json.Unmarshal([]byte(r.out), v), r.out+r.err)
}
