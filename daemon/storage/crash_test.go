package storage

import (
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/cicadapulley/cicadapulley/core/raft"
	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/assert/cmp"
	"pgregory.net/rapid"
)

const crashDir = "/data"

// crashOptions makes segments of a few batches.
func crashOptions(fs *crashFS) Options { return Options{SegmentBytes: 400, FS: fs} }

// content is the state that recovery must return.
type content struct {
	HardState raft.HardState
	Snapshot  raft.Snapshot
	Entries   []raft.Entry
}

func (c content) last() uint64 { return c.Snapshot.Index + uint64(len(c.Entries)) }

func (c content) term(index uint64) uint64 {
	if index == c.Snapshot.Index {
		return c.Snapshot.Term
	}
	return c.Entries[index-c.Snapshot.Index-1].Term
}

func (c content) save(hs raft.HardState, from uint64, entries []raft.Entry) content {
	c.HardState = hs
	kept := c.Entries
	if from > 0 {
		kept = kept[:from-c.Snapshot.Index-1]
	}
	c.Entries = slices.Concat(kept, entries)
	return c
}

func (c content) snapshot(s raft.Snapshot) content {
	var kept []raft.Entry
	if s.Index <= c.last() && c.term(s.Index) == s.Term {
		kept = slices.Concat(c.Entries[s.Index-c.Snapshot.Index:])
	}
	c.Entries = kept
	c.Snapshot = s
	c.HardState.Commit = max(c.HardState.Commit, s.Index)
	return c
}

func contentOf(r Recovered) content { return content{r.HardState, r.Snapshot, r.Entries} }

func (c content) equal(o content) bool { return cmp.DeepEqual(c, o)().Success() }

// crashMachine runs random calls on a store whose file system fails. acked is
// the content after the last successful call, attempted the content after the
// last call if that had succeeded.
type crashMachine struct {
	fs        *crashFS
	store     *Store
	acked     content
	attempted content
	id        raft.ServerID
}

// call makes one change and checks that a failure is permanent.
func (m *crashMachine) call(t *rapid.T, after content, f func() error) {
	m.attempted = after
	err := f()
	if err == nil {
		m.acked = after
		return
	}
	ops := m.fs.ops
	again := m.store.Save(&raft.HardState{Term: 1 << 40}, 0, nil)
	assert.Equal(t, again, err, "a later call must return the first error")
	assert.Equal(t, m.fs.ops, ops, "a failed store must not touch the disk")
	m.recover(t)
}

// armFault makes one of the next operations fail.
func (m *crashMachine) armFault(t *rapid.T) {
	m.fs.fault = rapid.SampledFrom([]faultKind{faultPower, faultOnce, faultOnce}).Draw(t, "fault")
	m.fs.faultAt = m.fs.ops + rapid.IntRange(1, 12).Draw(t, "operations until the fault")
}

func (m *crashMachine) powerLoss(t *rapid.T) {
	m.fs.powerLoss(rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "power loss"), 0)))
}

// recover opens the folder, with random faults, until that succeeds. It checks
// that the result is the acknowledged or the attempted content, which is the
// acknowledged content from then on.
func (m *crashMachine) recover(t *rapid.T) {
	for {
		if m.fs.fault == faultPower || rapid.Bool().Draw(t, "power lost") {
			m.powerLoss(t)
		}
		m.fs.restart()
		if rapid.IntRange(0, 3).Draw(t, "fault in open") == 0 {
			m.armFault(t)
		}
		var err error
		if m.store, err = Open(crashDir, crashOptions(m.fs)); err == nil {
			break
		}
		assert.Assert(t, errors.Is(err, errPower) || errors.Is(err, errFault), "%+v", err)
	}
	m.fs.fault = 0
	r := m.store.Recovered()
	got := contentOf(r)
	assert.Assert(t, got.equal(m.acked) || got.equal(m.attempted),
		"recovered %+v\nacknowledged %+v\nattempted %+v", got, m.acked, m.attempted)
	assert.Assert(t, m.id == "" || m.id == r.Identity, "identity changed")
	assert.Assert(t, len(r.Damaged) == 0, "%v", r.Damaged)
	m.acked = got
	m.id = r.Identity
}

func (m *crashMachine) save(t *rapid.T) {
	next := m.acked.last() + 1
	from := uint64(0)
	if rapid.Bool().Draw(t, "truncate") {
		low := max(m.acked.Snapshot.Index, m.acked.HardState.Commit) + 1
		from = rapid.Uint64Range(low, max(low, next)).Draw(t, "from")
		next = from
	}
	hs := m.acked.HardState
	hs.Term++
	hs.Vote = raft.ServerID(rapid.StringN(0, 3, -1).Draw(t, "vote"))
	var entries []raft.Entry
	for range rapid.IntRange(0, 4).Draw(t, "entries") {
		entries = append(entries, drawEntry(t, hs.Term, next))
		next++
	}
	hs.Commit = rapid.Uint64Range(hs.Commit, max(hs.Commit, next-1)).Draw(t, "commit")
	after := m.acked.save(hs, from, entries)
	m.call(t, after, func() error { return m.store.Save(&hs, from, entries) })
}

func drawEntry(t *rapid.T, term, index uint64) raft.Entry {
	if rapid.IntRange(0, 5).Draw(t, "type") == 0 {
		g := raft.Group{Servers: []raft.Server{{ID: "a", Address: "b", Voter: true}}}
		return raft.Entry{Term: term, Index: index, Type: raft.EntryGroup, Group: &g}
	}
	data := rapid.SliceOfN(rapid.Byte(), 1, 60).Draw(t, "data")
	return raft.Entry{Term: term, Index: index, Data: data}
}

// saveSnapshot stores a snapshot of the committed log, or one that comes from a
// leader whose log is longer or has another term at the snapshot's index.
func (m *crashMachine) saveSnapshot(t *rapid.T) {
	low := max(m.acked.Snapshot.Index, min(m.acked.HardState.Commit, m.acked.last()))
	s := raft.Snapshot{Data: rapid.SliceOfN(rapid.Byte(), 1, 90).Draw(t, "data")}
	s.Index = rapid.Uint64Range(m.acked.Snapshot.Index, low+3).Draw(t, "index")
	if s.Index <= low {
		s.Term = m.acked.term(s.Index)
	} else {
		s.Term = m.acked.HardState.Term
	}
	m.call(t, m.acked.snapshot(s), func() error { return m.store.SaveSnapshot(s) })
}

// TestCrashes guards against the loss of acknowledged records, the return of
// truncated ones, a retried sync, a change of identity and a refusal to start
// after any crash.
func TestCrashes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &crashMachine{fs: newCrashFS()}
		m.recover(t)
		t.Repeat(map[string]func(*rapid.T){
			"save":     m.save,
			"save2":    m.save,
			"snapshot": m.saveSnapshot,
			"fault":    m.armFault,
			"restart": func(t *rapid.T) {
				m.fs.fault = 0
				assert.NilError(t, m.store.Close())
				m.attempted = m.acked
				m.recover(t)
			},
		})
	})
}

// TestCrashBetweenRemovals guards against a folder that Open refuses after a
// crash between the removals of two segments, when a truncation started below the
// second one.
func TestCrashBetweenRemovals(t *testing.T) {
	for operation := range 16 {
		fs := newCrashFS()
		s, err := Open(crashDir, crashOptions(fs))
		assert.NilError(t, err)
		assert.NilError(t, s.Save(nil, 0, []raft.Entry{{Term: 1, Index: 1}}))
		assert.NilError(t, s.SaveSnapshot(raft.Snapshot{}))
		assert.NilError(t, s.Save(nil, 1, nil))
		fs.fault = faultOnce
		fs.faultAt = fs.ops + 1 + operation
		_ = s.SaveSnapshot(raft.Snapshot{})
		fs.restart()
		s, err = Open(crashDir, crashOptions(fs))
		assert.NilError(t, err, "operation %d", operation)
		assert.DeepEqual(t, contentOf(s.Recovered()), content{})
	}
}
