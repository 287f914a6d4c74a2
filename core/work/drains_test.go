package work

import (
	"testing"

	"gotest.tools/v3/assert"
)

// TestUnknownDataCentreIsNotDrained guards against an endpoint that gets no tasks because
// its agent doesn't send its data centre, as one of a former version.
func TestUnknownDataCentreIsNotDrained(t *testing.T) {
	var none *DataCentreDrains
	assert.Assert(t, !none.Contains("east"))
	drains := &DataCentreDrains{Revision: 3, DataCentres: []string{"", "east", "west"}}
	assert.Assert(t, drains.Contains("east") && drains.Contains("west"))
	assert.Assert(t, !drains.Contains("north") && !drains.Contains(""))
}
