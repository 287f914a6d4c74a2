package timeline

import (
	"fmt"
	"slices"
	"time"

	"github.com/cicadapulley/cicadapulley/client/internal/output"
)

const (
	// contextBefore and contextAfter bound the time, around the events of a job,
	// from which context events are shown. Within it a loss is detected and the
	// affected requests are answered.
	contextBefore = 3 * time.Second
	contextAfter  = 300 * time.Millisecond
)

// contextEvents affect the jobs of a process without naming one: losses, leader
// changes, endpoint changes and restarts. Those of control VMs affect all jobs.
var contextEvents = map[string]bool{
	"process_started": true, "process_draining": true, "process_stopped": true, "invariant_violated": true,
	"leader_elected": true, "leader_lost": true, "term_began": true, "term_ended": true,
	"leader_found": true, "leader_gone": true, "local_placement_began": true, "local_placement_ended": true,
	"endpoint_registered": true, "endpoint_draining": true, "endpoint_left": true, "endpoint_silent": true,
	"endpoint_answers": true, "endpoint_lapsed": true, "session_began": true, "session_ended": true,
	"session_orphaned": true, "client_lost": true, "storage_failed": true,
}

// effects maps an event to events about the same job or ticket that another process
// can only have after it. Clocks that contradict this order are corrected.
var effects = map[string][]string{
	"work_refused":    {"request_refused", "refusal_withheld"},
	"run_ordered":     {"start_unanswered"},
	"job_handed_over": {"work_closed", "work_late", "work_failed", "work_given_up"},
	"term_began":      {"leader_found"},
}

// Explanation holds the logged events of one job and their context, in causal order.
type Explanation struct {
	Job    string  `json:"job"`
	Events []Event `json:"events"`
	// ClockSkew is, by process, the least amount by which its clock is behind the
	// others.
	ClockSkew map[string]time.Duration `json:"skew,omitempty"`
}

// Explain selects the events of a job and the context events around them. It
// corrects clock skew in events, in place.
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

// clockSkews returns, by process, how far clocks must be advanced so that no effect
// precedes its cause.
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

// related reports whether two events are about the job or, if neither names a job,
// about the same term, whose number is in Ticket.
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

// Print implements output.Printable: one line per event, with the time since the
// job's first event.
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

// jobStart returns the time of the job's first event, zero if there is none.
func (x *Explanation) jobStart() time.Time {
	for _, e := range x.Events {
		if e.Job == x.Job {
			return e.Clock.Time()
		}
	}
	return time.Time{}
}

// taskOrTicket is the subject without the job, which is the same for all events.
func (e Event) taskOrTicket() string {
	e.Job = ""
	return e.subject()
}
