package coordinator

import (
	"runtime"
	"runtime/metrics"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cicadapulley/cicadapulley/api/mesh"
	"github.com/cicadapulley/cicadapulley/core/work"
	"github.com/cicadapulley/cicadapulley/daemon/events"
)

const (
	// maxLivePercent is the share of the VM's memory that live objects may take before more is
	// refused. A snapshot takes a copy of the state, and the garbage between two collections as much again.
	maxLivePercent = 35
	// While work is refused by estimate, the heap is collected in each collectInterval to see what is
	// live, and while it is refused for live objects, in each shortCollectInterval, since nothing
	// else may show that memory is free again. Otherwise no collection is forced.
	collectInterval      = time.Second
	shortCollectInterval = 5 * time.Second
	// memoryInterval is the interval between checks.
	memoryInterval = 250 * time.Millisecond
	// taskBytes estimates what a task of an accepted job takes on the leader, where 10,000 take 2.2 MB.
	taskBytes = 300
	// memoryRetryAfter is when callers may try again: jobs take seconds to end. While work is refused
	// by estimate only, the next collection may show enough.
	memoryRetryAfter   = 10 * time.Second
	estimateRetryAfter = time.Second
)

// errMemory is returned for a request that was refused to save memory.
var errMemory = errors.New("the leader is short of memory: cancel jobs, or give the control VMs more memory")

// heap is the memory in use.
type heap struct {
	// live is the size of the objects that the last collection found in use.
	live int64
	// collections counts the collections so far.
	collections uint64
}

func readHeap() heap {
	samples := []metrics.Sample{{Name: "/gc/heap/live:bytes"}, {Name: "/gc/cycles/total:gc-cycles"}}
	metrics.Read(samples)
	return heap{live: int64(samples[0].Value.Uint64()), collections: samples[1].Value.Uint64()}
}

// memoryMonitor decides whether there is memory for more work. Jobs that are stored take memory
// until they are final and forgotten, so without a bound the process would be killed, as would
// the next leader.
type memoryMonitor struct {
	// limit is the memory of the VM, 0 for no limit.
	limit     int64
	read      func() heap
	log       *events.Log
	checkedAt time.Time
	collected time.Time
	short     atomic.Bool
	last      heap
	// free is what may be accepted before the limit is reached, and accepted what has been
	// since the last check, both by the estimate of taskBytes.
	free, accepted atomic.Int64
}

func newMemoryMonitor(limit int64, log *events.Log) *memoryMonitor {
	m := &memoryMonitor{limit: limit, read: readHeap, log: log}
	m.free.Store(m.maxLive())
	return m
}

// maxLive returns the size of live objects at which more is refused.
func (m *memoryMonitor) maxLive() int64 { return m.limit * maxLivePercent / 100 }

// isShort reports whether more work must be refused.
func (m *memoryMonitor) isShort() bool {
	return m.short.Load() || m.limit > 0 && m.accepted.Load() > m.free.Load()
}

// accept records that a job was accepted, which the next collection shows.
func (m *memoryMonitor) accept(job *work.Job) {
	m.accepted.Add(int64(len(job.Spec) + job.Tasks()*taskBytes))
}

// check updates the decision. Only the leader's tick calls it.
func (m *memoryMonitor) check(now time.Time) {
	if m.limit == 0 || now.Sub(m.checkedAt) < memoryInterval {
		return
	}
	m.checkedAt = now
	h := m.read()
	wait := collectInterval
	if m.short.Load() {
		wait = shortCollectInterval
	}
	if m.isShort() && now.Sub(m.collected) >= wait {
		m.collected = now
		runtime.GC()
		h = m.read()
	}
	if h.collections != m.last.collections {
		// What was accepted since the last check may not be in the live objects yet.
		m.free.Store(m.maxLive() - h.live - m.accepted.Swap(0))
	}
	m.last = h
	short := h.live > m.maxLive()
	if short == m.short.Swap(short) {
		return
	}
	e := events.Event{ID: events.MemoryAvailable, Text: strconv.FormatInt(h.live>>20, 10) + " MB live of " + strconv.FormatInt(m.limit>>20, 10) + " MB"}
	if short {
		e.ID = events.MemoryShort
	}
	m.log.Emit(e)
}

// refuse refuses a job for lack of memory.
func (m *memoryMonitor) refuse(r *mesh.Response) {
	r.Outcome = mesh.Overloaded
	retryAfter := estimateRetryAfter
	if m.short.Load() {
		retryAfter = memoryRetryAfter
	}
	r.RetryAfterMS = int(retryAfter.Milliseconds())
}
