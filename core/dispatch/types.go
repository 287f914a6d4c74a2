package dispatch

import (
	"time"

	"github.com/cicadapulley/cicadapulley/core/job"
	"github.com/cicadapulley/cicadapulley/core/state"
	"github.com/cicadapulley/cicadapulley/core/verdict"
)

// Endpoint is an endpoint as the membership describes it.
type Endpoint struct {
	ID         string
	Slots      int
	DataCentre string
	Rack       string
	Capacity   state.Resources
	Serves     []state.ServedKind
	// Drain marks an endpoint that gets no new work.
	Drain bool
}

// Item is one task that waits to be started. IDs are unique at an entry among
// the items that are queued or in flight.
type Item struct {
	ID         uint64
	Job        job.Key
	Task       int
	Caller     string
	Service    string
	Kind       string
	Needs      state.Resources
	Repeatable bool
	Enqueued   time.Time
	// Deadline is zero for an item that may wait indefinitely.
	Deadline time.Time
	// Avoid lists endpoints that refused this task. They are used again only
	// if no other endpoint can take the task.
	Avoid []string
}

// Load is what an agent reports with each answer.
type Load struct {
	Slots   int
	Running int
	// Granted is how many tasks this entry may have in progress at the agent.
	Granted int
}

// Report is the outcome of one assignment.
type Report struct {
	Verdict verdict.Verdict
	Code    verdict.Code
	OK      bool
	// RunTime is how long the task ran on the endpoint; zero if it did not run.
	RunTime time.Duration
	// Load is nil if the agent did not answer.
	Load *Load
}

// Assignment is the decision to start an item on an endpoint.
type Assignment struct {
	Item     Item
	Endpoint string
}

// KindCount is the number of a job's tasks of one kind, and what each needs.
type KindCount struct {
	Kind  string
	Count int
	Needs state.Resources
	// Declared is the run time that the operators declared; zero means unknown.
	// It is the estimate until the first observed run.
	Declared time.Duration
}

// Strategy selects how endpoints are chosen.
type Strategy uint8

// Strategies. Grants is the default.
const (
	// Grants starts tasks on slots that agents granted in advance.
	Grants Strategy = iota
	// Random picks any endpoint that is not locally known to be full.
	Random
	// TwoChoices picks the less loaded of two random endpoints, by local counts.
	TwoChoices
	// LateBinding assigns a task when a slot becomes free. Only the model uses it.
	LateBinding
)

var strategyNames = [...]string{"grants", "random", "two_choices", "late_binding"}

// String returns the strategy's name.
func (s Strategy) String() string { return strategyNames[s] }

// Options configures a Scheduler. Zero values select the defaults.
type Options struct {
	Strategy Strategy
	// DataCentre is the entry's own data centre, preferred on ties.
	DataCentre string
	// MaxQueued is the maximum number of queued tasks.
	MaxQueued int
	// DefaultRunTime is assumed for kinds without a declared run time.
	DefaultRunTime time.Duration
	// Seed seeds the random choices and the jitter of RetryAfter.
	Seed uint64
}

// Defaults of Options.
const (
	// DefaultMaxQueued is about two seconds of work for one of five entries
	// at the target of 45,000 starts per second.
	DefaultMaxQueued = 20_000
	// DefaultRunTime lies in the range of 50 ms to 1 s that most tasks take.
	DefaultRunTime = 100 * time.Millisecond
)

func (o Options) withDefaults() Options {
	if o.MaxQueued <= 0 {
		o.MaxQueued = DefaultMaxQueued
	}
	if o.DefaultRunTime <= 0 {
		o.DefaultRunTime = DefaultRunTime
	}
	return o
}
