// Package codec converts between the core's types and the protobuf messages of
// package rpc. It makes no decisions.
package codec

import (
	"time"

	"github.com/cicadapulley/cicadapulley/api/rpc"
	"github.com/cicadapulley/cicadapulley/core/job"
	"github.com/cicadapulley/cicadapulley/core/verdict"
)

var verdictToRPC = map[verdict.Verdict]rpc.Verdict{
	verdict.MayHaveRun: rpc.Verdict_VERDICT_MAY_HAVE_RUN,
	verdict.NotRun:     rpc.Verdict_VERDICT_NOT_RUN,
	verdict.Ran:        rpc.Verdict_VERDICT_RAN,
}

// VerdictToRPC encodes a verdict.
func VerdictToRPC(v verdict.Verdict) rpc.Verdict { return verdictToRPC[v] }

// VerdictFromRPC decodes a verdict; an unknown one is MayHaveRun.
func VerdictFromRPC(v rpc.Verdict) verdict.Verdict {
	switch v {
	case rpc.Verdict_VERDICT_NOT_RUN:
		return verdict.NotRun
	case rpc.Verdict_VERDICT_RAN:
		return verdict.Ran
	}
	return verdict.MayHaveRun
}

// FailureToRPC encodes an error; nil stays nil.
func FailureToRPC(e *verdict.Error) *rpc.Failure {
	if e == nil {
		return nil
	}
	return &rpc.Failure{
		Code:         string(e.Code),
		Verdict:      VerdictToRPC(e.Verdict),
		Message:      e.Message,
		RetryAfterMs: e.RetryAfter.Milliseconds(),
	}
}

// FailureFromRPC decodes an error; nil stays nil.
func FailureFromRPC(f *rpc.Failure) *verdict.Error {
	if f == nil {
		return nil
	}
	return &verdict.Error{
		Code:       verdict.Code(f.Code),
		Verdict:    VerdictFromRPC(f.Verdict),
		Message:    f.Message,
		RetryAfter: time.Duration(f.RetryAfterMs) * time.Millisecond,
	}
}

// KeyToRPC encodes a job key.
func KeyToRPC(k job.Key) *rpc.JobKey { return &rpc.JobKey{Caller: k.Caller, Id: k.ID} }

// KeyFromRPC decodes a job key.
func KeyFromRPC(k *rpc.JobKey) job.Key { return job.Key{Caller: k.GetCaller(), ID: k.GetId()} }

// ResultToRPC encodes a task's result.
func ResultToRPC(r job.TaskResult) *rpc.TaskResult {
	return &rpc.TaskResult{
		State:   uint32(r.State),
		Verdict: VerdictToRPC(r.Verdict),
		Output:  r.Output,
		Code:    string(r.Code),
		Message: r.Message,
	}
}

// ResultFromRPC decodes a task's result.
func ResultFromRPC(r *rpc.TaskResult) job.TaskResult {
	return job.TaskResult{
		State:   taskState(r.GetState()),
		Verdict: VerdictFromRPC(r.GetVerdict()),
		Output:  r.GetOutput(),
		Code:    verdict.Code(r.GetCode()),
		Message: r.GetMessage(),
	}
}

// taskState maps a state of a newer version to unknown.
func taskState(s uint32) job.TaskState {
	if s > uint32(job.TaskUnknown) {
		return job.TaskUnknown
	}
	return job.TaskState(s)
}

// OutcomeToRPC encodes an outcome; nil stays nil.
func OutcomeToRPC(o *job.Outcome) *rpc.Outcome {
	if o == nil {
		return nil
	}
	out := &rpc.Outcome{
		State:   uint32(o.State),
		Verdict: VerdictToRPC(o.Verdict),
		Code:    string(o.Code),
		Message: o.Message,
		Results: make([]*rpc.TaskResult, len(o.Results)),
	}
	for i, r := range o.Results {
		out.Results[i] = ResultToRPC(r)
	}
	return out
}

// OutcomeFromRPC decodes an outcome; nil stays nil.
func OutcomeFromRPC(o *rpc.Outcome) *job.Outcome {
	if o == nil {
		return nil
	}
	out := &job.Outcome{
		State:   job.State(o.State),
		Verdict: VerdictFromRPC(o.Verdict),
		Code:    verdict.Code(o.Code),
		Message: o.Message,
		Results: make([]job.TaskResult, len(o.Results)),
	}
	for i, r := range o.Results {
		out.Results[i] = ResultFromRPC(r)
	}
	return out
}

// RecordToRPC encodes a job record; nil stays nil.
func RecordToRPC(r *job.Record) *rpc.JobRecord {
	if r == nil {
		return nil
	}
	out := &rpc.JobRecord{
		Key:              KeyToRPC(r.Key),
		Digest:           r.Digest[:],
		Service:          r.Service,
		AcceptedUnixMs:   unixMS(r.Accepted),
		DeadlineUnixMs:   unixMS(r.Deadline),
		AcceptedIndex:    r.AcceptedIndex,
		Owner:            r.Owner,
		OwnerIncarnation: r.OwnerIncarnation,
		Epoch:            r.Epoch,
		State:            uint32(r.State),
		Outcome:          OutcomeToRPC(r.Outcome),
		FinishedUnixMs:   unixMS(r.Finished),
		Revision:         r.Revision,
		AnswerDropped:    r.AnswerDropped,
		Tasks:            make([]*rpc.Task, len(r.Tasks)),
	}
	for i, t := range r.Tasks {
		out.Tasks[i] = &rpc.Task{Kind: t.Kind, Payload: t.Payload}
	}
	return out
}

// RecordFromRPC decodes a job record; nil stays nil.
func RecordFromRPC(r *rpc.JobRecord) *job.Record {
	if r == nil {
		return nil
	}
	out := &job.Record{
		Key:              KeyFromRPC(r.Key),
		Service:          r.Service,
		Accepted:         fromUnixMS(r.AcceptedUnixMs),
		Deadline:         fromUnixMS(r.DeadlineUnixMs),
		AcceptedIndex:    r.AcceptedIndex,
		Owner:            r.Owner,
		OwnerIncarnation: r.OwnerIncarnation,
		Epoch:            r.Epoch,
		State:            job.State(r.State),
		Outcome:          OutcomeFromRPC(r.Outcome),
		Finished:         fromUnixMS(r.FinishedUnixMs),
		Revision:         r.Revision,
		AnswerDropped:    r.AnswerDropped,
		Tasks:            make([]job.Task, len(r.Tasks)),
	}
	copy(out.Digest[:], r.Digest)
	for i, t := range r.Tasks {
		out.Tasks[i] = job.Task{Kind: t.Kind, Payload: t.Payload}
	}
	return out
}

// RecordsToRPC encodes a list of records.
func RecordsToRPC(list []job.Record) []*rpc.JobRecord {
	out := make([]*rpc.JobRecord, len(list))
	for i := range list {
		out[i] = RecordToRPC(&list[i])
	}
	return out
}

// RecordsFromRPC decodes a list of records.
func RecordsFromRPC(list []*rpc.JobRecord) []job.Record {
	out := make([]job.Record, len(list))
	for i, r := range list {
		out[i] = *RecordFromRPC(r)
	}
	return out
}

// unixMS encodes a time; the zero time is zero.
func unixMS(t time.Time) int64 {
	if t.IsZero() {
		return 0
	}
	return t.UnixMilli()
}

func fromUnixMS(ms int64) time.Time {
	if ms == 0 {
		return time.Time{}
	}
	return time.UnixMilli(ms).UTC()
}
