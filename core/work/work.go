// Package work has the types of jobs that are made of steps: the jobs that
// callers submit, the tasks that endpoints run, and the reasons for which a run
// ends. It makes no scheduling decisions.
package work

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"
	"unicode/utf8"
)

// JobID identifies a job. The caller chooses it, and it is unique over all queues.
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

// Fits reports whether r is at most the available resources.
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

// Incarnation describes an endpoint from one start to the next, as the endpoint
// announces it.
type Incarnation struct {
	Instance string
	// StartTimeMS is the time of the start in Unix milliseconds, 0 if it is not
	// announced. An endpoint may restart with the same Instance.
	StartTimeMS int64 `cbor:"Born"`
	Pool        string
	Labels      []string
	Capacity    Resources
}

// Bounds of an announcement.
const (
	maxLabels    = 64
	maxNameBytes = 256
)

// Validate checks an announcement. The error names the field.
func (i Incarnation) Validate() error {
	switch {
	case !ValidName(i.Instance):
		return fmt.Errorf("instance: %d bytes, must be 1 to %d of valid UTF-8", len(i.Instance), maxNameBytes)
	case !ValidName(i.Pool):
		return fmt.Errorf("pool: %d bytes, must be 1 to %d of valid UTF-8", len(i.Pool), maxNameBytes)
	case i.StartTimeMS < 0:
		return fmt.Errorf("start time: %d is negative", i.StartTimeMS)
	case !i.Capacity.Valid():
		return fmt.Errorf("capacity: %+v, must be 0 to %d each", i.Capacity, MaxResource)
	case len(i.Labels) > maxLabels:
		return fmt.Errorf("labels: %d, must be at most %d", len(i.Labels), maxLabels)
	}
	for n, label := range i.Labels {
		if len(label) > maxNameBytes || !utf8.ValidString(label) {
			return fmt.Errorf("labels[%d]: %d bytes, must be at most %d of valid UTF-8", n, len(label), maxNameBytes)
		}
	}
	return nil
}

// ValidName reports whether a name of an instance, pool or VM is not empty, not too
// long, and valid UTF-8.
func ValidName(name string) bool {
	return name != "" && len(name) <= maxNameBytes && utf8.ValidString(name)
}

// Equal reports whether two announcements are the same.
func (i Incarnation) Equal(other Incarnation) bool {
	return i.Instance == other.Instance && i.StartTimeMS == other.StartTimeMS && i.Pool == other.Pool && i.Capacity == other.Capacity && slices.Equal(i.Labels, other.Labels)
}

// Step is a set of equal tasks.
type Step struct {
	// Tasks is the number of tasks.
	Tasks int
	// Need is what each task takes from its endpoint's capacity.
	Need Resources
	// Estimate is the caller's estimate of a task's run time on an endpoint of
	// nominal speed.
	Estimate time.Duration
	// After lists the steps, by index, that must be done before this one starts.
	After []int
	// RequiredLabel must be among the endpoint's labels, unless it is empty.
	RequiredLabel string
	// PreferredRack is the rack that holds the step's data; other racks are slower.
	PreferredRack string
	// MaxPerEndpoint bounds the step's tasks on one endpoint; 0 means no bound.
	MaxPerEndpoint int
	// Checkpoints is set if a stopped task can be resumed elsewhere.
	Checkpoints bool
}

// Job is a submission with the policy that its queue had when the job was
// accepted.
type Job struct {
	ID JobID
	// Queue is the name of the queue that accepted the job.
	Queue string
	// Pool names the endpoints that may run it.
	Pool string
	// Priority orders queues; 0 comes first.
	Priority int
	// MaxAttempts bounds the failed runs of a task.
	MaxAttempts int
	// Stretch and Target give the objective: Stretch times the critical path, plus
	// Target.
	Stretch float64
	Target  time.Duration
	// Spec is passed to the endpoint uninterpreted.
	Spec  string
	Steps []Step
	// BestEffort jobs are not stored: the caller waits for the end and submits
	// the job again if it gets no answer.
	BestEffort bool
}

// AssignQueue sets the job's ID and copies the policy of its queue.
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

// CriticalPath returns the estimated duration of the longest chain of dependent
// steps.
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

// Objective returns the time from submission within which the job should complete.
func (j *Job) Objective() time.Duration { return j.ObjectiveFor(j.CriticalPath()) }

// ObjectiveFor returns the objective of the job, whose critical path the caller has.
func (j *Job) ObjectiveFor(criticalPath time.Duration) time.Duration {
	return time.Duration(j.Stretch*float64(criticalPath)) + j.Target
}

// Bounds of a submission. They prevent one job from filling a control VM's memory.
const (
	// MaxSteps and MaxTasks are per job. The target has jobs of 790 tasks.
	MaxSteps = 256
	MaxTasks = 10_000
	// MaxSpecBytes bounds the spec.
	MaxSpecBytes = 4_000
	// MaxResource bounds each resource that a task needs or an endpoint has, and
	// MaxEstimate the estimate of a task, so that sums don't overflow.
	MaxResource = 1 << 30
	MaxEstimate = 30 * 24 * time.Hour
	// MaxRun bounds run numbers. JSON numbers are exact up to 2^53.
	MaxRun = 1 << 53
)

// Valid reports whether all resources are in the range of 0 to MaxResource.
func (r Resources) Valid() bool {
	inRange := func(n int) bool { return n >= 0 && n <= MaxResource }
	return inRange(r.CPU) && inRange(r.MemoryMB) && inRange(r.GPU)
}

// Validate checks the job's steps and spec. The error names the step.
func (j *Job) Validate() error {
	switch {
	case len(j.Steps) == 0 || len(j.Steps) > MaxSteps:
		return fmt.Errorf("steps: %d, must be 1 to %d", len(j.Steps), MaxSteps)
	case len(j.Spec) > MaxSpecBytes:
		return fmt.Errorf("spec: %d bytes, must be at most %d", len(j.Spec), MaxSpecBytes)
	}
	for i, s := range j.Steps {
		if s.Tasks < 1 || !s.Need.Valid() || s.Estimate < 0 || s.Estimate > MaxEstimate || s.MaxPerEndpoint < 0 {
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

// TaskID identifies a task of a job.
type TaskID struct {
	Job JobID
	// Occurrence counts the repetitions of a scheduled job; it is 0 for other jobs.
	Occurrence int
	Step       int
	Index      int
}

// String returns the name that endpoints use: job.occurrence.step.index.
func (t TaskID) String() string {
	b := make([]byte, 0, len(t.Job)+12)
	b = append(b, t.Job...)
	for _, n := range [...]int{t.Occurrence, t.Step, t.Index} {
		b = append(b, '.')
		b = strconv.AppendInt(b, int64(n), 10)
	}
	return string(b)
}

// ParseTaskID parses a name that String returned.
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

// Run is one start of a task. A later run of a task has a higher number.
type Run struct {
	Task   TaskID
	Number uint64 `cbor:"Run"`
}

// EndReason is the reason for which a run ended.
type EndReason uint8

// Reasons for which a run ends.
const (
	// Done is success; the task must never start again.
	Done EndReason = iota + 1
	// Failed runs count towards Job.MaxAttempts.
	Failed
	// Stopped runs were ended by a stop order.
	Stopped
	// LeaseExpired runs were ended by the endpoint when its lease expired.
	LeaseExpired
	// GangBroken runs were ended because another member of their gang ended.
	GangBroken
	// GangIncomplete runs were ended because other members of their gang did not
	// start in time.
	GangIncomplete
	// Lost is reported by an agent for a run that its endpoint lists neither as
	// running nor as ended.
	Lost
)

var endReasonNames = [...]string{"", "done", "failed", "stopped", "lapsed", "broken", "alone", "vanished"}

// String returns the reason's name.
func (r EndReason) String() string {
	if int(r) < len(endReasonNames) {
		return endReasonNames[r]
	}
	return "unknown"
}

// Durable reports whether the end decides about further runs of the task. Such an
// end must survive a power failure before the endpoint may forget it.
func (r EndReason) Durable() bool { return r == Done || r == Failed }

// End is the end of a run.
type End struct {
	Run
	Reason EndReason `cbor:"How"`
	// Checkpoint is where the task can be resumed from, empty if there is none.
	Checkpoint string
}

// State is the state of a job as reported to callers.
type State uint8

// States of a job. The ones from Completed on are final.
const (
	Pending State = iota + 1
	Running
	Completed
	JobFailed
	Cancelled
)

// Final reports whether the state never changes again.
func (s State) Final() bool { return s >= Completed }
