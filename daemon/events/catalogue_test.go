package events_test

import (
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"strconv"
	"testing"

	"go.uber.org/zap/zapcore"
	"gotest.tools/v3/assert"

	"github.com/cicadapulley/cicadapulley/daemon/events"
	"github.com/cicadapulley/cicadapulley/daemon/events/page"
)

// TestPageMatchesCatalogue guards against a docs/events.md that differs from the
// catalogue.
func TestPageMatchesCatalogue(t *testing.T) {
	data, err := os.ReadFile("../../docs/events.md")
	assert.NilError(t, err)
	assert.Equal(t, string(data), string(page.Render(events.Catalogue)), "docs/events.md is out of date: run make generate")
}

// TestCatalogueIsComplete guards against numbers or names that are used twice,
// against constants without a catalogue entry, and against catalogue entries
// without a constant.
func TestCatalogueIsComplete(t *testing.T) {
	constants := declaredIDs(t)
	names := map[string]bool{}
	last := events.ID(0)
	for _, d := range events.Catalogue {
		assert.Assert(t, d.ID > last, "%s: number %d repeats or is out of order", d.Name, d.ID)
		assert.Assert(t, d.Name != "" && !names[d.Name], "%d: name %q is empty or used twice", d.ID, d.Name)
		assert.Assert(t, constants[d.ID] != "", "%s: no constant has the number %d", d.Name, d.ID)
		assert.Assert(t, d.Help != "" && d.Level <= zapcore.ErrorLevel, "%s: help or level is not valid", d.Name)
		last = d.ID
		names[d.Name] = true
		delete(constants, d.ID)
	}
	assert.Equal(t, len(constants), 0, "constants without a catalogue entry: %v", constants)
}

// declaredIDs returns the names of the constants of type ID in the source, by
// number.
func declaredIDs(t *testing.T) map[events.ID]string {
	file, err := parser.ParseFile(token.NewFileSet(), "catalogue.go", nil, 0)
	assert.NilError(t, err)
	found := map[events.ID]string{}
	ast.Inspect(file, func(n ast.Node) bool {
		spec, ok := n.(*ast.ValueSpec)
		if !ok {
			return true
		}
		if kind, ok := spec.Type.(*ast.Ident); !ok || kind.Name != "ID" {
			return true
		}
		name := spec.Names[0].Name
		literal, ok := spec.Values[0].(*ast.BasicLit)
		assert.Assert(t, ok && len(spec.Names) == 1, "%s: the number must be a literal", name)
		number, err := strconv.ParseUint(literal.Value, 10, 16)
		assert.NilError(t, err)
		assert.Equal(t, found[events.ID(number)], "", "%s repeats number %d", name, number)
		found[events.ID(number)] = name
		return true
	})
	assert.Assert(t, len(found) > 0)
	return found
}
