package timeline

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/assert/cmp"
	"pgregory.net/rapid"
)

// process has a hybrid logical clock on a system time that is off by offset
// milliseconds.
type process struct {
	name   string
	offset int64
	clock  Clock
	events []Event
}

func (p *process) emit(now int64, text string) {
	p.clock = max(p.clock+1, ClockAt(time.UnixMilli(now+p.offset)))
	p.events = append(p.events, Event{Process: p.name, Clock: p.clock, Text: text})
}

// Guards against a merged order with an effect before its cause, or with the events
// of a process reordered, whatever the errors of the system times.
func TestMergeKeepsCausalOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		processes := make([]*process, rapid.IntRange(1, 5).Draw(t, "processes"))
		for i := range processes {
			processes[i] = &process{name: fmt.Sprint(i), offset: rapid.Int64Range(-500, 500).Draw(t, "offset")}
		}
		now, messages := int64(1_000_000), rapid.IntRange(1, 40).Draw(t, "messages")
		for m := range messages {
			now += rapid.Int64Range(0, 3).Draw(t, "step")
			from := rapid.SampledFrom(processes).Draw(t, "from")
			to := rapid.SampledFrom(processes).Draw(t, "to")
			from.emit(now, fmt.Sprintf("sent %d", m))
			to.clock = max(to.clock, from.clock)
			to.emit(now, fmt.Sprintf("received %d", m))
		}
		var all []Event
		for _, p := range processes {
			all = append(all, p.events...)
		}
		merged := Merge(rapid.Permutation(all).Draw(t, "order"))
		assert.Equal(t, len(merged), len(all))
		position := map[string]int{}
		for i, e := range merged {
			position[e.Text] = i
		}
		for m := range messages {
			assert.Assert(t, position[fmt.Sprintf("sent %d", m)] < position[fmt.Sprintf("received %d", m)])
		}
		for _, p := range processes {
			own := slices.DeleteFunc(slices.Clone(merged), func(e Event) bool { return e.Process != p.name })
			assert.Assert(t, slices.IsSortedFunc(own, func(a, b Event) int { return int(int64(a.Clock) - int64(b.Clock)) }))
		}
	})
}

func startServer(t *testing.T, status int, events ...Event) (string, *atomic.Value) {
	t.Helper()
	requestURI := &atomic.Value{}
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		requestURI.Store(r.URL.RequestURI())
		w.WriteHeader(status)
		_ = json.NewEncoder(w).Encode(events)
	}))
	t.Cleanup(s.Close)
	return s.URL, requestURI
}

// Guards against a process that cannot be read being omitted silently, or hiding
// the events of the other processes.
func TestFetchListsUnreachableProcesses(t *testing.T) {
	a, requestURI := startServer(t, http.StatusOK, Event{Process: "a", Clock: 3 << counterBits}, Event{Process: "a", Clock: 5 << counterBits})
	b, _ := startServer(t, http.StatusOK, Event{Process: "b", Clock: 4 << counterBits, Text: "<script>alert(1)</script>"})
	broken, _ := startServer(t, http.StatusInternalServerError)
	closed := httptest.NewServer(nil)
	closed.Close()
	sources := []Source{{"a", a}, {"a", a + "/"}, {b, b}, {"broken", broken}, {"closed", closed.URL}, {"no-page", ""}}
	got := Fetch(t.Context(), http.DefaultClient, sources, Filter{Job: "j", Caller: "c", Ticket: 2, Since: 1})

	assert.Equal(t, requestURI.Load(), any("/v1/events?caller=c&job=j&since=1&ticket=2"))
	assert.DeepEqual(t, got.Processes, []string{"a", "b"})
	assert.DeepEqual(t, processesOf(got.Events), []string{"a", "b", "a"})
	assert.Equal(t, len(got.Missing), 3)
	assert.Equal(t, got.Missing[0].Process, "broken")
	assert.Equal(t, got.Missing[1].Process, "closed")
	assert.Equal(t, got.Missing[2].Process, "no-page")
	checkPage(t, got)
}

// checkPage guards against a page that needs another resource, or that executes
// markup in a name chosen by a caller.
func checkPage(t *testing.T, tl *Timeline) {
	t.Helper()
	var buf bytes.Buffer
	assert.NilError(t, tl.WriteHTML(&buf, "Timeline of <b>"))
	page := buf.String()
	for _, process := range []string{"broken", "closed", "no-page"} {
		assert.Check(t, cmp.Contains(page, "<li>"+process))
	}
	assert.Check(t, cmp.Contains(page, "Timeline of &lt;b&gt;"))
	for _, part := range []string{"<script", "<link", "<img", "src=", "@import", "url("} {
		assert.Check(t, !strings.Contains(page, part), part)
	}
}

func processesOf(events []Event) []string {
	var list []string
	for _, e := range events {
		list = append(list, e.Process)
	}
	return list
}

// Guards against a limit that drops the newest events or miscounts the omitted ones.
func TestLimitKeepsNewest(t *testing.T) {
	tl := &Timeline{Events: []Event{{Clock: 1}, {Clock: 2}, {Clock: 3}}}
	tl.Limit(2)
	assert.Equal(t, tl.Omitted, 1)
	assert.Equal(t, tl.Events[0].Clock, Clock(2))
}
