package gateway

import (
	"strconv"
	"time"

	"github.com/cicadapulley/cicadapulley/api/mesh"
	"github.com/cicadapulley/cicadapulley/core/placement"
	"github.com/cicadapulley/cicadapulley/daemon/boottime"
	"github.com/cicadapulley/cicadapulley/daemon/events"
)

// forwarding is a request on its way to a leader, or to the local placer, until it is answered.
type forwarding struct {
	mesh.Request
	arrived time.Time
	// sent counts the leaders, and placed the local placers, to which the request was passed.
	sent, placed int
	// leaderTerm is that of the last leader, 0 if the last of them was a local placer.
	leaderTerm uint64
	// mayHaveRun is set once any of them may have started the job. It is kept apart from the prior
	// state, which the next planner needs and in which what no longer matters to it is left out.
	mayHaveRun bool
}

// returned sets the state in which a job came back from a leader or a local placer.
func (f *forwarding) returned(prior placement.PriorState) {
	f.PriorState = prior
	f.mayHaveRun = f.mayHaveRun || prior.MayHaveRun()
}

// waited returns how long the request has waited.
func (f *forwarding) waited() time.Duration { return boottime.Now().Sub(f.arrived) }

// describe tells who answered the request, when, and what happened to it before.
func (f *forwarding) describe() string {
	by := "this entry"
	if f.leaderTerm > 0 {
		by = "the leader of term " + strconv.FormatUint(f.leaderTerm, 10)
	}
	return "by " + by + " after " + f.waited().Round(time.Millisecond).String() +
		", sent to leaders " + strconv.Itoa(f.sent) + ", placed here " + strconv.Itoa(f.placed)
}

// logRefusal emits the event of a refusal, or of a job that was given up. answer is what the caller gets.
func (s *Service) logRefusal(f *forwarding, refusal, answer *mesh.Response) {
	switch {
	case refusal.Outcome == mesh.GivenUp:
		s.opts.Log.Emit(events.Event{ID: events.RequestFailed, Job: jobKey(&f.Request), Text: refusal.Detail + ", given up " + f.describe()})
	case answer != refusal:
		s.withheld.Inc()
		s.opts.Log.Emit(events.Event{ID: events.RefusalWithheld, Job: jobKey(&f.Request), Text: outcomeNames[refusal.Outcome] + " " + f.describe()})
	case refusal.Outcome == mesh.Overloaded || refusal.Outcome == mesh.NotReady:
		s.opts.Log.Emit(events.Event{
			ID: events.RequestRefused, Job: jobKey(&f.Request), Text: "come back in " + strconv.Itoa(refusal.RetryAfterMS) + "ms, " + f.describe(),
		})
	}
}
