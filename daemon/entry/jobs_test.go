package entry

import (
	"testing"

	"github.com/cicadapulley/cicadapulley/core/job"
)

// TestMovedTwice guards against a panic when two takeovers of a job that waited for
// the same submission both hand its waiters over (soak seed 3).
func TestMovedTwice(t *testing.T) {
	m := &jobManager{active: map[job.Key]*activeJob{}, removed: make(chan struct{})}
	j := newActiveJob(job.Record{})
	m.handOver(j)
	m.handOver(j)
	<-j.handedOver
}
