package callers

import (
	"encoding/json"
	"testing"

	"github.com/cicadapulley/cicadapulley/core/testfill"
)

// TestGoldenJSON guards against a changed field name or format of a message:
// existing clients rely on them.
func TestGoldenJSON(t *testing.T) {
	checkGolden[Task](t, "task")
	checkGolden[Submission](t, "submission")
	checkGolden[Error](t, "error")
	checkGolden[TaskResult](t, "task-result")
	checkGolden[Answer](t, "answer")
	checkGolden[Refusal](t, "refusal")
}

func checkGolden[T any](t *testing.T, name string) {
	t.Helper()
	testfill.CheckGolden(t, "testdata/"+name+".json", testfill.Value[T](), func(v T) ([]byte, error) {
		data, err := json.MarshalIndent(v, "", "  ")
		return append(data, '\n'), err
	}, func(data []byte) (T, error) {
		var v T
		err := json.Unmarshal(data, &v)
		return v, err
	})
}
