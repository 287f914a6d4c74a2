package testfill

import (
	"bytes"
	"flag"
	"os"
	"path/filepath"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/assert/cmp"
)

var update = flag.Bool("update-golden", false, "write the golden files that are missing. "+
	"Existing files are from released code and are never rewritten: only files of new kinds may be added")

// ShouldCreate reports whether a golden file or folder is missing and -update-golden
// is set.
func ShouldCreate(path string) bool {
	_, err := os.Stat(path)
	return *update && os.IsNotExist(err)
}

// CheckGolden fails the test unless the golden file decodes to want, and want encodes
// to the bytes of the file. Files are named after their content on the wire, never
// after names of the code, which may change.
func CheckGolden[T any](t *testing.T, file string, want T, encode func(T) ([]byte, error), decode func([]byte) (T, error)) {
	t.Helper()
	data, err := encode(want)
	assert.NilError(t, err, file)
	if ShouldCreate(file) {
		assert.NilError(t, os.MkdirAll(filepath.Dir(file), 0o755))
		assert.NilError(t, os.WriteFile(file, data, 0o644))
	}
	golden, err := os.ReadFile(file)
	assert.NilError(t, err)
	got, err := decode(golden)
	assert.NilError(t, err, file)
	assert.Check(t, cmp.DeepEqual(got, want), "%s decodes to a different value", file)
	assert.Check(t, bytes.Equal(data, golden), "encoding differs from golden file %s:\n%q\ngolden:\n%q", file, data, golden)
}

// CheckFileCount fails the test unless a pattern matches exactly as many files as
// there are test cases, so that every golden file is checked.
func CheckFileCount(t *testing.T, pattern string, cases int) {
	t.Helper()
	files, err := filepath.Glob(pattern)
	assert.NilError(t, err)
	assert.Equal(t, len(files), cases, "number of files %s", pattern)
}
