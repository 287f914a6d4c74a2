package storage

import (
	"fmt"

	"github.com/cockroachdb/errors"
)

// ErrClosed is returned by every call after Close.
var ErrClosed = errors.New("storage is closed")

// ErrLocked is wrapped by the error of Open when another process holds the
// folder's lock.
var ErrLocked = errors.New("locked by another process")

// ErrUnavailable marks the error of a write or sync that the disk refused, as when it
// is full. The folder may be opened again once the disk accepts writes.
var ErrUnavailable = errors.New("the disk refuses writes")

// ErrOutdatedSnapshot is returned for a snapshot that is older than the newest one.
var ErrOutdatedSnapshot = errors.New("a newer snapshot is saved")

// CorruptError reports a damaged or missing file of a data folder.
type CorruptError struct {
	// File is the path of the damaged file.
	File string
	// Offset is the position of the damaged header or frame, in bytes.
	Offset int64
	// Reason describes the damage.
	Reason string
}

// Error implements error.
func (e *CorruptError) Error() string {
	return fmt.Sprintf("%s is damaged at byte %d: %s", e.File, e.Offset, e.Reason)
}

func corruptf(file string, offset int64, format string, args ...any) *CorruptError {
	return &CorruptError{File: file, Offset: offset, Reason: fmt.Sprintf(format, args...)}
}
