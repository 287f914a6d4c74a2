package entry

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/julienschmidt/httprouter"

	"github.com/cicadapulley/cicadapulley/api/callers"
	"github.com/cicadapulley/cicadapulley/core/job"
	"github.com/cicadapulley/cicadapulley/core/verdict"
	"github.com/cicadapulley/cicadapulley/daemon/settings"
)

// front is the callers' HTTP interface. Each request runs in the goroutine of
// its connection.
type front struct {
	service  *Service
	jobs     *jobs
	settings settings.Entry
}

func (f *front) routes() http.Handler {
	r := httprouter.New()
	r.POST("/v1/jobs", f.submit)
	r.GET("/v1/jobs/:id", f.show)
	r.DELETE("/v1/jobs/:id", f.cancel)
	r.POST("/v1/call/:service/:kind", f.call)
	r.NotFound = http.HandlerFunc(notFound)
	if f.service.opts.Extra != nil {
		r.NotFound = f.service.opts.Extra
	}
	return r
}

func notFound(w http.ResponseWriter, q *http.Request) {
	refuse(w, verdict.Errorf(verdict.CodeNotFound, verdict.NotRun, "no such path: %s", q.URL.Path))
}

func (f *front) submit(w http.ResponseWriter, q *http.Request, _ httprouter.Params) {
	body, err := f.body(w, q)
	if err != nil {
		refuse(w, err)
		return
	}
	record, err := parseSubmission(body, f.settings.DeadlineLimit(), time.Now())
	if err != nil {
		refuse(w, err)
		return
	}
	j, err := f.jobs.submit(q.Context(), *record, func() *verdict.Error { return f.service.admit(*record) })
	if err != nil {
		refuse(w, err)
		return
	}
	f.answer(w, q, j, record.Key, q.URL.Query().Get("wait") == "1")
}

// body reads a request's body within the bound.
func (f *front) body(w http.ResponseWriter, q *http.Request) ([]byte, *verdict.Error) {
	data, err := io.ReadAll(http.MaxBytesReader(w, q.Body, f.settings.BodyLimit()))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, verdict.Errorf(verdict.CodeTooLarge, verdict.NotRun, "the body exceeds %d bytes", tooLarge.Limit)
	}
	if err != nil {
		return nil, verdict.Errorf(verdict.CodeBadRequest, verdict.NotRun, "the body is truncated: %v", err)
	}
	return data, nil
}

// answer writes the job's state, after waiting for its end if asked to.
func (f *front) answer(w http.ResponseWriter, q *http.Request, j *activeJob, k job.Key, hold bool) {
	ctx := q.Context()
	if !hold {
		ended, cancel := context.WithCancel(ctx)
		cancel()
		ctx = ended
	}
	outcome := f.jobs.await(ctx, j)
	if outcome == nil {
		writeJSON(w, http.StatusAccepted, callers.RunningAnswer(k))
		return
	}
	writeJSON(w, http.StatusOK, callers.FinalAnswer(k, *outcome))
}

func (f *front) show(w http.ResponseWriter, q *http.Request, p httprouter.Params) {
	k, err := keyOf(q, p)
	if err != nil {
		refuse(w, err)
		return
	}
	hold := q.URL.Query().Get("wait") == "1"
	if j := f.jobs.find(k); j != nil {
		f.answer(w, q, j, k, hold)
		return
	}
	f.answerRecorded(w, q, k, hold)
}

// answerRecorded answers about a job that is not active at this entry.
func (f *front) answerRecorded(w http.ResponseWriter, q *http.Request, k job.Key, hold bool) {
	record, err := f.recorded(q.Context(), k)
	if err != nil {
		refuse(w, err)
		return
	}
	outcome := outcomeOf(*record)
	if outcome == nil && hold {
		outcome = f.jobs.awaitRecord(q.Context(), *record)
	}
	if outcome == nil {
		writeJSON(w, http.StatusAccepted, callers.RunningAnswer(k))
		return
	}
	writeJSON(w, http.StatusOK, callers.FinalAnswer(k, *outcome))
}

func (f *front) recorded(ctx context.Context, k job.Key) (*job.Record, *verdict.Error) {
	ctx, cancel := context.WithTimeout(ctx, acceptTimeout)
	defer cancel()
	record, found, err := f.jobs.read(ctx, k)
	if err != nil {
		return nil, verdict.Errorf(verdict.CodeUnavailable, verdict.MayHaveRun, "control can't be asked: %v", err).WithRetryAfter(time.Second)
	}
	if !found {
		return nil, verdict.Errorf(verdict.CodeNotFound, verdict.NotRun, "caller %q has no job %q", k.Caller, k.ID)
	}
	return record, nil
}

func (f *front) cancel(w http.ResponseWriter, q *http.Request, p httprouter.Params) {
	k, err := keyOf(q, p)
	if err != nil {
		refuse(w, err)
		return
	}
	if j := f.jobs.find(k); j != nil {
		f.jobs.cancel(j)
		f.answer(w, q, j, k, true)
		return
	}
	record, err := f.recorded(q.Context(), k)
	if err != nil {
		refuse(w, err)
		return
	}
	f.jobs.cancelRemote(q.Context(), *record)
	f.answerRecorded(w, q, k, true)
}

func keyOf(q *http.Request, p httprouter.Params) (job.Key, *verdict.Error) {
	k := job.Key{Caller: q.URL.Query().Get("caller"), ID: p.ByName("id")}
	return k, checkKey(k)
}

// refuse writes a refusal with its verdict.
func refuse(w http.ResponseWriter, e *verdict.Error) {
	if e.RetryAfter > 0 {
		seconds := math.Ceil(e.RetryAfter.Seconds())
		w.Header().Set("Retry-After", strconv.Itoa(int(seconds)))
	}
	writeJSON(w, status(e.Code), callers.NewRefusal(e))
}

func status(c verdict.Code) int {
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
		panic(fmt.Sprintf("answer can't be encoded: %v", err)) // reported as an event; nothing partial leaves
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	w.WriteHeader(code)
	_, _ = bytes.NewReader(data).WriteTo(w) // a broken connection is the caller's to notice
}
