package relay_test

import (
	"slices"
	"strings"
	"testing"
	"time"

	"go.uber.org/goleak"
	"gotest.tools/v3/assert"

	"github.com/cicadapulley/cicadapulley/core/hlc"
	"github.com/cicadapulley/cicadapulley/core/lease"
	"github.com/cicadapulley/cicadapulley/daemon/events"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func isAgent(vm string) bool { return strings.HasPrefix(vm, "agent") }

// cutAgents cuts the agents off from the control VMs and waits until entries relay them.
func (s *system) cutAgents() {
	s.Helper()
	s.cut(isAgent)
	before := s.count(s.controls, events.RelayBegan)
	s.eventually("entries relay all agents", func() bool { return s.count(s.controls, events.RelayBegan) >= before+uint64(len(s.agents)) })
}

// lastRelay returns the event of the last relay that began, and the control VM that led.
func (s *system) lastRelay() (last events.Event, leader *process) {
	for _, c := range s.controls {
		for _, e := range c.log.Select(events.Filter{}) {
			if e.ID == events.RelayBegan && e.Clock > last.Clock {
				last, leader = e, c
			}
		}
	}
	return last, leader
}

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

// TestLeaderLostDuringPartition guards against a new leader that holds the jobs of agents
// which are cut off until their leases have expired.
func TestLeaderLostDuringPartition(t *testing.T) {
	s := newSystem(t, 2, 2, 0)
	s.keepBusy(s.entries[0])
	s.cutAgents()
	_, lost := s.lastRelay()
	lostVM, cutAt := lost.log.Process(), time.Now()
	s.set(func(from, to string) bool { return from == lostVM || to == lostVM || isAgent(from) != isAgent(to) })
	var joined map[string]time.Duration
	s.eventually("another leader has the inventories", func() bool {
		for _, c := range s.controls {
			if c != lost && len(joined) < 2 {
				joined = joinsAfterTerm(c, cutAt)
			}
		}
		return len(joined) == 2
	})
	for vm, after := range joined {
		t.Logf("%s joined %s after the term began", vm, after)
		assert.Assert(t, after < lease.ExpiresAfter)
	}
	s.awaitStart(s.agents[0])
	s.awaitStart(s.agents[1])
	s.checkStarts()
}

// joinsAfterTerm returns how long after the beginning of the latest term of a control VM each
// agent joined, if the term began after since.
func joinsAfterTerm(control *process, since time.Time) map[string]time.Duration {
	var began time.Time
	joins := map[string]time.Duration{}
	for _, e := range control.log.Select(events.Filter{}) {
		at := hlc.Timestamp(e.Clock).Time()
		switch {
		case e.ID == events.TermBegan:
			began = at
			clear(joins)
		case e.ID == events.EndpointJoined && began.After(since) && joins[e.Peer] == 0:
			joins[e.Peer] = at.Sub(began)
		}
	}
	return joins
}

// TestEntryLost guards against an agent that stays unused after the entry that relays it has
// ended.
func TestEntryLost(t *testing.T) {
	s := newSystem(t, 3, 1, 0)
	s.keepBusy(s.entries[0])
	s.cutAgents()
	first, _ := s.lastRelay()
	i := slices.IndexFunc(s.entries, func(p *process) bool { return p.log.Process() == first.Text })
	s.entries[i].stop()
	if i == 0 {
		s.keepBusy(s.entries[1])
	}
	s.eventually("another entry relays the agent", func() bool {
		next, _ := s.lastRelay()
		return next.Text != first.Text
	})
	s.awaitStart(s.agents[0])
	s.checkStarts()
}

// TestDirectPathReturns guards against an agent that stays relayed, or that changes between
// its connections, after the network has healed.
func TestDirectPathReturns(t *testing.T) {
	s := newSystem(t, 2, 1, 0)
	s.keepBusy(s.entries[0])
	for terms := uint64(0); terms != s.count(s.controls, events.TermBegan); { // an election has sessions of its own
		s.cutAgents()
		s.awaitStart(s.agents[0])
		terms = s.count(s.controls, events.TermBegan)
		relays, sessions, ended := s.count(s.controls, events.RelayBegan), s.agents[0].log.Count(events.SessionBegan), s.count(s.entries, events.RelayEnded)
		s.heal()
		s.eventually("the relay has ended", func() bool { return s.count(s.entries, events.RelayEnded) > ended })
		s.awaitStart(s.agents[0])
		time.Sleep(2 * time.Second)
		if terms == s.count(s.controls, events.TermBegan) {
			assert.Equal(t, s.agents[0].log.Count(events.SessionBegan), sessions+1, "one new session")
			assert.Equal(t, s.count(s.controls, events.RelayBegan), relays)
		}
	}
	s.checkStarts()
}

// TestOneWayNetwork guards against an agent that seems connected to the leader while bytes
// arrive in one direction only, and against one that changes between connections then.
func TestOneWayNetwork(t *testing.T) {
	for name, blocked := range map[string]func(from, to string) bool{
		"only to the agent":   func(from, to string) bool { return isAgent(from) && !isAgent(to) },
		"only from the agent": func(from, to string) bool { return !isAgent(from) && isAgent(to) },
	} {
		t.Run(name, func(t *testing.T) {
			s := newSystem(t, 2, 1, 0)
			s.keepBusy(s.entries[0])
			s.set(blocked)
			s.eventually("an entry relays the agent", func() bool { return s.count(s.controls, events.RelayBegan) > 0 })
			direct := func() (n int) {
				for _, e := range s.agents[0].log.Select(events.Filter{}) {
					if e.ID == events.LeaderFound && e.Text == "" {
						n++
					}
				}
				return n
			}
			before := direct()
			s.awaitStart(s.agents[0])
			time.Sleep(4 * time.Second)
			assert.Equal(t, direct(), before, "the agent has used a direct connection")
			s.awaitStart(s.agents[0])
			s.checkStarts()
		})
	}
}
