package raft

import (
	"slices"
	"time"
)

type peerMode uint8

const (
	// probing sends one append at a time until one matches.
	probing peerMode = iota
	// replicating sends ahead of the answers.
	replicating
	// installing waits for the answer to a snapshot.
	installing
)

// snapshotRetries is how many election timeouts the answer to a snapshot may
// take before the snapshot is sent again.
const snapshotRetries = 4

// peer is the leader's view of another server.
type peer struct {
	mode peerMode
	// match is the last entry known to be equal and synced there.
	match uint64
	next  uint64
	// waiting is set in probing mode while an append is unanswered.
	waiting bool
	// inflight holds the last index of each unanswered append.
	inflight []uint64
	// progressAt is the time of the last answered append or, if none was
	// unanswered, of the last one sent.
	progressAt time.Time
	// snapshotIndex is the index of the snapshot sent last.
	snapshotIndex uint64
	// heard is the time of the last message of this term.
	heard time.Time
	// promisedFrom is the send time of the latest answered heartbeat round.
	promisedFrom time.Time
}

func newPeer(next uint64, now time.Time) *peer {
	return &peer{next: next, heard: now, progressAt: now}
}

func (p *peer) maySend(maxInflight int) bool {
	switch p.mode {
	case probing:
		return !p.waiting
	case replicating:
		return len(p.inflight) < maxInflight
	}
	return false
}

func (p *peer) sent(last uint64, now time.Time) {
	if p.mode == probing {
		p.waiting = true
		p.progressAt = now
		return
	}
	if len(p.inflight) == 0 {
		p.progressAt = now
	}
	p.inflight = append(p.inflight, last)
	p.next = last + 1
}

func (p *peer) sentSnapshot(index uint64, now time.Time) {
	p.mode = installing
	p.snapshotIndex = index
	p.inflight = nil
	p.progressAt = now
}

func (p *peer) probe(next uint64) {
	p.mode = probing
	p.next = max(next, p.match+1)
	p.waiting = false
	p.inflight = nil
}

func (p *peer) acknowledged(index uint64, now time.Time) {
	p.progressAt = now
	p.match = max(p.match, index)
	p.next = max(p.next, p.match+1)
	if p.mode == installing && p.match < p.snapshotIndex {
		return
	}
	if p.mode != replicating {
		p.probe(p.match + 1)
		p.mode = replicating
		return
	}
	done := func(last uint64) bool { return last <= index }
	p.inflight = slices.DeleteFunc(p.inflight, done)
}

// rejected goes back to where the follower's log may match.
func (p *peer) rejected(m Message, log *entryLog) {
	stale := m.Index <= p.match || (p.mode == probing && m.Index != p.next-1)
	if stale || p.mode == installing {
		return
	}
	// The refused index is never tried again: where the search ends at the
	// compacted prefix, the next step is a snapshot.
	p.probe(min(log.searchBack(m.Hint, m.LogTerm)+1, m.Index))
}

// retry sends again after a heartbeat showed that the server is reachable but
// an append stayed unanswered for longer than a heartbeat interval.
func (p *peer) retry(now time.Time, l limits) {
	patience := l.heartbeatInterval
	if p.mode == installing {
		patience = snapshotRetries * l.electionTimeout
	}
	open := p.waiting || len(p.inflight) > 0 || p.mode == installing
	if open && now.Sub(p.progressAt) > patience {
		p.probe(p.match + 1)
	}
}
