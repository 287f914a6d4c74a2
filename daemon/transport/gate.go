package transport

import (
	"syscall"
	"time"

	"github.com/cicadapulley/cicadapulley/core/intake"
	"github.com/cicadapulley/cicadapulley/daemon/ingress"
)

const (
	// MaxRequestBytes bounds a request of another process. Snapshots are the largest.
	MaxRequestBytes = 256 << 20
	// MaxConnections bounds the connections of other processes.
	MaxConnections = 4096
	// ListenerFilePercent and SecondListenerFilePercent are the parts of a process's descriptors for
	// the connections of its listener, and of an entry's listener for other entries.
	ListenerFilePercent       = 60
	SecondListenerFilePercent = 20
	// BodyStallTimeout and BodyTimeout bound the time for the next bytes of a body, and for all.
	BodyStallTimeout = 5 * time.Second
	BodyTimeout      = time.Minute
	// MemoryTimeout bounds how long a request waits for memory.
	MemoryTimeout = 500 * time.Millisecond
	// WriteTimeout bounds the time in which a client takes nothing of an answer.
	WriteTimeout = 10 * time.Second
	// streamBytes is the part of the memory for requests for which a listener may have an HTTP/2
	// stream open. A stream costs about as much beside what its request holds.
	streamBytes = 32 << 10
	// smallBytes is the memory up to which a request may use the quarter that is kept for small
	// ones.
	smallBytes = 64 << 10
	// minReceiveBytes and maxReceiveBytes bound the kernel's buffer for bytes that have arrived on a
	// connection and are not read.
	minReceiveBytes = 16 << 10
	maxReceiveBytes = 64 << 10
	// bodyRoundTrips is the number of round trips that a body of the largest size may take.
	bodyRoundTrips = 256
)

// FileShare returns a number of connections, bounded by a percentage of the descriptors that the
// process may open. The rest is for files and the process's own connections.
func FileShare(connections, percent int) int {
	var files syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &files); err != nil {
		return connections
	}
	return int(min(uint64(connections), files.Cur*uint64(percent)/100)) // the runtime has raised Cur to the maximum
}

// NewGate returns the gate of a listener that receives bodies of up to bodyBytes.
func NewGate(name string, connections int, memory, bodyBytes int64) *ingress.Gate {
	return ingress.New(ingress.Options{
		Name:          name,
		Limits:        intake.NewLimits(connections, memory, intake.DefaultSharePercent, smallBytes).WithStreams(int(memory/streamBytes), intake.DefaultSharePercent),
		HeaderTimeout: HeaderTimeout, IdleTimeout: IdleTimeout, BodyStallTimeout: BodyStallTimeout, BodyTimeout: BodyTimeout,
		WaitTimeout: MemoryTimeout, WriteTimeout: WriteTimeout, ReceiveBytes: int(min(max(bodyBytes/bodyRoundTrips, minReceiveBytes), maxReceiveBytes)),
	})
}
