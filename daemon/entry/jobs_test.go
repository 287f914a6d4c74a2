package entry

import (
	"testing"

	"github.com/cicadapulley/cicadapulley/core/job"
)

// TestHandOverTwice guards against a panic when two takeovers that waited for the
// same submission both hand over the job's waiting requests (soak seed 3).
func TestHandOverTwice(t *testing.T) {
	m := &jobManager{active: map[job.Key]*activeJob{}, removed: make(chan struct{})}
	j := newActiveJob(job.Record{})
	m.handOver(j)
	m.handOver(j)
	<-j.handedOver
}
