package coordinator

import (
	"context"
	"fmt"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"github.com/cicadapulley/cicadapulley/core/work"
	"github.com/cicadapulley/cicadapulley/daemon/events"
	"github.com/cicadapulley/cicadapulley/daemon/storage"
)

// fullableFS is the operating system's file system on a disk that can be full. A full
// disk refuses every write. It syncs nothing, since no test here loses what is not synced:
// beside other work on the disk, a sync took up to seconds and held up every election.
type fullableFS struct {
	storage.FS
	full atomic.Bool
	// stalled makes syncs wait until it is unset.
	stalled atomic.Bool
}

func newFullableFS() *fullableFS { return &fullableFS{FS: storage.OS()} }

func (fs *fullableFS) refuse() error {
	if fs.full.Load() {
		return syscall.ENOSPC
	}
	return nil
}

func (fs *fullableFS) Create(name string) (storage.File, error) {
	if err := fs.refuse(); err != nil {
		return nil, err
	}
	f, err := fs.FS.Create(name)
	return &fullableFile{File: f, fs: fs}, err
}

func (fs *fullableFS) Rename(from, to string) error {
	if err := fs.refuse(); err != nil {
		return err
	}
	return fs.FS.Rename(from, to)
}

func (fs *fullableFS) SyncDir(string) error { return nil }

type fullableFile struct {
	storage.File
	fs *fullableFS
}

func (f *fullableFile) Write(data []byte) (int, error) {
	if err := f.fs.refuse(); err != nil {
		return 0, err
	}
	return f.File.Write(data)
}

func (f *fullableFile) Sync() error {
	for f.fs.stalled.Load() {
		time.Sleep(time.Millisecond)
	}
	return nil
}

// maxClusterSize is the number of control VMs that a cluster may have, later ones included.
const maxClusterSize = 8

// cluster is a group of control VMs on loopback.
type cluster struct {
	testing.TB
	addresses []string
	// founders are the addresses of the initial group.
	founders []string
	// dataCentres are those in the settings.
	dataCentres []string
	managers    []*Manager
	disks       []*fullableFS
	cancels     []context.CancelFunc
	running     sync.WaitGroup
	// exits receives the results of managers that have returned.
	exits chan error
}

func newCluster(t *testing.T, size int) *cluster { return newClusterOf(t, size, dataCentres) }

// newClusterOf starts a group whose settings have the given data centres.
func newClusterOf(t *testing.T, size int, dataCentres []string) *cluster {
	c := &cluster{TB: t, dataCentres: dataCentres, exits: make(chan error, maxClusterSize)}
	var listeners []net.Listener
	for range size {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(t, err)
		listeners = append(listeners, l)
		c.addresses = append(c.addresses, l.Addr().String())
	}
	c.founders = c.addresses
	for i := range size {
		c.start(i, listeners[i])
	}
	t.Cleanup(func() {
		for _, cancel := range c.cancels {
			cancel()
		}
		c.running.Wait()
	})
	return c
}

// join starts a further control VM with an empty disk, and returns its index.
func (c *cluster) join() int {
	c.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(c, err)
	c.addresses = append(c.addresses, l.Addr().String())
	c.start(len(c.addresses)-1, l)
	return len(c.addresses) - 1
}

func (c *cluster) start(i int, first net.Listener) {
	disk := newFullableFS()
	m := NewManager(Options{
		VM: fmt.Sprintf("control-%d", i), Address: c.addresses[i], DataDir: c.TempDir(), FS: disk, DetectInterference: true,
		QueueShares: map[string]int{"q": 20},
		Listen: func() (net.Listener, error) {
			if l := first; l != nil {
				first = nil
				return l, nil
			}
			return net.Listen("tcp", c.addresses[i])
		},
		Bootstrap: i < len(c.founders), Founders: c.founders, Voters: len(c.founders), KeepFinal: time.Minute, DataCentres: c.dataCentres,
		Log: events.NewLog(fmt.Sprintf("control-%d", i), testLogger(), events.NewClock()),
	})
	ctx, cancel := context.WithCancel(context.Background())
	c.managers = append(c.managers, m)
	c.disks = append(c.disks, disk)
	c.cancels = append(c.cancels, cancel)
	c.running.Go(func() { c.exits <- m.Run(ctx) })
}

// testLogger writes to standard error if CICADAPULLEY_TEST_LOG is set.
func testLogger() *zap.Logger {
	if os.Getenv("CICADAPULLEY_TEST_LOG") == "" {
		return zap.NewNop()
	}
	return zap.Must(zap.NewDevelopment())
}

func (c *cluster) eventually(what string, check func() bool) {
	c.Helper()
	const timeout = 15 * time.Second
	for deadline := time.Now().Add(timeout); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		if check() {
			return
		}
	}
	c.Fatalf("condition not met within %s: %s", timeout, what)
}

// leader waits until a control VM leads and returns its index.
func (c *cluster) leader() int {
	c.Helper()
	leader := -1
	c.eventually("a control VM leads", func() bool {
		for i, m := range c.managers {
			if s := m.service.Load(); s != nil && s.driver.Leading() {
				leader = i
			}
		}
		return leader >= 0
	})
	return leader
}

// nextLeader waits until another control VM leads than a former leader, and returns its index.
func (c *cluster) nextLeader(former int) int {
	c.Helper()
	next := -1
	c.eventually("another VM leads", func() bool {
		for i, m := range c.managers {
			if s := m.service.Load(); i != former && s != nil && s.driver.Leading() {
				next = i
			}
		}
		return next >= 0
	})
	return next
}

func configuration(version uint64) *work.Configuration {
	return &work.Configuration{
		Version: version, Pools: []string{"desk"}, Document: fmt.Appendf(nil, `{"version":%d}`, version),
		Queues: []work.Queue{{Name: "q", Host: "h", Prefix: "/q/", Pool: "desk", Timeout: time.Second, Stretch: 1.6, Target: time.Second}},
	}
}

// configure sends a configuration to one control VM until it is confirmed.
func (c *cluster) configure(i int, version uint64) {
	c.Helper()
	c.eventually(fmt.Sprintf("control-%d confirms version %d", i, version), func() bool {
		return c.managers[i].Configure(context.Background(), configuration(version)) == nil
	})
}

// assertDocument checks that a control VM returns a version, once it has rejoined.
func (c *cluster) assertDocument(i int, version uint64) {
	c.Helper()
	var document []byte
	c.eventually(fmt.Sprintf("control-%d reads the configuration", i), func() bool {
		var err error
		document, err = c.managers[i].Configuration(context.Background())
		return err == nil
	})
	assert.Equal(c, string(document), fmt.Sprintf(`{"version":%d}`, version))
}
