package storage

import (
	"io"
	"path/filepath"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

// disk does the I/O on one data folder and counts syncs and written bytes. Its
// methods may be called concurrently for different files.
type disk struct {
	fs        FS
	dir       string
	syncDelay time.Duration
	syncs     atomic.Int64
	written   atomic.Int64
}

func newDisk(dir string, o Options) *disk {
	d := &disk{fs: o.FS, dir: dir, syncDelay: o.SyncDelay}
	if d.fs == nil {
		d.fs = osFS{}
	}
	return d
}

func (d *disk) path(name string) string { return filepath.Join(d.dir, name) }

func (d *disk) lock() (io.Closer, error) {
	if err := d.fs.MkdirAll(d.dir); err != nil {
		return nil, errors.Wrapf(err, "create data folder %s", d.dir)
	}
	c, err := d.fs.Lock(d.path(lockName))
	return c, errors.Wrapf(err, "lock data folder %s", d.dir)
}

func (d *disk) readFile(name string) ([]byte, error) {
	data, err := d.fs.ReadFile(d.path(name))
	return data, errors.Wrap(err, "read")
}

// createAtomic writes and syncs a temporary file and renames it, so that a
// crash leaves either the complete new file or what was there before: the old
// file or none. It returns the file open for appending.
func (d *disk) createAtomic(name string, data []byte) (File, error) {
	temporary := d.path(name + temporarySuffix)
	f, err := d.fs.Create(temporary)
	if err != nil {
		return nil, errors.Wrap(err, "create")
	}
	err = d.writeAndRename(f, temporary, d.path(name), data)
	if err != nil {
		_ = f.Close()
		return nil, err
	}
	return f, nil
}

func (d *disk) writeAndRename(f File, temporary, path string, data []byte) error {
	if err := d.append(f, data); err != nil {
		return errors.Wrapf(err, "file %s", temporary)
	}
	if err := d.fs.Rename(temporary, path); err != nil {
		return errors.Wrap(err, "rename")
	}
	return d.syncDir(d.dir)
}

// append writes data at the end of a file and syncs it.
func (d *disk) append(f File, data []byte) error {
	n, err := f.Write(data)
	d.written.Add(int64(n))
	if err != nil {
		return errors.Wrap(err, "write")
	}
	err = f.Sync()
	d.afterSync()
	return errors.Wrap(err, "sync")
}

func (d *disk) syncDir(dir string) error {
	err := d.fs.SyncDir(dir)
	d.afterSync()
	return errors.Wrapf(err, "sync folder %s", dir)
}

func (d *disk) afterSync() {
	d.syncs.Add(1)
	if d.syncDelay > 0 {
		time.Sleep(d.syncDelay)
	}
}

// remove deletes a file and syncs the folder.
func (d *disk) remove(name string) error {
	if err := d.fs.Remove(d.path(name)); err != nil {
		return errors.Wrap(err, "remove")
	}
	return d.syncDir(d.dir)
}
