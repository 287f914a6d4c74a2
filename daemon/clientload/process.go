package clientload

import (
	"fmt"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

// sampleInterval is how often the unread bytes and descriptors of a process are read.
const sampleInterval = 100 * time.Millisecond

// Process is a process under load. It has an IP address of its own.
type Process struct {
	PID int
	IP  string
}

// Peak is what a process took at most.
type Peak struct {
	// Ended is set if the process has ended.
	Ended bool
	// Memory is the resident size, and Unread the bytes that the kernel holds outside of it.
	Memory, Unread int64
	Descriptors    int
}

// String describes the peak for the log of a test.
func (p Peak) String() string {
	return fmt.Sprintf("peak of resident memory %d MB, of unread bytes %d MB, of descriptors %d", p.Memory>>20, p.Unread>>20, p.Descriptors)
}

// watcher samples a process until stop is called.
type watcher struct {
	process  Process
	done     chan struct{}
	sampling sync.WaitGroup
	peak     Peak
}

func (p Process) watch() *watcher {
	w := &watcher{process: p, done: make(chan struct{})}
	w.sampling.Go(func() {
		for {
			w.peak.Unread = max(w.peak.Unread, p.unreadBytes())
			w.peak.Descriptors = max(w.peak.Descriptors, p.openDescriptors())
			select {
			case <-w.done:
				return
			case <-time.After(sampleInterval):
			}
		}
	})
	return w
}

// stop ends the samples and returns the peak.
func (w *watcher) stop() Peak {
	close(w.done)
	w.sampling.Wait()
	w.peak.Ended = w.process.Ended()
	w.peak.Memory = w.process.PeakMemory()
	return w.peak
}

func (p Process) status() string {
	status, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.PID))
	return string(status)
}

// PeakMemory returns the largest resident size so far, 0 if the process has ended.
func (p Process) PeakMemory() (bytes int64) {
	_, peak, _ := strings.Cut(p.status(), "VmHWM:")
	_, _ = fmt.Sscan(peak, &bytes)
	return bytes << 10
}

// Ended reports whether the process has ended. It is a zombie until its parent waits for it.
func (p Process) Ended() bool {
	status := p.status()
	return status == "" || strings.Contains(status, "State:\tZ")
}

// unreadBytes returns the bytes that have arrived at the process's address and have not been
// read. The kernel holds them, outside the resident size.
func (p Process) unreadBytes() (total int64) {
	data, _ := os.ReadFile("/proc/net/tcp")
	ip := net.ParseIP(p.IP).To4()
	local := fmt.Sprintf("%02X%02X%02X%02X:", ip[3], ip[2], ip[1], ip[0])
	for line := range strings.Lines(string(data)) {
		f := strings.Fields(line)
		if len(f) < 5 || !strings.HasPrefix(f[1], local) || f[3] != "01" { // established
			continue
		}
		_, queue, _ := strings.Cut(f[4], ":")
		bytes, _ := strconv.ParseInt(queue, 16, 64)
		total += bytes
	}
	return total
}

func (p Process) openDescriptors() int {
	list, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.PID))
	return len(list)
}
