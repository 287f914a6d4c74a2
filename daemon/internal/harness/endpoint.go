package harness

import (
	"context"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/cicadapulley/cicadapulley/api/callers"
	"github.com/cicadapulley/cicadapulley/core/job"
	"github.com/cicadapulley/cicadapulley/daemon/dev/standin"
	"github.com/cicadapulley/cicadapulley/daemon/settings"
	"github.com/cicadapulley/cicadapulley/daemon/transport"
)

// Kinds of the test service in addition to those of package standin.
const (
	ServiceName = "demo"
	// KindQuote is repeatable, so its calls are not recorded.
	KindQuote = "quote"
	// KindWrongEstimate declares a run time far from the actual one.
	KindWrongEstimate = "liar"
	// KindHuge needs more than any worker has.
	KindHuge = "huge"
	// KindOrphan is served by no agent.
	KindOrphan = "orphan"
)

// ServedKinds returns the kinds that the agents announce.
func ServedKinds() []settings.ServedKind {
	var list []settings.ServedKind
	for _, k := range []string{standin.KindSleep, standin.KindFail, standin.KindHold, KindQuote, KindWrongEstimate, KindHuge} {
		list = append(list, settings.ServedKind{Service: ServiceName, Kind: k})
	}
	return list
}

// Start is one request that reached an endpoint.
type Start struct {
	Key      job.TaskKey
	Endpoint string
	At       time.Time
}

// Starts records all starts at all endpoints.
type Starts struct {
	mu    sync.Mutex
	list  []Start
	byJob map[job.Key][]Start
}

func newStarts() *Starts { return &Starts{byJob: map[job.Key][]Start{}} }

func (s *Starts) add(start Start) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.list = append(s.list, start)
	s.byJob[start.Key.Job] = append(s.byJob[start.Key.Job], start)
}

// OfJob returns the starts of a job.
func (s *Starts) OfJob(k job.Key) []Start {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.byJob[k])
}

// Count returns the number of starts of a task.
func (s *Starts) Count(k job.TaskKey) int {
	n := 0
	for _, start := range s.OfJob(k.Job) {
		if start.Key == k {
			n++
		}
	}
	return n
}

// All returns all starts in order.
func (s *Starts) All() []Start {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.list)
}

// Endpoint is a stand-in endpoint. It keeps running when its agent is killed.
type Endpoint struct {
	*standin.Endpoint
	name    string
	address string
	starts  *Starts
	stop    context.CancelFunc
}

// ServeHTTP records the start and serves the request.
func (e *Endpoint) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	task, _ := strconv.Atoi(r.Header.Get(callers.HeaderTask)) // the agent always sends a number
	e.starts.add(Start{
		Key: job.TaskKey{
			Job:  job.Key{Caller: r.Header.Get(callers.HeaderCaller), ID: r.Header.Get(callers.HeaderJob)},
			Task: task,
		},
		Endpoint: e.name,
		At:       time.Now(),
	})
	e.Endpoint.ServeHTTP(w, r)
}

// endpoint returns the endpoint of an agent and starts it at the first use.
func (c *Cluster) endpoint(agent string) (*Endpoint, error) {
	if e := c.Endpoints[agent]; e != nil {
		return e, nil
	}
	counts, err := standin.OpenStarts("")
	if err != nil {
		return nil, err
	}
	ctx, stop := context.WithCancel(context.Background())
	e := &Endpoint{name: agent, address: agent + ".endpoint:1", starts: c.Starts, stop: stop}
	l, err := c.endpointNet.Host(agent+".endpoint").Listen(ctx, e.address)
	if err != nil {
		stop()
		return nil, err
	}
	e.Endpoint = standin.New(l, counts, standin.Behaviour{Mode: standin.Normal, Speed: 1})
	c.Endpoints[agent] = e
	go func() { _ = transport.Serve(ctx, transport.NewServer(e, nil), l, time.Second) }()
	return e, nil
}

// formatClock formats the time of a hybrid logical clock, without its counter.
func formatClock(clock uint64) string {
	return time.UnixMilli(int64(clock >> 16)).UTC().Format("04:05.000")
}
