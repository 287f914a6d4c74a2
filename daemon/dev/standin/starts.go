package standin

import (
	"bufio"
	"encoding/json"
	"os"
	"sync"

	"github.com/cockroachdb/errors"

	"github.com/cicadapulley/cicadapulley/core/job"
)

// Starts counts the starts of each task over all stand-in endpoints. With a
// file, the counts outlive the process, so that a start before a kill and one
// after it count as two.
type Starts struct {
	mu     sync.Mutex
	counts map[job.Key][]int
	// workers holds the worker of each task's last start.
	workers map[job.Key][]string
	file    *os.File
}

// startLine is one line of the file.
type startLine struct {
	Caller string `json:"caller"`
	Job    string `json:"job"`
	Task   int    `json:"task"`
	Worker string `json:"worker,omitempty"`
}

// OpenStarts reads the counts of a file and appends further starts to it. An
// empty name keeps the counts in memory only.
func OpenStarts(name string) (*Starts, error) {
	s := &Starts{counts: map[job.Key][]int{}, workers: map[job.Key][]string{}}
	if name == "" {
		return s, nil
	}
	f, err := os.OpenFile(name, os.O_RDWR|os.O_CREATE|os.O_APPEND, 0o644)
	if err != nil {
		return nil, errors.Wrap(err, "open starts")
	}
	s.file = f
	return s, s.load()
}

func (s *Starts) load() error {
	scanner := bufio.NewScanner(s.file)
	for scanner.Scan() {
		var l startLine
		if err := json.Unmarshal(scanner.Bytes(), &l); err != nil {
			continue // the last line of a killed process may be partial
		}
		s.count(job.TaskKey{Job: job.Key{Caller: l.Caller, ID: l.Job}, Task: l.Task}, l.Worker)
	}
	return errors.Wrap(scanner.Err(), "read starts")
}

// Add counts a start on a worker.
func (s *Starts) Add(k job.TaskKey, worker string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.count(k, worker)
	if s.file == nil {
		return nil
	}
	data, err := json.Marshal(startLine{Caller: k.Job.Caller, Job: k.Job.ID, Task: k.Task, Worker: worker})
	if err != nil {
		return err
	}
	_, err = s.file.Write(append(data, '\n'))
	return errors.Wrap(err, "write starts")
}

func (s *Starts) count(k job.TaskKey, worker string) {
	list, workers := s.counts[k.Job], s.workers[k.Job]
	for len(list) <= k.Task {
		list = append(list, 0)
		workers = append(workers, "")
	}
	list[k.Task]++
	workers[k.Task] = worker
	s.counts[k.Job], s.workers[k.Job] = list, workers
}

// OfJob returns the number of starts of each task of a job, in task order. The list
// has at least the given number of tasks.
func (s *Starts) OfJob(k job.Key, tasks int) []int {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := make([]int, max(tasks, len(s.counts[k])))
	copy(list, s.counts[k])
	return list
}

// OfCaller returns the number of starts of each task of a caller's jobs, by job ID.
func (s *Starts) OfCaller(caller string) map[string][]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := map[string][]int{}
	for k, list := range s.counts {
		if k.Caller == caller {
			all[k.ID] = append([]int(nil), list...)
		}
	}
	return all
}

// WorkersOfCaller returns the worker of the last start of each task of a caller's
// jobs, by job ID. It is empty for a task that did not start.
func (s *Starts) WorkersOfCaller(caller string) map[string][]string {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := map[string][]string{}
	for k, list := range s.workers {
		if k.Caller == caller {
			all[k.ID] = append([]string(nil), list...)
		}
	}
	return all
}

// Close closes the file.
func (s *Starts) Close() error {
	if s.file == nil {
		return nil
	}
	return s.file.Close()
}
