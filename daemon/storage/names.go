package storage

import (
	"fmt"
	"slices"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
)

const (
	lockName        = "LOCK"
	identityName    = "IDENTITY"
	checkName       = "CHECK"
	segmentSuffix   = ".log"
	snapshotSuffix  = ".snapshot"
	temporarySuffix = ".tmp"
	// numberDigits is enough for any uint64, so that names sort in numeric order.
	numberDigits = 20
)

func segmentName(sequence uint64) string     { return numberedName(sequence, segmentSuffix) }
func snapshotName(index uint64) string       { return numberedName(index, snapshotSuffix) }
func numberedName(n uint64, s string) string { return fmt.Sprintf("%0*d%s", numberDigits, n, s) }

// folderFiles lists the store's files in a data folder; segments and snapshots
// are in ascending order.
type folderFiles struct {
	hasIdentity bool
	segments    []uint64
	snapshots   []uint64
	temporaries []string
}

func (d *disk) list() (folderFiles, error) {
	names, err := d.fs.List(d.dir)
	if err != nil {
		return folderFiles{}, errors.Wrap(err, "list data folder")
	}
	var f folderFiles
	for _, name := range names {
		f.add(name)
	}
	slices.Sort(f.segments)
	slices.Sort(f.snapshots)
	return f, nil
}

// add classifies a file name. Files that are not the store's are ignored.
func (f *folderFiles) add(name string) {
	if base, ok := strings.CutSuffix(name, temporarySuffix); ok && isStoreFile(base) {
		f.temporaries = append(f.temporaries, name)
	}
	if n, ok := parseName(name, segmentSuffix); ok {
		f.segments = append(f.segments, n)
	}
	if n, ok := parseName(name, snapshotSuffix); ok {
		f.snapshots = append(f.snapshots, n)
	}
	if name == identityName {
		f.hasIdentity = true
	}
}

func isStoreFile(name string) bool {
	_, segment := parseName(name, segmentSuffix)
	_, snapshot := parseName(name, snapshotSuffix)
	return segment || snapshot || name == identityName
}

func parseName(name, suffix string) (uint64, bool) {
	digits, ok := strings.CutSuffix(name, suffix)
	if !ok || len(digits) != numberDigits {
		return 0, false
	}
	n, err := strconv.ParseUint(digits, 10, 64)
	return n, err == nil
}
