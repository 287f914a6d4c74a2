package membership

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"github.com/cicadapulley/cicadapulley/api/controlclient"
	"github.com/cicadapulley/cicadapulley/core/state"
	"github.com/cicadapulley/cicadapulley/daemon/events"
	"github.com/cicadapulley/cicadapulley/daemon/memnet"
	"github.com/cicadapulley/cicadapulley/daemon/transport"
)

// TestRegisterFailureIsReported guards against a process that reports nothing
// while control does not answer, and against one that floods its log meanwhile.
func TestRegisterFailureIsReported(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		network := memnet.New(time.Millisecond)
		client := transport.NewClient(transport.ClientOptions{Network: network.Host("entry-1")})
		control := controlclient.New(client, "http", []string{"control-1:1"})
		log := events.NewLog("entry-1", zap.NewNop(), events.NewClock())
		service := New(control, log, state.Member{ID: "entry-1", Role: state.RoleEntry}, nil)
		ended := make(chan error, 1)
		go func() { ended <- service.Run(ctx) }()
		time.Sleep(time.Minute)
		cancel()
		assert.NilError(t, <-ended)
		reported := log.Count(events.RegisterFailed)
		assert.Assert(t, reported >= 1 && reported <= 20, "%d events in a minute", reported)
		assert.Assert(t, !service.LeaseValid())
	})
}
