package control

import (
	"context"
	"net/http"
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/cicadapulley/cicadapulley/core/state"
	"github.com/cicadapulley/cicadapulley/daemon/transport"
)

// recordPatterns are alternative message patterns to record a job before its first
// task runs. Hosts answer immediately.
var recordPatterns = map[string]func(b *testing.B, g *group, n int, post func(host string)){
	"commit then run": func(b *testing.B, g *group, n int, post func(string)) {
		g.propose(b, n, 1)
		post("agent")
	},
	"stage and commit then release": func(b *testing.B, g *group, n int, post func(string)) {
		var concurrent sync.WaitGroup
		concurrent.Go(func() { g.propose(b, n, 1) })
		concurrent.Go(func() { post("agent") })
		concurrent.Wait()
		post("agent")
	},
	"copy on a second entry then run": func(b *testing.B, g *group, n int, post func(string)) {
		post("entry-2")
		post("agent")
	},
}

// BenchmarkRecordWays measures the time until a task would run and answer, with
// 3 control VMs, a modelled sync of 4 ms and links of 0.5 ms.
func BenchmarkRecordWays(b *testing.B) {
	for name, pattern := range recordPatterns {
		b.Run(name, func(b *testing.B) {
			g := startGroup(b, 3)
			member := state.Member{ID: "entry", Role: state.RoleEntry, Incarnation: 1}
			_, err := g.services[0].replica.Propose(context.Background(), state.Command{Register: &state.RegisterMember{Member: member}})
			assert.NilError(b, err)
			post := startHosts(b, g)
			b.ResetTimer()
			for n := range b.N {
				pattern(b, g, n, post)
			}
			b.ReportMetric(float64(b.Elapsed().Microseconds())/float64(b.N)/1000, "ms/task")
		})
	}
}

// startHosts starts an agent and a second entry, and returns a function that calls
// one of them.
func startHosts(b *testing.B, g *group) func(host string) {
	ctx, cancel := context.WithCancel(context.Background())
	b.Cleanup(cancel)
	for _, name := range []string{"agent", "entry-2"} {
		l, err := g.network.Host(name).Listen(ctx, name+":1")
		assert.NilError(b, err)
		srv := transport.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}), nil)
		go func() { _ = srv.Serve(l) }()
		b.Cleanup(func() { srv.Close() })
	}
	client := transport.NewClient(transport.ClientOptions{Network: g.network.Host("entry")})
	return func(host string) {
		resp, err := client.Post("http://"+host+":1/", "application/octet-stream", http.NoBody)
		if err != nil {
			b.Error(err)
			return
		}
		resp.Body.Close()
	}
}
