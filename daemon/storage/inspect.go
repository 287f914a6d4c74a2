package storage

import (
	"io"

	"github.com/cicadapulley/cicadapulley/core/raft"
)

// FileInfo describes one file of a data folder.
type FileInfo struct {
	Name  string
	Bytes int64
	// FirstIndex and LastIndex are the indexes of the first and last entry in
	// the file; they and the terms are 0 when it has none. For a snapshot, both
	// are its index.
	FirstIndex, LastIndex uint64
	FirstTerm, LastTerm   uint64
	// Frames counts the valid frames.
	Frames int
	// Torn is set when Err may be caused by an interrupted write, which Open
	// removes if the file is the last segment.
	Torn bool
	// Err is the first damage or a failure to read the file; nil when neither
	// was found.
	Err error
}

// Listing describes a data folder.
type Listing struct {
	Identity  raft.ServerID
	HardState raft.HardState
	// SnapshotIndex and LastIndex are the ones that Open would recover.
	SnapshotIndex, LastIndex uint64
	Files                    []FileInfo
	// Err is the reason why Open would refuse the folder; nil when it would not.
	Err error
}

// Inspect reads a data folder without locking or changing it. While a daemon
// writes to the folder, a file may be listed as torn or missing. Inspect returns
// an error only if the folder can't be listed; damage is reported in the listing.
func Inspect(dir string) (Listing, error) {
	d := newDisk(dir, Options{})
	f, err := d.list()
	if err != nil {
		return Listing{}, err
	}
	var l Listing
	for _, index := range f.snapshots {
		l.Files = append(l.Files, inspectSnapshot(d, index))
	}
	for _, sequence := range f.segments {
		l.Files = append(l.Files, inspectSegment(d, sequence))
	}
	l.Err = l.inspectState(d, f)
	return l, nil
}

func (l *Listing) inspectState(d *disk, f folderFiles) error {
	id, err := readIdentity(d)
	if err != nil {
		return err
	}
	l.Identity = id.ServerID()
	state, err := load(d, id, f)
	if err != nil {
		return err
	}
	r := state.recovered(id)
	l.HardState = r.HardState
	l.SnapshotIndex = r.Snapshot.Index
	l.LastIndex = r.Snapshot.Index + uint64(len(r.Entries))
	return nil
}

func inspectSnapshot(d *disk, index uint64) FileInfo {
	info := FileInfo{Name: snapshotName(index)}
	data, err := d.readFile(info.Name)
	if err != nil {
		info.Err = err
		return info
	}
	s := decodeSnapshot(d.path(info.Name), data)
	info.Bytes = s.bytes
	if s.err != nil {
		info.Err = s.err
		return info
	}
	info.Frames = 1
	info.FirstIndex, info.LastIndex = s.snapshot.Index, s.snapshot.Index
	info.FirstTerm, info.LastTerm = s.snapshot.Term, s.snapshot.Term
	return info
}

func inspectSegment(d *disk, sequence uint64) FileInfo {
	info := FileInfo{Name: segmentName(sequence)}
	data, err := d.readFile(info.Name)
	if err != nil {
		info.Err = err
		return info
	}
	info.Bytes = int64(len(data))
	r, err := openSegment(d.path(info.Name), data)
	if err != nil {
		info.Err = err
		return info
	}
	info.Frames = 1
	for info.Err == nil {
		var b batch
		b, info.Torn, info.Err = r.readBatch()
		info.addBatch(b)
	}
	if info.Err == io.EOF {
		info.Err = nil
	}
	return info
}

// addBatch counts a batch and its entries; after a failed read, b is empty.
func (i *FileInfo) addBatch(b batch) {
	if i.Err == nil {
		i.Frames++
	}
	for _, e := range b.entries {
		if i.FirstIndex == 0 {
			i.FirstIndex, i.FirstTerm = e.Index, e.Term
		}
		i.LastIndex, i.LastTerm = e.Index, e.Term
	}
}
