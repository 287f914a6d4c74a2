package logsink

import (
	"bytes"
	"strings"
	"sync"
	"testing"

	"gotest.tools/v3/assert"
)

// stuck is an output that takes nothing until it is released.
type stuck struct {
	release chan struct{}
	mu      sync.Mutex
	text    bytes.Buffer
}

func (s *stuck) Write(p []byte) (int, error) {
	<-s.release
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.text.Write(p)
}

// TestFullOutputNeverBlocks guards against a process that stands still because
// nobody reads its log: lines are dropped and their number is told.
func TestFullOutputNeverBlocks(t *testing.T) {
	out := &stuck{release: make(chan struct{})}
	s := New(out)
	const lines = queueLines + 500
	for range lines {
		_, err := s.Write([]byte("line\n"))
		assert.NilError(t, err)
	}
	assert.Assert(t, s.Dropped() > 0)
	close(out.release)
	s.Close()
	out.mu.Lock()
	defer out.mu.Unlock()
	written := strings.Count(out.text.String(), "line\n")
	assert.Assert(t, written < lines && written >= queueLines, "%d lines", written)
	assert.Assert(t, strings.Contains(out.text.String(), `"dropped":`))
}
