package raft

import (
	"errors"
	"fmt"
)

// Errors of proposals, group changes, snapshots and settings. A proposal or
// change that fails with one of them has appended nothing to the log.
var (
	// ErrNotLeader is matched by every NotLeaderError.
	ErrNotLeader = errors.New("not the leader")
	// ErrNotReady is returned until the first entry of the leader's term is committed.
	ErrNotReady = errors.New("leader has not committed an entry of its term")
	// ErrChangePending is returned until the previous group change is committed.
	ErrChangePending = errors.New("a group change is pending")
	// ErrNotCaughtUp is returned for the promotion of, or the transfer to, a
	// server whose synced log is too far behind.
	ErrNotCaughtUp = errors.New("server has not caught up")
	// ErrQuorumAtRisk is returned when the leader has no recent contact with a
	// majority of the changed group's voters.
	ErrQuorumAtRisk = errors.New("too few voters of the changed group are reachable")
	// ErrInvalidChange is returned for a change or transfer that is not
	// possible in the current group.
	ErrInvalidChange = errors.New("invalid group change")
	// ErrEmptyProposal is returned for a proposal without entries.
	ErrEmptyProposal = errors.New("empty proposal")
	// ErrCompacted is returned for an index that is no longer in the log.
	ErrCompacted = errors.New("index is compacted")
	// ErrNotApplied is returned for an index that isn't applied yet, or that
	// no saved snapshot covers.
	ErrNotApplied = errors.New("index is not applied")
	// ErrInvalidConfig is returned by New for invalid settings.
	ErrInvalidConfig = errors.New("invalid consensus settings")
	// ErrInvalidState is returned by New for inconsistent recovered state.
	ErrInvalidState = errors.New("recovered consensus state is inconsistent")
)

// NotLeaderError is returned for a request that only the leader serves.
type NotLeaderError struct {
	// Leader is the current leader or, during a transfer, the target of the
	// transfer; empty if unknown.
	Leader ServerID
}

// Error implements error.
func (e *NotLeaderError) Error() string {
	if e.Leader == "" {
		return "not the leader, leader unknown"
	}
	return fmt.Sprintf("not the leader, leader is %s", e.Leader)
}

// Unwrap returns ErrNotLeader.
func (e *NotLeaderError) Unwrap() error { return ErrNotLeader }
