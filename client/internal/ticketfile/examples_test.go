package ticketfile

import (
	"encoding/json"
	"os"
	"path/filepath"
	"testing"

	"gotest.tools/v3/assert"
)

// TestExampleTickets guards against example tickets that are refused, or that
// name kinds which the site's example agents don't serve.
func TestExampleTickets(t *testing.T) {
	for _, site := range []string{"dala", "hsinchu"} {
		dir := filepath.Join("../../../examples", site)
		data, err := os.ReadFile(filepath.Join(dir, "ticket-1.json"))
		assert.NilError(t, err)
		ticket, err := Parse("ticket-1.json", data)
		assert.NilError(t, err)
		served := servedKinds(t, dir)
		for _, s := range ticket.Services {
			for _, k := range s.Kinds {
				assert.Assert(t, served[s.Name+"/"+k.Name] > 0, "%s: no agent serves %s/%s", site, s.Name, k.Name)
			}
		}
	}
}

// servedKinds counts the example agents that serve each kind.
func servedKinds(t *testing.T, dir string) map[string]int {
	files, err := filepath.Glob(filepath.Join(dir, "agent-*.json"))
	assert.NilError(t, err)
	counts := map[string]int{}
	for _, name := range files {
		data, err := os.ReadFile(name)
		assert.NilError(t, err)
		var agent struct {
			Serves []struct{ Service, Kind string }
		}
		assert.NilError(t, json.Unmarshal(data, &agent))
		for _, k := range agent.Serves {
			counts[k.Service+"/"+k.Kind]++
		}
	}
	return counts
}
