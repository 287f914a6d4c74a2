// Package entryclient calls the callers' HTTP interface of an entry. Refusals
// are returned as *verdict.Error, other failures as *Lost.
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

// resendPause is the wait before a submission with a lost answer is sent again.
const resendPause = 200 * time.Millisecond

// Lost means that no answer came.
type Lost struct {
	Err error
	// Sent is false if no connection was made, so that the entry never had
	// the request.
	Sent bool
}

// Error implements error.
func (l *Lost) Error() string { return fmt.Sprintf("no answer from the entry: %v", l.Err) }

// Unwrap returns the cause.
func (l *Lost) Unwrap() error { return l.Err }

// Client calls one entry.
type Client struct {
	HTTP *http.Client
	// URL is the entry's base URL.
	URL string
}

// Call is one request.
type Call struct {
	Service, Kind, Caller, ID string
	Deadline                  time.Duration
	Payload                   []byte
}

// Submit sends a job, with the same id again while answers are lost and ctx
// runs. With wait, the answer is the final one.
func (c *Client) Submit(ctx context.Context, body []byte, wait bool) (*callers.Answer, error) {
	path := "/v1/jobs"
	if wait {
		path += "?wait=1"
	}
	sent := false
	for {
		answer, err := c.answer(ctx, http.MethodPost, path, body)
		var lost *Lost
		if !errors.As(err, &lost) {
			return answer, err
		}
		sent = sent || lost.Sent
		lost.Sent = sent
		if !pause(ctx) {
			return nil, lost
		}
	}
}

func pause(ctx context.Context) bool {
	timer := time.NewTimer(resendPause)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// Show returns the present state of a job.
func (c *Client) Show(ctx context.Context, k job.Key) (*callers.Answer, error) {
	return c.answer(ctx, http.MethodGet, jobPath(k), nil)
}

// Cancel cancels a job and returns its end.
func (c *Client) Cancel(ctx context.Context, k job.Key) (*callers.Answer, error) {
	return c.answer(ctx, http.MethodDelete, jobPath(k), nil)
}

func jobPath(k job.Key) string {
	return "/v1/jobs/" + url.PathEscape(k.ID) + "?caller=" + url.QueryEscape(k.Caller)
}

// Do sends one call and returns the endpoint's output. It is sent once.
func (c *Client) Do(ctx context.Context, call Call) ([]byte, error) {
	path := "/v1/call/" + url.PathEscape(call.Service) + "/" + url.PathEscape(call.Kind)
	q, err := c.request(ctx, http.MethodPost, path, call.Payload)
	if err != nil {
		return nil, err
	}
	q.Header.Set(callers.HeaderCaller, call.Caller)
	q.Header.Set(callers.HeaderRequestID, call.ID)
	q.Header.Set(callers.HeaderDeadlineMS, strconv.FormatInt(call.Deadline.Milliseconds(), 10))
	return c.send(q)
}

func (c *Client) answer(ctx context.Context, method, path string, body []byte) (*callers.Answer, error) {
	q, err := c.request(ctx, method, path, body)
	if err != nil {
		return nil, err
	}
	data, err := c.send(q)
	if err != nil {
		return nil, err
	}
	var a callers.Answer
	if err := json.Unmarshal(data, &a); err != nil {
		return nil, &Lost{Err: fmt.Errorf("decode answer: %w", err), Sent: true}
	}
	return &a, nil
}

func (c *Client) request(ctx context.Context, method, path string, body []byte) (*http.Request, error) {
	q, err := http.NewRequestWithContext(ctx, method, strings.TrimSuffix(c.URL, "/")+path, bytes.NewReader(body))
	if err != nil {
		return nil, fmt.Errorf("entry: %w", err)
	}
	q.Header.Set("Content-Type", "application/json")
	return q, nil
}

func (c *Client) send(q *http.Request) ([]byte, error) {
	var sent atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { sent.Store(true) }}
	resp, err := c.HTTP.Do(q.WithContext(httptrace.WithClientTrace(q.Context(), trace)))
	if err != nil {
		return nil, &Lost{Err: err, Sent: sent.Load()}
	}
	defer func() { _ = resp.Body.Close() }() // everything is read by then
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return nil, &Lost{Err: err, Sent: true}
	}
	if resp.StatusCode < http.StatusMultipleChoices {
		return data, nil
	}
	return nil, refusal(resp, data)
}

// refusal decodes a refusal. An answer without a known verdict did not come
// from an entry's front and proves nothing.
func refusal(resp *http.Response, data []byte) error {
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
