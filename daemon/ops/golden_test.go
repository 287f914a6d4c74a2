package ops

import (
	"encoding/json"
	"net/http/httptest"
	"testing"

	"github.com/cicadapulley/cicadapulley/core/dispatch"
	"github.com/cicadapulley/cicadapulley/core/raft"
	"github.com/cicadapulley/cicadapulley/core/testfill"
)

// TestGoldenStatus guards against a status or event whose JSON names differ from
// those of released versions. The status types have no tags, so a renamed field
// would change what operators' tools read.
func TestGoldenStatus(t *testing.T) {
	checkGolden(t, "status-control", testfill.Value[raft.Status]())
	checkGolden(t, "status-entry", testfill.Value[dispatch.Status]())
	checkGolden(t, "event", testfill.Value[Event]())
}

// checkGolden compares the answer of the operations server with a golden file.
func checkGolden[T any](t *testing.T, name string, want T) {
	t.Helper()
	testfill.CheckGolden(t, "testdata/"+name+".json", want, func(v T) ([]byte, error) {
		s := &Server{opts: Options{Status: func() any { return v }}}
		w := httptest.NewRecorder()
		s.status(w, nil)
		return w.Body.Bytes(), nil
	}, func(data []byte) (T, error) {
		var v T
		err := json.Unmarshal(data, &v)
		return v, err
	})
}
