package ops

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/assert/cmp"

	"github.com/cicadapulley/cicadapulley/core/work"
	"github.com/cicadapulley/cicadapulley/daemon/coordinator"
	"github.com/cicadapulley/cicadapulley/daemon/events"
)

// fakeDrains drains one data centre at a time.
type fakeDrains struct {
	d   work.DataCentreDrains
	err error
}

func (f *fakeDrains) Drains(context.Context) (work.DataCentreDrains, error) { return f.d, f.err }

func (f *fakeDrains) DataCentres(work.DataCentreDrains) []string { return []string{"a b", "east"} }

func (f *fakeDrains) Drain(_ context.Context, dataCentre string, drained bool) (work.DataCentreDrains, error) {
	if f.err == nil {
		f.d = work.DataCentreDrains{}
		if drained {
			f.d.DataCentres = []string{dataCentre}
		}
	}
	return f.d, f.err
}

// TestDataCentres guards against answers that the command line misreads: an order that isn't
// confirmed looks confirmed, or an unknown data centre looks like a leader that is missing. It
// also guards against a role without drains that serves them.
func TestDataCentres(t *testing.T) {
	drains := &fakeDrains{}
	log := events.NewLog("vm", nil, events.NewClock())
	handler := New(Options{Log: log, Drains: drains}).Handler()
	check := func(method, path, body string, status int, want string) {
		t.Helper()
		w := httptest.NewRecorder()
		handler.ServeHTTP(w, httptest.NewRequest(method, "/v1/data-centres"+path, strings.NewReader(body)))
		assert.Equal(t, w.Code, status, w.Body)
		assert.Check(t, cmp.Contains(w.Body.String(), want))
	}
	const none = `{"data_centres":[{"name":"a b","drained":false},{"name":"east","drained":false}]}`
	const drained = `{"data_centres":[{"name":"a b","drained":true},{"name":"east","drained":false}]}`
	check(http.MethodGet, "", "", http.StatusOK, none)
	check(http.MethodPut, "/a%20b/drain", "", http.StatusOK, drained)
	check(http.MethodGet, "", "", http.StatusOK, drained)
	check(http.MethodDelete, "/a%20b/drain", "{}", http.StatusBadRequest, "no body")
	check(http.MethodDelete, "/a%20b/drain", "", http.StatusOK, none)
	drains.err = errors.Wrap(coordinator.ErrUnknownDataCentre, "names")
	check(http.MethodPut, "/x/drain", "", http.StatusBadRequest, "names")
	drains.err = errors.Wrap(coordinator.ErrUnavailable, "reason")
	check(http.MethodPut, "/east/drain", "", http.StatusServiceUnavailable, "reason")
	check(http.MethodGet, "", "", http.StatusServiceUnavailable, "reason")
	handler = New(Options{Log: log}).Handler()
	check(http.MethodGet, "", "", http.StatusNotFound, "")
}
