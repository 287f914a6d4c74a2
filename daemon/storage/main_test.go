package storage

import (
	"testing"

	"github.com/cicadapulley/cicadapulley/core/testseed"
)

// TestMain raises the number of random checks: some faults need a crash between
// two particular steps.
func TestMain(m *testing.M) { testseed.MainWith(m, map[string]string{"rapid.checks": "1000"}) }
