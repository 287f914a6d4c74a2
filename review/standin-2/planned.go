package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

const (
	grace          = 6 * time.Second
	lossSlack      = 200 * time.Millisecond
	clientDeadline = 1500 * time.Millisecond
)

// plannedWork checks the rule LOST around planned stops of entries: a whole request must
// not end without a complete answer.
type plannedWork struct {
	s  *system
	mu sync.Mutex
	// termAt is when each entry got its latest SIGTERM.
	termAt map[*node]time.Time
}

func newPlannedWork(s *system) *plannedWork {
	return &plannedWork{s: s, termAt: map[*node]time.Time{}}
}

// term sends SIGTERM to an entry.
func (p *plannedWork) term(v *node) {
	p.mu.Lock()
	p.termAt[v] = time.Now()
	p.mu.Unlock()
	p.s.signal(v, syscall.SIGTERM)
}

// request hands in one best-effort job on a connection of its own and checks how it ends.
func (p *plannedWork) request(queue, spec string, steps []map[string]any, cpu int) {
	s := p.s
	v := s.chooseEntry()
	j := s.newJob(queue, true, cpu)
	body, _ := json.Marshal(map[string]any{"spec": spec, "steps": steps, "best_effort": true})
	var wroteAt time.Time
	trace := &httptrace.ClientTrace{WroteRequest: func(info httptrace.WroteRequestInfo) {
		if info.Err == nil {
			wroteAt = time.Now()
		}
	}}
	ctx, cancel := context.WithTimeout(httptrace.WithClientTrace(context.Background(), trace), clientDeadline)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+v.ip+":8161/"+queue+"/"+j.id, bytes.NewReader(body))
	if err != nil {
		return
	}
	r.Host = hostName
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set("X-Cicadapulley-Deadline-Ms", fmt.Sprint(clientDeadline.Milliseconds()))
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	sentAt := time.Now()
	s.rec.printf("client: POST /%s/%s at %s", queue, j.id, v.name)
	status := 0
	resp, err := client.Do(r)
	if err == nil {
		_, err = io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		status = resp.StatusCode
	}
	endedAt := time.Now()
	if err == nil {
		s.rec.printf("client: POST /%s/%s at %s: %d", queue, j.id, v.name, status)
		return
	}
	s.rec.printf("client: POST /%s/%s at %s: no answer: %v", queue, j.id, v.name, err)
	if wroteAt.IsZero() || endedAt.Sub(sentAt) >= clientDeadline {
		return // not a whole request, or the deadline was reached
	}
	p.mu.Lock()
	termAt := p.termAt[v]
	p.mu.Unlock()
	if termAt.IsZero() || endedAt.Sub(termAt) > grace+time.Second {
		return // not around the planned stop
	}
	s.rec.update(func() {
		runs := s.rec.runs[j.id+".0.0.0"]
		if len(runs) == 0 && endedAt.Sub(wroteAt) <= lossSlack {
			return
		}
		if len(runs) > 0 && sentAt.Sub(termAt) <= 3*time.Second && endedAt.Sub(termAt) >= grace*5/6 {
			return // the worker was still at work in the last sixth of the grace
		}
		s.rec.breaks("LOST: job %s sent to %s %.3f s after its SIGTERM ends without an answer %.3f s after it; passed on to a worker: %t",
			j.id, v.name, sentAt.Sub(termAt).Seconds(), endedAt.Sub(termAt).Seconds(), len(runs) > 0)
	})
}

// traffic hands in jobs at an interval until the time is over.
func (p *plannedWork) traffic(interval time.Duration, until time.Time, workMS, cpu int) {
	var clients sync.WaitGroup
	for time.Now().Before(until) {
		clients.Go(func() {
			p.request("quotes", fmt.Sprintf("ms=%d", workMS), []map[string]any{step(1, cpu, workMS)}, cpu)
		})
		time.Sleep(interval)
	}
	clients.Wait()
}

// startPlanned starts a small system for a case of planned work.
func startPlanned(rec *record) (*system, error) {
	s, err := newSystem(rec, sizes{controls: 3, entries: 3, agents: 6}, twoKinds, 16000)
	if err != nil {
		return s, err
	}
	if err := s.configure(route("quotes", 0, 4, 1.6)); err != nil {
		return s, err
	}
	if err := s.warmUp("quotes"); err != nil {
		return s, err
	}
	time.Sleep(4 * time.Second) // catch_up_s
	return s, nil
}

// playSignals stops an entry with SIGTERM, and changes its settings file a second later,
// which SIGHUP announces.
func playSignals(rec *record, trouble bool) error {
	s, err := startPlanned(rec)
	if s != nil {
		defer s.close()
	}
	if err != nil {
		return err
	}
	p := newPlannedWork(s)
	entry := s.byRole("entry")[0]
	go func() {
		time.Sleep(3 * time.Second)
		if !trouble {
			return
		}
		p.term(entry)
		time.Sleep(time.Second)
		if err := reverseSeeds(filepath.Join(entry.dir, "settings.json")); err != nil {
			rec.printf("settings file: %v", err)
		}
		s.signal(entry, syscall.SIGHUP)
	}()
	p.traffic(20*time.Millisecond, time.Now().Add(9*time.Second), 400, 1000)
	return nil
}

// reverseSeeds changes the order of the seeds in a settings file.
func reverseSeeds(path string) error {
	data, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	var settings map[string]any
	if err := json.Unmarshal(data, &settings); err != nil {
		return err
	}
	seeds, _ := settings["seeds"].([]any)
	for i, k := 0, len(seeds)-1; i < k; i, k = i+1, k-1 {
		seeds[i], seeds[k] = seeds[k], seeds[i]
	}
	data, err = json.MarshalIndent(settings, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(path, data, 0o644)
}

// playRoll restarts the entries in turn, 1.08 s apart.
func playRoll(rec *record, trouble bool) error {
	const (
		gap          = 1080 * time.Millisecond
		restartDelay = 500 * time.Millisecond
	)
	s, err := startPlanned(rec)
	if s != nil {
		defer s.close()
	}
	if err != nil {
		return err
	}
	p := newPlannedWork(s)
	var restarts sync.WaitGroup
	restarts.Go(func() {
		time.Sleep(2 * time.Second)
		if !trouble {
			return
		}
		for _, v := range s.byRole("entry") {
			p.term(v)
			restarts.Go(func() {
				select {
				case <-v.waited:
				case <-time.After(grace):
					s.signal(v, syscall.SIGKILL)
					<-v.waited
				}
				time.Sleep(restartDelay)
				rec.printf("%s starts again", v.name)
				if err := s.start(v); err != nil {
					rec.printf("%s: %v", v.name, err)
				}
			})
			time.Sleep(gap)
		}
	})
	p.traffic(20*time.Millisecond, time.Now().Add(14*time.Second), 1250, 1000)
	restarts.Wait()
	return nil
}
