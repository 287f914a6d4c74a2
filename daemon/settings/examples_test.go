package settings_test

import (
	"path/filepath"
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/cicadapulley/cicadapulley/daemon/settings"
)

// Sizes of the example sites.
const (
	controlVMs     = 3
	entries        = 3
	workers        = 11
	workersPerRack = 3
)

// load reads all settings files of a role at a site.
func load[T any, P interface {
	*T
	Validate(func(path, message string))
}](t *testing.T, site, role string, count int) []T {
	files, err := filepath.Glob(filepath.Join("../../examples", site, role+"-*.json"))
	assert.NilError(t, err)
	assert.Equal(t, len(files), count, "%s: files of role %s", site, role)
	list := make([]T, len(files))
	for i, file := range files {
		assert.NilError(t, settings.Load(file, P(&list[i])))
		assert.NilError(t, settings.Check("", file), "role not detected from the fields")
	}
	return list
}

// TestExamples guards against examples that the daemons reject, or that don't
// form one system: repeated ids and addresses, a second bootstrap, a wrong list
// of control VMs, or control VMs that share a data centre.
func TestExamples(t *testing.T) {
	for _, site := range []string{"dala", "hsinchu"} {
		var processes []settings.Process
		var control []string
		bootstraps, centres := 0, map[string]bool{}
		for _, c := range load[settings.Control](t, site, "control", controlVMs) {
			processes = append(processes, c.Process)
			control = append(control, c.Address())
			centres[c.DataCentre] = true
			if c.Bootstrap {
				bootstraps++
			}
		}
		assert.Equal(t, bootstraps, 1, site)
		assert.Equal(t, len(centres), controlVMs, site)
		for _, e := range load[settings.Entry](t, site, "entry", entries) {
			processes = append(processes, e.Process)
			assert.DeepEqual(t, e.Control, control)
		}
		processes = append(processes, checkAgents(t, site, control)...)
		checkUnique(t, site, processes)
	}
}

func checkAgents(t *testing.T, site string, control []string) []settings.Process {
	var processes []settings.Process
	racks := map[string]int{}
	for _, a := range load[settings.Agent](t, site, "agent", workers) {
		processes = append(processes, a.Process)
		racks[a.Rack]++
		assert.DeepEqual(t, a.Control, control)
		assert.Assert(t, a.Slots == 8 && a.Connections == 64 && racks[a.Rack] <= workersPerRack, a.ID)
	}
	return processes
}

func checkUnique(t *testing.T, site string, processes []settings.Process) {
	var values []string
	for _, p := range processes {
		for _, value := range []string{p.ID, p.Listen, p.Ops} {
			assert.Assert(t, !slices.Contains(values, value), "%s: %s appears twice", site, value)
			values = append(values, value)
		}
	}
}
