package operators

import (
	"encoding/json"
	"testing"

	"github.com/cicadapulley/cicadapulley/core/testfill"
)

// TestGoldenJSON guards against a changed field name: operators' scripts rely on them.
func TestGoldenJSON(t *testing.T) {
	testfill.CheckGolden(t, "testdata/data-centres.json", testfill.Value[DataCentres](), func(v DataCentres) ([]byte, error) {
		data, err := json.MarshalIndent(v, "", "  ")
		return append(data, '\n'), err
	}, func(data []byte) (DataCentres, error) {
		var v DataCentres
		err := json.Unmarshal(data, &v)
		return v, err
	})
}
