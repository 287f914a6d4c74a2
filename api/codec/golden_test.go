package codec

import (
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/cicadapulley/cicadapulley/core/job"
	"github.com/cicadapulley/cicadapulley/core/raft"
	"github.com/cicadapulley/cicadapulley/core/state"
	"github.com/cicadapulley/cicadapulley/core/tasktable"
	"github.com/cicadapulley/cicadapulley/core/testfill"
	"github.com/cicadapulley/cicadapulley/core/verdict"
)

// TestGoldenState guards against a change in how commands and snapshots are
// encoded, such as a field under another number: data written by released code
// could no longer be read.
func TestGoldenState(t *testing.T) {
	commands := testfill.OneField[state.Command]()
	for i, c := range commands {
		// All commands have the first field, the time. A command with only the time is
		// a no-op.
		c.Now = time.UnixMilli(1000).UTC()
		testfill.CheckGolden(t, fmt.Sprintf("testdata/command-%d.pb", i), c, EncodeCommand, DecodeCommand)
	}
	testfill.CheckFileCount(t, "testdata/command-*.pb", len(commands))
	testfill.CheckGolden(t, "testdata/snapshot.pb", testfill.Value[state.Snapshot](), EncodeSnapshot, DecodeSnapshot)
}

// TestGoldenMessages guards against a change in how parts of messages between
// processes are encoded, which would break communication with released code. The
// encoding of protobuf is stable for messages without maps, such as these.
func TestGoldenMessages(t *testing.T) {
	checkGolden(t, "raft-message", testfill.Value[raft.Message](), messageToRPC, messageFromRPC)
	checkGolden(t, "member", testfill.Value[state.Member](), MemberToRPC, MemberFromRPC)
	checkGolden(t, "view", testfill.Value[state.View](), ViewToRPC, ViewFromRPC)
	checkGolden(t, "config", testfill.Value[state.Config](), ConfigToRPC, ConfigFromRPC)
	checkGolden(t, "ticket", testfill.Value[state.Ticket](), TicketToRPC, TicketFromRPC)
	checkGolden(t, "applied-ticket", testfill.Value[state.AppliedTicket](), AppliedTicketToRPC, AppliedTicketFromRPC)
	checkGolden(t, "record", testfill.Value[*job.Record](), RecordToRPC, RecordFromRPC)
	checkGolden(t, "outcome", testfill.Value[*job.Outcome](), OutcomeToRPC, OutcomeFromRPC)
	checkGolden(t, "key", testfill.Value[job.Key](), KeyToRPC, KeyFromRPC)
	checkGolden(t, "failure", testfill.Value[*verdict.Error](), FailureToRPC, FailureFromRPC)
	checkGolden(t, "resources", testfill.Value[state.Resources](), ResourcesToRPC, ResourcesFromRPC)
	result := testfill.Value[job.TaskResult]()
	checkGolden(t, "result", result, ResultToRPC, ResultFromRPC)
	// Only the fate of an ended task includes a result.
	checkGolden(t, "fate-started", tasktable.Fate{Status: tasktable.Started}, FateToRPC, FateFromRPC)
	checkGolden(t, "fate-ended", tasktable.Fate{Status: tasktable.Ended, Result: result}, FateToRPC, FateFromRPC)
	checkGolden(t, "fate-denied", tasktable.Fate{Status: tasktable.Denied}, FateToRPC, FateFromRPC)
	for i, v := range []verdict.Verdict{verdict.MayHaveRun, verdict.NotRun, verdict.Ran} {
		result.Verdict = v
		checkGolden(t, fmt.Sprintf("verdict-%d", i), result, ResultToRPC, ResultFromRPC)
	}
}

// checkGolden compares the message of a value with a golden file.
func checkGolden[T, M any, P interface {
	*M
	proto.Message
}](t *testing.T, name string, want T, toRPC func(T) P, fromRPC func(P) T) {
	t.Helper()
	testfill.CheckGolden(t, "testdata/"+name+".pb", want, func(v T) ([]byte, error) {
		return proto.Marshal(toRPC(v))
	}, func(data []byte) (T, error) {
		m := P(new(M))
		err := proto.Unmarshal(data, m)
		return fromRPC(m), err
	})
}
