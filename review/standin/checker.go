package main

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"
)

// runRecord is one run of a task, as its worker saw it.
type runRecord struct {
	task    string
	run     uint64
	worker  string
	started time.Duration
	ended   time.Duration
	how     string
	// noted is when last_seen reached the end; 0 if it has not.
	noted time.Duration
	// lapsed is set if the worker's lease lapsed between the end and its being noted.
	lapsed bool
}

// jobRecord is one job, as its client saw it.
type jobRecord struct {
	id          string
	queue       string
	steps       []step
	spec        taskSpec
	bestEffort  bool
	maxAttempts int
	sent        time.Duration
	// accepted is when the first 2xx arrived; 0 if none has.
	accepted time.Duration
	// rejected and unclear count the attempts with such an answer, or without one.
	rejected, unclear int
	// cancelled is when a cancel was acknowledged.
	cancelled time.Duration
	state     string
}

type step struct {
	Count        int   `json:"count"`
	CPU          int   `json:"cpu"`
	MemMB        int   `json:"mem_mb"`
	EstimatedMS  int   `json:"estimated_ms"`
	After        []int `json:"after,omitempty"`
	AntiAffinity int   `json:"anti_affinity,omitempty"`
}

// checker collects what clients and workers see, and checks the rules of RULES.md.
type checker struct {
	rec *recorder

	mu         sync.Mutex
	runs       map[string][]*runRecord
	jobs       map[string]*jobRecord
	violations []string
}

func newChecker(rec *recorder) *checker {
	return &checker{rec: rec, runs: map[string][]*runRecord{}, jobs: map[string]*jobRecord{}}
}

// violate records a broken rule.
func (c *checker) violate(rule, format string, args ...any) {
	text := rule + ": " + fmt.Sprintf(format, args...)
	c.rec.note("BROKEN %s", text)
	c.mu.Lock()
	c.violations = append(c.violations, text)
	c.mu.Unlock()
}

// broken returns the violations of a rule.
func (c *checker) broken(rule string) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var list []string
	for _, v := range c.violations {
		if strings.HasPrefix(v, rule+":") {
			list = append(list, v)
		}
	}
	return list
}

func jobOf(task string) string {
	id, _, _ := strings.Cut(task, ".")
	return id
}

// started records the start of a run.
func (c *checker) started(worker, task string, run uint64, spec string) *runRecord {
	r := &runRecord{task: task, run: run, worker: worker, started: c.rec.at()}
	c.rec.note("worker %s starts %s run %d", worker, task, run)
	c.mu.Lock()
	var parallel *runRecord
	for _, other := range c.runs[task] {
		if other.ended == 0 {
			parallel = other
		}
	}
	c.runs[task] = append(c.runs[task], r)
	known := c.jobs[jobOf(task)] != nil
	c.mu.Unlock()
	if parallel != nil {
		c.violate("TWICE", "%s runs at %s (run %d) and at %s (run %d) at the same time", task, parallel.worker, parallel.run, worker, run)
	}
	if !known {
		c.violate("UNASKED", "%s was sent by no client", task)
	}
	return r
}

func (c *checker) ended(r *runRecord, how string) {
	c.rec.note("worker %s ends %s run %d: %s", r.worker, r.task, r.run, how)
	c.mu.Lock()
	defer c.mu.Unlock()
	r.ended = c.rec.at()
	r.how = how
}

func (c *checker) noted(r *runRecord) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r.noted = c.rec.at()
}

// lapsed records that the lease of the run's worker lapsed after its end.
func (c *checker) lapsed(r *runRecord) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if r.noted == 0 {
		r.lapsed = true
	}
}

// running returns the number of runs of a job's tasks that go on.
func (c *checker) running(id string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for task, runs := range c.runs {
		if jobOf(task) != id {
			continue
		}
		for _, r := range runs {
			if r.ended == 0 {
				n++
			}
		}
	}
	return n
}

// count returns the number of runs of a task.
func (c *checker) count(task string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.runs[task])
}

// begun reports whether a task of the job has started.
func (c *checker) begun(id string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for task := range c.runs {
		if jobOf(task) == id {
			return true
		}
	}
	return false
}

// snapshot returns all jobs in the order in which they were sent.
func (c *checker) snapshot() []jobRecord {
	c.mu.Lock()
	defer c.mu.Unlock()
	var list []jobRecord
	for _, j := range c.jobs {
		list = append(list, *j)
	}
	slices.SortFunc(list, func(a, b jobRecord) int { return cmp.Compare(a.sent, b.sent) })
	return list
}

func (c *checker) update(id string, fn func(j *jobRecord)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	fn(c.jobs[id])
}

// finalChecks checks the rules that need the ends that are noted later; only one of them
// if rule is not empty.
func (c *checker) finalChecks(only string) {
	c.mu.Lock()
	type finding struct{ rule, text string }
	var found []finding
	add := func(rule, format string, args ...any) {
		found = append(found, finding{rule, fmt.Sprintf(format, args...)})
	}
	doneAt := map[string]time.Duration{}
	for task, runs := range c.runs {
		for _, r := range runs {
			if r.how == "done" && (doneAt[task] == 0 || r.ended < doneAt[task]) {
				doneAt[task] = r.ended
			}
		}
	}
	for task, runs := range c.runs {
		j := c.jobs[jobOf(task)]
		if j == nil {
			continue
		}
		for _, r := range runs {
			failed := 0
			for _, before := range runs {
				if before.ended == 0 || before.ended > r.started || before.noted == 0 || before.lapsed {
					continue
				}
				switch before.how {
				case "done":
					if !j.bestEffort {
						add("TWICE", "%s run %d starts at %.3f, after run %d has ended done at %.3f, noted at %.3f",
							task, r.run, r.started.Seconds(), before.run, before.ended.Seconds(), before.noted.Seconds())
					}
				case "failed":
					failed++
				}
			}
			if !j.bestEffort && failed >= j.maxAttempts {
				add("BUDGET", "%s run %d starts at %.3f, after %d runs have ended failed and are noted; max_attempts is %d",
					task, r.run, r.started.Seconds(), failed, j.maxAttempts)
			}
			if j.cancelled > 0 && r.started > j.cancelled+cancelBound {
				add("UNASKED", "%s run %d starts %.3f s after the cancelling was acknowledged", task, r.run, (r.started - j.cancelled).Seconds())
			}
			if end := r.ended; j.cancelled > 0 && r.started <= j.cancelled+cancelBound && (end == 0 || end > j.cancelled+cancelBound+stopTimeout) && c.rec.at() > j.cancelled+cancelBound+stopTimeout {
				add("UNASKED", "%s run %d at %s goes on %.3f s after the cancelling was acknowledged", task, r.run, r.worker, (cancelBound + stopTimeout).Seconds())
			}
			if j.accepted == 0 && j.unclear == 0 && j.rejected > 0 {
				add("REFUSED", "%s run %d starts, and all %d attempts to hand the job in were rejected", task, r.run, j.rejected)
			}
			var occurrence, stepIndex, index int
			_, _ = fmt.Sscanf(task[len(j.id)+1:], "%d.%d.%d", &occurrence, &stepIndex, &index)
			for _, dependency := range j.steps[stepIndex].After {
				for i := range j.steps[dependency].Count {
					name := fmt.Sprintf("%s.0.%d.%d", j.id, dependency, i)
					if doneAt[name] == 0 || doneAt[name] > r.started {
						add("ORDER", "%s run %d starts before %s has ended done", task, r.run, name)
					}
				}
			}
		}
	}
	for _, j := range c.jobs {
		if j.state != "completed" {
			continue
		}
		for i, st := range j.steps {
			for t := range st.Count {
				if name := fmt.Sprintf("%s.0.%d.%d", j.id, i, t); doneAt[name] == 0 {
					add("MIXED", "job %s is shown as completed, and %s has not ended done", j.id, name)
				}
			}
		}
	}
	c.mu.Unlock()
	for _, f := range found {
		if only != "" && f.rule != only {
			continue
		}
		c.violate(f.rule, "%s", f.text)
	}
}
