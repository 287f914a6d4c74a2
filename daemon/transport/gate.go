package transport

import (
	"time"

	"github.com/cicadapulley/cicadapulley/core/intake"
	"github.com/cicadapulley/cicadapulley/daemon/ingress"
)

const (
	// MaxRequestBytes bounds a request of another process. Snapshots are the largest.
	MaxRequestBytes = 256 << 20
	// MaxConnections bounds the connections of other processes.
	MaxConnections = 4096
	// BodyStallTimeout and BodyTimeout bound the time for the next bytes of a body, and for all.
	BodyStallTimeout = 5 * time.Second
	BodyTimeout      = time.Minute
	// MemoryTimeout bounds how long a request waits for memory.
	MemoryTimeout = 500 * time.Millisecond
	// WriteTimeout bounds the time in which a client takes nothing of an answer.
	WriteTimeout = 10 * time.Second
	// smallBytes is the memory up to which a request may use the quarter that is kept for small
	// ones.
	smallBytes = 64 << 10
	// receiveBytes is the kernel's buffer for bytes that have arrived and are not read.
	receiveBytes = 64 << 10
)

// NewGate returns the gate of a listener.
func NewGate(name string, connections int, memory int64) *ingress.Gate {
	return ingress.New(ingress.Options{
		Name:          name,
		Limits:        intake.NewLimits(connections, memory, intake.DefaultSharePercent, smallBytes),
		HeaderTimeout: HeaderTimeout, IdleTimeout: IdleTimeout, BodyStallTimeout: BodyStallTimeout, BodyTimeout: BodyTimeout,
		WaitTimeout: MemoryTimeout, WriteTimeout: WriteTimeout, ReceiveBytes: receiveBytes,
	})
}
