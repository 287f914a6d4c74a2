package ops

import (
	"context"
	"net/http"

	"github.com/cockroachdb/errors"

	"github.com/cicadapulley/cicadapulley/api/operators"
	"github.com/cicadapulley/cicadapulley/core/work"
	"github.com/cicadapulley/cicadapulley/daemon/boottime"
	"github.com/cicadapulley/cicadapulley/daemon/coordinator"
	"github.com/cicadapulley/cicadapulley/daemon/transport"
)

// dataCentresBytes is the memory that an answer with the data centres takes.
const dataCentresBytes = 64 << 10

// DrainControl reads and changes the drains of data centres, as coordinator.Manager. Its
// errors wrap coordinator.ErrUnknownDataCentre or coordinator.ErrUnavailable.
type DrainControl interface {
	Drains(ctx context.Context) (work.DataCentreDrains, error)
	Drain(ctx context.Context, dataCentre string, drained bool) (work.DataCentreDrains, error)
	// DataCentres returns the names of the data centres in the settings and in d, sorted.
	DataCentres(d work.DataCentreDrains) []string
}

// handleDataCentres adds the routes of the data centres. All answer with their new state.
func (s *Server) handleDataCentres(mux *http.ServeMux) {
	handle := func(pattern string, act func(r *http.Request) (work.DataCentreDrains, error)) {
		mux.Handle(pattern, holding(dataCentresBytes, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.ContentLength != 0 {
				writeText(w, http.StatusBadRequest, "the request must have no body")
				return
			}
			d, err := act(r)
			s.writeDataCentres(w, d, err)
		})))
	}
	drain := func(drained bool) func(*http.Request) (work.DataCentreDrains, error) {
		return func(r *http.Request) (work.DataCentreDrains, error) {
			// An order that a suspended process reads later may have been followed by another one elsewhere.
			arrival := boottime.Now().Add(-transport.TimeSinceData(r.Context()))
			return s.opts.Drains.Drain(coordinator.WithArrival(r.Context(), arrival), r.PathValue("name"), drained)
		}
	}
	path := operators.PathDataCentres + "/{name}/drain"
	handle("GET "+operators.PathDataCentres, func(r *http.Request) (work.DataCentreDrains, error) { return s.opts.Drains.Drains(r.Context()) })
	handle("PUT "+path, drain(true))
	handle("DELETE "+path, drain(false))
}

func (s *Server) writeDataCentres(w http.ResponseWriter, d work.DataCentreDrains, err error) {
	switch {
	case errors.Is(err, coordinator.ErrUnknownDataCentre):
		writeText(w, http.StatusBadRequest, err.Error())
	case err != nil:
		writeText(w, http.StatusServiceUnavailable, err.Error())
	default:
		answer := operators.DataCentres{DataCentres: []operators.DataCentre{}}
		for _, name := range s.opts.Drains.DataCentres(d) {
			answer.DataCentres = append(answer.DataCentres, operators.DataCentre{Name: name, Drained: d.Contains(name)})
		}
		writeJSON(w, answer)
	}
}
