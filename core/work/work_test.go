package work

import (
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestTaskNames guards against task names that parse to another task: endpoints'
// lists are matched by name.
func TestTaskNames(t *testing.T) {
	id := TaskID{Job: "5c0e7a21d94b36f8", Occurrence: 2, Step: 1, Index: 17}
	assert.Equal(t, id.String(), "5c0e7a21d94b36f8.2.1.17")
	parsed, err := ParseTaskID(id.String())
	assert.NilError(t, err)
	assert.Equal(t, parsed, id)
	for _, bad := range []string{"", "a", "a.0.0", "a.0.0.x", "a.0.-1.0", ".0.0.0", "a.0.0.0.0"} {
		_, err := ParseTaskID(bad)
		assert.Assert(t, err != nil, "%q", bad)
	}
}

// TestCriticalPath guards against an objective that ignores the order of steps.
func TestCriticalPath(t *testing.T) {
	j := &Job{Stretch: 1.5, Target: 100 * time.Millisecond, Steps: []Step{
		{Tasks: 1, Estimate: 200 * time.Millisecond},
		{Tasks: 1, Estimate: 300 * time.Millisecond},
		{Tasks: 1, Estimate: 100 * time.Millisecond, After: []int{0, 1}},
	}}
	assert.Equal(t, j.CriticalPath(), 400*time.Millisecond)
	assert.Equal(t, j.Objective(), 700*time.Millisecond)
}

// TestValidateJob guards against invalid submissions that reach the placement.
func TestValidateJob(t *testing.T) {
	valid := func() *Job { return &Job{Steps: []Step{{Tasks: 1}, {Tasks: 1, After: []int{0}}}} }
	assert.NilError(t, valid().Validate())
	for name, invalidate := range map[string]func(*Job){
		"no steps":       func(j *Job) { j.Steps = nil },
		"no tasks":       func(j *Job) { j.Steps[0].Tasks = 0 },
		"negative need":  func(j *Job) { j.Steps[0].Need.CPU = -1 },
		"later step":     func(j *Job) { j.Steps[0].After = []int{1} },
		"itself":         func(j *Job) { j.Steps[1].After = []int{1} },
		"too many tasks": func(j *Job) { j.Steps[0].Tasks = MaxTasks },
		"long spec":      func(j *Job) { j.Spec = string(make([]byte, MaxSpecBytes+1)) },
	} {
		j := valid()
		invalidate(j)
		assert.Assert(t, j.Validate() != nil, name)
	}
}

// TestRoutes guards against requests that are routed to the wrong queue.
func TestRoutes(t *testing.T) {
	r := NewRoutes(&Configuration{Queues: []Queue{
		{Name: "short", Host: "h", Prefix: "/a/"},
		{Name: "long", Host: "h", Prefix: "/a/b/"},
		{Name: "other", Host: "o", Prefix: "/a/"},
	}})
	for path, want := range map[string]string{"/a/x": "short", "/a/b/x": "long", "/a/b": "short"} {
		q, rest := r.Match("h", path)
		assert.Equal(t, q.Name, want)
		assert.Equal(t, q.Prefix+rest, path)
	}
	q, _ := r.Match("h", "/c")
	assert.Assert(t, q == nil)
}

// TestValidateConfiguration guards against invalid configurations that come into
// force.
func TestValidateConfiguration(t *testing.T) {
	valid := func() *Configuration {
		return &Configuration{Pools: []string{"p"}, Queues: []Queue{{Name: "a", Host: "h", Prefix: "/", Pool: "p", Timeout: time.Second}}}
	}
	assert.NilError(t, valid().Validate())
	for name, invalidate := range map[string]func(*Configuration){
		"unknown pool": func(c *Configuration) { c.Queues[0].Pool = "x" },
		"no timeout":   func(c *Configuration) { c.Queues[0].Timeout = 0 },
		"same place":   func(c *Configuration) { c.Queues = append(c.Queues, c.Queues[0]) },
	} {
		c := valid()
		invalidate(c)
		assert.Assert(t, c.Validate() != nil, name)
	}
}

// TestListsOfConfigurationsAreBounded guards against a configuration that can be recorded and not decoded.
func TestListsOfConfigurationsAreBounded(t *testing.T) {
	c := &Configuration{Pools: make([]string, MaxPools), Queues: make([]Queue, MaxQueues)}
	for i := range c.Queues {
		c.Queues[i] = Queue{Prefix: strconv.Itoa(i), Timeout: time.Second}
	}
	assert.NilError(t, c.Validate())
	c.Pools = append(c.Pools, "")
	assert.Error(t, c.Validate(), "services: 131073, must be at most 131072")
	c.Pools = c.Pools[:1]
	c.Queues = append(c.Queues, Queue{Prefix: "/", Timeout: time.Second})
	assert.Error(t, c.Validate(), "routes: 131073, must be at most 131072")
}
