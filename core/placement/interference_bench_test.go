package placement

import (
	"fmt"
	"testing"
	"time"

	"github.com/cicadapulley/cicadapulley/core/work"
)

// benchModes are the states of the detection: off, on without a finding, and on with
// findings for a tenth of the queues.
var benchModes = []string{"off", "on", "findings"}

// interferenceBench is a planner with runs of several queues on all endpoints.
type interferenceBench struct {
	planner *Planner
	now     time.Time
	queues  int
	jobs    int
	orders  []Order
}

func newInterferenceBench(b *testing.B, endpoints, queues int, mode string) *interferenceBench {
	w := &interferenceBench{now: time.Unix(1000, 0), queues: queues}
	w.planner = NewPlanner(1, w.now, nil)
	if mode != "off" {
		w.planner.DetectInterference()
	}
	if mode == "findings" {
		for i := 0; i < queues; i += 10 {
			teach(b, w.planner, w.now, fmt.Sprintf("queue-%d", i), fmt.Sprintf("queue-%d", (i+1)%queues))
		}
	}
	for i := range endpoints {
		w.planner.Join(w.now, Endpoint{
			Session: SessionID(i + 1), VM: fmt.Sprintf("vm-%d", i), Instance: "incarnation", Pool: "desk",
			Labels: []string{"a", fmt.Sprintf("rack-%d", i/12)}, Capacity: work.Resources{CPU: 16000, MemoryMB: 32768},
		}, nil, nil)
		w.planner.endpoints[SessionID(i+1)].slowdown.ratio = 0.7 + 0.8*float64(i*37%97)/97
	}
	w.place(6 * endpoints) // of at most 8 each
	return w
}

// place adds jobs of one task, and starts them one by one.
func (w *interferenceBench) place(count int) {
	for range count {
		w.jobs++
		j := oneStep(fmt.Sprintf("job-%d", w.jobs), 1)
		j.Queue = fmt.Sprintf("queue-%d", w.jobs%w.queues)
		j.Steps[0].Need = work.Resources{CPU: 2000, MemoryMB: 64}
		w.planner.Add(w.now, j, PriorState{})
		w.planner.Assign(w.now)
		w.orders = append(w.orders, w.planner.TakeOrders()...)
	}
}

// end ends the oldest runs.
func (w *interferenceBench) end(count int) {
	for _, o := range w.orders[:count] {
		w.planner.Ended(w.now, o.Session, work.End{Run: o.Run, Reason: work.Done})
	}
	w.orders = w.orders[count:]
	w.planner.TakeFinished()
}

// benchInterference calls run for each number of endpoints and queues and each mode.
// The setup of each is not measured.
func benchInterference(b *testing.B, run func(b *testing.B, w *interferenceBench, batch int)) {
	for _, endpoints := range []int{11, 62, 1500} {
		for _, queues := range []int{3, 110} {
			for _, mode := range benchModes {
				b.Run(fmt.Sprintf("endpoints=%d/queues=%d/%s", endpoints, queues, mode), func(b *testing.B) {
					w := newInterferenceBench(b, endpoints, queues, mode)
					b.ResetTimer()
					run(b, w, endpoints)
				})
			}
		}
	}
}

// BenchmarkInterferencePlacement measures the arrival of a job with one task and its placement,
// with the detection of interference on and off.
func BenchmarkInterferencePlacement(b *testing.B) {
	benchInterference(b, func(b *testing.B, w *interferenceBench, batch int) {
		for i := 0; i < b.N; i += batch {
			w.place(min(batch, b.N-i))
			b.StopTimer()
			w.now = w.now.Add(100 * time.Millisecond)
			w.end(min(batch, b.N-i))
			b.StartTimer()
		}
	})
}

// BenchmarkInterferenceEnd measures the end of a run, with the detection of interference on and
// off.
func BenchmarkInterferenceEnd(b *testing.B) {
	benchInterference(b, func(b *testing.B, w *interferenceBench, batch int) {
		for i := 0; i < b.N; i += batch {
			w.now = w.now.Add(100 * time.Millisecond)
			w.end(min(batch, b.N-i))
			b.StopTimer()
			w.place(min(batch, b.N-i))
			b.StartTimer()
		}
	})
}

// BenchmarkInterferenceTask measures all that a job with one task costs the planner: its
// arrival and placement, its end, and its share of the periodic work at 20 jobs on each
// endpoint a second.
func BenchmarkInterferenceTask(b *testing.B) {
	benchInterference(b, func(b *testing.B, w *interferenceBench, batch int) {
		for i := 0; i < b.N; i += batch {
			w.now = w.now.Add(50 * time.Millisecond)
			w.planner.Tick(w.now)
			w.end(min(batch, b.N-i))
			w.place(min(batch, b.N-i))
		}
	})
}
