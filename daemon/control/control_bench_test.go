package control

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"github.com/cicadapulley/cicadapulley/core/job"
	"github.com/cicadapulley/cicadapulley/core/raft"
	"github.com/cicadapulley/cicadapulley/core/state"
	"github.com/cicadapulley/cicadapulley/daemon/dev/precise"
	"github.com/cicadapulley/cicadapulley/daemon/events"
	"github.com/cicadapulley/cicadapulley/daemon/memnet"
	"github.com/cicadapulley/cicadapulley/daemon/settings"
)

// Modelled delays at the users' sites: a synced write, and a link between data
// centres.
const (
	modelledSync = 4 * time.Millisecond
	modelledLink = 500 * time.Microsecond
)

// group is a running group of control VMs.
type group struct {
	services []*Service
	network  *memnet.Network
	stop     context.CancelFunc
	done     sync.WaitGroup
}

func startGroup(tb testing.TB, vms int) *group {
	tb.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	network := memnet.New(modelledLink).WithSleep(precise.Sleep)
	g := &group{stop: cancel, network: network}
	dir := tb.TempDir()
	for i := range vms {
		id := fmt.Sprintf("control-%d", i+1)
		host := network.Host(id)
		l, err := host.Listen(ctx, id+":1")
		assert.NilError(tb, err)
		s, err := Open(Options{
			Settings: settings.Control{
				Process:     settings.Process{ID: id, Advertise: id + ":1"},
				DataDir:     fmt.Sprintf("%s/%s", dir, id),
				Bootstrap:   i == 0,
				SyncDelayMS: modelledSync.Milliseconds(),
			},
			Network:  host,
			Log:      events.NewLog(id, zap.NewNop(), events.NewClock()),
			Listener: l,
		})
		assert.NilError(tb, err)
		g.services = append(g.services, s)
		g.done.Add(1)
		go func() {
			defer g.done.Done()
			_ = s.Run(ctx)
		}()
	}
	tb.Cleanup(func() {
		cancel()
		g.done.Wait()
	})
	g.addVoters(tb)
	return g
}

// addVoters makes all VMs voters.
func (g *group) addVoters(tb testing.TB) {
	assert.NilError(tb, g.services[0].WaitLeading(context.Background()))
	leader := g.services[0].replica
	for i, s := range g.services[1:] {
		server := raft.Server{ID: s.replica.Status().ID, Address: fmt.Sprintf("control-%d:1", i+2)}
		for _, change := range []raft.ChangeType{raft.AddLearner, raft.Promote} {
			for leader.ChangeGroup(raft.GroupChange{Type: change, Server: server}) != nil {
				time.Sleep(5 * time.Millisecond)
			}
		}
	}
	for i := 0; len(leader.Status().Group.Servers) < len(g.services) && i < 1000; i++ {
		time.Sleep(5 * time.Millisecond)
	}
}

func (g *group) propose(tb testing.TB, n int, tasks int) {
	c := state.Command{AcceptJob: &state.AcceptJob{Record: job.Record{
		Key:   job.Key{Caller: "c", ID: fmt.Sprintf("job-%d", n)},
		Owner: "entry", OwnerIncarnation: 1,
		Tasks: make([]job.Task, tasks),
	}}}
	for i := range c.AcceptJob.Record.Tasks {
		c.AcceptJob.Record.Tasks[i] = job.Task{Kind: "quote", Payload: make([]byte, 64)}
	}
	for i := 0; ; i++ {
		// The leader may change on a loaded machine; the proposal is idempotent.
		_, err := g.services[i%len(g.services)].replica.Propose(context.Background(), c)
		if err == nil {
			return
		}
	}
}

// BenchmarkCommit measures the acceptance of jobs of one task with a modelled
// sync of 4 ms and links of 0.5 ms: one, 64 and 1024 proposals at a time.
func BenchmarkCommit(b *testing.B) {
	for _, vms := range []int{1, 3, 5} {
		for _, parallel := range []int{1, 64, 1024} {
			b.Run(fmt.Sprintf("vms=%d/parallel=%d", vms, parallel), func(b *testing.B) {
				g := startGroup(b, vms)
				member := state.Member{ID: "entry", Role: state.RoleEntry, Incarnation: 1}
				_, err := g.services[0].replica.Propose(context.Background(), state.Command{Register: &state.RegisterMember{Member: member}})
				assert.NilError(b, err)
				b.ResetTimer()
				g.proposeAll(b, parallel)
				b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "commits/s")
				b.ReportMetric(float64(b.Elapsed().Microseconds())/float64(b.N)*float64(min(parallel, b.N))/1000, "ms/commit")
			})
		}
	}
}

// proposeAll proposes b.N jobs from a number of goroutines.
func (g *group) proposeAll(b *testing.B, parallel int) {
	next := make(chan int)
	var proposers sync.WaitGroup
	for range parallel {
		proposers.Go(func() {
			for n := range next {
				g.propose(b, n, 1)
			}
		})
	}
	for n := range b.N {
		next <- n
	}
	close(next)
	proposers.Wait()
}
