package storage

import (
	"fmt"
	"os"
	"path/filepath"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cicadapulley/cicadapulley/api/codec"
	"github.com/cicadapulley/cicadapulley/api/mesh"
	"github.com/cicadapulley/cicadapulley/core/ledger"
	"github.com/cicadapulley/cicadapulley/core/raft"
	"github.com/cicadapulley/cicadapulley/core/state"
	"github.com/cicadapulley/cicadapulley/core/testfill"
)

// goldenOptions sets a small segment size, so that a golden folder has several
// segments.
var goldenOptions = Options{SegmentBytes: 500, Identity: Identity{1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16}}

// goldenFolder is a data folder with commands and snapshots of one encoding.
type goldenFolder[C, S any] struct {
	dir            string
	commands       []C
	snapshot       S
	encode         func(C) ([]byte, error)
	decode         func([]byte) (C, error)
	encodeSnapshot func(S) ([]byte, error)
	decodeSnapshot func([]byte) (S, error)
}

// addedFields are fields that were added after the golden folders were written, and are
// absent from them.
var addedFields = []string{"EndpointDraining", "RemoveEnrolment", "Enrolments", "FailedRuns", "Drain", "Drains", "ForgetCancellations", "Cancellations"}

// TestGoldenLedgerFolder guards against changes after which a coordinator's data
// folder of a released version is read differently, so that an upgrade would lose
// jobs, a vote or the group.
func TestGoldenLedgerFolder(t *testing.T) {
	goldenFolder[ledger.Command, ledger.Snapshot]{
		dir:            "testdata/ledger",
		commands:       testfill.OneField[ledger.Command](addedFields...),
		snapshot:       testfill.Value[ledger.Snapshot](addedFields...),
		encode:         mesh.EncodeCommand,
		decode:         mesh.DecodeCommand,
		encodeSnapshot: mesh.EncodeSnapshot,
		decodeSnapshot: mesh.DecodeSnapshot,
	}.check(t)
}

// TestGoldenStateFolder guards against the same fault in a data folder of control.
func TestGoldenStateFolder(t *testing.T) {
	commands := testfill.OneField[state.Command]()
	for i := range commands {
		commands[i].Now = time.UnixMilli(1000).UTC()
	}
	goldenFolder[state.Command, state.Snapshot]{
		dir:            "testdata/state",
		commands:       commands,
		snapshot:       testfill.Value[state.Snapshot](),
		encode:         codec.EncodeCommand,
		decode:         codec.DecodeCommand,
		encodeSnapshot: codec.EncodeSnapshot,
		decodeSnapshot: codec.DecodeSnapshot,
	}.check(t)
}

func (g goldenFolder[C, S]) check(t *testing.T) {
	fresh := filepath.Join(t.TempDir(), "data")
	want := g.write(t, fresh)
	if testfill.ShouldCreate(g.dir) {
		assert.NilError(t, os.CopyFS(g.dir, os.DirFS(fresh)))
	}
	assert.DeepEqual(t, fileNames(t, fresh), fileNames(t, g.dir))
	copied := t.TempDir() // Open changes the folder.
	assert.NilError(t, os.CopyFS(copied, os.DirFS(g.dir)))
	s, err := Open(copied, Options{})
	assert.NilError(t, err)
	got := s.Recovered()
	assert.NilError(t, s.Close())

	content, err := g.decodeSnapshot(got.Snapshot.Data)
	assert.NilError(t, err)
	assert.DeepEqual(t, content, g.snapshot)
	assert.Equal(t, len(got.Entries), len(want.Entries))
	for i, c := range g.commands {
		command, err := g.decode(got.Entries[i].Data)
		assert.NilError(t, err)
		assert.DeepEqual(t, command, c)
	}
	// Released versions must be able to read the folders of this one, so the bytes
	// must be the same too.
	assert.DeepEqual(t, got, want)
}

// write creates the folder and returns what Open must find there: a log whose
// first entries are in the newest snapshot, one entry for each command, and a
// group entry that replaced another entry.
func (g goldenFolder[C, S]) write(t *testing.T, dir string) Recovered {
	s, err := Open(dir, goldenOptions)
	assert.NilError(t, err)
	group := testfill.Value[raft.Group]()
	content, err := g.encodeSnapshot(g.snapshot)
	assert.NilError(t, err)
	assert.NilError(t, s.SaveSnapshot(raft.Snapshot{Group: group}))
	assert.NilError(t, s.Save(&raft.HardState{Term: 2, Vote: "a"}, 0, []raft.Entry{{Term: 2, Index: 1}, {Term: 2, Index: 2}}))
	want := Recovered{
		Identity: goldenOptions.Identity.ServerID(),
		Snapshot: raft.Snapshot{Index: 2, Term: 2, Group: group, Data: content},
	}
	assert.NilError(t, s.SaveSnapshot(want.Snapshot))
	last := want.Snapshot.Index
	for _, c := range g.commands {
		data, err := g.encode(c)
		assert.NilError(t, err)
		last++
		e := raft.Entry{Term: 3, Index: last, Data: data}
		assert.NilError(t, s.Save(&raft.HardState{Term: 3, Vote: "b", Commit: last - 1}, 0, []raft.Entry{e}))
		want.Entries = append(want.Entries, e)
	}
	last++
	assert.NilError(t, s.Save(nil, 0, []raft.Entry{{Term: 3, Index: last, Data: []byte("removed")}}))
	e := raft.Entry{Term: 5, Index: last, Type: raft.EntryGroup, Group: &group}
	want.HardState = raft.HardState{Term: 5, Vote: "c", Commit: last - 2}
	assert.NilError(t, s.Save(&want.HardState, last, []raft.Entry{e}))
	want.Entries = append(want.Entries, e)
	assert.Assert(t, s.Stats().Segments > 2 && s.Stats().Snapshots == 2, fmt.Sprint(s.Stats()))
	assert.NilError(t, s.Close())
	return want
}

func fileNames(t *testing.T, dir string) []string {
	names, err := osFS{}.List(dir)
	assert.NilError(t, err)
	return names
}
