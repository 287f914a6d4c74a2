package harness

import (
	"errors"
	"io"
	"maps"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"sync"

	"github.com/cicadapulley/cicadapulley/daemon/storage"
)

// Disk is an in-memory file system. A power loss keeps a random part of the
// unsynced data. The tests of package storage have a stricter one, which can't be
// shared: they are inside the package that it would import.
type Disk struct {
	mu          sync.Mutex
	files       map[string]*inode
	syncedFiles map[string]*inode
	failSyncs   bool
}

var errSyncFailed = errors.New("injected sync failure")

// FailSyncs makes all later syncs fail.
func (d *Disk) FailSyncs() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.failSyncs = true
}

// inode is a file's content; the first synced bytes survive a power loss.
type inode struct {
	data   []byte
	synced int
}

// NewDisk returns an empty disk.
func NewDisk() *Disk {
	return &Disk{files: map[string]*inode{}, syncedFiles: map[string]*inode{}}
}

// PowerLoss drops a random part of the unsynced data. No process may use the disk
// during the call.
func (d *Disk) PowerLoss(r *rand.Rand) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if r.IntN(2) == 0 {
		d.files = maps.Clone(d.syncedFiles)
	}
	d.syncedFiles = maps.Clone(d.files)
	for _, n := range d.files {
		n.data = n.data[:n.synced+r.IntN(len(n.data)-n.synced+1)]
		n.synced = len(n.data)
	}
}

// MkdirAll implements storage.FS.
func (d *Disk) MkdirAll(string) error { return nil }

// List implements storage.FS. All files are in one folder.
func (d *Disk) List(string) ([]string, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	var names []string
	for name := range d.files {
		names = append(names, filepath.Base(name))
	}
	return names, nil
}

// ReadFile implements storage.FS.
func (d *Disk) ReadFile(name string) ([]byte, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if n := d.files[name]; n != nil {
		return slices.Clone(n.data), nil
	}
	return nil, os.ErrNotExist
}

// Create implements storage.FS.
func (d *Disk) Create(name string) (storage.File, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	n := &inode{}
	d.files[name] = n
	return &diskFile{disk: d, node: n}, nil
}

// Rename implements storage.FS.
func (d *Disk) Rename(from, to string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.files[to] = d.files[from]
	delete(d.files, from)
	return nil
}

// Remove implements storage.FS.
func (d *Disk) Remove(name string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.files, name)
	return nil
}

// SyncDir implements storage.FS.
func (d *Disk) SyncDir(string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.syncedFiles = maps.Clone(d.files)
	return nil
}

// Lock implements storage.FS. It does nothing, because the cluster runs one
// incarnation of a process at a time.
func (d *Disk) Lock(string) (io.Closer, error) { return io.NopCloser(nil), nil }

type diskFile struct {
	disk *Disk
	node *inode
}

// Write implements storage.File.
func (f *diskFile) Write(p []byte) (int, error) {
	f.disk.mu.Lock()
	defer f.disk.mu.Unlock()
	f.node.data = append(f.node.data, p...)
	return len(p), nil
}

// Sync implements storage.File.
func (f *diskFile) Sync() error {
	f.disk.mu.Lock()
	defer f.disk.mu.Unlock()
	if f.disk.failSyncs {
		return errSyncFailed
	}
	f.node.synced = len(f.node.data)
	return nil
}

// Close implements storage.File.
func (f *diskFile) Close() error { return nil }
