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
	sendingSnapshot
)

// snapshotRetries is how many election timeouts the answer to a snapshot may
// take before the snapshot is sent again.
const snapshotReplyTimeoutFactor = 4

// peer is the leader's view of another server.
type peer struct {
	mode peerMode
	// match is the last entry known to be equal and synced there.
	match uint64
	next  uint64
	// waiting is set in probing mode while an append is unanswered.
	awaitingReply bool
	// inflight holds the last index of each unanswered append.
	inflight []uint64
	// progressAt is the time of the last answered append or, if none was
	// unanswered, of the last one sent.
	lastProgress time.Time
	// snapshotIndex is the index of the snapshot sent last.
	snapshotIndex uint64
	// heard is the time of the last message of this term.
	lastContact time.Time
	// promisedFrom is the send time of the latest answered heartbeat round.
	leaseStart time.Time
}

func newPeer(next uint64, now time.Time) *peer {
	return &peer{next: next, lastContact: now, lastProgress: now}
}

func (p *peer) canSend(maxInflight int) bool {
	switch p.mode {
	case probing:
		return !p.awaitingReply
	case replicating:
		return len(p.inflight) < maxInflight
	}
	return false
}

func (p *peer) appendSent(last uint64, now time.Time) {
	if p.mode == probing {
		p.awaitingReply = true
		p.lastProgress = now
		return
	}
	if len(p.inflight) == 0 {
		p.lastProgress = now
	}
	p.inflight = append(p.inflight, last)
	p.next = last + 1
}

func (p *peer) snapshotSent(index uint64, now time.Time) {
	p.mode = sendingSnapshot
	p.snapshotIndex = index
	p.inflight = nil
	p.lastProgress = now
}

func (p *peer) probe(next uint64) {
	p.mode = probing
	p.next = max(next, p.match+1)
	p.awaitingReply = false
	p.inflight = nil
}

func (p *peer) acknowledged(index uint64, now time.Time) {
	p.lastProgress = now
	p.match = max(p.match, index)
	p.next = max(p.next, p.match+1)
	if p.mode == sendingSnapshot && p.match < p.snapshotIndex {
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
	if stale || p.mode == sendingSnapshot {
		return
	}
	// The refused index is never tried again: where the search ends at the
	// compacted prefix, the next step is a snapshot.
	p.probe(min(log.lastIndexUpToTerm(m.Hint, m.LogTerm)+1, m.Index))
}

// retry sends again after a heartbeat showed that the server is reachable but
// an append stayed unanswered for longer than a heartbeat interval.
func (p *peer) retry(now time.Time, l settings) {
	timeout := l.heartbeatInterval
	if p.mode == sendingSnapshot {
		timeout = snapshotReplyTimeoutFactor * l.electionTimeout
	}
	unanswered := p.awaitingReply || len(p.inflight) > 0 || p.mode == sendingSnapshot
	if unanswered && now.Sub(p.lastProgress) > timeout {
		p.probe(p.match + 1)
	}
}
