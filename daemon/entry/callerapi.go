package entry

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/julienschmidt/httprouter"

	"github.com/cicadapulley/cicadapulley/api/callers"
	"github.com/cicadapulley/cicadapulley/core/job"
	"github.com/cicadapulley/cicadapulley/core/verdict"
	"github.com/cicadapulley/cicadapulley/daemon/ingress"
	"github.com/cicadapulley/cicadapulley/daemon/settings"
)

// callerAPI is the callers' HTTP interface. Each request runs in the goroutine of
// its connection.
type callerAPI struct {
	service  *Service
	jobs     *jobManager
	settings settings.Entry
}

func (a *callerAPI) routes() http.Handler {
	r := httprouter.New()
	r.POST("/v1/jobs", a.submit)
	r.GET("/v1/jobs/:id", a.get)
	r.DELETE("/v1/jobs/:id", a.cancel)
	r.POST("/v1/call/:service/:kind", a.call)
	r.NotFound = http.HandlerFunc(notFound)
	if a.service.opts.Fallback != nil {
		r.NotFound = a.service.opts.Fallback
	}
	return r
}

func notFound(w http.ResponseWriter, q *http.Request) {
	writeRefusal(w, verdict.Errorf(verdict.CodeNotFound, verdict.NotRun, "no such path: %s", q.URL.Path))
}

func (a *callerAPI) submit(w http.ResponseWriter, q *http.Request, _ httprouter.Params) {
	held := ingress.Begin(w, q)
	defer held.End()
	body, err := a.readBody(w, &held, q)
	if err != nil {
		writeRefusal(w, err)
		return
	}
	record, err := parseSubmission(body, a.settings.DeadlineLimit(), time.Now())
	if err != nil {
		writeRefusal(w, err)
		return
	}
	j, err := a.jobs.submit(q.Context(), *record, func() *verdict.Error { return a.service.admit(*record) })
	if err != nil {
		writeRefusal(w, err)
		return
	}
	a.writeJob(w, &held, q, j, record.Key, q.URL.Query().Get("wait") == "1")
}

// decodedFactor bounds the memory of a submission's text and decoded form in relation to its size.
const decodedFactor = 4

// readBody reads a request's body up to the configured limit. The memory for it stays counted until
// the request ends.
func (a *callerAPI) readBody(w http.ResponseWriter, held *ingress.Request, q *http.Request) ([]byte, *verdict.Error) {
	data, err := held.ReadBody(q, int(a.settings.BodyLimit()))
	if err == nil {
		err = held.Resize(decodedFactor * int64(len(data)))
	}
	if err != nil && q.ProtoMajor == 1 {
		w.Header().Set("Connection", "close") // the caller may still be sending
	}
	if errors.Is(err, ingress.ErrTooLarge) {
		return nil, verdict.Errorf(verdict.CodeTooLarge, verdict.NotRun, "the body exceeds %d bytes", a.settings.BodyLimit())
	}
	if errors.Is(err, ingress.ErrBusy) || errors.Is(err, ingress.ErrSlow) {
		// The job of an earlier submission with the same ID may have run.
		return nil, noMemory(err)
	}
	if err != nil {
		return nil, verdict.Errorf(verdict.CodeBadRequest, verdict.NotRun, "the body is truncated: %v", err)
	}
	return data, nil
}

// writeJob writes the job's state. With waitForEnd it waits for the job to end.
func (a *callerAPI) writeJob(w http.ResponseWriter, held *ingress.Request, q *http.Request, j *activeJob, k job.Key, waitForEnd bool) {
	ctx := q.Context()
	if !waitForEnd {
		expiredCtx, cancel := context.WithCancel(ctx)
		cancel()
		ctx = expiredCtx
	}
	writeState(w, held, k, a.jobs.await(ctx, j))
}

// writeState writes the state of a job that has ended with an outcome, or runs if that is nil.
func writeState(w http.ResponseWriter, held *ingress.Request, k job.Key, outcome *job.Outcome) {
	size := answerBytes(outcome)
	if err := held.Answer(answerCopies*size, size); err != nil {
		writeRefusal(w, noMemory(err))
		return
	}
	if outcome == nil {
		writeJSON(w, http.StatusAccepted, callers.RunningAnswer(k))
		return
	}
	writeJSON(w, http.StatusOK, callers.FinalAnswer(k, *outcome))
}

// answerCopies counts the buffer of the encoder, which doubles, and the copy that it returns.
const answerCopies = 4

// answerBytes returns a bound for the size of an answer with an outcome.
func answerBytes(o *job.Outcome) int {
	const overhead = 512
	n := overhead
	if o != nil {
		for _, r := range o.Results {
			n += len(r.Output) + len(r.Message) + overhead
		}
	}
	return n
}

// noMemory is the refusal of a request that finds no memory for its answer. The job may have run.
func noMemory(err error) *verdict.Error {
	return verdict.Errorf(verdict.CodeUnavailable, verdict.MayHaveRun, "%v", err).WithRetryAfter(time.Second)
}

func (a *callerAPI) get(w http.ResponseWriter, q *http.Request, p httprouter.Params) {
	k, err := requestKey(q, p)
	if err != nil {
		writeRefusal(w, err)
		return
	}
	held := ingress.Begin(w, q)
	defer held.End()
	waitForEnd := q.URL.Query().Get("wait") == "1"
	if j := a.jobs.find(k); j != nil {
		a.writeJob(w, &held, q, j, k, waitForEnd)
		return
	}
	a.writeRecordedJob(w, &held, q, k, waitForEnd)
}

// writeRecordedJob writes the state of a job that is not active at this entry.
func (a *callerAPI) writeRecordedJob(w http.ResponseWriter, held *ingress.Request, q *http.Request, k job.Key, waitForEnd bool) {
	record, err := a.readRecord(q.Context(), held, k)
	if err != nil {
		writeRefusal(w, err)
		return
	}
	outcome := outcomeOf(*record)
	if outcome == nil && waitForEnd {
		outcome = a.jobs.awaitRecord(q.Context(), *record)
	}
	writeState(w, held, k, outcome)
}

// readRecord reads a job's record, whose memory stays counted until the request ends.
func (a *callerAPI) readRecord(ctx context.Context, held *ingress.Request, k job.Key) (*job.Record, *verdict.Error) {
	ctx, cancel := context.WithTimeout(held.Context(ctx), acceptTimeout)
	defer cancel()
	record, found, err := a.jobs.read(ctx, k)
	if err != nil {
		return nil, verdict.Errorf(verdict.CodeUnavailable, verdict.MayHaveRun, "control can't be asked: %v", err).WithRetryAfter(time.Second)
	}
	if !found {
		return nil, verdict.Errorf(verdict.CodeNotFound, verdict.NotRun, "caller %q has no job %q", k.Caller, k.ID)
	}
	return record, nil
}

func (a *callerAPI) cancel(w http.ResponseWriter, q *http.Request, p httprouter.Params) {
	k, err := requestKey(q, p)
	if err != nil {
		writeRefusal(w, err)
		return
	}
	held := ingress.Begin(w, q)
	defer held.End()
	if j := a.jobs.find(k); j != nil {
		a.jobs.cancel(j)
		a.writeJob(w, &held, q, j, k, true)
		return
	}
	record, err := a.readRecord(q.Context(), &held, k)
	if err != nil {
		writeRefusal(w, err)
		return
	}
	a.jobs.cancelRemote(q.Context(), *record)
	a.writeRecordedJob(w, &held, q, k, true)
}

func requestKey(q *http.Request, p httprouter.Params) (job.Key, *verdict.Error) {
	k := job.Key{Caller: q.URL.Query().Get("caller"), ID: p.ByName("id")}
	return k, checkKey(k)
}

// writeRefusal writes a refusal with its verdict.
func writeRefusal(w http.ResponseWriter, e *verdict.Error) {
	if e.RetryAfter > 0 {
		seconds := math.Ceil(e.RetryAfter.Seconds())
		w.Header().Set("Retry-After", strconv.Itoa(int(seconds)))
	}
	writeJSON(w, httpStatus(e.Code), callers.NewRefusal(e))
}

func httpStatus(c verdict.Code) int {
	switch c {
	case verdict.CodeBadRequest:
		return http.StatusBadRequest
	case verdict.CodeNotFound:
		return http.StatusNotFound
	case verdict.CodeConflict:
		return http.StatusConflict
	case verdict.CodeTooLarge:
		return http.StatusRequestEntityTooLarge
	case verdict.CodeNoEndpoint:
		return http.StatusUnprocessableEntity
	case verdict.CodeQuota, verdict.CodeOverloaded, verdict.CodeDeadline:
		return http.StatusTooManyRequests
	}
	return http.StatusServiceUnavailable
}

func writeJSON(w http.ResponseWriter, code int, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		panic(fmt.Sprintf("encode answer: %v", err)) // reported as an event; nothing has been sent yet
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	w.WriteHeader(code)
	_, _ = bytes.NewReader(data).WriteTo(w) // the caller detects a broken connection
}
