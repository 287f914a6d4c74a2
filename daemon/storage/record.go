package storage

import (
	"encoding/binary"

	"github.com/cicadapulley/cicadapulley/api/rpc"
	"github.com/cicadapulley/cicadapulley/core/raft"
	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"
)

// The payload of a batch is a sequence of records: type (1 byte), length (4
// bytes), content.
type recordType uint8

const (
	recordHardState recordType = iota + 1
	// recordTruncate is the first index that is removed (8 bytes).
	recordTruncate
	// recordEntry is a protobuf RaftEntry. The data of an EntryGroup is a
	// protobuf RaftGroup.
	recordEntry
)

const (
	recordHeaderBytes = 1 + 4
	// hardStateBytes is the size of term and commit index; the vote follows.
	hardStateBytes = 8 + 8
	// checkpointBytes is the size of index and term; the hard state follows.
	checkpointBytes = 8 + 8
)

// batch is the content of one Save.
type batch struct {
	hardState *raft.HardState
	// truncateFrom is the first index that is removed; 0 removes nothing.
	truncateFrom uint64
	entries      []raft.Entry
}

func (b batch) empty() bool {
	return b.hardState == nil && b.truncateFrom == 0 && len(b.entries) == 0
}

// appendTo appends the encoded batch to dst.
func (b batch) appendTo(dst []byte) ([]byte, error) {
	if b.hardState != nil {
		dst = appendRecordHeader(dst, recordHardState, hardStateBytes+len(b.hardState.Vote))
		dst = appendHardState(dst, *b.hardState)
	}
	if b.truncateFrom > 0 {
		dst = appendRecordHeader(dst, recordTruncate, 8)
		dst = binary.LittleEndian.AppendUint64(dst, b.truncateFrom)
	}
	var message rpc.RaftEntry
	for i := range b.entries {
		var err error
		if dst, err = appendEntry(dst, &message, &b.entries[i]); err != nil {
			return nil, errors.Wrapf(err, "encode entry %d", b.entries[i].Index)
		}
	}
	return dst, nil
}

func appendRecordHeader(dst []byte, t recordType, length int) []byte {
	return binary.LittleEndian.AppendUint32(append(dst, byte(t)), uint32(length))
}

func appendHardState(dst []byte, hs raft.HardState) []byte {
	dst = binary.LittleEndian.AppendUint64(dst, hs.Term)
	dst = binary.LittleEndian.AppendUint64(dst, hs.Commit)
	return append(dst, hs.Vote...)
}

// appendEntry appends an encoded entry to dst. m is scratch space that the
// caller reuses.
func appendEntry(dst []byte, m *rpc.RaftEntry, e *raft.Entry) ([]byte, error) {
	m.Term = e.Term
	m.Index = e.Index
	m.Type = uint32(e.Type)
	m.Data = e.Data
	if e.Type == raft.EntryGroup {
		data, err := encodeGroup(e)
		if err != nil {
			return nil, err
		}
		m.Data = data
	}
	size := proto.Size(m)
	if size > maxPayloadBytes {
		return nil, errors.Newf("record of %d bytes exceeds the limit of %d bytes", size, maxPayloadBytes)
	}
	dst = appendRecordHeader(dst, recordEntry, size)
	return proto.MarshalOptions{UseCachedSize: true}.MarshalAppend(dst, m)
}

func encodeGroup(e *raft.Entry) ([]byte, error) {
	if e.Group == nil || len(e.Data) > 0 {
		return nil, errors.New("group entry must have a group and no data")
	}
	return proto.Marshal(groupToProto(*e.Group))
}

func groupToProto(g raft.Group) *rpc.RaftGroup {
	m := &rpc.RaftGroup{}
	for _, s := range g.Servers {
		m.Servers = append(m.Servers, &rpc.RaftServer{Id: string(s.ID), Address: s.Address, Voter: s.Voter})
	}
	return m
}

func groupFromProto(m *rpc.RaftGroup) raft.Group {
	var g raft.Group
	for _, s := range m.GetServers() {
		g.Servers = append(g.Servers, raft.Server{ID: raft.ServerID(s.Id), Address: s.Address, Voter: s.Voter})
	}
	return g
}

// decodeBatch decodes the payload of a frame with a valid checksum.
func decodeBatch(payload []byte) (batch, error) {
	var b batch
	for len(payload) > 0 {
		if len(payload) < recordHeaderBytes {
			return batch{}, errors.New("record header is truncated")
		}
		t := recordType(payload[0])
		length := uint64(binary.LittleEndian.Uint32(payload[1:]))
		payload = payload[recordHeaderBytes:]
		if length > uint64(len(payload)) {
			return batch{}, errors.New("record is longer than its frame")
		}
		if err := b.decodeRecord(t, payload[:length]); err != nil {
			return batch{}, err
		}
		payload = payload[length:]
	}
	return b, nil
}

func (b *batch) decodeRecord(t recordType, content []byte) error {
	switch t {
	case recordHardState:
		hs, err := decodeHardState(content)
		b.hardState = &hs
		return err
	case recordTruncate:
		if len(content) != 8 {
			return errors.New("truncate record does not have 8 bytes")
		}
		b.truncateFrom = binary.LittleEndian.Uint64(content)
		return nil
	case recordEntry:
		e, err := decodeEntry(content)
		b.entries = append(b.entries, e)
		return err
	default:
		return errors.Newf("unknown record type %d", t)
	}
}

func decodeHardState(content []byte) (raft.HardState, error) {
	if len(content) < hardStateBytes {
		return raft.HardState{}, errors.New("hard state is truncated")
	}
	return raft.HardState{
		Term:   binary.LittleEndian.Uint64(content),
		Commit: binary.LittleEndian.Uint64(content[8:]),
		Vote:   raft.ServerID(content[hardStateBytes:]),
	}, nil
}

func decodeEntry(content []byte) (raft.Entry, error) {
	var m rpc.RaftEntry
	if err := proto.Unmarshal(content, &m); err != nil {
		return raft.Entry{}, errors.Wrap(err, "decode entry")
	}
	e := raft.Entry{Term: m.Term, Index: m.Index, Type: raft.EntryType(m.Type), Data: m.Data}
	switch m.Type {
	case uint32(raft.EntryCommand):
		return e, nil
	case uint32(raft.EntryGroup):
		g, err := decodeGroup(m.Data)
		e.Group = &g
		e.Data = nil
		return e, err
	default:
		return raft.Entry{}, errors.Newf("entry %d has unknown type %d", m.Index, m.Type)
	}
}

func decodeGroup(data []byte) (raft.Group, error) {
	var m rpc.RaftGroup
	if err := proto.Unmarshal(data, &m); err != nil {
		return raft.Group{}, errors.Wrap(err, "decode group")
	}
	return groupFromProto(&m), nil
}

// checkpoint is the state before the first batch of a segment. Recovery can start
// from it, so that older segments can be removed.
type checkpoint struct {
	// index and term are those of the last entry before the segment.
	index, term uint64
	hardState   raft.HardState
}

func (c checkpoint) appendTo(dst []byte) []byte {
	dst = binary.LittleEndian.AppendUint64(dst, c.index)
	dst = binary.LittleEndian.AppendUint64(dst, c.term)
	return appendHardState(dst, c.hardState)
}

func decodeCheckpoint(payload []byte) (checkpoint, error) {
	if len(payload) < checkpointBytes {
		return checkpoint{}, errors.New("checkpoint is truncated")
	}
	hardState, err := decodeHardState(payload[checkpointBytes:])
	return checkpoint{
		index:     binary.LittleEndian.Uint64(payload),
		term:      binary.LittleEndian.Uint64(payload[8:]),
		hardState: hardState,
	}, err
}
