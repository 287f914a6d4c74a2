package storage

import (
	"path/filepath"

	"github.com/cockroachdb/errors"
)

// Open locks a data folder, creates it and its identity on first use, and
// recovers its state. It returns an error that wraps ErrLocked when another
// process has locked the folder, one that wraps *CorruptError for damage that
// loses state, other than a torn tail, and one marked with ErrUnavailable when the
// disk refuses a write.
func Open(dir string, o Options) (*Store, error) {
	if o.SegmentBytes <= 0 {
		o.SegmentBytes = DefaultSegmentBytes
	}
	d := newDisk(dir, o)
	lock, err := d.lock()
	if err != nil {
		return nil, err
	}
	s := &Store{disk: d, lock: lock, segmentBytes: o.SegmentBytes, identity: o.Identity}
	if err := s.open(); err != nil {
		s.releaseFailedOpen()
		return nil, errors.Wrapf(markUnavailable(err), "open data folder %s", dir)
	}
	return s, nil
}

// markUnavailable marks an error of Open with ErrUnavailable, unless the folder is
// damaged.
func markUnavailable(err error) error {
	var corrupt *CorruptError
	if errors.As(err, &corrupt) {
		return err
	}
	return errors.Mark(err, ErrUnavailable)
}

// checkBytes is the size of the file that CheckWritable writes.
const checkBytes = 4096

// CheckWritable reports whether the disk of a data folder accepts writes, by writing
// and removing a small file. fs is nil for the operating system's. The folder must
// not be open.
func CheckWritable(dir string, fs FS) error {
	d := newDisk(dir, Options{FS: fs})
	if err := d.fs.MkdirAll(dir); err != nil {
		return errors.Wrap(err, "create data folder")
	}
	f, err := d.fs.Create(d.path(checkName))
	if err != nil {
		return errors.Wrap(err, "create")
	}
	err = d.append(f, make([]byte, checkBytes))
	return errors.CombineErrors(err, errors.CombineErrors(f.Close(), d.fs.Remove(d.path(checkName))))
}

// releaseFailedOpen closes the files and releases the lock after a failed Open.
func (s *Store) releaseFailedOpen() {
	if s.file != nil {
		_ = s.file.Close()
	}
	_ = s.lock.Close()
}

func (s *Store) open() error {
	f, err := s.disk.list()
	if err != nil {
		return err
	}
	if !f.hasIdentity {
		if f, err = s.initialise(f); err != nil {
			return err
		}
	}
	if s.identity, err = readIdentity(s.disk); err != nil {
		return err
	}
	l, err := load(s.disk, s.identity, f)
	if err != nil {
		return err
	}
	if err := s.removeAll(f.temporaries); err != nil {
		return err
	}
	return s.resume(l)
}

// initialise creates the first segment and then the identity, so that a folder
// with an identity always has a segment. Only the first segment of an
// interrupted initialisation may exist already; it is replaced.
func (s *Store) initialise(f folderFiles) (folderFiles, error) {
	if err := checkUnused(s.disk, f); err != nil {
		return folderFiles{}, err
	}
	if err := s.disk.syncDir(filepath.Dir(s.disk.dir)); err != nil {
		return folderFiles{}, err
	}
	id := s.identity
	if id == (Identity{}) {
		id = newIdentity()
	}
	h := header{kind: kindSegment, identity: id, sequence: 1, marker: newMarker()}
	file, _, _, err := createSegment(s.disk, h, checkpoint{})
	if err != nil {
		return folderFiles{}, err
	}
	if err := file.Close(); err != nil {
		return folderFiles{}, errors.Wrap(err, "close first segment")
	}
	if err := createIdentity(s.disk, id); err != nil {
		return folderFiles{}, err
	}
	return s.disk.list()
}

// checkUnused returns an error if the folder contains state, because such a
// folder must not get a new identity.
func checkUnused(d *disk, f folderFiles) error {
	if len(f.snapshots) == 0 && len(f.segments) == 0 {
		return nil
	}
	missing := errors.Newf("file %s is missing, but the folder contains state", d.path(identityName))
	if len(f.snapshots) > 0 || len(f.segments) > 1 || f.segments[0] != 1 {
		return missing
	}
	data, err := d.readFile(segmentName(1))
	if err != nil {
		return err
	}
	r, err := openSegment(d.path(segmentName(1)), data)
	if err != nil {
		return err
	}
	if r.cursor.offset != int64(len(data)) {
		return missing
	}
	return nil
}

func createIdentity(d *disk, id Identity) error {
	h := header{kind: kindIdentity, identity: id, marker: newMarker()}
	file, err := d.createAtomic(identityName, h.encode())
	if err != nil {
		return errors.Wrap(err, "identity")
	}
	return errors.Wrap(file.Close(), "close identity file")
}

func readIdentity(d *disk) (Identity, error) {
	data, err := d.readFile(identityName)
	if err != nil {
		return Identity{}, err
	}
	h, err := decodeHeader(data, kindIdentity)
	if err == nil && len(data) != headerBytes {
		err = errors.Newf("identity file has %d bytes, want %d", len(data), headerBytes)
	}
	if err != nil {
		return Identity{}, corruptf(d.path(identityName), 0, "%v", err)
	}
	return h.identity, nil
}

// resume makes the store ready for Save and removes the obsolete files that a
// crash or an interrupted SaveSnapshot left.
func (s *Store) resume(l *loadedState) error {
	s.cursor = l.log.cursor
	s.index = l.log.index
	s.hardState = l.log.hardState
	s.segments = l.log.segments
	s.addLoadedSnapshots(l.snapshots)
	s.recovered = l.recovered(s.identity)
	if err := s.rewriteLastSegment(l.log.lastSegment); err != nil {
		return err
	}
	if l.resetPending {
		s.index.reset(l.current.snapshot.Index, l.current.snapshot.Term)
		if err := s.startSegment(true); err != nil {
			return err
		}
	}
	return s.removeAll(append(segmentNames(l.log.replaced), s.forgetObsoleteFiles(l.resetPending)...))
}

// addLoadedSnapshots adds the snapshots that were read to the store's state.
// Damaged ones stay in the folder until the next SaveSnapshot, so that an
// operator can examine them.
func (s *Store) addLoadedSnapshots(files []snapshotFile) {
	for _, f := range files {
		if f.err != nil {
			s.damagedSnapshots = append(s.damagedSnapshots, f.index)
			continue
		}
		s.snapshots = append(s.snapshots, snapshotInfo{index: f.index, term: f.snapshot.Term, bytes: f.bytes})
	}
}

// rewriteLastSegment replaces the last segment by a new file with its valid
// part. After a failed sync, the end of the old file may be readable but not on
// the disk, and another sync would not write it.
func (s *Store) rewriteLastSegment(data []byte) error {
	name := segmentName(s.segments[len(s.segments)-1].sequence)
	file, err := s.disk.createAtomic(name, data)
	if err != nil {
		return errors.Wrapf(err, "rewrite %s", name)
	}
	s.file = file
	return nil
}
