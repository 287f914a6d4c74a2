package storage

import (
	"io"
	"os"
	"syscall"

	"github.com/cockroachdb/errors"
)

// File is a file open for writing. Written bytes are durable after Sync.
type File interface {
	io.WriteCloser
	Sync() error
}

// FS is the part of a file system that the store uses. Names are paths.
// Created, renamed and removed names are durable after SyncDir of their folder.
type FS interface {
	MkdirAll(dir string) error
	// List returns the names in a folder, without the folder's path.
	List(dir string) ([]string, error)
	ReadFile(name string) ([]byte, error)
	// Create opens an empty file for writing, replacing an existing one.
	Create(name string) (File, error)
	Rename(from, to string) error
	Remove(name string) error
	SyncDir(dir string) error
	// Lock takes an exclusive lock on a file, which it creates if needed. It
	// does not wait: it returns ErrLocked when the lock is held.
	Lock(name string) (io.Closer, error)
}

const (
	fileMode = 0o600
	dirMode  = 0o700
)

// OS returns the operating system's file system.
func OS() FS { return osFS{} }

// osFS is the operating system's file system.
type osFS struct{}

func (osFS) MkdirAll(dir string) error            { return os.MkdirAll(dir, dirMode) }
func (osFS) ReadFile(name string) ([]byte, error) { return os.ReadFile(name) }
func (osFS) Rename(from, to string) error         { return os.Rename(from, to) }
func (osFS) Remove(name string) error             { return os.Remove(name) }

func (osFS) List(dir string) ([]string, error) {
	items, err := os.ReadDir(dir)
	if err != nil {
		return nil, err
	}
	names := make([]string, 0, len(items))
	for _, item := range items {
		names = append(names, item.Name())
	}
	return names, nil
}

func (osFS) Create(name string) (File, error) {
	return os.OpenFile(name, os.O_CREATE|os.O_TRUNC|os.O_WRONLY, fileMode)
}

func (osFS) SyncDir(dir string) error {
	f, err := os.Open(dir)
	if err != nil {
		return err
	}
	return errors.CombineErrors(f.Sync(), f.Close())
}

func (osFS) Lock(name string) (io.Closer, error) {
	f, err := os.OpenFile(name, os.O_CREATE|os.O_RDWR, fileMode)
	if err != nil {
		return nil, err
	}
	err = syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB)
	if err == nil {
		return f, nil
	}
	_ = f.Close()
	if errors.Is(err, syscall.EWOULDBLOCK) {
		return nil, ErrLocked
	}
	return nil, err
}
