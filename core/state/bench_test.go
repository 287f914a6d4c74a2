package state

import (
	"fmt"
	"testing"
	"time"

	"github.com/cicadapulley/cicadapulley/core/job"
	"github.com/cicadapulley/cicadapulley/core/verdict"
)

// benchClock is the leader's clock in the benchmarks. It is constant, so that no
// job is forgotten because of its age.
var benchClock = time.Unix(1_700_000_000, 0)

type benchMachine struct {
	*Machine
}

func (m benchMachine) apply(c Command) Result {
	c.Now = benchClock
	return m.Apply(m.Applied()+1, c)
}

func newBenchMachine(members int) benchMachine {
	m := benchMachine{New(DefaultRetention)}
	m.apply(Command{Register: &RegisterMember{Member{ID: "entry", Role: RoleEntry, Incarnation: 1}}})
	for i := range members {
		m.apply(Command{Register: &RegisterMember{Member{ID: fmt.Sprintf("agent-%d", i), Role: RoleAgent, Incarnation: 1}}})
	}
	return m
}

func benchRecord(i, tasks int) job.Record {
	return job.Record{
		Key:              job.Key{Caller: "bench", ID: fmt.Sprint(i)},
		Owner:            "entry",
		OwnerIncarnation: 1,
		Tasks:            make([]job.Task, tasks),
	}
}

func (m benchMachine) acceptMany(jobs int) {
	for i := range jobs {
		m.apply(Command{AcceptJob: &AcceptJob{benchRecord(-1-i, 1)}})
	}
}

// BenchmarkAcceptFinish measures one accepted and finished job while other
// jobs run.
func BenchmarkAcceptFinish(b *testing.B) {
	for _, tasks := range []int{1, 790} {
		for _, running := range []int{1_000, 10_000, 100_000} {
			b.Run(fmt.Sprintf("tasks=%d/running=%d", tasks, running), func(b *testing.B) {
				m := newBenchMachine(1500)
				m.acceptMany(running)
				results := make([]job.TaskResult, tasks)
				for i := range results {
					results[i] = job.TaskResult{State: job.TaskDone, Verdict: verdict.Ran}
				}
				i := 0
				b.ReportAllocs()
				for b.Loop() {
					r := benchRecord(i, tasks)
					m.apply(Command{AcceptJob: &AcceptJob{r}})
					m.apply(Command{FinishJob: &FinishJob{r.Key, 1, job.NewOutcome(results)}})
					i++
				}
			})
		}
	}
}

// BenchmarkView measures the view of an entry that is one change of a member
// behind.
func BenchmarkView(b *testing.B) {
	for _, members := range []int{150, 1_500, 15_000} {
		for _, running := range []int{0, 100_000} {
			b.Run(fmt.Sprintf("members=%d/running=%d", members, running), func(b *testing.B) {
				m := newBenchMachine(members)
				m.acceptMany(running)
				after := m.ConfigRevision()
				m.apply(Command{DrainMember: &DrainMember{"agent-0", 1}})
				b.ReportAllocs()
				for b.Loop() {
					if len(m.View(after, "entry").Members) != 1 {
						b.Fatal("view lacks the change")
					}
				}
			})
		}
	}
}

// BenchmarkOrphans measures the leader's search for jobs without an active owner.
func BenchmarkOrphans(b *testing.B) {
	for _, running := range []int{1_000, 10_000, 100_000} {
		b.Run(fmt.Sprintf("running=%d", running), func(b *testing.B) {
			m := newBenchMachine(10)
			m.acceptMany(running)
			for b.Loop() {
				if len(m.Orphans()) != 0 {
					b.Fatal("an owned job is an orphan")
				}
			}
		})
	}
}

// BenchmarkRegister measures a restart of one member among many.
func BenchmarkRegister(b *testing.B) {
	for _, members := range []int{150, 1_500, 15_000} {
		b.Run(fmt.Sprintf("members=%d", members), func(b *testing.B) {
			m := newBenchMachine(members)
			incarnation := uint64(1)
			for b.Loop() {
				incarnation++
				m.apply(Command{Register: &RegisterMember{Member{ID: "agent-0", Role: RoleAgent, Incarnation: incarnation}}})
			}
		})
	}
}
