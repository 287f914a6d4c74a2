// Package work has the types of jobs that are made of steps: what callers hand
// in, what endpoints run, and how a run ends. It decides nothing.
package work

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"
)

// JobID names a job. The caller chooses it, and it is unique over all queues.
type JobID string

// Resources are what a task needs or an endpoint has.
type Resources struct {
	// CPU is in thousandths of a core.
	CPU int
	// MemoryMB is in megabytes.
	MemoryMB int
	// GPU counts accelerators.
	GPU int
}

// Fits tells whether r is at most the room.
func (r Resources) Fits(available Resources) bool {
	return r.CPU <= available.CPU && r.MemoryMB <= available.MemoryMB && r.GPU <= available.GPU
}

// Plus returns the sum.
func (r Resources) Plus(o Resources) Resources {
	return Resources{CPU: r.CPU + o.CPU, MemoryMB: r.MemoryMB + o.MemoryMB, GPU: r.GPU + o.GPU}
}

// Minus returns the difference.
func (r Resources) Minus(o Resources) Resources {
	return Resources{CPU: r.CPU - o.CPU, MemoryMB: r.MemoryMB - o.MemoryMB, GPU: r.GPU - o.GPU}
}

// Incarnation is one life of an endpoint, as it announces itself.
type Incarnation struct {
	Instance string
	// StartTimeMS is the time of the start in Unix milliseconds, 0 if it isn't told. An
	// endpoint may start again under its name.
	StartTimeMS int64 `cbor:"Born"`
	Pool        string
	Labels      []string
	Capacity    Resources
}

// Equal tells whether two announcements are the same.
func (i Incarnation) Equal(other Incarnation) bool {
	return i.Instance == other.Instance && i.StartTimeMS == other.StartTimeMS && i.Pool == other.Pool && i.Capacity == other.Capacity && slices.Equal(i.Labels, other.Labels)
}

// Step is a set of equal tasks.
type Step struct {
	// Tasks is the number of tasks.
	Tasks int
	// Need is what each task takes of its endpoint.
	Need Resources
	// Estimate is the caller's rough run time of a task on an endpoint of
	// nominal speed.
	Estimate time.Duration
	// After lists the steps, by index, that must be done before this one starts.
	After []int
	// RequiredLabel must be among the endpoint's labels, unless it is empty.
	RequiredLabel string
	// PreferredRack is where the step's data is; other racks are slower.
	PreferredRack string
	// MaxPerEndpoint bounds the tasks of the step on one endpoint; 0 is no bound.
	MaxPerEndpoint int
	// Checkpoints tells that a stopped task can be resumed elsewhere.
	Checkpoints bool
}

// Job is an accepted submission with the policy of its queue at that time.
type Job struct {
	ID JobID
	// Queue is the name of the queue that took the job.
	Queue string
	// Pool names the endpoints that may run it.
	Pool string
	// Priority orders queues; 0 comes first.
	Priority int
	// MaxAttempts bounds the failed runs of a task.
	MaxAttempts int
	// Stretch and Target give the objective: Stretch times the longest chain of
	// steps, plus Target.
	Stretch float64
	Target  time.Duration
	// Spec is passed to the endpoint unread.
	Spec  string
	Steps []Step
	// BestEffort jobs aren't stored: the caller waits for the end and submits
	// the job again if no answer comes.
	BestEffort bool
}

// AssignQueue sets the job's id and what its queue decides about it.
func (j *Job) AssignQueue(q *Queue, id JobID) {
	j.ID = id
	j.Queue = q.Name
	j.Pool = q.Pool
	j.Priority = q.Priority
	j.MaxAttempts = max(q.MaxAttempts, 1)
	j.Stretch = q.Stretch
	j.Target = q.Target
}

// Tasks returns the number of tasks of all steps.
func (j *Job) Tasks() int {
	count := 0
	for _, s := range j.Steps {
		count += s.Tasks
	}
	return count
}

// CriticalPath returns the estimated time of the longest chain of dependent steps.
func (j *Job) CriticalPath() time.Duration {
	ends := make([]time.Duration, len(j.Steps))
	var longest time.Duration
	for i, s := range j.Steps {
		for _, dependency := range s.After {
			ends[i] = max(ends[i], ends[dependency])
		}
		ends[i] += s.Estimate
		longest = max(longest, ends[i])
	}
	return longest
}

// Objective returns the time in which the caller wants the job completed.
func (j *Job) Objective() time.Duration {
	return time.Duration(j.Stretch*float64(j.CriticalPath())) + j.Target
}

// Bounds of a submission. They keep one job from filling a control VM's memory.
const (
	// MaxSteps and MaxTasks are per job. The target has jobs of 790 tasks.
	MaxSteps = 256
	MaxTasks = 10_000
	// MaxSpecBytes is the longest spec.
	MaxSpecBytes = 4_000
)

// Validate reports what makes the job's steps unusable.
func (j *Job) Validate() error {
	switch {
	case len(j.Steps) == 0 || len(j.Steps) > MaxSteps:
		return fmt.Errorf("steps: %d, must be 1 to %d", len(j.Steps), MaxSteps)
	case len(j.Spec) > MaxSpecBytes:
		return fmt.Errorf("spec: %d bytes, must be at most %d", len(j.Spec), MaxSpecBytes)
	}
	for i, s := range j.Steps {
		if s.Tasks < 1 || s.Need.CPU < 0 || s.Need.MemoryMB < 0 || s.Need.GPU < 0 || s.Estimate < 0 || s.MaxPerEndpoint < 0 {
			return fmt.Errorf("step %d: a count, need or estimate is out of range", i)
		}
		for _, dependency := range s.After {
			if dependency < 0 || dependency >= i {
				return fmt.Errorf("step %d: must not wait for step %d", i, dependency)
			}
		}
		if s.Tasks > MaxTasks {
			return fmt.Errorf("step %d: more than %d tasks", i, MaxTasks)
		}
	}
	if tasks := j.Tasks(); tasks > MaxTasks {
		return fmt.Errorf("%d tasks, must be at most %d", tasks, MaxTasks)
	}
	return nil
}

// TaskID names a task of a job.
type TaskID struct {
	Job JobID
	// Occurrence counts the repeats of a scheduled job; it is 0 otherwise.
	Occurrence int
	Step       int
	Index      int
}

// String returns the name that endpoints know: job, occurrence, step and index.
func (t TaskID) String() string {
	b := make([]byte, 0, len(t.Job)+12)
	b = append(b, t.Job...)
	for _, n := range [...]int{t.Occurrence, t.Step, t.Index} {
		b = append(b, '.')
		b = strconv.AppendInt(b, int64(n), 10)
	}
	return string(b)
}

// ParseTaskID reads the name of a task.
func ParseTaskID(s string) (TaskID, error) {
	parts := strings.Split(s, ".")
	if len(parts) != 4 || parts[0] == "" {
		return TaskID{}, fmt.Errorf("task name %q: want job.occurrence.step.index", s)
	}
	var n [3]int
	for i, part := range parts[1:] {
		v, err := strconv.Atoi(part)
		if err != nil || v < 0 {
			return TaskID{}, fmt.Errorf("task name %q: %q is not a count", s, part)
		}
		n[i] = v
	}
	return TaskID{Job: JobID(parts[0]), Occurrence: n[0], Step: n[1], Index: n[2]}, nil
}

// Run is one start of a task. Runs of a task are numbered upwards.
type Run struct {
	Task   TaskID
	Number uint64 `cbor:"Run"`
}

// EndReason tells in which way a run ended.
type EndReason uint8

// Ways in which a run ends.
const (
	// Done is success; the task must never start again.
	Done EndReason = iota + 1
	// Failed counts against the attempts of the queue.
	Failed
	// Stopped follows an order.
	Stopped
	// LeaseExpired follows the end of the endpoint's lease.
	LeaseExpired
	// GangBroken follows the end of another member of a gang.
	GangBroken
	// GangIncomplete is a member of a gang that waited in vain for the others.
	GangIncomplete
	// Lost is reported by an agent for a run that its endpoint neither runs
	// nor lists as ended.
	Lost
)

var endReasonNames = [...]string{"", "done", "failed", "stopped", "lapsed", "broken", "alone", "vanished"}

// String returns the way's name.
func (r EndReason) String() string {
	if int(r) < len(endReasonNames) {
		return endReasonNames[r]
	}
	return "unknown"
}

// Durable tells whether the end decides about the task's future and must
// survive a loss of power before the endpoint may forget it.
func (r EndReason) Durable() bool { return r == Done || r == Failed }

// End is the end of a run.
type End struct {
	Run
	Reason EndReason `cbor:"How"`
	// Checkpoint resumes the task, empty if there is none.
	Checkpoint string
}

// State is the state of a job as callers see it.
type State uint8

// States of a job. The ones from Completed on are final.
const (
	Pending State = iota + 1
	Running
	Completed
	JobFailed
	Cancelled
)

// Final tells whether the state never changes again.
func (s State) Final() bool { return s >= Completed }
