package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"
)

func newJobID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// call makes one request of a client. The status is 0 if there is no complete answer.
func (s *system) call(ctx context.Context, entry int, method, path, body string, deadline time.Duration) (int, string) {
	ctx, cancel := context.WithTimeout(ctx, deadline+100*time.Millisecond)
	defer cancel()
	url := fmt.Sprintf("http://%s:%d%s", s.entries[entry].ip, s.ports.callers, path)
	r, err := http.NewRequestWithContext(ctx, method, url, strings.NewReader(body))
	if err != nil {
		return 0, ""
	}
	r.Host = clientHost
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set("X-Cicadapulley-Deadline-Ms", strconv.FormatInt(deadline.Milliseconds(), 10))
	resp, err := s.clients[entry].Do(r)
	if err != nil {
		return 0, err.Error()
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, err.Error()
	}
	return resp.StatusCode, string(data)
}

// jobSpec describes a job to hand in.
type jobSpec struct {
	queue      route
	steps      []step
	spec       taskSpec
	bestEffort bool
	// attempts bounds the attempts; 0 means until the job is accepted or rejected.
	attempts int
	deadline time.Duration
}

// oneStep returns a job of one step.
func oneStep(queue route, count, ms, cpu int) jobSpec {
	return jobSpec{
		queue: queue, steps: []step{{Count: count, CPU: cpu, MemMB: 64, EstimatedMS: ms}},
		spec: taskSpec{MS: ms, CPU: cpu, Mem: 64}, deadline: callTimeout,
	}
}

// submit hands a job in, as a client does: again, at another entry, after no answer, a
// broken connection, a 502 or a 504. It returns the job's ID and the last status.
func (s *system) submit(entry int, j jobSpec) (string, int) {
	id := newJobID()
	text, _ := json.Marshal(j.spec)
	body, _ := json.Marshal(map[string]any{"spec": string(text), "steps": j.steps, "best_effort": j.bestEffort})
	s.check.mu.Lock()
	s.check.jobs[id] = &jobRecord{
		id: id, queue: j.queue.name, steps: j.steps, spec: j.spec, bestEffort: j.bestEffort, maxAttempts: j.queue.maxAttempts, sent: s.rec.at(),
	}
	s.check.mu.Unlock()
	path := "/" + j.queue.name + "/" + id
	for attempt := 1; ; attempt++ {
		s.rec.note("client: POST %s at entry %d, attempt %d", path, entry+1, attempt)
		status, answer := s.call(context.Background(), entry, http.MethodPost, path, string(body), j.deadline)
		s.rec.note("client: POST %s: %d %s", path, status, answer)
		final := true
		s.check.update(id, func(r *jobRecord) {
			switch status {
			case http.StatusOK, http.StatusCreated, http.StatusAccepted:
				if r.accepted == 0 {
					r.accepted = s.rec.at()
				}
			case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusNotFound, http.StatusBadRequest:
				r.rejected++
			default:
				r.unclear++
				final = false
			}
		})
		if final || attempt == j.attempts {
			return id, status
		}
		time.Sleep(resendDelay)
		entry = (entry + 1) % len(s.entries)
	}
}

// state asks for a job's state. It is empty if there is no clear answer.
func (s *system) state(entry int, queue, id string) (string, int) {
	status, answer := s.call(context.Background(), entry, http.MethodGet, "/"+queue+"/"+id, "", callTimeout)
	var body struct {
		State string `json:"state"`
	}
	_ = json.Unmarshal([]byte(answer), &body)
	return body.State, status
}

// askAll asks for the states of all accepted stored jobs, and checks that they are known.
func (s *system) askAll() {
	for _, j := range s.check.snapshot() {
		if j.accepted == 0 || j.bestEffort {
			continue
		}
		state, status := "", 0
		for attempt := range 3 {
			if state, status = s.state(attempt%len(s.entries), j.queue, j.id); state != "" || status == http.StatusGone {
				break
			}
		}
		s.rec.note("client: GET /%s/%s: %d %s", j.queue, j.id, status, state)
		s.check.update(j.id, func(r *jobRecord) { r.state = state })
		switch {
		case status == http.StatusGone && j.cancelled == 0:
			s.check.violate("LOST", "job %s was accepted, and a GET is answered 410", j.id)
		case state == "":
			s.check.violate("LOST", "job %s was accepted, and a GET gets no answer (status %d)", j.id, status)
		}
	}
}

// cancel cancels a job, until it is acknowledged.
func (s *system) cancel(entry int, queue, id string) int {
	for {
		status, answer := s.call(context.Background(), entry, http.MethodDelete, "/"+queue+"/"+id, "", callTimeout)
		s.rec.note("client: DELETE /%s/%s at entry %d: %d %s", queue, id, entry+1, status, answer)
		if status/100 == 2 || status == http.StatusGone {
			s.check.update(id, func(r *jobRecord) { r.cancelled = s.rec.at() })
			return status
		}
		time.Sleep(100 * time.Millisecond)
		entry = (entry + 1) % len(s.entries)
	}
}

// pendingCount asks for a queue's pending_count; -1 if there is no answer.
func (s *system) pendingCount(entry int, queue string) int {
	status, answer := s.call(context.Background(), entry, http.MethodGet, "/"+queue+"/", "", callTimeout)
	var body struct {
		Pending *int `json:"pending_count"`
	}
	if status != http.StatusOK || json.Unmarshal([]byte(answer), &body) != nil || body.Pending == nil {
		return -1
	}
	return *body.Pending
}

// roomFor reports whether each ready worker has twice the resources that one task of
// the job takes, and under half of all workers' capacity is in use.
func (s *system) roomFor(j *jobRecord) bool {
	cpu, mem, usedCPU, usedMem, twice := 0, 0, 0, 0, true
	for _, w := range s.workers {
		w.mu.Lock()
		c, m := w.used()
		w.mu.Unlock()
		cpu, mem, usedCPU, usedMem = cpu+w.kind.cpu, mem+w.kind.mem, usedCPU+c, usedMem+m
		twice = twice && w.kind.cpu-c >= 2*j.spec.CPU && w.kind.mem-m >= 2*j.spec.Mem
	}
	return twice && 2*usedCPU < cpu && 2*usedMem < mem
}

// checkIdle checks the last part of LOST: finish_s after the end of the traffic, an
// accepted job has nothing running for 3 s while a task's turn has come, there is
// capacity for it twice over, and under half of the service's capacity is in use.
func (s *system) checkIdle(trafficEnd time.Duration) {
	time.Sleep(trafficEnd + finishBound - s.rec.at())
	s.askAll()
	idle := map[string]bool{}
	for _, j := range s.check.snapshot() {
		if j.accepted > 0 && !j.bestEffort && j.cancelled == 0 && (j.state == "pending" || j.state == "running") {
			idle[j.id] = true
		}
	}
	for begun := s.rec.at(); s.rec.at()-begun < 3200*time.Millisecond; time.Sleep(20 * time.Millisecond) {
		for _, j := range s.check.snapshot() {
			if idle[j.id] && (s.check.running(j.id) > 0 || !s.roomFor(&j)) {
				delete(idle, j.id)
			}
		}
	}
	for _, j := range s.check.snapshot() {
		if idle[j.id] {
			state, status := s.state(0, j.queue, j.id)
			if state != "pending" && state != "running" {
				continue
			}
			s.check.violate("LOST", "job %s (/%s/) was accepted at %.3f, is shown as %s (%d), and nothing of it has run for 3 s, %.0f s after the end of the traffic, with room for it",
				j.id, j.queue, j.accepted.Seconds(), state, status, finishBound.Seconds())
		}
	}
}
