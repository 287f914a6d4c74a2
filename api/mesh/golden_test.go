package mesh

import (
	"bytes"
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/cicadapulley/cicadapulley/core/ledger"
	"github.com/cicadapulley/cicadapulley/core/testfill"
)

// addedFields are fields that were added after the first golden files were written.
// They are absent from messages, commands and snapshots of former code.
var addedFields = []string{"Waited", "EndpointDraining", "RemoveEnrolment", "Enrolments", "FailedRuns", "ConfigurationVersion", "OwnerSilence", "DataCentre", "Drain", "Drains", "DrainRevision", "ReadDrain", "Relays", "RelayedBy", "Slowdown", "Leaving", "RunsEnded", "ForgetCancellations", "Cancellations"}

// TestGoldenMessages guards against a message that is encoded differently from
// released code: a renamed field without its former name as a tag, or a kind
// under another number.
func TestGoldenMessages(t *testing.T) {
	// In order of the kinds' numbers.
	messages := []Message{
		&Hello{}, &Welcome{}, &Ping{}, &Pong{}, &Request{}, &Response{}, &Inventory{}, &Orders{}, &Report{},
		&Acknowledge{}, &RaftMessages{}, &Join{}, &Abandon{}, &NewSession{}, &Enrolled{}, &SessionEnded{}, &Members{},
		&OperatorRequest{}, &OperatorResponse{}, &PossibleRuns{}, &Drains{}, &Relay{},
	}
	assert.Assert(t, newMessage(byte(len(messages)+1)) == nil, "a message kind has no golden file")
	check := func(name string, m Message) {
		testfill.CheckGolden(t, "testdata/message-"+name+".cbor", m, encoded, func(data []byte) (Message, error) {
			return Read(bytes.NewReader(data), MaxMessageBytes, nil)
		})
	}
	for i, m := range messages {
		testfill.FillWithout(m, addedFields...)
		check(fmt.Sprintf("%02d", i+1), m)
	}
	// Messages with fields that were added later have a file of their own.
	extended := map[string]Message{
		"05-waited": &Request{}, "02-draining": &Welcome{}, "04-version": &Pong{}, "07-draining": &Inventory{}, "09-draining": &Report{}, "15-draining": &Enrolled{},
	}
	for name, m := range extended {
		testfill.FillWithout(m, "OwnerSilence", "DataCentre", "Slowdown", "RunsEnded")
		check(name, m)
	}
	silence := map[string]Message{"03-silence": &Ping{}, "07-silence": &Inventory{}}
	for name, m := range silence {
		testfill.FillWithout(m, "DataCentre", "Slowdown")
		check(name, m)
	}
	drains := map[string]Message{"07-data-centre": &Inventory{}, "18-drain": &OperatorRequest{}, "19-drains": &OperatorResponse{}}
	for name, m := range drains {
		testfill.FillWithout(m, "ReadDrain", "Slowdown")
		check(name, m)
	}
	last := map[string]Message{"18-read-drain": &OperatorRequest{}, "01-relays": &Hello{}, "04-slowdown": &Pong{}, "07-slowdown": &Inventory{}, "12-leaving": &Join{}, "05-runs-ended": &Request{}}
	for name, m := range last {
		testfill.Fill(m)
		check(name, m)
	}
	testfill.CheckFileCount(t, "testdata/message-*.cbor", len(messages)+len(extended)+len(silence)+len(drains)+len(last))
}

// TestGoldenCommands guards against commands and snapshots of released code that
// lose a field, for example one that was renamed without a tag. The states of
// control VMs of two versions would differ, and a restart would lose state.
func TestGoldenCommands(t *testing.T) {
	testfill.CheckGolden(t, "testdata/command-0.cbor", ledger.Command{}, EncodeCommand, DecodeCommand)
	commands := testfill.OneField[ledger.Command](addedFields...)
	for i, c := range commands {
		testfill.CheckGolden(t, fmt.Sprintf("testdata/command-%d.cbor", i+1), c, EncodeCommand, DecodeCommand)
	}
	enrol := testfill.Value[ledger.Agent]()
	testfill.CheckGolden(t, "testdata/command-enrol-draining.cbor", ledger.Command{Enrol: &enrol}, EncodeCommand, DecodeCommand)
	removal := testfill.Value[ledger.Enrolment]()
	testfill.CheckGolden(t, "testdata/command-remove-enrolment.cbor", ledger.Command{RemoveEnrolment: &removal}, EncodeCommand, DecodeCommand)
	drain := testfill.Value[ledger.DrainCommand]()
	testfill.CheckGolden(t, "testdata/command-drain.cbor", ledger.Command{Drain: &drain}, EncodeCommand, DecodeCommand)
	testfill.CheckGolden(t, "testdata/command-forget-cancellations.cbor", ledger.Command{ForgetCancellations: 1}, EncodeCommand, DecodeCommand)
	testfill.CheckFileCount(t, "testdata/command-*.cbor", 5+len(commands))
	testfill.CheckGolden(t, "testdata/snapshot.cbor", testfill.Value[ledger.Snapshot](addedFields...), EncodeSnapshot, DecodeSnapshot)
	testfill.CheckGolden(t, "testdata/snapshot-draining.cbor", testfill.Value[ledger.Snapshot]("Enrolments", "FailedRuns", "Drains", "Cancellations"), EncodeSnapshot, DecodeSnapshot)
	testfill.CheckGolden(t, "testdata/snapshot-enrolments.cbor", testfill.Value[ledger.Snapshot]("FailedRuns", "Drains", "Cancellations"), EncodeSnapshot, DecodeSnapshot)
	testfill.CheckGolden(t, "testdata/snapshot-failed-runs.cbor", testfill.Value[ledger.Snapshot]("Drains", "Cancellations"), EncodeSnapshot, DecodeSnapshot)
	testfill.CheckGolden(t, "testdata/snapshot-drains.cbor", testfill.Value[ledger.Snapshot]("Cancellations"), EncodeSnapshot, DecodeSnapshot)
	testfill.CheckGolden(t, "testdata/snapshot-cancellations.cbor", testfill.Value[ledger.Snapshot](), EncodeSnapshot, DecodeSnapshot)
}
