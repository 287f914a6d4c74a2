package entry

import (
	"context"
	"errors"
	"net/http/httptrace"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"github.com/cicadapulley/cicadapulley/api/rpc"
	"github.com/cicadapulley/cicadapulley/core/dispatch"
	"github.com/cicadapulley/cicadapulley/core/job"
	"github.com/cicadapulley/cicadapulley/core/state"
	"github.com/cicadapulley/cicadapulley/core/verdict"
	"github.com/cicadapulley/cicadapulley/daemon/events"
)

// startingAgent starts the first call and loses its connection, and refuses every later one as busy.
type startingAgent struct {
	rpc.Agent
	started int
}

func (a *startingAgent) Run(ctx context.Context, _ *rpc.RunRequest) (*rpc.RunResponse, error) {
	httptrace.ContextClientTrace(ctx).GotConn(httptrace.GotConnInfo{})
	if a.started == 0 {
		a.started++
		return nil, errors.New("connection reset by peer")
	}
	return &rpc.RunResponse{Refusal: &rpc.Failure{Code: string(verdict.CodeEndpointBusy), Verdict: rpc.Verdict(verdict.NotRun)}}, nil
}

// TestRepeatedCallMayHaveRun guards against a repeatable call that is answered with not_run, because its last try
// was refused, although an earlier try may have run.
func TestRepeatedCallMayHaveRun(t *testing.T) {
	log := events.NewLog("entry", zap.NewNop(), events.NewClock())
	d := newDispatcher(dispatch.Options{})
	kind := state.Kind{Name: "k", Repeatable: true, ExpectedMS: 10}
	member := state.Member{ID: "agent-1", Slots: 1}
	agent := &startingAgent{}
	peers := &peerSet{dispatcher: d, log: log, byID: map[string]*peer{"agent-1": {member: member, agent: agent, log: log}}}
	d.configure([]dispatch.Endpoint{{ID: "agent-1", Slots: 1, Serves: []state.ServedKind{{Service: "s", Kind: "k"}}}}, nil, 100)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() { _ = d.Run(ctx) }()
	m := &jobManager{
		service: &Service{dispatcher: d, peers: peers}, log: log, active: map[job.Key]*activeJob{}, calls: map[job.Key]*activeCall{},
		removed: make(chan struct{}), sender: &sender{peers: peers, dispatcher: d, log: log, entryID: "entry-1"},
	}
	result, err := m.call(ctx, call{
		key: job.Key{Caller: "c", ID: "call:1"}, service: "s", kind: kind, payload: []byte("{}"), deadline: time.Now().Add(500 * time.Millisecond),
	}, func() *verdict.Error { return nil })
	assert.Assert(t, err == nil)
	t.Logf("started %d times, result %+v", agent.started, result)
	assert.Equal(t, agent.started, 1)
	assert.Assert(t, result.Verdict != verdict.NotRun, "%+v", result)
}
