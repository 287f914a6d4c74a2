package storage

import (
	"bytes"
	"io"
	"maps"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"

	"github.com/cockroachdb/errors"
)

var (
	errPower = errors.New("power is off")
	errFault = errors.New("injected fault")
)

type faultKind int

const (
	faultPower faultKind = iota + 1 // this operation and all later ones fail
	faultOnce                       // this operation fails
)

// inode is a file's content. durable is the part that survives a power loss;
// clean is the length of data that the next sync does not write, because it was
// written already or because a sync of it failed.
type inode struct {
	data, durable []byte
	clean         int
}

// crashFS is an in-memory file system. A power loss keeps a random part of
// unsynced data and names. Only operations that change something are counted in
// ops and can fail. files are the current files, durable those whose names are
// synced, and pending the changes of names that are not synced.
type crashFS struct {
	files, durable map[string]*inode
	pending        []map[string]*inode
	locked         map[string]bool
	ops, faultAt   int
	fault          faultKind
}

func newCrashFS() *crashFS {
	return &crashFS{files: map[string]*inode{}, durable: map[string]*inode{}, locked: map[string]bool{}}
}

// countOperation counts an operation and returns the fault to inject into it.
func (fs *crashFS) countOperation() error {
	fs.ops++
	if fs.fault == faultPower && fs.ops >= fs.faultAt {
		return errPower
	}
	if fs.fault == faultOnce && fs.ops == fs.faultAt {
		return errFault
	}
	return nil
}

func (fs *crashFS) change(names map[string]*inode) error {
	if err := fs.countOperation(); err != nil {
		return err
	}
	fs.apply(fs.files, names)
	fs.pending = append(fs.pending, names)
	return nil
}

func (fs *crashFS) apply(to, names map[string]*inode) {
	maps.Copy(to, names)
	maps.DeleteFunc(to, func(_ string, n *inode) bool { return n == nil })
}

func (fs *crashFS) MkdirAll(string) error    { return nil }
func (fs *crashFS) Remove(name string) error { return fs.change(map[string]*inode{name: nil}) }
func (fs *crashFS) List(string) ([]string, error) {
	var names []string
	for name := range fs.files {
		names = append(names, filepath.Base(name))
	}
	return names, nil
}

func (fs *crashFS) ReadFile(name string) ([]byte, error) {
	if n := fs.files[name]; n != nil {
		return slices.Clone(n.data), nil
	}
	return nil, os.ErrNotExist
}

func (fs *crashFS) Create(name string) (File, error) {
	n := &inode{}
	return &crashFile{fs: fs, node: n}, fs.change(map[string]*inode{name: n})
}

func (fs *crashFS) Rename(from, to string) error {
	return fs.change(map[string]*inode{from: nil, to: fs.files[from]})
}

func (fs *crashFS) SyncDir(string) error {
	if err := fs.countOperation(); err != nil {
		return err
	}
	fs.durable = maps.Clone(fs.files)
	fs.pending = nil
	return nil
}

func (fs *crashFS) Lock(name string) (io.Closer, error) {
	if fs.locked[name] {
		return nil, ErrLocked
	}
	fs.locked[name] = true
	return closerFunc(func() { delete(fs.locked, name) }), nil
}

type closerFunc func()

func (f closerFunc) Close() error { f(); return nil }

// restart simulates the end of the process: unsynced data stays readable.
func (fs *crashFS) restart() {
	fs.fault = 0
	clear(fs.locked)
}

// powerLoss replaces the files by the durable ones, with a random part of the
// unsynced changes.
func (fs *crashFS) powerLoss(r *rand.Rand) {
	fs.restart()
	for _, names := range fs.pending {
		if r.IntN(2) == 0 {
			fs.apply(fs.durable, names)
		}
	}
	fs.files = maps.Clone(fs.durable)
	fs.pending = nil
	for _, n := range fs.files {
		n.powerLoss(r)
	}
}

// powerLoss keeps a random length of the unsynced data and zeroes random blocks
// of it.
func (n *inode) powerLoss(r *rand.Rand) {
	const block = 16
	kept := slices.Clone(n.data[:max(len(n.durable), r.IntN(len(n.data)+1))])
	copy(kept, n.durable)
	for i := len(n.durable); i < len(kept); i += block {
		if i < n.clean || r.IntN(4) == 0 {
			clear(kept[i:min(i+block, len(kept))])
		}
	}
	*n = inode{data: kept, durable: slices.Clone(kept), clean: len(kept)}
}

type crashFile struct {
	fs   *crashFS
	node *inode
}

func (f *crashFile) Close() error { return nil }

func (f *crashFile) Write(p []byte) (int, error) {
	err := f.fs.countOperation()
	if err != nil {
		p = p[:len(p)/2]
	}
	f.node.data = append(f.node.data, p...)
	return len(p), err
}

func (f *crashFile) Sync() error {
	n := f.node
	err := f.fs.countOperation()
	if err == nil {
		// Data of an earlier failed sync is not written again; a power loss leaves
		// zeros there.
		n.durable = append(n.durable, bytes.Repeat([]byte{0}, n.clean-len(n.durable))...)
		n.durable = append(n.durable, n.data[n.clean:]...)
	}
	if !errors.Is(err, errPower) {
		n.clean = len(n.data)
	}
	return err
}
