package logsink

import (
	"bytes"
	"strings"
	"sync"
	"testing"

	"gotest.tools/v3/assert"
)

// blockingWriter blocks each write until release is closed.
type blockingWriter struct {
	release chan struct{}
	mu      sync.Mutex
	text    bytes.Buffer
}

func (w *blockingWriter) Write(p []byte) (int, error) {
	<-w.release
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.text.Write(p)
}

// TestFullOutputNeverBlocks guards against a process that blocks because its log
// output is not read: lines are dropped and their number is written to the log.
func TestFullOutputNeverBlocks(t *testing.T) {
	out := &blockingWriter{release: make(chan struct{})}
	sink := New(out)
	const lines = maxQueuedLines + 500
	for range lines {
		_, err := sink.Write([]byte("line\n"))
		assert.NilError(t, err)
	}
	assert.Assert(t, sink.Dropped() > 0)
	close(out.release)
	sink.Close()
	out.mu.Lock()
	defer out.mu.Unlock()
	written := strings.Count(out.text.String(), "line\n")
	assert.Assert(t, written < lines && written >= maxQueuedLines, "%d lines written", written)
	assert.Assert(t, strings.Contains(out.text.String(), `"dropped":`))
}
