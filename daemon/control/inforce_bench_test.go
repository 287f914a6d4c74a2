package control

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"github.com/cicadapulley/cicadapulley/api/controlclient"
	"github.com/cicadapulley/cicadapulley/core/state"
	"github.com/cicadapulley/cicadapulley/daemon/events"
	"github.com/cicadapulley/cicadapulley/daemon/membership"
	"github.com/cicadapulley/cicadapulley/daemon/transport"
)

// BenchmarkInForce measures the time from a ticket's proposal until every
// member has it in force, with a modelled sync of 4 ms and links of 0.5 ms.
func BenchmarkInForce(b *testing.B) {
	for _, members := range []int{10, 100, 300} {
		b.Run(fmt.Sprintf("members=%d", members), func(b *testing.B) {
			g := startGroup(b, 3)
			watchers := startWatchers(b, g, members)
			b.ResetTimer()
			for n := range b.N {
				ticket := state.Ticket{Number: uint64(n + 1), Quotas: []state.Quota{{Caller: "c", MaxTasks: int64(n)}}}
				_, err := g.services[0].replica.Propose(context.Background(), state.Command{ApplyTicket: &state.ApplyTicket{Ticket: ticket}})
				assert.NilError(b, err)
				waitInForce(watchers, ticket.Number)
			}
			b.ReportMetric(float64(b.Elapsed().Microseconds())/float64(b.N)/1000, "ms/ticket")
		})
	}
}

func startWatchers(b *testing.B, g *group, n int) []*membership.Service {
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	b.Cleanup(func() {
		cancel()
		running.Wait()
	})
	watchers := make([]*membership.Service, n)
	for i := range watchers {
		id := fmt.Sprintf("worker-%d", i+1)
		client := transport.NewClient(transport.ClientOptions{Network: g.network.Host(id)})
		control := controlclient.New(client, "http", []string{"control-1:1"})
		log := events.NewLog(id, zap.NewNop(), events.NewClock())
		watchers[i] = membership.New(control, log, state.Member{ID: id, Role: state.RoleAgent, Address: id + ":1", Slots: 8}, nil)
		running.Go(func() { _ = watchers[i].Run(ctx) })
	}
	for _, w := range watchers {
		assert.NilError(b, w.WaitReady(context.Background()))
	}
	time.Sleep(200 * time.Millisecond) // until the members' registrations are in force
	return watchers
}

func waitInForce(watchers []*membership.Service, ticket uint64) {
	for _, w := range watchers {
		for {
			changed := w.Changed()
			if w.Replica().Config.Quotas["c"].Ticket >= ticket {
				break
			}
			<-changed
		}
	}
}
