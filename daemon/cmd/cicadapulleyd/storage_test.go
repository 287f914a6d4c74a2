package main

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/cicadapulley/cicadapulley/core/raft"
	"github.com/cicadapulley/cicadapulley/daemon/storage"
)

func execute(args ...string) (string, error) {
	var out bytes.Buffer
	root := newRoot()
	root.SetOut(&out)
	root.SetArgs(args)
	err := root.Execute()
	return out.String(), err
}

// TestStorageCommands guards against a backup that lacks state, against a
// restore under the old identity (two VMs could then vote as one), and against
// commands that create state in a mistyped folder.
func TestStorageCommands(t *testing.T) {
	dir := t.TempDir()
	data, copied, restored := filepath.Join(dir, "data"), filepath.Join(dir, "backup"), filepath.Join(dir, "restored")
	store, err := storage.Open(data, storage.Options{})
	assert.NilError(t, err)
	identity := string(store.Recovered().Identity)
	assert.NilError(t, store.Save(&raft.HardState{Term: 1, Commit: 1}, 0, []raft.Entry{{Term: 1, Index: 1, Data: []byte("x")}}))

	_, err = execute("storage", "backup", data, copied)
	assert.ErrorContains(t, err, "lock")
	assert.NilError(t, store.Close())
	_, err = execute("storage", "backup", data, copied)
	assert.NilError(t, err)
	out, err := execute("storage", "restore", copied, restored)
	assert.NilError(t, err)
	assert.Assert(t, !strings.Contains(out, identity), out)
	out, err = execute("storage", "inspect", restored)
	assert.NilError(t, err)
	assert.Assert(t, strings.Contains(out, "term 1  commit 1  snapshot 0  last 1"), out)

	missing := filepath.Join(dir, "missing")
	for _, args := range [][]string{{"inspect", missing}, {"inspect", copied}, {"backup", missing, copied + "2"}, {"restore", missing, restored + "2"}} {
		_, err = execute(append([]string{"storage"}, args...)...)
		assert.Assert(t, err != nil, "%v", args)
	}
	_, err = os.Stat(missing)
	assert.Assert(t, os.IsNotExist(err))
}
