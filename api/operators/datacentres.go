// Package operators defines the JSON messages of the operations page of a control VM that the
// command line reads. The field names are fixed: operators' scripts are written to them.
package operators

import "net/url"

// PathDataCentres is the path of the data centres.
const PathDataCentres = "/v1/data-centres"

// PathDrain returns the path of the drain of a data centre.
func PathDrain(dataCentre string) string {
	return PathDataCentres + "/" + url.PathEscape(dataCentre) + "/drain"
}

// DataCentres are the data centres of the settings and those that are drained, by name.
type DataCentres struct {
	DataCentres []DataCentre `json:"data_centres"`
}

// DataCentre is a data centre.
type DataCentre struct {
	Name string `json:"name"`
	// Drained is set while no tasks start on the endpoints of the data centre.
	Drained bool `json:"drained"`
}
