package events

import (
	"sync"
	"time"
)

// counterBits is the width of a timestamp's counter below its milliseconds.
const counterBits = 16

// HybridClock is a hybrid logical clock on the system's time.
type HybridClock struct {
	mu   sync.Mutex
	last uint64
}

// Now implements Clock.
func (c *HybridClock) Now() uint64 {
	physical := uint64(time.Now().UnixMilli()) << counterBits
	c.mu.Lock()
	defer c.mu.Unlock()
	c.last = max(c.last+1, physical)
	return c.last
}

// Observe implements Clock.
func (c *HybridClock) Observe(remote uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.last = max(c.last, remote)
}
