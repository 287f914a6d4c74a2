package storage

import (
	"github.com/cicadapulley/cicadapulley/api/rpc"
	"github.com/cicadapulley/cicadapulley/core/raft"
	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"
)

// encodeSnapshot returns the content of a snapshot file.
func encodeSnapshot(h header, s raft.Snapshot) ([]byte, error) {
	m := &rpc.RaftSnapshot{Index: s.Index, Term: s.Term, Group: groupToProto(s.Group), Data: s.Data}
	size := headerBytes + frameHeaderBytes + proto.Size(m) + frameTrailerBytes
	data := append(make([]byte, 0, size), h.encode()...)
	end := newCursor(h, data)
	start := len(data)
	data, err := proto.MarshalOptions{}.MarshalAppend(end.beginFrame(data), m)
	if err != nil {
		return nil, errors.Wrap(err, "encode snapshot")
	}
	return end.finishFrame(data, start, frameSnapshot)
}

// snapshotFile is the decoded content of a snapshot file.
type snapshotFile struct {
	// index comes from the file's name. header and snapshot are valid if err is
	// nil.
	index    uint64
	bytes    int64
	header   header
	snapshot raft.Snapshot
	err      *CorruptError
}

// readSnapshots reads the snapshot files in the given order. It returns an error
// only for failed I/O; damage is reported in each file's err.
func readSnapshots(d *disk, id Identity, indexes []uint64) ([]snapshotFile, error) {
	var files []snapshotFile
	for _, index := range indexes {
		name := snapshotName(index)
		data, err := d.readFile(name)
		if err != nil {
			return nil, err
		}
		f := decodeSnapshot(d.path(name), data)
		f.index = index
		if f.err == nil {
			f.err = f.check(d.path(name), id)
		}
		files = append(files, f)
	}
	return files, nil
}

func (f *snapshotFile) check(path string, id Identity) *CorruptError {
	if f.header.identity != id {
		return corruptf(path, 0, "snapshot belongs to another data folder, with identity %s", f.header.identity.ServerID())
	}
	if f.snapshot.Index != f.index {
		return corruptf(path, 0, "snapshot content has index %d", f.snapshot.Index)
	}
	return nil
}

func decodeSnapshot(path string, data []byte) snapshotFile {
	f := snapshotFile{bytes: int64(len(data))}
	h, err := decodeHeader(data, kindSnapshot)
	if err != nil {
		f.err = corruptf(path, 0, "%v", err)
		return f
	}
	f.header = h
	end := newCursor(h, data[:headerBytes])
	t, payload, err := end.readFrame(data)
	if err == nil && (t != frameSnapshot || end.offset != int64(len(data))) {
		err = errors.New("file does not contain exactly one snapshot frame")
	}
	var m rpc.RaftSnapshot
	if err == nil {
		err = proto.Unmarshal(payload, &m)
	}
	if err != nil {
		f.err = corruptf(path, headerBytes, "%v", err)
		return f
	}
	f.snapshot = raft.Snapshot{Index: m.Index, Term: m.Term, Group: groupFromProto(m.Group), Data: m.Data}
	return f
}
