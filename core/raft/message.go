package raft

// MessageType tells the messages between servers apart.
type MessageType uint8

// Message types. The comment names the fields that each type uses beside
// From, To and Term.
const (
	// MsgPreVote asks whether a vote for Term would be granted: Index and
	// LogTerm of the sender's last entry, and Round. The receiver's term is
	// unchanged.
	MsgPreVote MessageType = iota + 1
	// MsgPreVoteReply answers MsgPreVote: Reject and its Round. Term is the term asked for
	// when granted and the receiver's own when rejected.
	MsgPreVoteReply
	// MsgVote asks for the vote of Term: Index and LogTerm of the last entry.
	MsgVote
	// MsgTransferVote is MsgVote after the leader handed over on purpose. It is
	// granted although a leader was heard, since that leader gave up its lease.
	MsgTransferVote
	// MsgVoteReply answers MsgVote and MsgTransferVote: Reject.
	MsgVoteReply
	// MsgAppend carries Entries that follow entry Index of LogTerm, and Commit.
	MsgAppend
	// MsgAppendReply answers MsgAppend. Granted: Index is the last entry that
	// is synced and equal to the leader's. Rejected: Index is the one refused;
	// Hint and its LogTerm are where the leader may continue its search.
	MsgAppendReply
	// MsgHeartbeat carries Round and Commit.
	MsgHeartbeat
	// MsgHeartbeatReply repeats Round.
	MsgHeartbeatReply
	// MsgSnapshot carries Snapshot.
	MsgSnapshot
	// MsgSnapshotReply answers MsgSnapshot: Index as in MsgAppendReply.
	MsgSnapshotReply
	// MsgTimeoutNow tells a caught-up voter to start an election at once.
	MsgTimeoutNow
)

// Message is sent from one server to another. Messages may be lost, repeated,
// delayed and reordered.
type Message struct {
	Type     MessageType
	From     ServerID
	To       ServerID
	Term     uint64
	Index    uint64
	LogTerm  uint64
	Commit   uint64
	Hint     uint64
	Round    uint64
	Reject   bool
	Entries  []Entry
	Snapshot *Snapshot
}

// fromLeader tells whether only the leader of Term sends this type.
func (t MessageType) fromLeader() bool {
	return t == MsgAppend || t == MsgHeartbeat || t == MsgSnapshot
}

// isVote tells whether the type asks for a vote or a pre-vote.
func (t MessageType) isVoteRequest() bool {
	return t == MsgPreVote || t == MsgVote || t == MsgTransferVote
}

// promises tells whether the type states what its sender has made durable, so
// that it may leave only after the sync.
func (t MessageType) requiresSync() bool {
	switch t {
	case MsgVote, MsgTransferVote, MsgVoteReply, MsgAppendReply, MsgSnapshotReply:
		return true
	}
	return false
}
