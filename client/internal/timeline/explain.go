package timeline

import (
	"fmt"
	"slices"
	"time"

	"github.com/cicadapulley/cicadapulley/client/internal/output"
)

const (
	// before and after bound the events that are shown beside those of a job: a
	// loss is noticed and answered for within this time.
	contextBefore = 3 * time.Second
	contextAfter  = 300 * time.Millisecond
)

// circumstances are the events that bear on the jobs of a process without naming
// one: losses, leaders, endpoints and restarts. Those of control VMs bear on all.
var contextEvents = map[string]bool{
	"process_started": true, "process_draining": true, "process_stopped": true, "invariant_violated": true,
	"leader_elected": true, "leader_lost": true, "term_began": true, "term_ended": true,
	"leader_found": true, "leader_gone": true, "local_placement_began": true, "local_placement_ended": true,
	"endpoint_registered": true, "endpoint_draining": true, "endpoint_left": true, "endpoint_silent": true,
	"endpoint_answers": true, "endpoint_lapsed": true, "session_began": true, "session_ended": true,
	"session_orphaned": true, "client_lost": true, "storage_failed": true,
}

// effects maps an event to one that another process can only have after it, about
// the same job or ticket. Clocks that contradict it are corrected.
var effects = map[string][]string{
	"work_refused":    {"request_refused"},
	"run_ordered":     {"start_unanswered"},
	"job_handed_over": {"work_closed", "work_late", "work_failed"},
	"term_began":      {"leader_found"},
}

// Story is what the logs tell of one job, in causal order.
type Explanation struct {
	Job    string  `json:"job"`
	Events []Event `json:"events"`
	// Skew is how far the clock of a process was found to be behind the others, at
	// the least, by process.
	ClockSkew map[string]time.Duration `json:"skew,omitempty"`
}

// Explain selects the events of a job and what bears on them.
func Explain(job string, events []Event) *Explanation {
	x := &Explanation{Job: job, ClockSkew: clockSkews(job, events)}
	for i := range events {
		events[i] = shiftedBy(events[i], x.ClockSkew[events[i].Process])
	}
	involved := map[string]bool{}
	var first, last Clock
	for _, e := range events {
		if e.Job != job {
			continue
		}
		if first == 0 || e.Clock < first {
			first = e.Clock
		}
		last = max(last, e.Clock)
		involved[e.Process] = true
		involved[e.Peer] = true
	}
	from, to := ClockAt(first.Time().Add(-contextBefore)), ClockAt(last.Time().Add(contextAfter))
	for _, e := range events {
		near := e.Clock >= from && e.Clock <= to && (involved[e.Process] || e.Peer != "" && involved[e.Peer])
		if e.Job == job || first > 0 && near && contextEvents[e.Name] {
			x.Events = append(x.Events, e)
		}
	}
	x.Events = Merge(x.Events)
	return x
}

// skews returns by how much clocks must be ahead so that no effect comes before
// its cause.
func clockSkews(job string, events []Event) map[string]time.Duration {
	skew := map[string]time.Duration{}
	candidates := slices.DeleteFunc(slices.Clone(events), func(e Event) bool { return e.Job != job && (e.Job != "" || e.Ticket == 0) })
	for _, cause := range candidates {
		for _, name := range effects[cause.Name] {
			for _, effect := range candidates {
				if effect.Name != name || effect.Process == cause.Process || !related(job, cause, effect) {
					continue
				}
				if behind := cause.Time.Sub(effect.Time); behind > skew[effect.Process] {
					skew[effect.Process] = behind
				}
			}
		}
	}
	return skew
}

// related tells whether two events are about the job, or about the same term.
func related(job string, a, b Event) bool {
	if a.Job != "" || b.Job != "" {
		return a.Job == job && b.Job == job
	}
	return a.Ticket > 0 && a.Ticket == b.Ticket
}

func shiftedBy(e Event, by time.Duration) Event {
	if by > 0 {
		e.Time = e.Time.Add(by)
		e.Clock = ClockAt(e.Clock.Time().Add(by)) + e.Clock&(1<<counterBits-1)
	}
	return e
}

// Print implements output.Printable: one line an event, with the time since the
// job's first.
func (x *Explanation) Print(w *output.Writer) {
	origin := x.jobStart()
	w.Linef("job %s, first seen at %s", x.Job, origin.UTC().Format(time.RFC3339Nano))
	rows := make([][]string, len(x.Events))
	for i, e := range x.Events {
		rows[i] = []string{fmt.Sprintf("%+d", e.Clock.Time().Sub(origin).Milliseconds()), e.Process, e.Name, e.taskOrTicket(), e.Peer, e.detail()}
	}
	w.Table([]string{"MS", "PROCESS", "EVENT", "ABOUT", "PEER", "DETAIL"}, rows)
	processes := make([]string, 0, len(x.ClockSkew))
	for p := range x.ClockSkew {
		processes = append(processes, p)
	}
	slices.Sort(processes)
	for _, p := range processes {
		w.Linef("the clock of %s is at least %s behind; its lines are shifted", p, x.ClockSkew[p].Round(time.Millisecond))
	}
}

// origin returns the time of the job's first event.
func (x *Explanation) jobStart() time.Time {
	for _, e := range x.Events {
		if e.Job == x.Job {
			return e.Clock.Time()
		}
	}
	return time.Time{}
}

// about names the task or ticket; the job is the same for all.
func (e Event) taskOrTicket() string {
	e.Job = ""
	return e.subject()
}
