package entry

import (
	"net/http"
	"strconv"
	"time"

	"github.com/julienschmidt/httprouter"

	"github.com/cicadapulley/cicadapulley/api/callers"
	"github.com/cicadapulley/cicadapulley/core/job"
	"github.com/cicadapulley/cicadapulley/core/state"
	"github.com/cicadapulley/cicadapulley/core/verdict"
	"github.com/cicadapulley/cicadapulley/daemon/ingress"
)

// callPrefix separates the IDs of calls from those of jobs.
const callPrefix = "call:"

// call serves one request. A call of a repeatable kind needs no record. Any other
// call is recorded as a job of one task, so that it runs at most once even if it
// is resubmitted.
func (a *callerAPI) call(w http.ResponseWriter, q *http.Request, p httprouter.Params) {
	held := ingress.Begin(w, q)
	defer held.End()
	body, err := a.readBody(w, &held, q)
	if err != nil {
		writeRefusal(w, err)
		return
	}
	c, err := a.parseCall(q, p, body)
	if err != nil {
		writeRefusal(w, err)
		return
	}
	if c.kind.Repeatable {
		a.callRepeatable(w, &held, q, c)
		return
	}
	a.callRecorded(w, &held, q, c)
}

func (a *callerAPI) parseCall(q *http.Request, p httprouter.Params, body []byte) (call, *verdict.Error) {
	c := call{
		key:     job.Key{Caller: q.Header.Get(callers.HeaderCaller), ID: callPrefix + q.Header.Get(callers.HeaderRequestID)},
		service: p.ByName("service"),
	}
	if err := checkName(callers.HeaderCaller, c.key.Caller); err != nil {
		return c, err
	}
	if err := checkName(callers.HeaderRequestID, q.Header.Get(callers.HeaderRequestID)); err != nil {
		return c, err
	}
	ms, convErr := strconv.ParseInt(q.Header.Get(callers.HeaderDeadlineMS), 10, 64)
	if convErr != nil {
		return c, badRequest("%s must be a number of milliseconds", callers.HeaderDeadlineMS)
	}
	deadline, err := parseDeadline(callers.HeaderDeadlineMS, ms, a.settings.DeadlineLimit())
	if err != nil {
		return c, err
	}
	c.deadline = time.Now().Add(deadline)
	if c.payload, err = parsePayload(body); err != nil {
		return c, err
	}
	c.kind = a.lookupKind(c.service, p.ByName("kind"))
	return c, nil
}

// lookupKind returns the configuration of a kind. An unknown kind counts as not
// repeatable: the call may have a record from before the kind was removed, or this
// entry may not have the configuration yet. The refusal is therefore left to
// admission, after which the record is looked up.
func (a *callerAPI) lookupKind(serviceName, kindName string) state.Kind {
	unknownKind := state.Kind{Name: kindName}
	service, err := findService(a.service.members.Replica(), serviceName)
	if err != nil {
		return unknownKind
	}
	kind, err := findKind(service, kindName)
	if err != nil {
		return unknownKind
	}
	return kind
}

func (a *callerAPI) callRepeatable(w http.ResponseWriter, held *ingress.Request, q *http.Request, c call) {
	record := c.toRecord()
	result, err := a.jobs.call(q.Context(), c, func() *verdict.Error { return a.service.admitCall(record) })
	if err != nil {
		writeRefusal(w, err)
		return
	}
	writeCallResult(w, held, result)
}

// toRecord returns the call as a job of one task.
func (c call) toRecord() job.Record {
	tasks := []job.Task{{Kind: c.kind.Name, Payload: c.payload}}
	return job.Record{
		Key:      c.key,
		Service:  c.service,
		Tasks:    tasks,
		Deadline: c.deadline,
		// The digest leaves out the deadline: a caller that repeats a call may give it
		// less time.
		Digest: digest(c.service, 0, tasks),
	}
}

func (a *callerAPI) callRecorded(w http.ResponseWriter, held *ingress.Request, q *http.Request, c call) {
	record := c.toRecord()
	j, err := a.jobs.submit(q.Context(), record, func() *verdict.Error { return a.service.admit(record) })
	if err != nil {
		writeRefusal(w, err)
		return
	}
	outcome := a.jobs.await(q.Context(), j)
	switch {
	case outcome == nil:
		writeRefusal(w, verdict.Errorf(verdict.CodeUnavailable, verdict.MayHaveRun, "the request ended before its answer"))
		return
	case len(outcome.Results) != 1:
		writeRefusal(w, &verdict.Error{Code: outcome.Code, Verdict: outcome.Verdict, Message: outcome.Message})
		return
	}
	writeCallResult(w, held, outcome.Results[0])
}

// writeCallResult answers with the endpoint's output alone, or with a refusal.
func writeCallResult(w http.ResponseWriter, held *ingress.Request, r job.TaskResult) {
	if err := held.Answer(0, len(r.Output)); err != nil {
		writeRefusal(w, noMemory(err))
		return
	}
	w.Header().Set(callers.HeaderVerdict, r.Verdict.String())
	if r.State != job.TaskDone {
		writeRefusal(w, &verdict.Error{Code: r.Code, Verdict: r.Verdict, Message: r.Message})
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(r.Output)))
	w.WriteHeader(http.StatusOK)
	_, _ = w.Write(r.Output) // the caller detects a broken connection
}
