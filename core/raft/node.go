package raft

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/cicadapulley/cicadapulley/core/invariant"
)

// Role is the role of a server in its current term.
type Role uint8

// Roles.
const (
	Follower Role = iota
	PreCandidate
	Candidate
	Leader
)

// String returns the role's name.
func (r Role) String() string {
	return [...]string{"follower", "pre-candidate", "candidate", "leader"}[r]
}

// Node is the Raft state machine of one server. The caller serialises all
// method calls. A time earlier than one passed before counts as that one.
type Node struct {
	id       ServerID
	settings settings
	rand     *rand.Rand
	now      time.Time

	term uint64
	vote ServerID
	// savedHardState is the hard state on disk.
	savedHardState HardState
	log            *entryLog
	groups         groupHistory
	// snapshot is the newest saved snapshot. It is sent to servers that need
	// compacted entries.
	snapshot Snapshot

	role   Role
	leader ServerID
	// termLeader is the leader of this term once known. Unlike leader, it stays
	// set after contact is lost.
	termLeader ServerID
	// lastLeaderContact is the time of the last message from a leader.
	lastLeaderContact time.Time
	// electionDeadline is when a voter without a leader starts an election.
	electionDeadline time.Time
	votes            map[ServerID]bool
	// preVoteRound numbers the pre-votes, so that a late reply to an earlier
	// pre-vote doesn't count.
	preVoteRound uint64

	// leaderState is nil unless this server is the leader.
	leaderState *leaderState

	messages          []Message
	messagesAfterSync []Message
	// pendingSnapshot is a received snapshot that Ready has not returned yet.
	pendingSnapshot *Snapshot
	// syncing is true between a Ready with state to save and its Advance.
	syncing bool
}

// settings are the constant settings of a node, derived from its Config.
type settings struct {
	electionTimeout   time.Duration
	heartbeatInterval time.Duration
	leaseDuration     time.Duration
	maxEntries        int
	maxBytes          int
	maxInflight       int
}

// New returns a node that starts as a follower with the recovered state. It
// fails with ErrInvalidConfig or ErrInvalidState.
func New(cfg Config) (*Node, error) {
	if err := cfg.validate(); err != nil {
		return nil, err
	}
	log, err := recoverLog(cfg.Snapshot, cfg.Entries)
	if err != nil {
		return nil, err
	}
	if cfg.HardState.Commit > log.last() {
		return nil, fmt.Errorf("%w: commit index %d is beyond the last entry %d", ErrInvalidState, cfg.HardState.Commit, log.last())
	}
	log.commitTo(cfg.HardState.Commit)
	n := &Node{
		id:                cfg.ID,
		settings:          newSettings(cfg),
		rand:              cfg.Rand,
		now:               cfg.Now,
		term:              max(cfg.HardState.Term, log.lastTerm()),
		savedHardState:    cfg.HardState,
		log:               log,
		groups:            newGroupHistory(cfg.Snapshot.Index, cfg.Snapshot.Group),
		snapshot:          cfg.Snapshot,
		lastLeaderContact: cfg.Now,
	}
	if n.term == cfg.HardState.Term {
		n.vote = cfg.HardState.Vote
	}
	n.recordGroups(log.entries)
	n.scheduleElection()
	return n, nil
}

func newSettings(cfg Config) settings {
	return settings{
		electionTimeout:   cfg.ElectionTimeout,
		heartbeatInterval: cfg.HeartbeatInterval,
		leaseDuration:     leaseDuration(cfg.ElectionTimeout),
		maxEntries:        cfg.MaxEntriesPerMessage,
		maxBytes:          cfg.MaxBytesPerMessage,
		maxInflight:       cfg.MaxInflight,
	}
}

// Tick handles the timeouts and heartbeats that are due at now. It needs to be
// called only at NextDeadline.
func (n *Node) Tick(now time.Time) {
	n.advanceClock(now)
	if n.role == Leader {
		n.tickLeader()
		return
	}
	if n.group().IsVoter(n.id) && !n.now.Before(n.electionDeadline) {
		n.campaign()
	}
}

// NextDeadline returns the time at which Tick must be called next, or the zero
// time if only a message or another call can set a deadline.
func (n *Node) NextDeadline() time.Time {
	if n.role == Leader {
		return n.leaderDeadline()
	}
	if !n.group().IsVoter(n.id) {
		return time.Time{}
	}
	return n.electionDeadline
}

func (n *Node) advanceClock(now time.Time) {
	if now.After(n.now) {
		n.now = now
	}
}

// group returns the group in force: the latest one in the log, whether
// committed or not.
func (n *Node) group() Group { return n.groups.latest().group }

// isOnlyVoter reports whether this server is the only voter of its group.
func (n *Node) isOnlyVoter() bool {
	g := n.group()
	return g.IsVoter(n.id) && g.Voters() == 1
}

// scheduleElection sets a randomised election deadline. A follower that is the
// only voter starts its election at once.
func (n *Node) scheduleElection() {
	if n.role == Follower && n.isOnlyVoter() {
		n.electionDeadline = n.now
		return
	}
	timeout := n.settings.electionTimeout
	n.electionDeadline = n.now.Add(timeout + time.Duration(n.rand.Int64N(int64(timeout))))
}

// becomeFollower enters the given term, which must not be below the current one.
func (n *Node) becomeFollower(term uint64, leader ServerID) {
	if term > n.term {
		n.term = term
		n.vote = ""
		n.termLeader = ""
	}
	wasFollower := n.role == Follower
	n.role = Follower
	n.leader = leader
	n.leaderState = nil
	n.votes = nil
	if !wasFollower {
		n.scheduleElection()
	}
}

// followLeader records a message from the leader of the current term.
func (n *Node) followLeader(m Message) {
	invariant.Check(n.termLeader == "" || n.termLeader == m.From, invariant.ElectionSafety,
		"leader of term %d is %q, but a leader message of type %d came from %q", n.term, n.termLeader, m.Type, m.From)
	n.termLeader = m.From
	n.becomeFollower(m.Term, m.From)
	n.lastLeaderContact = n.now
	n.scheduleElection()
}

// hasActiveLeader reports whether a leader's lease may depend on this server not
// voting: it is the leader itself, or had contact with one within the minimum
// election timeout.
func (n *Node) hasActiveLeader() bool {
	return n.role == Leader || n.now.Before(n.lastLeaderContact.Add(n.settings.electionTimeout))
}

// appendEntries adds entries to the log. Groups among them are in force from
// here on.
func (n *Node) appendEntries(entries ...Entry) {
	n.log.append(entries...)
	n.recordGroups(entries)
}

func (n *Node) recordGroups(entries []Entry) {
	for _, e := range entries {
		if e.Type == EntryGroup && e.Group != nil {
			n.groups.add(e.Index, *e.Group)
		}
	}
}

// send queues a message. The message waits for the sync if its type requires
// that, or if the current term or vote isn't on disk yet.
func (n *Node) send(m Message) {
	m.From = n.id
	if m.Term == 0 {
		m.Term = n.term
	}
	unsaved := n.savedHardState.Term != n.term || n.savedHardState.Vote != n.vote
	if m.Type.requiresSync() || unsaved {
		n.messagesAfterSync = append(n.messagesAfterSync, m)
		return
	}
	n.messages = append(n.messages, m)
}
