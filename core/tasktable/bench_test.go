package tasktable

import (
	"fmt"
	"testing"
	"time"

	"github.com/cicadapulley/cicadapulley/core/job"
)

// BenchmarkBeginEnd measures one started and ended task at a table with records
// of many jobs of one task each. The clock moves 1 ms for each task, and a job
// expires after as many milliseconds as there are recorded tasks.
func BenchmarkBeginEnd(b *testing.B) {
	for _, remembered := range []int{1_000, 10_000, 100_000} {
		b.Run(fmt.Sprintf("remembered=%d", remembered), func(b *testing.B) {
			t := New(Limits{Slots: 8, Records: 1 << 20, OutputBytes: 1 << 30})
			now := time.Unix(1_700_000_000, 0)
			i := 0
			step := func() {
				i++
				now = now.Add(time.Millisecond)
				k := job.TaskKey{Job: job.Key{Caller: "bench", ID: fmt.Sprint(i)}}
				expiresAt := now.Add(time.Duration(remembered) * time.Millisecond)
				if err := t.Begin(k, Attempt{Epoch: 1, Number: 1}, now, expiresAt); err != nil {
					b.Fatal(err)
				}
				t.End(k, job.TaskResult{})
			}
			for range remembered {
				step()
			}
			b.ReportAllocs()
			for b.Loop() {
				step()
			}
		})
	}
}

// BenchmarkSweep measures the longest delay that the search for expired jobs adds
// to a Begin: one call at each second of the clock.
func BenchmarkSweep(b *testing.B) {
	for _, remembered := range []int{1_000, 10_000, 100_000} {
		b.Run(fmt.Sprintf("remembered=%d", remembered), func(b *testing.B) {
			t := New(Limits{Slots: 8, Records: 1 << 20, OutputBytes: 1 << 30})
			now := time.Unix(1_700_000_000, 0)
			for i := range remembered {
				k := job.TaskKey{Job: job.Key{Caller: "bench", ID: fmt.Sprint(i)}}
				if err := t.Begin(k, Attempt{Epoch: 1, Number: 1}, now, now.AddDate(100, 0, 0)); err != nil {
					b.Fatal(err)
				}
				t.End(k, job.TaskResult{})
			}
			k := job.TaskKey{Job: job.Key{Caller: "bench", ID: "0"}}
			for b.Loop() {
				now = now.Add(time.Second)
				if err := t.Begin(k, Attempt{Epoch: 1, Number: 1}, now, now); err == nil {
					b.Fatal("second start")
				}
			}
		})
	}
}
