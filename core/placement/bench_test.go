package placement

import (
	"fmt"
	"testing"
	"time"

	"github.com/cicadapulley/cicadapulley/core/work"
)

// benchWorld is a planner whose endpoints are all full, and a number of groups that
// wait.
type benchWorld struct {
	planner *Planner
	now     time.Time
	orders  []Order
	jobs    int
}

// benchJob returns a job of two tasks, of which four fill an endpoint.
func (w *benchWorld) benchJob() *work.Job {
	w.jobs++
	j := oneStep(fmt.Sprintf("job-%d", w.jobs), 2)
	j.Steps[0].Need = work.Resources{CPU: 4000, MemoryMB: 64}
	j.Steps[0].Estimate = time.Hour // neither late nor stalled during the benchmark
	return j
}

func newBenchWorld(endpoints, waiting int) *benchWorld {
	w := &benchWorld{now: time.Unix(1000, 0)}
	w.planner = NewPlanner(1, w.now, nil)
	for i := range endpoints {
		w.planner.Join(w.now, Endpoint{
			Session: SessionID(i + 1), VM: fmt.Sprintf("vm-%d", i), Instance: "incarnation", Pool: "desk",
			Labels: []string{"a", fmt.Sprintf("rack-%d", i/12)}, Capacity: work.Resources{CPU: 16000, MemoryMB: 32768},
		}, nil, nil)
		w.planner.slowdowns.forEndpoint(Endpoint{VM: fmt.Sprintf("vm-%d", i), Instance: "incarnation"}).ratio = 0.7 + 0.8*float64(i*37%97)/97
	}
	for range 2*endpoints + waiting {
		w.planner.Add(w.now, w.benchJob(), PriorState{})
	}
	w.place()
	return w
}

func (w *benchWorld) place() {
	w.planner.Assign(w.now)
	w.orders = append(w.orders, w.planner.TakeOrders()...)
}

// event is one job that arrives, and two runs that end with a pass after each.
func (w *benchWorld) event() {
	j := w.benchJob()
	w.planner.Admit(w.now, j, PriorState{})
	w.planner.Add(w.now, j, PriorState{})
	w.place()
	for range 2 {
		o := w.orders[0]
		w.orders = w.orders[1:]
		w.planner.Ended(w.now, o.Session, work.End{Run: o.Run, Reason: work.Stopped})
		w.place()
	}
	w.planner.Abandon(w.now, work.JobID(fmt.Sprintf("job-%d", w.jobs)))
	w.place()
}

// BenchmarkEvents measures what a job with two tasks costs the planner while all
// endpoints are full. The cost must not grow with the endpoints: otherwise a queue
// makes each event dearer and persists.
func BenchmarkEvents(b *testing.B) {
	for _, endpoints := range []int{11, 50, 240, 1500} {
		for _, waiting := range []int{0, 16, 300} {
			b.Run(fmt.Sprintf("endpoints=%d/waiting=%d", endpoints, waiting), func(b *testing.B) {
				w := newBenchWorld(endpoints, waiting)
				for b.Loop() {
					w.event()
				}
			})
		}
	}
}

// BenchmarkTick measures the planner's periodic work while all endpoints are full.
func BenchmarkTick(b *testing.B) {
	for _, endpoints := range []int{11, 240, 1500} {
		b.Run(fmt.Sprintf("endpoints=%d", endpoints), func(b *testing.B) {
			w := newBenchWorld(endpoints, 16)
			for b.Loop() {
				w.now = w.now.Add(50 * time.Millisecond)
				w.planner.Tick(w.now)
				w.planner.TakeOrders()
			}
		})
	}
}

// BenchmarkShed measures the check of a queue of best-effort jobs of three steps that can all still be in time.
func BenchmarkShed(b *testing.B) {
	for _, waiting := range []int{16, 300, 3000} {
		b.Run(fmt.Sprintf("waiting=%d", waiting), func(b *testing.B) {
			w := newBenchWorld(50, 0)
			for range waiting {
				j := w.benchJob()
				j.BestEffort = true
				for len(j.Steps) < 3 {
					step := j.Steps[0]
					step.After = []int{len(j.Steps) - 1}
					j.Steps = append(j.Steps, step)
				}
				j.Stretch, j.Target = 1000, time.Hour
				w.planner.Add(w.now, j, PriorState{})
			}
			for b.Loop() {
				w.planner.shed(w.now)
			}
			if w.planner.Stats.Shed != 0 {
				b.Fatal("jobs were refused")
			}
		})
	}
}
