package scheduler

import (
	"strconv"
	"strings"
	"time"

	"github.com/cicadapulley/cicadapulley/core/placement"
	"github.com/cicadapulley/cicadapulley/core/work"
	"github.com/cicadapulley/cicadapulley/daemon/events"
)

// logFinished emits the event of a best-effort job that has ended. The event of a
// late or failed job contains the history of its runs, since the lines of their own
// events may have been omitted under load.
func (s *Scheduler) logFinished(finished placement.FinishedJob) {
	summary := finished.Summary
	e := events.Event{ID: events.WorkClosed, Job: JobKey(finished.ID), Text: summaryText(summary)}
	switch {
	case finished.State == work.JobFailed:
		e.ID = events.WorkFailed
		e.Text += historyText(summary)
	case summary.Took > summary.Objective:
		e.ID = events.WorkLate
		e.Text += historyText(summary)
	}
	s.metrics.completion.WithLabelValues(e.ID.Name()).Observe(summary.Took.Seconds())
	s.log.Emit(e)
}

// logAbandoned emits the event of a job that no request waits for.
func (s *Scheduler) logAbandoned(id work.JobID, summary placement.Summary) {
	s.log.Emit(events.Event{ID: events.WorkAbandoned, Job: JobKey(id), Text: summaryText(summary) + historyText(summary)})
}

func summaryText(summary placement.Summary) string {
	return "queue " + summary.Queue + " took " + millis(summary.Took) + " objective " + millis(summary.Objective)
}

func historyText(summary placement.Summary) string {
	var b strings.Builder
	if summary.Waiting > 0 {
		b.WriteString(" never started " + strconv.Itoa(summary.Waiting))
	}
	for _, r := range summary.History {
		b.WriteString("; task " + strconv.Itoa(r.Task.Step) + "." + strconv.Itoa(r.Task.Index))
		b.WriteString(" run " + strconv.FormatUint(r.Run, 10) + " on " + r.VM + " at +" + millis(r.Ordered))
		if r.Outcome != "" {
			b.WriteString(" " + r.Outcome + " at +" + millis(r.Ended))
		}
	}
	return b.String()
}

func millis(d time.Duration) string { return strconv.FormatInt(d.Milliseconds(), 10) + "ms" }

// logOrder emits the event of an order to an agent.
func (s *Scheduler) logOrder(vm string, o placement.Order) {
	text := "start"
	if o.Stop {
		text = "stop"
	}
	s.log.Emit(events.Event{
		ID: events.RunOrdered, Job: JobKey(o.Run.Task.Job), Task: o.Run.Task.Index + 1, Peer: vm,
		Text: text + " run " + strconv.FormatUint(o.Run.Number, 10) + " session " + strconv.FormatUint(uint64(o.Session), 10),
	})
}

// logEnd emits the event of a run's end.
func (s *Scheduler) logEnd(vm string, end work.End) {
	s.log.Emit(events.Event{
		ID: events.RunEnded, Job: JobKey(end.Task.Job), Task: end.Task.Index + 1, Peer: vm,
		Text: end.Reason.String() + " run " + strconv.FormatUint(end.Run.Number, 10),
	})
}

// refusalText returns the figures on which a refusal is based.
func refusalText(job *work.Job, a placement.Admission) string {
	return "queue " + job.Queue + " expected " + millis(a.Expected) + " limit " + millis(a.Limit) + " of it waiting " + millis(a.Wait) + " so far " + millis(a.Waited) +
		" tasks " + strconv.Itoa(job.Tasks())
}

// CountText returns a name and a count, for the details of events.
func CountText(name string, n int) string { return name + " " + strconv.Itoa(n) }
