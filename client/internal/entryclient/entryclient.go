// Package entryclient is a client of the HTTP interface that entries offer to
// callers. Refusals are returned as *verdict.Error, failures to get an answer as
// *NoAnswerError.
package entryclient

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cicadapulley/cicadapulley/api/callers"
	"github.com/cicadapulley/cicadapulley/core/job"
	"github.com/cicadapulley/cicadapulley/core/verdict"
)

// resendDelay is the delay before a submission whose answer was lost is resent.
const resendDelay = 200 * time.Millisecond

// NoAnswerError means that no answer was received.
type NoAnswerError struct {
	Err error
	// Sent is false if no connection was established, so that the entry can't
	// have received the request.
	Sent bool
}

// Error implements error.
func (e *NoAnswerError) Error() string { return fmt.Sprintf("no answer from the entry: %v", e.Err) }

// Unwrap returns the cause.
func (e *NoAnswerError) Unwrap() error { return e.Err }

// Client calls one entry.
type Client struct {
	HTTP *http.Client
	// URL is the entry's base URL.
	URL string
}

// CallRequest is one call.
type CallRequest struct {
	Service, Kind, Caller, ID string
	Deadline                  time.Duration
	Payload                   []byte
}

// Submit sends a job and resends it with the same id until it is answered or ctx
// ends. With wait, the answer has the job's final state.
func (c *Client) Submit(ctx context.Context, body []byte, wait bool) (*callers.Answer, error) {
	path := "/v1/jobs"
	if wait {
		path += "?wait=1"
	}
	sent := false
	for {
		answer, err := c.jobAnswer(ctx, http.MethodPost, path, body)
		var noAnswer *NoAnswerError
		if !errors.As(err, &noAnswer) {
			return answer, err
		}
		sent = sent || noAnswer.Sent
		noAnswer.Sent = sent
		if !waitToResend(ctx) {
			return nil, noAnswer
		}
	}
}

// waitToResend waits for resendDelay. It returns false if ctx ends first.
func waitToResend(ctx context.Context) bool {
	timer := time.NewTimer(resendDelay)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// Show returns the current state of a job.
func (c *Client) Show(ctx context.Context, k job.Key) (*callers.Answer, error) {
	return c.jobAnswer(ctx, http.MethodGet, jobPath(k), nil)
}

// Cancel cancels a job and returns its final state.
func (c *Client) Cancel(ctx context.Context, k job.Key) (*callers.Answer, error) {
	return c.jobAnswer(ctx, http.MethodDelete, jobPath(k), nil)
}

func jobPath(k job.Key) string {
	return "/v1/jobs/" + url.PathEscape(k.ID) + "?caller=" + url.QueryEscape(k.Caller)
}

// Call sends a call once, without retries, and returns the endpoint's output.
func (c *Client) Call(ctx context.Context, r CallRequest) ([]byte, error) {
	path := "/v1/call/" + url.PathEscape(r.Service) + "/" + url.PathEscape(r.Kind)
	req, err := c.newRequest(ctx, http.MethodPost, path, r.Payload)
	if err != nil {
		return nil, err
	}
	req.Header.Set(callers.HeaderCaller, r.Caller)
	req.Header.Set(callers.HeaderRequestID, r.ID)
	req.Header.Set(callers.HeaderDeadlineMS, strconv.FormatInt(r.Deadline.Milliseconds(), 10))
	return c.send(req)
}

func (c *Client) jobAnswer(ctx context.Context, method, path string, body []byte) (*callers.Answer, error) {
	req, err := c.newRequest(ctx, method, path, body)
	if err != nil {
		return nil, err
	}
	data, err := c.send(req)
	if err != nil {
		return nil, err
	}
	var answer callers.Answer
	if err := json.Unmarshal(data, &answer); err != nil {
		return nil, &NoAnswerError{Err: fmt.Errorf("decode answer: %w", err), Sent: true}
	}
	return &answer, nil
}

func (c *Client) newRequest(ctx context.Context, method, path string, body []byte) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, method, strings.TrimSuffix(c.URL, "/")+path, bytes.NewReader(body))
	if err != nil {
		return nil, fmt.Errorf("build request to the entry: %w", err)
	}
	req.Header.Set("Content-Type", "application/json")
	return req, nil
}

func (c *Client) send(req *http.Request) ([]byte, error) {
	var sent atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { sent.Store(true) }}
	resp, err := c.HTTP.Do(req.WithContext(httptrace.WithClientTrace(req.Context(), trace)))
	if err != nil {
		return nil, &NoAnswerError{Err: err, Sent: sent.Load()}
	}
	defer func() { _ = resp.Body.Close() }() // the body has been read by then
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return nil, &NoAnswerError{Err: err, Sent: true}
	}
	if resp.StatusCode < http.StatusMultipleChoices {
		return data, nil
	}
	return nil, refusalError(resp, data)
}

// refusalError decodes a refusal. An answer without a known verdict did not come
// from the HTTP interface of an entry, so the work may have run.
func refusalError(resp *http.Response, data []byte) error {
	var r callers.Refusal
	err := json.Unmarshal(data, &r)
	v, verdictErr := verdict.Parse(r.Verdict)
	if err != nil || verdictErr != nil {
		text := strings.TrimSpace(string(data[:min(len(data), 200)]))
		return verdict.Errorf(verdict.CodeInternal, verdict.MayHaveRun, "unexpected answer %s: %s", resp.Status, text)
	}
	e := verdict.Errorf(verdict.Code(r.Error.Code), v, "%s", r.Error.Message)
	seconds, err := strconv.Atoi(resp.Header.Get("Retry-After"))
	if err != nil {
		return e
	}
	return e.WithRetryAfter(time.Duration(seconds) * time.Second)
}
