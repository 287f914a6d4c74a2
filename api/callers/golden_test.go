package callers

import (
	"encoding/json"
	"testing"

	"github.com/cicadapulley/cicadapulley/core/testfill"
)

// TestGoldenJSON guards against a message that callers' clients, which are
// written to the names of its fields, read or write in another way.
func TestGoldenJSON(t *testing.T) {
	pin[Task](t, "task")
	pin[Submission](t, "submission")
	pin[Error](t, "error")
	pin[TaskResult](t, "task-result")
	pin[Answer](t, "answer")
	pin[Refusal](t, "refusal")
}

func pin[T any](t *testing.T, name string) {
	t.Helper()
	testfill.Pin(t, "testdata/"+name+".json", testfill.Value[T](), func(v T) ([]byte, error) {
		data, err := json.MarshalIndent(v, "", "  ")
		return append(data, '\n'), err
	}, func(data []byte) (T, error) {
		var v T
		err := json.Unmarshal(data, &v)
		return v, err
	})
}
