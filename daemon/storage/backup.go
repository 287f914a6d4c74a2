package storage

import (
	"github.com/cicadapulley/cicadapulley/core/raft"
	"github.com/cockroachdb/errors"
)

// Backup copies the state to a new or empty folder; Save may run concurrently.
// The copy has no identity file, so Open refuses it and no second VM can run
// with the same identity. Restore reads the copy.
func (s *Store) Backup(dir string) error {
	s.snapshotMu.Lock()
	defer s.snapshotMu.Unlock()
	to := newDisk(dir, Options{FS: s.disk.fs})
	if err := ensureEmptyFolder(to); err != nil {
		return err
	}
	files, err := s.backupFiles()
	if err != nil {
		return err
	}
	for _, f := range files {
		if err := f.copy(s.disk, to); err != nil {
			return errors.Wrapf(err, "back up to %s", dir)
		}
	}
	return nil
}

// backupFile is a file and the length, in bytes, to copy.
type backupFile struct {
	name  string
	bytes int64
}

// backupFiles returns the files and lengths that are durable now. While
// snapshotMu is held, the files only grow.
func (s *Store) backupFiles() ([]backupFile, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var files []backupFile
	for _, f := range s.snapshots {
		files = append(files, backupFile{snapshotName(f.index), f.bytes})
	}
	for _, f := range s.segments {
		files = append(files, backupFile{segmentName(f.sequence), f.bytes})
	}
	return files, s.err
}

func (f backupFile) copy(from, to *disk) error {
	data, err := from.readFile(f.name)
	if err != nil {
		return err
	}
	if int64(len(data)) < f.bytes {
		return errors.Newf("%s is truncated: got %d of %d bytes", f.name, len(data), f.bytes)
	}
	file, err := to.createAtomic(f.name, data[:f.bytes])
	if err != nil {
		return err
	}
	return file.Close()
}

func ensureEmptyFolder(d *disk) error {
	if err := d.fs.MkdirAll(d.dir); err != nil {
		return errors.Wrap(err, "create folder")
	}
	names, err := d.fs.List(d.dir)
	if err != nil {
		return errors.Wrap(err, "list folder")
	}
	if len(names) > 0 {
		return errors.Newf("folder %s is not empty", d.dir)
	}
	return nil
}

// Restore reads a backup and writes its snapshot and log to a new or empty
// data folder with a new identity, which it returns. The new identity has not
// voted in any term, and the stored group does not contain it: an operator must
// add it to the group. Restore returns an error if the backup has a torn tail.
func Restore(backup, dir string) (raft.ServerID, error) {
	r, err := readBackup(newDisk(backup, Options{}))
	if err != nil {
		return "", errors.Wrapf(err, "read backup %s", backup)
	}
	if err := ensureEmptyFolder(newDisk(dir, Options{})); err != nil {
		return "", err
	}
	s, err := Open(dir, Options{})
	if err != nil {
		return "", err
	}
	err = s.writeRecovered(r)
	return s.Recovered().Identity, errors.CombineErrors(err, s.Close())
}

func readBackup(d *disk) (Recovered, error) {
	f, err := d.list()
	if err != nil {
		return Recovered{}, err
	}
	if len(f.segments) == 0 {
		return Recovered{}, errors.New("no log segment")
	}
	data, err := d.readFile(segmentName(f.segments[0]))
	if err != nil {
		return Recovered{}, err
	}
	first, err := openSegment(d.path(segmentName(f.segments[0])), data)
	if err != nil {
		return Recovered{}, err
	}
	l, err := load(d, first.header.identity, f)
	if err != nil {
		return Recovered{}, err
	}
	if tornTail := l.log.tornTail; tornTail != nil {
		return Recovered{}, corruptf(tornTail.File, tornTail.Offset, "backup has a torn tail")
	}
	return l.recovered(first.header.identity), nil
}

// writeRecovered writes a recovered state to a new store, without the vote,
// which was cast under another identity.
func (s *Store) writeRecovered(r Recovered) error {
	if r.Snapshot.Index > 0 || len(r.Snapshot.Group.Servers) > 0 || len(r.Snapshot.Data) > 0 {
		if err := s.SaveSnapshot(r.Snapshot); err != nil {
			return err
		}
	}
	hs := raft.HardState{Term: r.HardState.Term, Commit: r.HardState.Commit}
	return s.Save(&hs, 0, r.Entries)
}
