package load

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"time"

	"github.com/cicadapulley/cicadapulley/api/callers"
)

// answerGrace is how long to wait for an answer after the request's deadline.
const answerGrace = 5 * time.Second

// maxAnswerBytes bounds the body of an answer.
const maxAnswerBytes = 16 << 20

// client sends requests to entries.
type client struct {
	http *http.Client
	// entries are the URLs at which the entries serve callers.
	entries []string
	service string
}

func newClient(entries []string, service string) *client {
	t := &http.Transport{
		MaxIdleConnsPerHost: 4096, // keeps a connection for each request in flight
		IdleConnTimeout:     time.Minute,
	}
	return &client{http: &http.Client{Transport: t}, entries: entries, service: service}
}

// reply is the result of one submission.
type reply struct {
	// err is set if there is no complete answer.
	err       error
	status    int
	firstByte time.Time
	body      []byte
}

// payload is the input of the stand-in endpoints; they answer with Echo.
type payload struct {
	MS   float64 `json:"ms"`
	Echo string  `json:"echo"`
}

// expectedOutput is the output that a task must have.
func expectedOutput(r *Request, task int) string { return fmt.Sprintf("%s/%d", r.ID, task) }

func encodePayload(r *Request, task int) json.RawMessage {
	data, _ := json.Marshal(payload{MS: r.Tasks[task].WorkMS, Echo: expectedOutput(r, task)}) // numbers and strings always encode
	return data
}

// send submits a request to entry entryIndex, modulo the number of entries, and
// waits for the answer.
func (c *client) send(ctx context.Context, r *Request, entryIndex int) reply {
	ctx, cancel := context.WithTimeout(ctx, time.Duration(r.Stream.DeadlineMS)*time.Millisecond+answerGrace)
	defer cancel()
	req, err := c.request(ctx, r, c.entries[entryIndex%len(c.entries)])
	if err != nil {
		return reply{err: err}
	}
	return c.do(req)
}

func (c *client) request(ctx context.Context, r *Request, entry string) (*http.Request, error) {
	if r.Stream.Form == FormJob {
		return c.jobRequest(ctx, r, entry)
	}
	path := "/v1/call/" + url.PathEscape(c.service) + "/" + url.PathEscape(r.Tasks[0].Kind)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, entry+path, bytes.NewReader(encodePayload(r, 0)))
	if err != nil {
		return nil, err
	}
	req.Header.Set(callers.HeaderCaller, r.Stream.Caller)
	req.Header.Set(callers.HeaderRequestID, r.ID)
	req.Header.Set(callers.HeaderDeadlineMS, strconv.FormatInt(r.Stream.DeadlineMS, 10))
	return req, nil
}

func (c *client) jobRequest(ctx context.Context, r *Request, entry string) (*http.Request, error) {
	s := callers.Submission{ID: r.ID, Caller: r.Stream.Caller, Service: c.service, DeadlineMS: r.Stream.DeadlineMS}
	for i, t := range r.Tasks {
		s.Tasks = append(s.Tasks, callers.Task{Kind: t.Kind, Payload: encodePayload(r, i)})
	}
	body, err := json.Marshal(s)
	if err != nil {
		return nil, err
	}
	return http.NewRequestWithContext(ctx, http.MethodPost, entry+"/v1/jobs?wait=1", bytes.NewReader(body))
}

func (c *client) do(req *http.Request) reply {
	var out reply
	trace := &httptrace.ClientTrace{GotFirstResponseByte: func() { out.firstByte = time.Now() }}
	// Without GetBody the transport does not resend a request whose connection
	// broke, which would not show in the results.
	req.GetBody = nil
	resp, err := c.http.Do(req.WithContext(httptrace.WithClientTrace(req.Context(), trace)))
	if err != nil {
		out.err = err
		return out
	}
	defer resp.Body.Close()
	out.status = resp.StatusCode
	out.body, out.err = io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	return out
}
