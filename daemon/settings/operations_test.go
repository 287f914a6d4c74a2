package settings_test

import (
	"os"
	"reflect"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/cicadapulley/cicadapulley/daemon/settings"
)

// TestOperationsPageNamesFields guards against a setting that operators can't
// find: every JSON field must be in the first column of a table of the page.
func TestOperationsPageNamesFields(t *testing.T) {
	page, err := os.ReadFile("../../docs/OPERATIONS.md")
	assert.NilError(t, err)
	documented := map[string]bool{}
	for line := range strings.Lines(string(page)) {
		if cells := strings.Split(line, "|"); len(cells) == 6 {
			addQuoted(documented, cells[1])
		}
	}
	for _, role := range []any{settings.Control{}, settings.Entry{}, settings.Agent{}} {
		for _, name := range fieldNames(reflect.TypeOf(role)) {
			assert.Assert(t, documented[name], "%T: field %s is not in a table of docs/OPERATIONS.md", role, name)
		}
	}
}

// addQuoted adds the parts of text that are between back quotes.
func addQuoted(to map[string]bool, text string) {
	for i, part := range strings.Split(text, "`") {
		if i%2 == 1 {
			to[part] = true
		}
	}
}

// fieldNames lists the JSON names of a struct's fields and of those of nested
// structs. It leaves out the elements of lists, which the list's row describes.
func fieldNames(t reflect.Type) []string {
	if t.Kind() == reflect.Pointer {
		t = t.Elem()
	}
	if t.Kind() != reflect.Struct {
		return nil
	}
	var names []string
	for i := range t.NumField() {
		f := t.Field(i)
		if name := f.Tag.Get("json"); name != "" {
			names = append(names, name)
		}
		names = append(names, fieldNames(f.Type)...)
	}
	return names
}
