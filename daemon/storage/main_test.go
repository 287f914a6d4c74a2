package storage

import (
	"flag"
	"testing"
)

// TestMain fixes rapid's seed, so that every run gives the same verdict, and
// raises its number of checks; -rapid.seed and -rapid.checks choose others.
func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "1000"} {
		f := flag.Lookup(name)
		if f.Value.String() == f.DefValue {
			_ = f.Value.Set(value)
		}
	}
	m.Run()
}
