package raft

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/cicadapulley/cicadapulley/core/invariant"
)

// Role is a server's part in its term.
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

// Node is one server's part of the agreement. The caller serialises all
// methods. A time that is earlier than a previous one counts as that one.
type Node struct {
	id       ServerID
	settings settings
	rand     *rand.Rand
	now      time.Time

	term uint64
	vote ServerID
	// saved is the hard state on disk.
	savedHardState HardState
	log            *entryLog
	groups         groupHistory
	// snapshot is the newest saved one; its data is sent to servers that need
	// compacted entries.
	snapshot Snapshot

	role   Role
	leader ServerID
	// termLeader is the leader seen in this term, also after contact was lost.
	termLeader ServerID
	// heardLeader is when the leader of the term was last heard.
	lastLeaderContact time.Time
	// electionAt is when a voter without a leader starts an election.
	electionDeadline time.Time
	votes            map[ServerID]bool
	// preVoteRound numbers the pre-votes, so that a late answer to an earlier
	// one doesn't count.
	preVoteRound uint64

	// lead is set on the leader only.
	leaderState *leaderState

	messages          []Message
	messagesAfterSync []Message
	// install is a received snapshot that isn't handed out yet.
	pendingSnapshot *Snapshot
	// syncing is set while a Ready with durable parts waits for Advance.
	syncing bool
}

// limits are the settings that stay the same.
type settings struct {
	electionTimeout   time.Duration
	heartbeatInterval time.Duration
	leaseDuration     time.Duration
	maxEntries        int
	maxBytes          int
	maxInflight       int
}

// New returns a follower with the recovered state. It fails with
// ErrInvalidConfig or ErrInvalidState.
func New(cfg Config) (*Node, error) {
	if err := cfg.validate(); err != nil {
		return nil, err
	}
	log, err := recoverLog(cfg.Snapshot, cfg.Entries)
	if err != nil {
		return nil, err
	}
	if cfg.HardState.Commit > log.last() {
		return nil, fmt.Errorf("%w: commit index %d, last entry %d", ErrInvalidState, cfg.HardState.Commit, log.last())
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

// Tick does what is due at now. Calling it at NextDeadline suffices.
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

// NextDeadline returns when Tick has something to do, zero if only a message
// or a call can change that.
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

// group returns the group in force: the latest in the log, committed or not.
func (n *Node) group() Group { return n.groups.latest().group }

// isOnlyVoter tells whether this server decides alone.
func (n *Node) isOnlyVoter() bool {
	g := n.group()
	return g.IsVoter(n.id) && g.Voters() == 1
}

// scheduleElection draws the time of the next election; a follower that decides
// alone doesn't wait.
func (n *Node) scheduleElection() {
	if n.role == Follower && n.isOnlyVoter() {
		n.electionDeadline = n.now
		return
	}
	timeout := n.settings.electionTimeout
	n.electionDeadline = n.now.Add(timeout + time.Duration(n.rand.Int64N(int64(timeout))))
}

// becomeFollower enters a term at least as high as the own one.
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

// followLeader notes that the leader of the message's term was heard.
func (n *Node) followLeader(m Message) {
	invariant.Check(n.termLeader == "" || n.termLeader == m.From, invariant.ElectionSafety,
		"term %d has leader %q, message type %d from %q", n.term, n.termLeader, m.Type, m.From)
	n.termLeader = m.From
	n.becomeFollower(m.Term, m.From)
	n.lastLeaderContact = n.now
	n.scheduleElection()
}

// hearsLeader tells whether this server has promised not to vote: it is the
// leader, or heard one within the minimum election timeout.
func (n *Node) hasActiveLeader() bool {
	return n.role == Leader || n.now.Before(n.lastLeaderContact.Add(n.settings.electionTimeout))
}

// appendEntries adds entries to the log; groups are in force from here on.
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

// send queues a message. It waits for the sync if it promises something, or if
// its term isn't on disk yet.
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
