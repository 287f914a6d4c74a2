package mesh

import (
	"fmt"
	"testing"

	"github.com/cicadapulley/cicadapulley/core/ledger"
	"github.com/cicadapulley/cicadapulley/core/work"
)

// BenchmarkSnapshot measures the copy of the state, which holds up the log, and its encoding and
// decoding, for the final jobs that are kept at some rates of stored jobs for 150 s.
func BenchmarkSnapshot(b *testing.B) {
	const keepS = 150
	for _, rate := range []int{140, 843} {
		m := ledger.New()
		for i := range rate * keepS {
			id := work.JobID(fmt.Sprintf("%016x", i))
			job := work.Job{ID: id, Queue: "r-3hwrr6x", Pool: "huvo11a", MaxAttempts: 4, Stretch: 1.6, Steps: []work.Step{{Tasks: 2}}}
			m.Apply(uint64(2*i+1), ledger.Command{Accept: &job})
			m.Apply(uint64(2*i+2), ledger.Command{Cancel: id})
		}
		var data []byte
		b.Run(fmt.Sprintf("copy/rate=%d", rate), func(b *testing.B) {
			for b.Loop() {
				m.Snapshot()
			}
		})
		b.Run(fmt.Sprintf("encode/rate=%d", rate), func(b *testing.B) {
			s := m.Snapshot()
			for b.Loop() {
				data, _ = EncodeSnapshot(s)
			}
			b.ReportMetric(float64(len(data)/(rate*keepS)), "B/job")
		})
		b.Run(fmt.Sprintf("decode/rate=%d", rate), func(b *testing.B) {
			for b.Loop() {
				if _, err := DecodeSnapshot(data); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
