package storage

import (
	"encoding/binary"
	"fmt"
	"path/filepath"
	"slices"
	"testing"
	"time"

	"github.com/cicadapulley/cicadapulley/api/rpc"
	"github.com/cicadapulley/cicadapulley/core/raft"
	bolt "go.etcd.io/bbolt"
	"gotest.tools/v3/assert"
)

const (
	entryBytes   = 300
	modelledSync = 4 * time.Millisecond
	// boltSyncs is the number of syncs of a bbolt commit: pages, then the meta
	// page. A commit that extends the file has more, which the delay does not include.
	boltSyncs = 2
)

// benchStore is implemented by Store and by the bbolt store it is compared with.
type benchStore interface {
	Save(hs *raft.HardState, truncateFrom uint64, entries []raft.Entry) error
	Close() error
}

func benchEntries(first uint64, n int) []raft.Entry {
	entries := make([]raft.Entry, n)
	for i := range entries {
		entries[i] = raft.Entry{Term: 1, Index: first + uint64(i), Data: make([]byte, entryBytes)}
	}
	return entries
}

// boltStore stores entries in a bbolt bucket, keyed by index.
type boltStore struct {
	db    *bolt.DB
	delay time.Duration
}

var boltBucket = []byte("log")

func openBolt(dir string, delay time.Duration) (*boltStore, error) {
	db, err := bolt.Open(filepath.Join(dir, "bolt"), fileMode, nil)
	return &boltStore{db, delay}, err
}

func (s *boltStore) Close() error { return s.db.Close() }

func (s *boltStore) Save(_ *raft.HardState, _ uint64, entries []raft.Entry) error {
	err := s.db.Update(func(tx *bolt.Tx) error {
		bucket, err := tx.CreateBucketIfNotExists(boltBucket)
		if err != nil {
			return err
		}
		bucket.FillPercent = 0.9 // keys only grow
		var m rpc.RaftEntry
		for i := range entries {
			value, err := appendEntry(nil, &m, &entries[i])
			if err != nil {
				return err
			}
			key := binary.BigEndian.AppendUint64(nil, entries[i].Index)
			if err := bucket.Put(key, value[recordHeaderBytes:]); err != nil {
				return err
			}
		}
		return nil
	})
	if s.delay > 0 {
		time.Sleep(boltSyncs * s.delay)
	}
	return err
}

func (s *boltStore) load() (entries []raft.Entry, err error) {
	err = s.db.View(func(tx *bolt.Tx) error {
		return tx.Bucket(boltBucket).ForEach(func(_, value []byte) error {
			e, err := decodeEntry(value)
			entries = append(entries, e)
			return err
		})
	})
	return entries, err
}

// BenchmarkSave measures the save of one batch.
func BenchmarkSave(b *testing.B) {
	open := map[string]func(string, time.Duration) (benchStore, error){
		"log":   func(d string, t time.Duration) (benchStore, error) { return Open(d, Options{SyncDelay: t}) },
		"bbolt": func(d string, t time.Duration) (benchStore, error) { return openBolt(d, t) },
	}
	for _, delay := range []time.Duration{0, modelledSync} {
		for _, n := range []int{1, 16, 128} {
			for _, kind := range []string{"log", "bbolt"} {
				b.Run(fmt.Sprintf("%s/entries=%d/delay=%v", kind, n, delay), func(b *testing.B) {
					s, err := open[kind](b.TempDir(), delay)
					assert.NilError(b, err)
					entries := benchEntries(1, n)
					for b.Loop() {
						assert.NilError(b, s.Save(nil, 0, entries))
						for i := range entries {
							entries[i].Index += uint64(n)
						}
					}
					assert.NilError(b, s.Close())
				})
			}
		}
	}
}

const (
	restartEntries = 10_000
	restartBatch   = 100
	snapshotBytes  = 1 << 20
)

func fillForRestart(b *testing.B, s benchStore, snapshots ...uint64) {
	for i := uint64(1); i <= restartEntries; i += restartBatch {
		assert.NilError(b, s.Save(nil, 0, benchEntries(i, restartBatch)))
		last := i + restartBatch - 1
		if slices.Contains(snapshots, last) {
			snapshot := raft.Snapshot{Index: last, Term: 1, Data: make([]byte, snapshotBytes)}
			assert.NilError(b, s.(*Store).SaveSnapshot(snapshot))
		}
	}
	assert.NilError(b, s.Close())
}

// BenchmarkRestart measures Open after 10,000 entries, with the files in the
// page cache.
func BenchmarkRestart(b *testing.B) {
	for _, snapshots := range [][]uint64{nil, {restartEntries}, {restartEntries / 2, restartEntries}} {
		b.Run(fmt.Sprintf("log/snapshots=%d", len(snapshots)), func(b *testing.B) {
			dir := b.TempDir()
			s, err := Open(dir, Options{})
			assert.NilError(b, err)
			fillForRestart(b, s, snapshots...)
			for b.Loop() {
				s, err = Open(dir, Options{})
				assert.NilError(b, err)
				r := s.Recovered()
				assert.Equal(b, r.Snapshot.Index+uint64(len(r.Entries)), uint64(restartEntries))
				b.ReportMetric(float64(s.Stats().Syncs), "syncs/op")
				assert.NilError(b, s.Close())
			}
		})
	}
}

// BenchmarkRestartBolt measures the same for bbolt, without a snapshot.
func BenchmarkRestartBolt(b *testing.B) {
	dir := b.TempDir()
	s, err := openBolt(dir, 0)
	assert.NilError(b, err)
	fillForRestart(b, s)
	for b.Loop() {
		s, err = openBolt(dir, 0)
		assert.NilError(b, err)
		entries, err := s.load()
		assert.NilError(b, err)
		assert.Equal(b, len(entries), restartEntries)
		assert.NilError(b, s.Close())
	}
}
