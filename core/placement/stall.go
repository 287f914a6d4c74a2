package placement

import "time"

const (
	// A run is stalled when it takes overdueFactor times as long as expected and
	// overdueLeast longer; estimates are off by 40% and run times vary as much.
	overdueFactor = 3
	overdueLeast  = 300 * time.Millisecond
	// maxMoves bounds the restarts of a task that is itself far longer than its
	// estimate; the limit doubles with each.
	maxMoves = 3
)

// moveStalled stops runs that take far longer than expected, so that they
// start again elsewhere.
func (b *Board) moveStalled(now time.Time) {
	for _, e := range b.order {
		if !e.goneAt.IsZero() {
			continue
		}
		for _, r := range e.sorted() {
			if r.stopping || b.jobs[r.Task.Job] != r.job {
				continue
			}
			t := r.job.task(r.Task)
			if now.Sub(r.since) < (overdueFactor*r.expected+overdueLeast)<<t.moves || t.moves >= maxMoves {
				continue
			}
			t.failedOn = append(t.failedOn, e.VM)
			t.moves++
			e.health.failed(now)
			b.Stats.Moves++
			b.stop(r)
		}
	}
}
