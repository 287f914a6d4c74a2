package harness

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/cicadapulley/cicadapulley/api/callers"
	"github.com/cicadapulley/cicadapulley/core/job"
)

// Caller is a caller's machine.
type Caller struct {
	Name string
	host string
	http *http.Client
}

// Caller returns a caller on its own host.
func (c *Cluster) Caller(name string) *Caller {
	host := "host-" + name
	n := c.Host(host)
	t := &http.Transport{DialContext: func(ctx context.Context, _, address string) (net.Conn, error) {
		return n.Dial(ctx, address)
	}}
	return &Caller{Name: name, host: host, http: &http.Client{Transport: t}}
}

// Close ends the caller's connections.
func (c *Caller) Close() { c.http.CloseIdleConnections() }

// Reply is a decoded HTTP answer of an entry.
type Reply struct {
	Status int
	// Answer is set for status 200 or 202 of a job request.
	Answer *callers.Answer
	// Refusal is set for other statuses.
	Refusal *callers.Refusal
	// Body is the output of a call with status 200.
	Body       []byte
	RetryAfter time.Duration
	// Verdict is the verdict header, which answers to calls have.
	Verdict string
}

// Final reports whether the reply holds a job's final answer.
func (r *Reply) Final() bool { return r != nil && r.Status == http.StatusOK }

// Key returns the key of one of the caller's jobs.
func (c *Caller) Key(id string) job.Key { return job.Key{Caller: c.Name, ID: id} }

// Submit posts a job to an entry and waits for its answer if wait is set.
func (c *Caller) Submit(ctx context.Context, entry string, s callers.Submission, wait bool) (*Reply, error) {
	body, err := json.Marshal(s)
	if err != nil {
		return nil, err
	}
	path := "/v1/jobs"
	if wait {
		path += "?wait=1"
	}
	return c.do(ctx, http.MethodPost, entry, path, body, nil)
}

// Show requests a job from an entry and waits for its end.
func (c *Caller) Show(ctx context.Context, entry, id string) (*Reply, error) {
	return c.do(ctx, http.MethodGet, entry, c.jobPath(id)+"&wait=1", nil, nil)
}

// Cancel asks an entry to cancel a job.
func (c *Caller) Cancel(ctx context.Context, entry, id string) (*Reply, error) {
	return c.do(ctx, http.MethodDelete, entry, c.jobPath(id), nil, nil)
}

func (c *Caller) jobPath(id string) string {
	return "/v1/jobs/" + url.PathEscape(id) + "?caller=" + url.QueryEscape(c.Name)
}

// Call makes one call of a kind.
func (c *Caller) Call(ctx context.Context, entry, kind, id string, payload []byte, deadline time.Duration) (*Reply, error) {
	header := http.Header{}
	header.Set(callers.HeaderCaller, c.Name)
	header.Set(callers.HeaderRequestID, id)
	header.Set(callers.HeaderDeadlineMS, strconv.FormatInt(deadline.Milliseconds(), 10))
	return c.do(ctx, http.MethodPost, entry, "/v1/call/"+ServiceName+"/"+kind, payload, header)
}

func (c *Caller) do(ctx context.Context, method, entry, path string, body []byte, h http.Header) (*Reply, error) {
	q, err := http.NewRequestWithContext(ctx, method, "http://"+callersAddress(entry)+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	if h != nil {
		q.Header = h
	}
	resp, err := c.http.Do(q)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return nil, err
	}
	return decodeReply(resp, data, h != nil)
}

func decodeReply(resp *http.Response, data []byte, call bool) (*Reply, error) {
	r := &Reply{Status: resp.StatusCode, Verdict: resp.Header.Get(callers.HeaderVerdict)}
	if seconds, err := strconv.Atoi(resp.Header.Get("Retry-After")); err == nil {
		r.RetryAfter = time.Duration(seconds) * time.Second
	}
	var into any
	switch {
	case r.Status == http.StatusOK && call:
		r.Body = data
		return r, nil
	case r.Status == http.StatusOK || r.Status == http.StatusAccepted:
		r.Answer = &callers.Answer{}
		into = r.Answer
	default:
		r.Refusal = &callers.Refusal{}
		into = r.Refusal
	}
	if err := json.Unmarshal(data, into); err != nil {
		return nil, fmt.Errorf("status %d: %w: %s", r.Status, err, data)
	}
	return r, nil
}
