package storage

import (
	"testing"

	"github.com/cicadapulley/cicadapulley/core/raft"
	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"
)

// Guards against two daemons writing one folder, and against a restart that
// loses identity, vote, entries or groups on a real disk.
func TestReopenAndLock(t *testing.T) {
	dir := t.TempDir() + "/data"
	s, err := Open(dir, Options{})
	assert.NilError(t, err)
	id := s.Recovered().Identity
	_, err = Open(dir, Options{})
	assert.ErrorIs(t, err, ErrLocked)
	assert.ErrorContains(t, err, dir)
	hs := raft.HardState{Term: 3, Vote: id, Commit: 1}
	group := raft.Group{Servers: []raft.Server{{ID: id, Address: "127.0.0.1:1", Voter: true}}}
	entries := []raft.Entry{
		{Term: 2, Index: 1, Type: raft.EntryGroup, Group: &group},
		{Term: 3, Index: 2, Data: []byte("command")},
	}
	assert.NilError(t, s.Save(&hs, 0, entries))
	assert.NilError(t, s.Close())
	assert.Assert(t, errors.Is(s.Save(&hs, 0, nil), ErrClosed))
	s, err = Open(dir, Options{})
	assert.NilError(t, err)
	r := s.Recovered()
	assert.DeepEqual(t, r, Recovered{Identity: id, HardState: hs, Entries: entries})
	assert.NilError(t, s.Close())
}
