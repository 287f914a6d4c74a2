// Package testseed fixes the seed of random tests, so that CI has the same
// result on every run.
package testseed

import (
	"flag"
	"os"
	"testing"
)

// Main runs a package's tests with seed 1 for rapid and exits. It is called from
// TestMain.
func Main(m *testing.M) { MainWith(m, nil) }

// MainWith is Main with further defaults of rapid's flags, by name. A flag set on
// the command line to a value other than its built-in default keeps that value.
func MainWith(m *testing.M, defaults map[string]string) {
	flag.Parse()
	setDefault("rapid.seed", "1")
	for name, value := range defaults {
		setDefault(name, value)
	}
	os.Exit(m.Run())
}

func setDefault(name, value string) {
	f := flag.Lookup(name)
	if f.Value.String() != f.DefValue {
		return
	}
	if err := f.Value.Set(value); err != nil {
		panic(err)
	}
}
