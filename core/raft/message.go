package raft

// MessageType is the type of a message between servers.
type MessageType uint8

// Message types. Each comment names the fields that the type uses besides
// From, To and Term.
const (
	// MsgPreVote asks whether a vote in Term would be granted. Index and
	// LogTerm are those of the sender's last entry; Round numbers the request.
	// The receiver's term stays unchanged.
	MsgPreVote MessageType = iota + 1
	// MsgPreVoteReply answers MsgPreVote with Reject and the request's Round.
	// Term is the requested term if granted, and the replying server's current
	// term if rejected.
	MsgPreVoteReply
	// MsgVote requests a vote in Term. Index and LogTerm are those of the
	// sender's last entry.
	MsgVote
	// MsgTransferVote is MsgVote after a leadership transfer. It may be granted
	// despite recent contact with the leader, which has given up its lease.
	MsgTransferVote
	// MsgVoteReply answers MsgVote and MsgTransferVote with Reject.
	MsgVoteReply
	// MsgAppend carries Commit and the Entries that follow the entry at Index
	// with term LogTerm.
	MsgAppend
	// MsgAppendReply answers MsgAppend. If accepted, Index is the last entry
	// that is synced and equal to the leader's. If rejected, Index is that of
	// the rejected MsgAppend, and Hint with its term LogTerm is the entry where
	// the leader continues its search for a match.
	MsgAppendReply
	// MsgHeartbeat carries Round and Commit.
	MsgHeartbeat
	// MsgHeartbeatReply answers MsgHeartbeat with its Round.
	MsgHeartbeatReply
	// MsgSnapshot carries Snapshot.
	MsgSnapshot
	// MsgSnapshotReply answers MsgSnapshot with Index as in MsgAppendReply.
	MsgSnapshotReply
	// MsgTimeoutNow makes a caught-up voter start an election at once.
	MsgTimeoutNow
)

// Message is sent from one server to another. Messages may be lost, duplicated,
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

// fromLeader reports whether a message of the type shows that its sender is the
// leader of Term.
func (t MessageType) fromLeader() bool {
	return t == MsgAppend || t == MsgHeartbeat || t == MsgSnapshot
}

// isVoteRequest reports whether the type requests a vote or a pre-vote.
func (t MessageType) isVoteRequest() bool {
	return t == MsgPreVote || t == MsgVote || t == MsgTransferVote
}

// requiresSync reports whether a message of the type states what its sender has
// made durable, so that it may be sent only after the sync.
func (t MessageType) requiresSync() bool {
	switch t {
	case MsgVote, MsgTransferVote, MsgVoteReply, MsgAppendReply, MsgSnapshotReply:
		return true
	}
	return false
}
