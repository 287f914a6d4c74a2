package raft

import (
	"slices"
	"time"
)

// peerMode is how the leader replicates to a peer.
type peerMode uint8

const (
	// probing sends one append at a time until one matches.
	probing peerMode = iota
	// replicating sends further appends before earlier ones are acknowledged.
	replicating
	// sendingSnapshot waits for the reply to a snapshot.
	sendingSnapshot
)

// snapshotReplyTimeoutFactor is the time, in election timeouts, that the reply to
// a snapshot may take before replication starts again with a probe.
const snapshotReplyTimeoutFactor = 4

// peer is the leader's view of another server.
type peer struct {
	mode peerMode
	// match is the last index that is known to be equal and synced on the peer.
	match uint64
	// next is the index of the next entry to send.
	next uint64
	// awaitingReply is set in probing mode while an append is unanswered.
	awaitingReply bool
	// inflight holds the last index of each unanswered append.
	inflight []uint64
	// lastProgress is the time of the last acknowledgement, or of a later
	// snapshot, or of a later append that was sent while no other was unanswered.
	lastProgress time.Time
	// snapshotIndex is the index of the snapshot sent last.
	snapshotIndex uint64
	// lastContact is the time of the last reply of this term.
	lastContact time.Time
	// leaseStart is the send time of the latest heartbeat round that the peer
	// answered. The peer withholds its vote for an election timeout after it.
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

// rejected goes back to where the logs may match and probes there.
func (p *peer) rejected(m Message, log *entryLog) {
	stale := m.Index <= p.match || (p.mode == probing && m.Index != p.next-1)
	if stale || p.mode == sendingSnapshot {
		return
	}
	// The rejected index is never tried again: if the search ends at the
	// compacted prefix, the next message is a snapshot.
	p.probe(min(log.lastIndexUpToTerm(m.Hint, m.LogTerm)+1, m.Index))
}

// retry returns to probing if an append stayed unanswered for longer than a
// heartbeat interval, or a snapshot for longer than its timeout. It is called on
// a heartbeat reply, which shows that the server is reachable.
func (p *peer) retry(now time.Time, s settings) {
	timeout := s.heartbeatInterval
	if p.mode == sendingSnapshot {
		timeout = snapshotReplyTimeoutFactor * s.electionTimeout
	}
	unanswered := p.awaitingReply || len(p.inflight) > 0 || p.mode == sendingSnapshot
	if unanswered && now.Sub(p.lastProgress) > timeout {
		p.probe(p.match + 1)
	}
}
