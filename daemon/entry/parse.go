package entry

import (
	"bytes"
	"crypto/sha256"
	"encoding/binary"
	"encoding/json"
	"hash"
	"io"
	"time"

	"github.com/cicadapulley/cicadapulley/api/callers"
	"github.com/cicadapulley/cicadapulley/api/strictjson"
	"github.com/cicadapulley/cicadapulley/core/job"
	"github.com/cicadapulley/cicadapulley/core/verdict"
)

// maxNameBytes bounds IDs and the names of callers, services and kinds.
const maxNameBytes = 256

func badRequest(format string, args ...any) *verdict.Error {
	return verdict.Errorf(verdict.CodeBadRequest, verdict.NotRun, format, args...)
}

// parseSubmission parses a job and checks its form. Whether its service and kinds
// exist is checked at admission.
func parseSubmission(body []byte, maxDeadline time.Duration, now time.Time) (*job.Record, *verdict.Error) {
	s, err := decodeSubmission(body)
	if err != nil {
		return nil, err
	}
	r := &job.Record{Key: job.Key{Caller: s.Caller, ID: s.ID}, Service: s.Service}
	if err := checkKey(r.Key); err != nil {
		return nil, err
	}
	if err := checkName("service", s.Service); err != nil {
		return nil, err
	}
	if r.Tasks, err = parseTasks(s.Tasks); err != nil {
		return nil, err
	}
	deadline, err := parseDeadline("deadline_ms", s.DeadlineMS, maxDeadline)
	if err != nil {
		return nil, err
	}
	r.Deadline = now.Add(deadline)
	r.Digest = digest(s.Service, s.DeadlineMS, r.Tasks)
	return r, nil
}

func decodeSubmission(body []byte) (*callers.Submission, *verdict.Error) {
	if n := countTasks(body); n > job.MaxTasks {
		return nil, tooManyTasks(n)
	}
	dec := json.NewDecoder(bytes.NewReader(body))
	dec.DisallowUnknownFields()
	var s callers.Submission
	if err := dec.Decode(&s); err != nil {
		return nil, badRequest("body: %v", err)
	}
	if _, err := dec.Token(); err != io.EOF {
		return nil, badRequest("body: data after the submission")
	}
	return &s, nil
}

// countTasks returns the number of tasks of a submission, 0 if there are certainly not more than
// allowed or the body is not valid. Decoded, many empty tasks would take a multiple of the body.
func countTasks(body []byte) int {
	if bytes.Count(body, []byte{','}) < job.MaxTasks {
		return 0
	}
	var s struct {
		Tasks strictjson.ElementCount `json:"tasks"`
	}
	_ = json.Unmarshal(body, &s) // the error is reported when the body is decoded
	return int(s.Tasks)
}

func tooManyTasks(n int) *verdict.Error {
	return verdict.Errorf(verdict.CodeTooLarge, verdict.NotRun, "tasks has %d entries, at most %d are allowed", n, job.MaxTasks)
}

func checkKey(k job.Key) *verdict.Error {
	if err := checkName("id", k.ID); err != nil {
		return err
	}
	return checkName("caller", k.Caller)
}

func checkName(field, value string) *verdict.Error {
	if value == "" {
		return badRequest("%s is required", field)
	}
	if len(value) > maxNameBytes {
		return badRequest("%s exceeds %d bytes", field, maxNameBytes)
	}
	return nil
}

func parseTasks(list []callers.Task) ([]job.Task, *verdict.Error) {
	if len(list) == 0 {
		return nil, badRequest("tasks is required")
	}
	if len(list) > job.MaxTasks {
		return nil, tooManyTasks(len(list))
	}
	tasks := make([]job.Task, len(list))
	for i, t := range list {
		if t.Kind == "" || len(t.Kind) > maxNameBytes {
			return nil, badRequest("tasks[%d].kind must have 1 to %d bytes", i, maxNameBytes)
		}
		tasks[i] = job.Task{Kind: t.Kind, Payload: compact(t.Payload)}
	}
	return tasks, nil
}

// compact removes insignificant white space, so that the same payload has the same digest.
func compact(payload json.RawMessage) []byte {
	if len(payload) == 0 {
		return []byte("null")
	}
	var buf bytes.Buffer
	_ = json.Compact(&buf, payload) // the decoder has checked the syntax
	return buf.Bytes()
}

// parsePayload checks the body of a call; an empty one is null.
func parsePayload(body []byte) ([]byte, *verdict.Error) {
	if len(body) > 0 && !json.Valid(body) {
		return nil, badRequest("body: not valid JSON")
	}
	return compact(body), nil
}

func parseDeadline(field string, ms int64, limit time.Duration) (time.Duration, *verdict.Error) {
	if ms <= 0 {
		return 0, badRequest("%s must be above zero", field)
	}
	if ms > limit.Milliseconds() {
		return 0, badRequest("%s exceeds %d", field, limit.Milliseconds())
	}
	return time.Duration(ms) * time.Millisecond, nil
}

// digest identifies the content of a submission, so that another submission with
// the same ID is detected.
func digest(service string, deadlineMS int64, tasks []job.Task) job.Digest {
	h := sha256.New()
	writeField(h, []byte(service))
	writeNumber(h, uint64(deadlineMS))
	for _, t := range tasks {
		writeField(h, []byte(t.Kind))
		writeField(h, t.Payload)
	}
	return job.Digest(h.Sum(nil))
}

func writeField(h hash.Hash, field []byte) {
	writeNumber(h, uint64(len(field)))
	h.Write(field)
}

func writeNumber(h hash.Hash, n uint64) {
	var buf [8]byte
	binary.BigEndian.PutUint64(buf[:], n)
	h.Write(buf[:])
}
