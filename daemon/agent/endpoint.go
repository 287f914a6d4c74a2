package agent

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"strconv"

	"github.com/cockroachdb/errors"

	"github.com/cicadapulley/cicadapulley/api/callers"
	"github.com/cicadapulley/cicadapulley/core/job"
	"github.com/cicadapulley/cicadapulley/core/verdict"
)

// maxOutputBytes bounds an endpoint's answer.
const maxOutputBytes = 4 << 20

// endpoint is the HTTP server beside the agent.
type endpoint struct {
	url    string
	client *http.Client
}

// request is one task as it is sent to the endpoint.
type request struct {
	key     job.TaskKey
	service string
	kind    string
	payload []byte
}

// post sends a task and returns its result. The verdict is NotRun only if
// nothing of the request was written to a connection.
func (e *endpoint) post(ctx context.Context, r request) job.TaskResult {
	written := false
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { written = true }}
	req, err := e.newRequest(httptrace.WithClientTrace(ctx, trace), r)
	if err != nil {
		return failedResult(verdict.NotRun, verdict.CodeBadRequest, err)
	}
	resp, err := e.client.Do(req)
	if err != nil && !written {
		return noAnswerResult(ctx, verdict.NotRun, err)
	}
	if err != nil {
		return noAnswerResult(ctx, verdict.MayHaveRun, err)
	}
	defer resp.Body.Close()
	return readResponse(ctx, resp)
}

// noAnswerResult returns the result of a request without an answer. It distinguishes
// a request that reached its deadline from a lost endpoint, since under overload the
// deadline says nothing about the endpoint's health. Callers see the message, so it
// doesn't contain the agent's own URL.
func noAnswerResult(ctx context.Context, v verdict.Verdict, err error) job.TaskResult {
	switch ctx.Err() {
	case context.DeadlineExceeded:
		return failedResult(v, verdict.CodeDeadline, errors.New("the endpoint did not answer before the deadline"))
	case context.Canceled:
		return failedResult(v, verdict.CodeCancelled, errors.New("the task was cancelled"))
	}
	return failedResult(v, verdict.CodeEndpointLost, errors.Wrap(err, "endpoint"))
}

func (e *endpoint) newRequest(ctx context.Context, r request) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, e.url, bytes.NewReader(r.payload))
	if err != nil {
		return nil, err
	}
	// Without GetBody the HTTP client never sends a request a second time.
	req.GetBody = nil
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set(callers.HeaderCaller, r.key.Job.Caller)
	req.Header.Set(callers.HeaderJob, r.key.Job.ID)
	req.Header.Set(callers.HeaderTask, strconv.Itoa(r.key.Task))
	req.Header.Set(callers.HeaderService, r.service)
	req.Header.Set(callers.HeaderKind, r.kind)
	return req, nil
}

func readResponse(ctx context.Context, resp *http.Response) job.TaskResult {
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxOutputBytes+1))
	if err != nil {
		return noAnswerResult(ctx, verdict.MayHaveRun, err)
	}
	if len(body) > maxOutputBytes {
		return failedResult(verdict.Ran, verdict.CodeTooLarge, fmt.Errorf("the endpoint's answer exceeds %d bytes", maxOutputBytes))
	}
	if resp.StatusCode >= http.StatusMultipleChoices {
		return failedResult(verdict.Ran, verdict.CodeEndpointFailed, fmt.Errorf("the endpoint answered %s", resp.Status))
	}
	return job.TaskResult{State: job.TaskDone, Verdict: verdict.Ran, Output: asJSON(body)}
}

// asJSON returns JSON unchanged and wraps anything else in a JSON string, since
// callers get outputs inside a JSON answer.
func asJSON(body []byte) []byte {
	if json.Valid(body) {
		return body
	}
	if len(body) == 0 {
		return []byte("null")
	}
	quoted, _ := json.Marshal(string(body)) // a string always encodes
	return quoted
}

func failedResult(v verdict.Verdict, c verdict.Code, err error) job.TaskResult {
	state := job.TaskFailed
	if v == verdict.MayHaveRun {
		state = job.TaskUnknown
	}
	return job.TaskResult{State: state, Verdict: v, Code: c, Message: err.Error()}
}
