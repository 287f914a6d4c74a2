package raft

import (
	"bytes"
	"fmt"
	"slices"

	"github.com/cicadapulley/cicadapulley/core/invariant"
)

// entryLog is the in-memory log after the compacted prefix.
type entryLog struct {
	// offset and offsetTerm are the index and term of the last compacted entry.
	offset     uint64
	offsetTerm uint64
	entries    []Entry
	// commit is the highest index known to be committed.
	commit uint64
	// applying is the last index that Ready returned for applying.
	applying uint64
	// applied is the last index that Advance confirmed as applied.
	applied uint64
	// stable is the last synced index that is still part of the log.
	stable uint64
	// lastOnDisk is the last index on disk, which may belong to a suffix that
	// was replaced in memory.
	lastOnDisk uint64
}

// recoverLog builds the log from saved state. It drops the entries that the
// snapshot covers. It drops all entries if the log conflicts with the snapshot,
// which happens after a crash between saving an installed snapshot and deleting
// the old log.
func recoverLog(s Snapshot, entries []Entry) (*entryLog, error) {
	l := &entryLog{offset: s.Index, offsetTerm: s.Term, lastOnDisk: s.Index}
	for i := 1; i < len(entries); i++ {
		prev := entries[i-1]
		if entries[i].Index != prev.Index+1 || entries[i].Term < prev.Term {
			return nil, fmt.Errorf("%w: entry %d of term %d follows entry %d of term %d",
				ErrInvalidState, entries[i].Index, entries[i].Term, prev.Index, prev.Term)
		}
	}
	if len(entries) > 0 {
		l.lastOnDisk = max(l.lastOnDisk, entries[len(entries)-1].Index)
		if first := entries[0].Index; first > s.Index+1 {
			return nil, fmt.Errorf("%w: log starts at %d after a snapshot at %d", ErrInvalidState, first, s.Index)
		}
	}
	l.entries = afterSnapshot(s, entries)
	l.commit, l.applying, l.applied = s.Index, s.Index, s.Index
	l.stable = l.last()
	return l, nil
}

func afterSnapshot(s Snapshot, entries []Entry) []Entry {
	for i, e := range entries {
		if e.Index == s.Index && e.Term != s.Term {
			return nil
		}
		if e.Index == s.Index+1 {
			return slices.Clone(entries[i:])
		}
	}
	return nil
}

func (l *entryLog) last() uint64 { return l.offset + uint64(len(l.entries)) }

func (l *entryLog) lastTerm() uint64 {
	if len(l.entries) == 0 {
		return l.offsetTerm
	}
	return l.entries[len(l.entries)-1].Term
}

// term returns the term of an entry, and false if the entry is compacted or
// beyond the end.
func (l *entryLog) term(index uint64) (uint64, bool) {
	if index == l.offset {
		return l.offsetTerm, true
	}
	if index < l.offset || index > l.last() {
		return 0, false
	}
	return l.entries[index-l.offset-1].Term, true
}

func (l *entryLog) matches(index, term uint64) bool {
	t, ok := l.term(index)
	return ok && t == term
}

// slice returns the entries from first to last inclusive. The result shares the
// log's memory but stays unchanged, since a truncation never reuses that memory.
func (l *entryLog) slice(first, last uint64) []Entry {
	if first > last {
		return nil
	}
	from, to := first-l.offset-1, last-l.offset
	return l.entries[from:to:to]
}

// batch returns entries from first on within the limits, and at least one if
// there is any.
func (l *entryLog) batch(first uint64, maxEntries, maxBytes int) []Entry {
	all := l.slice(first, l.last())
	if len(all) > maxEntries {
		all = all[:maxEntries:maxEntries]
	}
	size := 0
	for i := range all {
		size += len(all[i].Data)
		if i > 0 && size > maxBytes {
			return all[:i:i]
		}
	}
	return all
}

// append adds entries, which must directly follow the last one.
func (l *entryLog) append(entries ...Entry) {
	for i, e := range entries {
		invariant.Check(e.Index == l.last()+1+uint64(i), invariant.LogMatching,
			"entry %d at position %d after entry %d", e.Index, i, l.last())
	}
	l.entries = append(l.entries, entries...)
}

// truncate removes the entries from index on.
func (l *entryLog) truncate(index uint64) {
	invariant.Check(index > l.commit, invariant.DurableAck,
		"truncation from %d, but entries up to %d are committed", index, l.commit)
	keep := index - l.offset - 1
	l.entries = l.entries[:keep:keep]
	l.stable = min(l.stable, index-1)
}

// findConflict returns the position in entries of the first one that the log
// lacks or has with another term, and len(entries) if there is none.
func (l *entryLog) findConflict(entries []Entry) int {
	for i, e := range entries {
		if !l.matches(e.Index, e.Term) {
			return i
		}
		if e.Index > l.offset {
			own := l.entries[e.Index-l.offset-1]
			invariant.Check(own.Type == e.Type && bytes.Equal(own.Data, e.Data), invariant.LogMatching,
				"entry %d of term %d differs from the local entry", e.Index, e.Term)
		}
	}
	return len(entries)
}

// lastIndexUpToTerm returns the last index up to the given one whose entry has at
// most the given term. If there is none it returns offset, or the given index if
// that is lower.
func (l *entryLog) lastIndexUpToTerm(index, term uint64) uint64 {
	index = min(index, l.last())
	for index > l.offset {
		if t, _ := l.term(index); t <= term {
			return index
		}
		index--
	}
	return index
}

// compareLastEntry compares a candidate's last entry with that of this log. The
// result is negative if the candidate is behind, positive if it is ahead.
func (l *entryLog) compareLastEntry(index, term uint64) int {
	switch own := l.lastTerm(); {
	case term < own:
		return -1
	case term > own:
		return 1
	case index < l.last():
		return -1
	case index > l.last():
		return 1
	}
	return 0
}

// commitTo raises the commit index to at least index.
func (l *entryLog) commitTo(index uint64) {
	invariant.Check(index <= l.last(), invariant.DurableAck,
		"commit index %d is beyond the last entry %d", index, l.last())
	l.commit = max(l.commit, index)
}

// committed returns the committed entries that were not yet returned for
// applying. Only entries that are synced on this server are included, so that a
// recovered log never ends before what the state machine has applied.
func (l *entryLog) committed() []Entry {
	return l.slice(l.applying+1, min(l.commit, l.stable))
}

// markSynced records that entries are synced. A suffix that was replaced in the
// meantime doesn't count.
func (l *entryLog) markSynced(entries []Entry) {
	for i := len(entries) - 1; i >= 0; i-- {
		e := entries[i]
		if e.Index > l.offset && l.matches(e.Index, e.Term) {
			l.stable = max(l.stable, e.Index)
			break
		}
	}
	if len(entries) > 0 {
		l.lastOnDisk = entries[len(entries)-1].Index
	}
}

// reset replaces the whole log by an installed snapshot.
func (l *entryLog) reset(s *Snapshot) {
	invariant.Check(s.Index > l.commit, invariant.DurableAck,
		"snapshot at %d, but entries up to %d are committed", s.Index, l.commit)
	l.offset, l.offsetTerm = s.Index, s.Term
	l.entries = nil
	l.commit, l.applying, l.stable = s.Index, s.Index, s.Index
}

// compact removes the entries up to index.
func (l *entryLog) compact(index uint64) {
	term, _ := l.term(index)
	l.entries = slices.Clone(l.entries[index-l.offset:])
	l.offset, l.offsetTerm = index, term
}
