package storage

import (
	"fmt"
	"maps"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"github.com/cicadapulley/cicadapulley/core/raft"
	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"
)

// fill saves batches of two entries, with snapshots after the given batches.
func fill(t testing.TB, s *Store, batches int, snapshots ...int) {
	for i := range batches {
		index := uint64(2*i + 1)
		hs := raft.HardState{Term: 1, Vote: "v", Commit: index - 1}
		assert.NilError(t, s.Save(&hs, 0, []raft.Entry{
			{Term: 1, Index: index, Data: fmt.Append(nil, "command ", index)},
			{Term: 1, Index: index + 1},
		}))
		if slices.Contains(snapshots, i) {
			assert.NilError(t, s.SaveSnapshot(raft.Snapshot{Index: index, Term: 1, Data: []byte("state")}))
		}
	}
}

// TestRealDisk guards against two daemons writing one folder, and against a
// restart on a real disk that loses state, also when Save and SaveSnapshot run
// concurrently.
func TestRealDisk(t *testing.T) {
	dir := t.TempDir() + "/data"
	s, err := Open(dir, Options{SegmentBytes: 500})
	assert.NilError(t, err)
	id := s.Recovered().Identity
	_, err = Open(dir, Options{})
	assert.ErrorIs(t, err, ErrLocked)
	assert.ErrorContains(t, err, dir)
	fill(t, s, 9, 4)
	done := make(chan error, 1)
	go func() { done <- s.SaveSnapshot(raft.Snapshot{Index: 11, Term: 1}) }()
	group := raft.Group{Servers: []raft.Server{{ID: id, Address: "127.0.0.1:1", Voter: true}}}
	assert.NilError(t, s.Save(nil, 0, []raft.Entry{{Term: 1, Index: 19, Type: raft.EntryGroup, Group: &group}}))
	assert.NilError(t, <-done)
	assert.NilError(t, s.Close())
	assert.Assert(t, errors.Is(s.Save(&raft.HardState{}, 0, nil), ErrClosed))

	s, err = Open(dir, Options{})
	assert.NilError(t, err)
	r := s.Recovered()
	assert.Equal(t, r.Identity, id)
	assert.Equal(t, r.Snapshot.Index, uint64(11))
	assert.DeepEqual(t, r.Entries[7].Group, &group)
	assert.NilError(t, s.Close())
	l, err := Inspect(dir)
	assert.NilError(t, err)
	assert.NilError(t, l.Err)
	assert.Equal(t, l.LastIndex, uint64(19))
}

// TestBackup guards against a backup that can be started as a second VM of the
// same identity, and a restored folder that lacks state or keeps the old vote.
func TestBackup(t *testing.T) {
	dir := t.TempDir()
	s, err := Open(dir+"/data", Options{SegmentBytes: 500})
	assert.NilError(t, err)
	fill(t, s, 9, 4)
	assert.NilError(t, s.Backup(dir+"/backup"))
	assert.NilError(t, s.Close())
	s, err = Open(dir+"/data", Options{})
	assert.NilError(t, err)
	want := s.Recovered()
	assert.NilError(t, s.Close())

	_, err = Open(dir+"/backup", Options{})
	assert.ErrorContains(t, err, identityName)
	id, err := Restore(dir+"/backup", dir+"/restored")
	assert.NilError(t, err)
	assert.Assert(t, id != want.Identity)
	s, err = Open(dir+"/restored", Options{})
	assert.NilError(t, err)
	want.Identity = id
	want.HardState.Vote = ""
	assert.DeepEqual(t, s.Recovered(), want)
	assert.NilError(t, s.Close())
}

// folderToDamage returns a folder with several segments and two snapshots, its
// content, and the name of its last segment.
func folderToDamage(t *testing.T) (*crashFS, content, string) {
	fs := newCrashFS()
	s, err := Open(crashDir, crashOptions(fs))
	assert.NilError(t, err)
	fill(t, s, 16, 3, 8)
	assert.NilError(t, s.Close())
	s, err = Open(crashDir, crashOptions(fs))
	assert.NilError(t, err)
	undamaged := contentOf(s.Recovered())
	assert.Assert(t, len(s.segments) > 3 && len(s.snapshots) == 2)
	last := filepath.Join(crashDir, segmentName(s.segments[len(s.segments)-1].sequence))
	assert.NilError(t, s.Close())
	return fs, undamaged, last
}

// withFile returns a copy of the file system in which one file has other content.
func (fs *crashFS) withFile(name string, data []byte) *crashFS {
	c := newCrashFS()
	c.files = maps.Clone(fs.files)
	c.files[name] = &inode{data: data}
	return c
}

// TestFlippedByte guards against damage that is accepted silently, or reported
// with the wrong file or offset.
func TestFlippedByte(t *testing.T) {
	fs, undamaged, last := folderToDamage(t)
	for name, node := range fs.files {
		for i := range node.data {
			data := slices.Clone(node.data)
			data[i] ^= byte(1 + i%255)
			checkDamage(t, fs.withFile(name, data), name, int64(i), undamaged, last)
		}
	}
}

func checkDamage(t *testing.T, fs *crashFS, name string, at int64, undamaged content, last string) {
	t.Helper()
	s, err := Open(crashDir, crashOptions(fs))
	if err != nil {
		var damage *CorruptError
		assert.Assert(t, errors.As(err, &damage), "%s byte %d: %v", name, at, err)
		assert.Equal(t, damage.File, name)
		assert.Assert(t, damage.Offset <= at, "%s byte %d: %v", name, at, err)
		return
	}
	r := s.Recovered()
	if strings.HasSuffix(name, snapshotSuffix) {
		assert.Assert(t, len(r.Damaged) == 1 && r.Damaged[0].File == name)
		assert.DeepEqual(t, contentOf(r).snapshot(undamaged.Snapshot), undamaged)
		return
	}
	assert.Equal(t, name, last, "byte %d", at)
	assert.Assert(t, r.TornTail != nil && r.TornTail.File == name && r.TornTail.Offset <= at, "byte %d", at)
	assert.Equal(t, int64(len(fs.files[name].data)), r.TornTail.Offset)
	undamaged.Entries = undamaged.Entries[:len(undamaged.Entries)-2]
	undamaged.HardState.Commit -= 2
	assert.DeepEqual(t, contentOf(r), undamaged)
}

// TestMissingFile guards against a missing file that is not detected, and against
// a new identity for a folder that contains state.
func TestMissingFile(t *testing.T) {
	fs, undamaged, last := folderToDamage(t)
	first := filepath.Join(crashDir, segmentName(1))
	for name := range fs.files {
		c := fs.withFile(name, nil)
		delete(c.files, name)
		s, err := Open(crashDir, crashOptions(c))
		switch {
		case name == last:
			// Without its last segment, the folder is valid, with an older state.
		case name == first || strings.HasSuffix(name, snapshotSuffix):
			assert.NilError(t, err)
			assert.DeepEqual(t, contentOf(s.Recovered()).snapshot(undamaged.Snapshot), undamaged)
		default:
			assert.Assert(t, err != nil, name)
		}
	}
}

// TestChain guards against a frame that is accepted after frames of another
// segment, and against a closed segment whose last frames are missing.
func TestChain(t *testing.T) {
	one := testSegment([]byte("a"), []byte("b"))
	two := testSegment([]byte("c"), []byte("d"))
	frame := frameHeaderBytes + 1 + frameTrailerBytes
	mixed := slices.Concat(one[:len(one)-frame], two[len(two)-frame:])
	s, err := openSegment("file", mixed)
	assert.NilError(t, err)
	_, _, err = s.cursor.readFrame(mixed)
	assert.NilError(t, err)
	_, _, err = s.cursor.readFrame(mixed)
	assert.ErrorContains(t, err, "checksum")

	fs, _, last := folderToDamage(t)
	for name, node := range fs.files {
		if name == last || !strings.HasSuffix(name, segmentSuffix) {
			continue
		}
		s, err := openSegment(name, node.data)
		assert.NilError(t, err)
		if s.cursor.offset == int64(len(node.data)) {
			continue // a segment without batches
		}
		_, err = Open(crashDir, crashOptions(fs.withFile(name, node.data[:s.cursor.offset])))
		assert.ErrorContains(t, err, "does not continue "+filepath.Base(name))
	}
}

// TestOutdatedSnapshotIsRefused guards against a store that fails, or goes back, because a snapshot of
// this VM is saved after a newer one that the leader has sent.
func TestOutdatedSnapshotIsRefused(t *testing.T) {
	dir := t.TempDir() + "/data"
	s, err := Open(dir, Options{})
	assert.NilError(t, err)
	fill(t, s, 9, 4)
	newest := raft.Snapshot{Index: 30, Term: 2, Data: []byte("newest")}
	assert.NilError(t, s.SaveSnapshot(newest))
	assert.ErrorIs(t, s.SaveSnapshot(raft.Snapshot{Index: 11, Term: 1, Data: []byte("older")}), ErrOutdatedSnapshot)
	assert.NilError(t, s.Save(nil, 0, []raft.Entry{{Term: 2, Index: 31}}), "the store goes on")
	assert.NilError(t, s.Close())
	s, err = Open(dir, Options{})
	assert.NilError(t, err)
	r := s.Recovered()
	assert.DeepEqual(t, r.Snapshot, newest)
	assert.Equal(t, len(r.Entries), 1)
	assert.NilError(t, s.Close())
}
