package storage

import (
	"github.com/cicadapulley/cicadapulley/core/raft"
	"github.com/cockroachdb/errors"
)

// logIndex holds the indexes and terms of the log on disk.
type logIndex struct {
	// base is the index before the first entry on disk.
	base uint64
	// baseTerm is the term of the entry at base.
	baseTerm uint64
	// baseTermUnknown is set when baseTerm is not known.
	baseTermUnknown bool
	// terms are those of the entries after base.
	terms []uint64
}

func (l *logIndex) last() uint64 { return l.base + uint64(len(l.terms)) }

// term returns the term of the entry at an index, and false if it is not known.
func (l *logIndex) term(index uint64) (uint64, bool) {
	switch {
	case index < l.base || index > l.last():
		return 0, false
	case index == l.base:
		return l.baseTerm, !l.baseTermUnknown
	default:
		return l.terms[index-l.base-1], true
	}
}

// contains reports whether the entry at an index is known to have the given term.
func (l *logIndex) contains(index, term uint64) bool {
	t, ok := l.term(index)
	return ok && t == term
}

// reset empties the log, which continues after the given index and term.
func (l *logIndex) reset(index, term uint64) {
	*l = logIndex{base: index, baseTerm: term}
}

// truncate removes the entries from an index on. A segment may start after
// entries that a later leader replaces. If the segments before it were removed,
// the replacement starts at or below base, and the term before it is unknown.
func (l *logIndex) truncate(from uint64) {
	if from <= l.base {
		*l = logIndex{base: from - 1, baseTermUnknown: true}
		return
	}
	l.terms = l.terms[:min(uint64(len(l.terms)), from-l.base-1)]
}

// compact removes the entries up to an index, which must not be past the end of
// the log.
func (l *logIndex) compact(index uint64) {
	if index <= l.base {
		return
	}
	term, _ := l.term(index)
	kept := append([]uint64(nil), l.terms[index-l.base:]...)
	*l = logIndex{base: index, baseTerm: term, terms: kept}
}

// checkBatch returns an error if a batch can't follow the log.
func (l *logIndex) checkBatch(b batch) error {
	next := l.last() + 1
	if b.truncateFrom > next {
		return errors.Newf("truncation from index %d is past the end of the log at index %d", b.truncateFrom, l.last())
	}
	if b.truncateFrom > 0 {
		next = b.truncateFrom
	}
	term, _ := l.term(next - 1)
	for i := range b.entries {
		e := &b.entries[i]
		if e.Index != next {
			return errors.Newf("entry has index %d, want %d", e.Index, next)
		}
		if e.Term < term {
			return errors.Newf("entry %d of term %d follows term %d", e.Index, e.Term, term)
		}
		next++
		term = e.Term
	}
	return nil
}

// apply applies a batch that checkBatch accepted.
func (l *logIndex) apply(b batch) {
	if b.truncateFrom > 0 {
		l.truncate(b.truncateFrom)
	}
	for i := range b.entries {
		l.terms = append(l.terms, b.entries[i].Term)
	}
}

// entriesBefore returns the entries before an index.
func entriesBefore(entries []raft.Entry, from uint64) []raft.Entry {
	if len(entries) == 0 || from > entries[len(entries)-1].Index {
		return entries
	}
	if from <= entries[0].Index {
		return nil
	}
	return entries[:from-entries[0].Index]
}
