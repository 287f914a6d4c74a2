package settings_test

import (
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/cicadapulley/cicadapulley/core/testfill"
	"github.com/cicadapulley/cicadapulley/daemon/settings"
)

// TestGoldenSettings guards against changes, such as a renamed key, after which
// a settings file of a released version is rejected or read differently.
func TestGoldenSettings(t *testing.T) {
	process := func(id, level string) settings.Process {
		return settings.Process{
			ID:         id,
			DataCentre: "centre-2",
			Rack:       "rack-3",
			Listen:     "127.0.0.4:1004",
			Advertise:  "127.0.0.5:1005",
			Ops:        "127.0.0.6:1006",
			LogLevel:   level,
			TLS:        &settings.TLS{CertFile: "cert-7", KeyFile: "key-8", CAFile: "ca-9"},
			DrainMS:    1010,
		}
	}
	control := []string{"127.0.0.11:1011", "127.0.0.12:1012"}
	checkSettings(t, "control", settings.Control{
		Process:           process("control-1", "warn"),
		DataDir:           "data-11",
		Bootstrap:         true,
		LeaseTTLMS:        9012,
		ElectionTimeoutMS: 1013,
		SnapshotEntries:   1014,
		SyncDelayMS:       1015,
	})
	checkSettings(t, "entry", settings.Entry{
		Process:        process("entry-1", "debug"),
		Control:        control,
		Callers:        "127.0.0.13:1013",
		BalancerWaitMS: 1014,
		MaxBodyBytes:   1015,
		MaxConnections: 1016,
		MaxDeadlineMS:  1017,
		Dispatch:       "two_choices",
	})
	checkSettings(t, "agent", settings.Agent{
		Process:      process("agent-1", "error"),
		Control:      control,
		Endpoint:     "http://127.0.0.13:1013",
		Serves:       []settings.ServedKind{{Service: "service-14", Kind: "kind-15"}, {Service: "service-16", Kind: "kind-17"}},
		Slots:        18,
		Connections:  1019,
		MilliCPU:     1020,
		MemoryMB:     1021,
		Accelerators: 22,
	})
}

// addedFields were added after the golden files of the roles were written. They are in
// request-memory.json and link-queue.json.
var addedFields = []string{".Process.RequestMemoryBytes", ".RequestMemoryBytes", ".Process.LinkQueueKiB", ".LinkQueueKiB"}

// TestGoldenRequestMemory guards against a change of the name of an added field.
func TestGoldenRequestMemory(t *testing.T) {
	var got settings.Control
	assert.NilError(t, settings.Load("testdata/request-memory.json", &got))
	assert.Equal(t, got.RequestMemoryBytes, int64(1018))
}

// TestGoldenLinkQueue guards against a change of the name of an added field.
func TestGoldenLinkQueue(t *testing.T) {
	var got settings.Control
	assert.NilError(t, settings.Load("testdata/link-queue.json", &got))
	assert.Equal(t, got.LinkQueueBytes(), 1019<<10)
}

func checkSettings[T any, P interface {
	*T
	Validate(func(path, message string))
}](t *testing.T, role string, want T) {
	t.Helper()
	unset := slices.DeleteFunc(testfill.Unset(want), func(field string) bool { return slices.Contains(addedFields, field) })
	assert.Equal(t, len(unset), 0, "%s: fields missing from the golden file: %v", role, unset)
	file := "testdata/" + role + ".json"
	var got T
	assert.NilError(t, settings.Load(file, P(&got)))
	assert.DeepEqual(t, got, want)
	assert.NilError(t, settings.Check("", file), "role not detected from the fields")
}
