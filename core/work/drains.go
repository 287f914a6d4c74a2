package work

import "slices"

// DataCentreDrains are the data centres whose endpoints get no new tasks, by order of
// the operator.
type DataCentreDrains struct {
	// Revision is the log index of the latest order, 0 before the first one. An order that
	// changes nothing counts.
	Revision uint64
	// DataCentres are sorted.
	DataCentres []string
}

// Contains reports whether a data centre is drained. An empty name belongs to an
// endpoint whose data centre is not known, which is never drained.
func (d *DataCentreDrains) Contains(name string) bool {
	if d == nil || name == "" {
		return false
	}
	_, found := slices.BinarySearch(d.DataCentres, name)
	return found
}
