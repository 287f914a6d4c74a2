package raft

import (
	"time"

	"github.com/cicadapulley/cicadapulley/core/invariant"
)

// Ready is the work for the driver, in this order: send Messages; save Snapshot
// (which replaces the whole saved log), then Entries and HardState, with one sync
// if MustSync; send MessagesAfterSync; restore Snapshot and apply
// CommittedEntries; call Advance. Messages may be sent and entries applied during
// the sync; entries must be applied in the order in which Ready returned them.
type Ready struct {
	// HardState is nil if unchanged.
	HardState *HardState
	// TruncateFrom is the first saved entry to remove before Entries are
	// appended; 0 if none.
	TruncateFrom uint64
	Entries      []Entry
	// Snapshot is one received from the leader; nil if none.
	Snapshot *Snapshot
	// MustSync is false if what is saved needs no sync, which holds for a
	// changed commit index alone.
	MustSync          bool
	Messages          []Message
	MessagesAfterSync []Message
	// CommittedEntries are synced and committed.
	CommittedEntries []Entry
	// durable is set if the Ready carries the parts to be saved.
	durable bool
}

// HasReady reports whether Ready returns work. While an earlier Ready is being
// synced, only Messages and CommittedEntries count.
func (n *Node) HasReady() bool {
	if len(n.messages) > 0 || len(n.committed()) > 0 {
		return true
	}
	return !n.syncing && n.hasDurable()
}

func (n *Node) hasDurable() bool {
	return n.pendingSnapshot != nil || len(n.messagesAfterSync) > 0 || n.log.stable < n.log.last() || n.hardState() != n.savedHardState
}

// committed returns the entries to apply. Entries that follow a received snapshot
// are held back until Ready has returned the snapshot.
func (n *Node) committed() []Entry {
	if n.pendingSnapshot != nil {
		return nil
	}
	return n.log.committed()
}

// hardState returns the hard state to save. Its commit index never exceeds the
// synced log, so that a saved log that ends before it indicates lost entries.
func (n *Node) hardState() HardState {
	return HardState{Term: n.term, Vote: n.vote, Commit: min(n.log.commit, n.log.stable)}
}

// Ready returns the work since the last call. Parts to be saved are held back
// until Advance has been called for the Ready that carried the previous ones.
func (n *Node) Ready() Ready {
	rd := Ready{Messages: n.messages, CommittedEntries: n.committed()}
	n.messages = nil
	if count := len(rd.CommittedEntries); count > 0 {
		n.log.applying = rd.CommittedEntries[count-1].Index
	}
	if !n.syncing && n.hasDurable() {
		n.addDurable(&rd)
	}
	return rd
}

func (n *Node) addDurable(rd *Ready) {
	rd.durable = true
	n.syncing = true
	rd.MessagesAfterSync, n.messagesAfterSync = n.messagesAfterSync, nil
	rd.Snapshot, n.pendingSnapshot = n.pendingSnapshot, nil
	rd.Entries = n.log.slice(n.log.stable+1, n.log.last())
	if len(rd.Entries) > 0 && rd.Snapshot == nil && rd.Entries[0].Index <= n.log.lastOnDisk {
		rd.TruncateFrom = rd.Entries[0].Index
	}
	if hs := n.hardState(); hs != n.savedHardState {
		rd.HardState = &hs
	}
	voteChanged := rd.HardState != nil && (rd.HardState.Term != n.savedHardState.Term || rd.HardState.Vote != n.savedHardState.Vote)
	rd.MustSync = voteChanged || len(rd.Entries) > 0 || rd.Snapshot != nil
}

// Advance confirms that the driver has completed all of rd.
func (n *Node) Advance(rd Ready) {
	if count := len(rd.CommittedEntries); count > 0 {
		n.log.applied = max(n.log.applied, rd.CommittedEntries[count-1].Index)
	}
	if !rd.durable {
		return
	}
	invariant.Check(n.syncing, invariant.InternalCounting, "Advance called without an outstanding Ready")
	n.syncing = false
	if rd.Snapshot != nil {
		n.log.applied = max(n.log.applied, rd.Snapshot.Index)
		n.log.lastOnDisk = rd.Snapshot.Index
	}
	if rd.HardState != nil {
		n.savedHardState = *rd.HardState
	}
	n.log.markSynced(rd.Entries)
	if n.leaderState != nil {
		n.leaderState.syncBehindSince = time.Time{}
	}
	n.countOwnSync()
}

// countOwnSync counts this server's own vote or log, now that it is synced.
func (n *Node) countOwnSync() {
	switch {
	case n.role == Candidate && n.savedHardState.Term == n.term && n.savedHardState.Vote == n.id:
		n.recordVote(n.id, true)
	case n.role == Leader:
		n.advanceCommit()
	}
}
