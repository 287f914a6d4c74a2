package mesh

import (
	"bytes"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/fxamacker/cbor/v2"

	"github.com/cicadapulley/cicadapulley/core/ledger"
	"github.com/cicadapulley/cicadapulley/core/placement"
	"github.com/cicadapulley/cicadapulley/core/raft"
	"github.com/cicadapulley/cicadapulley/core/work"
)

// TestDecodedSize guards against a message that fills the memory when it is decoded, and against the
// refusal of a large message of the system, also if all its fields are zero.
func TestDecodedSize(t *testing.T) {
	const n = 2000
	step := work.Step{After: make([]int, 200)}
	steps := make([]work.Step, work.MaxSteps)
	for i := range steps {
		steps[i] = step
	}
	for _, m := range []Message{
		&Welcome{Members: make([]string, n), Queues: make([]work.Queue, n), Agents: make([]ledger.Agent, n)},
		&Ping{Running: make([]placement.ListedRun, n)},
		&Request{Job: &work.Job{Steps: make([]work.Step, work.MaxSteps)}, PriorState: placement.PriorState{Done: make([]work.TaskID, n), Unconfirmed: make([]placement.UnconfirmedRuns, n)}},
		&Request{Job: &work.Job{Steps: steps}},
		&Inventory{Running: make([]placement.ListedRun, n), Ends: make([]NumberedEnd, n)},
		&PossibleRuns{Runs: make([]work.Run, n), Ends: make([]NumberedEnd, n)},
		&Orders{Orders: make([]placement.Order, n)},
		&Report{Ends: make([]NumberedEnd, n), Refused: make([]RefusedStart, n), Vanished: make([]work.Run, n)},
		&RaftMessages{Messages: make([]raft.Message, n)},
		&RaftMessages{Messages: []raft.Message{{Entries: make([]raft.Entry, n)}}},
		&OperatorRequest{Configure: &work.Configuration{Queues: make([]work.Queue, n), Pools: make([]string, n)}},
		&Members{Addresses: make([]string, n)},
		&Drains{State: work.DataCentreDrains{DataCentres: make([]string, n)}},
	} {
		data, err := encoded(m)
		assert.NilError(t, err)
		t.Logf("%T: %d bytes, decoded up to %d times", m, len(data), decodedBytes(data[headerBytes:])/len(data))
		_, err = Read(bytes.NewReader(data), MaxMessageBytes, nil)
		assert.NilError(t, err, "%T", m)
	}
	empty := make([]struct{}, 100_000)
	body, err := cbor.Marshal(map[string]any{"Orders": empty})
	assert.NilError(t, err)
	data := append([]byte{0, byte(len(body) >> 16), byte(len(body) >> 8), byte(len(body)), kindOrders}, body...)
	_, err = Read(bytes.NewReader(data), MaxMessageBytes, nil)
	assert.ErrorContains(t, err, "decoded")
}
