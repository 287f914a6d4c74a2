package tasktable

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/cicadapulley/cicadapulley/core/job"
	"github.com/cicadapulley/cicadapulley/core/testseed"
	"github.com/cicadapulley/cicadapulley/core/verdict"
)

// TestMain lengthens the random runs: short ones do not fill a table.
func TestMain(m *testing.M) {
	testseed.MainWith(m, map[string]string{"rapid.steps": "100", "rapid.checks": "2000"})
}

var (
	start      = time.Unix(1000, 0)
	testLimits = Limits{Slots: 2, Records: 5, OutputBytes: 100}
)

// request is a message of an owner. It may be delivered any number of times.
type request struct {
	kind      string
	key       job.TaskKey
	attempt   Attempt
	expiresAt time.Time
}

// tableModel records the answers of one table, also of jobs that the table has
// removed.
type tableModel struct {
	*Table
	now       time.Time
	sent      []request
	started   map[job.TaskKey]bool
	running   []job.TaskKey
	attempts  map[job.TaskKey]Attempt
	denied    map[job.TaskKey]Attempt
	minEpoch  map[job.Key]uint64
	cancelled map[job.Key]bool
}

func newTableModel() *tableModel {
	return &tableModel{
		Table: New(testLimits), now: start,
		started: map[job.TaskKey]bool{}, attempts: map[job.TaskKey]Attempt{},
		denied: map[job.TaskKey]Attempt{}, minEpoch: map[job.Key]uint64{}, cancelled: map[job.Key]bool{},
	}
}

func (m *tableModel) send(t *rapid.T) {
	name := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "job")
	m.sent = append(m.sent, request{
		kind:      rapid.SampledFrom([]string{"run", "run", "run", "run", "refuse", "fate", "fate", "cancel"}).Draw(t, "kind"),
		key:       job.TaskKey{Job: job.Key{Caller: "c", ID: name}, Task: rapid.IntRange(0, 2).Draw(t, "task")},
		attempt:   Attempt{rapid.Uint64Range(1, 3).Draw(t, "epoch"), rapid.Uint32Range(0, 3).Draw(t, "attempt")},
		expiresAt: start.Add(time.Duration(name[0]-'a'+1) * 10 * time.Second),
	})
}

func (m *tableModel) deliver(t *rapid.T) {
	if len(m.sent) == 0 {
		t.Skip()
	}
	r := rapid.SampledFrom(m.sent).Draw(t, "request")
	switch r.kind {
	case "run":
		m.run(t, r)
	case "refuse":
		refusal := verdict.Errorf(verdict.CodeLeaseExpired, verdict.NotRun, "lease has expired")
		if m.Refuse(r.key, r.attempt, m.now, r.expiresAt, refusal).Verdict == verdict.NotRun {
			m.checkDenied(t, r)
		}
	case "fate":
		m.ask(t, r)
	case "cancel":
		if m.Cancel(r.key.Job, r.attempt.Epoch, m.now, r.expiresAt) {
			m.cancelled[r.key.Job] = true
			m.minEpoch[r.key.Job] = max(m.minEpoch[r.key.Job], r.attempt.Epoch)
		}
	}
}

func (m *tableModel) run(t *rapid.T, r request) {
	err := m.Begin(r.key, r.attempt, m.now, r.expiresAt)
	denied, wasDenied := m.denied[r.key]
	if err == nil {
		assert.Assert(t, !m.started[r.key], "second start")
		assert.Assert(t, !wasDenied || !r.attempt.notAfter(denied), "start of a denied attempt")
		assert.Assert(t, r.attempt.Epoch >= m.minEpoch[r.key.Job], "start under a fenced epoch")
		assert.Assert(t, !m.cancelled[r.key.Job], "start of a cancelled job")
		m.started[r.key] = true
		m.running = append(m.running, r.key)
		m.attempts[r.key] = r.attempt
		m.minEpoch[r.key.Job] = r.attempt.Epoch
		return
	}
	if err.Verdict == verdict.NotRun {
		m.checkDenied(t, r)
	}
}

func (m *tableModel) ask(t *rapid.T, r request) {
	fate, err := m.Fate(r.key, r.attempt, m.now, r.expiresAt)
	if err != nil {
		assert.Equal(t, err.Verdict, verdict.MayHaveRun)
		return
	}
	assert.Assert(t, r.attempt.Epoch >= m.minEpoch[r.key.Job])
	m.minEpoch[r.key.Job] = r.attempt.Epoch
	if fate.Status == Denied {
		m.checkDenied(t, r)
		return
	}
	assert.Assert(t, m.started[r.key])
}

func (m *tableModel) checkDenied(t *rapid.T, r request) {
	assert.Assert(t, !m.started[r.key], "not_run for a task that started")
	if !r.attempt.notAfter(m.denied[r.key]) {
		m.denied[r.key] = r.attempt
	}
}

func (m *tableModel) end(t *rapid.T) {
	if len(m.running) == 0 {
		t.Skip()
	}
	k := m.running[0]
	m.running = m.running[1:]
	if rapid.Bool().Draw(t, "abort") {
		m.Abort(k, m.attempts[k])
		delete(m.started, k)
		m.denied[k] = m.attempts[k]
		return
	}
	m.End(k, job.TaskResult{Output: make([]byte, 20)})
}

// advanceClock moves the clock, sometimes back.
func (m *tableModel) advanceClock(t *rapid.T) {
	m.now = m.now.Add(time.Duration(rapid.IntRange(-2000, 4000).Draw(t, "ms")) * time.Millisecond)
}

func (m *tableModel) check(t *rapid.T) {
	assert.Equal(t, m.Running(), len(m.running))
	assert.Assert(t, m.Running() <= testLimits.Slots)
	assert.Assert(t, m.records <= 2*testLimits.Records)
}

// checkRemoval checks that no record is left once all jobs have expired.
func (m *tableModel) checkRemoval(t *rapid.T) {
	for len(m.running) > 0 {
		m.End(m.running[0], job.TaskResult{})
		m.running = m.running[1:]
	}
	m.advance(m.now.Add(time.Hour))
	m.advance(m.now.Add(2 * time.Hour))
	assert.Assert(t, len(m.jobs) == 0 && len(m.queue) == 0 && m.records == 0 && m.outputBytes == 0)
}

// Guards against second starts, starts of denied, fenced or cancelled requests,
// false not_run answers and records that are never removed, with any order and
// number of deliveries.
func TestTable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newTableModel()
		t.Repeat(map[string]func(*rapid.T){
			"": m.check, "send": m.send, "deliver": m.deliver, "deliverAgain": m.deliver, "deliverMore": m.deliver,
			"end": m.end, "clock": m.advanceClock,
		})
		m.checkRemoval(t)
	})
}

// Guards against a second start, or an answer that denies the first, after the
// job's record is removed; also when the clock is set back.
func TestLateRequestOfExpiredJob(t *testing.T) {
	m := New(testLimits)
	k := job.TaskKey{Job: job.Key{Caller: "c", ID: "a"}}
	expiresAt := start.Add(time.Second)
	assert.Assert(t, m.Begin(k, Attempt{1, 1}, start, expiresAt) == nil)
	m.End(k, job.TaskResult{})
	for _, now := range []time.Time{expiresAt, start} {
		err := m.Begin(k, Attempt{1, 1}, now, expiresAt)
		assert.Equal(t, err.Verdict, verdict.MayHaveRun)
		_, err = m.Fate(k, Attempt{2, 0}, now, expiresAt)
		assert.Equal(t, err.Verdict, verdict.MayHaveRun)
	}
}

// Guards against a copy of a refused request that starts the task after its
// owner has sent the task to another agent.
func TestRefusedAttemptNeverStarts(t *testing.T) {
	m := New(Limits{Slots: 1, Records: 8, OutputBytes: 100})
	first := job.TaskKey{Job: job.Key{Caller: "c", ID: "a"}}
	second := job.TaskKey{Job: job.Key{Caller: "c", ID: "b"}}
	expiresAt := start.Add(time.Second)
	assert.Assert(t, m.Begin(first, Attempt{1, 1}, start, expiresAt) == nil)
	assert.Equal(t, m.Begin(second, Attempt{1, 1}, start, expiresAt).Verdict, verdict.NotRun)
	m.End(first, job.TaskResult{})
	assert.Equal(t, m.Begin(second, Attempt{1, 1}, start, expiresAt).Code, verdict.CodeFenced)
	assert.Assert(t, m.Begin(second, Attempt{1, 2}, start, expiresAt) == nil)
}
