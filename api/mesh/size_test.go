package mesh

import (
	"bytes"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/cicadapulley/cicadapulley/core/ledger"
	"github.com/cicadapulley/cicadapulley/core/placement"
	"github.com/cicadapulley/cicadapulley/core/raft"
	"github.com/cicadapulley/cicadapulley/core/testfill"
	"github.com/cicadapulley/cicadapulley/core/work"
)

// TestSizeEstimate guards against a kind of message that grows with its content and is counted as a
// small one, so that the send queue of a connection isn't bounded by it.
func TestSizeEstimate(t *testing.T) {
	const count = 1000
	text := strings.Repeat("a", 1000)
	data := []byte(text)
	checkpoint := work.End{Checkpoint: text}
	for _, m := range []Message{
		&Welcome{Queues: make([]work.Queue, count), Agents: make([]ledger.Agent, count)},
		&Members{Addresses: make([]string, count)},
		&Ping{Running: many(count, placement.ListedRun{Checkpoint: text})},
		&Request{Job: &work.Job{Spec: text, Steps: make([]work.Step, count)}},
		&Request{PriorState: placement.PriorState{Done: make([]work.TaskID, count), Unconfirmed: make([]placement.UnconfirmedRuns, count)}},
		&Response{Detail: text},
		&Inventory{Running: many(count, placement.ListedRun{Checkpoint: text}), Ends: many(count, NumberedEnd{End: checkpoint})},
		&PossibleRuns{Runs: make([]work.Run, count), Ends: many(count, NumberedEnd{End: checkpoint})},
		&Orders{Orders: many(count, placement.Order{Spec: text, Checkpoint: text})},
		&Report{Ends: many(count, NumberedEnd{End: checkpoint}), Refused: make([]RefusedStart, count), Vanished: make([]work.Run, count)},
		&RaftMessages{Messages: many(count, raft.Message{Entries: []raft.Entry{{Data: data}}, Snapshot: &raft.Snapshot{Data: data}})},
		&Drains{State: work.DataCentreDrains{DataCentres: many(count, "centre")}},
		&OperatorRequest{Configure: &work.Configuration{Document: data, Queues: make([]work.Queue, count), Pools: many(count, "pool")}},
		&OperatorResponse{Document: data, Detail: text, Drains: &work.DataCentreDrains{DataCentres: many(count, "centre")}},
	} {
		var b bytes.Buffer
		assert.NilError(t, Encode(&b, m))
		estimate := SizeEstimate(m)
		assert.Check(t, estimate >= b.Len()*4/5 && estimate <= 32*b.Len(), "%T: estimated %d, encoded %d", m, estimate, b.Len())
	}
	for kind := byte(1); newMessage(kind) != nil; kind++ {
		m := newMessage(kind)
		testfill.Fill(m)
		var b bytes.Buffer
		assert.NilError(t, Encode(&b, m))
		assert.Check(t, 4*SizeEstimate(m) >= b.Len(), "%T: estimated %d, encoded %d", m, SizeEstimate(m), b.Len())
	}
}

func many[T any](n int, v T) []T {
	list := make([]T, n)
	for i := range list {
		list[i] = v
	}
	return list
}

func BenchmarkSizeEstimate(b *testing.B) {
	m := &Orders{Orders: many(8, placement.Order{Spec: strings.Repeat("a", 200)})}
	for b.Loop() {
		SizeEstimate(m)
	}
}
