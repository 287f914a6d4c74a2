// Package logsink writes log lines without blocking the goroutines that log.
// Parent: the root of the process. Children: one writer. Restart rule: none; it
// ends with the process. State: the queued lines.
package logsink

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// maxQueuedLines limits the queue. At 300 bytes per line it takes 1.2 MB.
	maxQueuedLines = 4096
	// maxBatchLines limits the lines of one write. Without a limit, a batch would
	// never end while lines are queued as fast as they are taken.
	maxBatchLines = 256
	// flushTimeout is how long Close waits for the last lines to be written.
	flushTimeout = 200 * time.Millisecond
)

// Sink is a writer whose Write never blocks: lines that find the queue full are
// dropped and counted. It is safe for concurrent use.
type Sink struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Uint64
	// reportedDrops is the number of dropped lines already reported in the output.
	reportedDrops uint64
	closeOnce     sync.Once
	stop          chan struct{}
	done          chan struct{}
}

// New returns a sink that writes to out, and starts it.
func New(out io.Writer) *Sink {
	s := &Sink{out: out, lines: make(chan []byte, maxQueuedLines), stop: make(chan struct{}), done: make(chan struct{})}
	go s.run()
	return s
}

// Write queues a copy of one line. It returns no error for a dropped line.
func (s *Sink) Write(line []byte) (int, error) {
	select {
	case s.lines <- append([]byte(nil), line...):
	default:
		s.dropped.Add(1)
	}
	return len(line), nil
}

// Sync does nothing; lines are written as soon as the output accepts them.
func (s *Sink) Sync() error { return nil }

// Dropped returns the number of lines that were dropped.
func (s *Sink) Dropped() uint64 { return s.dropped.Load() }

// Close stops the sink and waits at most flushTimeout for the queued lines to be
// written.
func (s *Sink) Close() {
	s.closeOnce.Do(func() { close(s.stop) })
	select {
	case <-s.done:
	case <-time.After(flushTimeout):
	}
}

// run writes queued lines in batches until the sink is closed.
func (s *Sink) run() {
	defer close(s.done)
	for {
		select {
		case line := <-s.lines:
			s.writeBatch(line)
		case <-s.stop:
			for len(s.lines) > 0 {
				s.writeBatch(nil)
			}
			s.writeBatch(nil)
			return
		}
	}
}

// writeBatch writes a line, the lines queued behind it, and the number of newly
// dropped lines. If the write fails, its lines are lost: there is nowhere to
// report the error.
func (s *Sink) writeBatch(line []byte) {
	batch := s.appendQueued(line)
	if dropped := s.dropped.Load(); dropped > s.reportedDrops {
		batch = fmt.Appendf(batch, `{"level":"warn","msg":"log_lines_dropped","dropped":%d}`+"\n", dropped-s.reportedDrops)
		s.reportedDrops = dropped
	}
	_, _ = s.out.Write(batch)
}

func (s *Sink) appendQueued(batch []byte) []byte {
	for range maxBatchLines - 1 {
		select {
		case line := <-s.lines:
			batch = append(batch, line...)
		default:
			return batch
		}
	}
	return batch
}
