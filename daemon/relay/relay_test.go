package relay_test

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cicadapulley/cicadapulley/daemon/events"
)

func isAgent(vm string) bool { return strings.HasPrefix(vm, "agent") }

// TestPartitionedAgentGetsWork guards against an endpoint that is idle while its agent is cut
// off from all control VMs and entries reach it.
func TestPartitionedAgentGetsWork(t *testing.T) {
	s := newSystem(t, 2, 1, 0)
	s.keepBusy(s.entries[0])
	s.awaitStart(s.agents[0])
	s.cut(isAgent)
	time.Sleep(200 * time.Millisecond) // orders in transit have arrived
	t.Logf("first start through an entry %s after the cut", 200*time.Millisecond+s.awaitStart(s.agents[0]))
	assert.Assert(t, s.count(s.controls, events.RelayBegan) > 0)
	s.checkStarts()
}
