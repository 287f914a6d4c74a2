// Package logsink writes log lines without ever blocking those who log. Parent:
// the root of the process. Children: one writer. Restart rule: none; it ends with
// the process. State: the lines that wait to be written.
package logsink

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// queueLines bounds the lines that wait. At 300 bytes each they take 1.2 MB.
	maxQueuedLines = 4096
	// batchLines bounds the lines of one write. Without a bound, a writer that keeps
	// up with those who log would gather for ever.
	maxBatchLines = 256
	// flushTime bounds the wait for the last lines at the end of a process.
	flushTimeout = 200 * time.Millisecond
)

// Sink is a writer whose Write never blocks: lines that find the queue full are
// dropped and counted. It is safe for concurrent use.
type Sink struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Uint64
	// reported is the number of dropped lines that the output was told of.
	reportedDrops uint64
	closeOnce     sync.Once
	stop          chan struct{}
	done          chan struct{}
}

// New returns a sink in front of a writer and starts it.
func New(out io.Writer) *Sink {
	s := &Sink{out: out, lines: make(chan []byte, maxQueuedLines), stop: make(chan struct{}), done: make(chan struct{})}
	go s.run()
	return s
}

// Write queues a copy of one line. It reports success also for a dropped line.
func (s *Sink) Write(line []byte) (int, error) {
	select {
	case s.lines <- append([]byte(nil), line...):
	default:
		s.dropped.Add(1)
	}
	return len(line), nil
}

// Sync does nothing; lines are written as soon as the output takes them.
func (s *Sink) Sync() error { return nil }

// Dropped returns the number of lines that were dropped.
func (s *Sink) Dropped() uint64 { return s.dropped.Load() }

// Close writes the lines that wait, within a bound.
func (s *Sink) Close() {
	s.closeOnce.Do(func() { close(s.stop) })
	select {
	case <-s.done:
	case <-time.After(flushTimeout):
	}
}

// run writes lines, all that wait in one write, until the sink is closed.
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

// write writes a line, those that wait behind it, and how many were dropped. A
// write that fails loses its lines: there is nowhere to report that.
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
