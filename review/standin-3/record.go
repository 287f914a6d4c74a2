package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record writes what was sent, answered and run to record.txt. Times are milliseconds since the
// start of the script.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: f, start: time.Now()}, nil
}

func (r *record) notef(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%7d  %s\n", time.Since(r.start).Milliseconds(), fmt.Sprintf(format, args...))
}

// at returns a time as the record shows it.
func (r *record) at(t time.Time) int64 { return t.Sub(r.start).Milliseconds() }
