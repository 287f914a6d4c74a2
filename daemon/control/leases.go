package control

import (
	"context"
	"sync"
	"time"

	"github.com/cicadapulley/cicadapulley/core/job"
	"github.com/cicadapulley/cicadapulley/core/state"
	"github.com/cicadapulley/cicadapulley/daemon/events"
)

const (
	// leaseMargin is added to a lease on the leader's clock. A member counts its
	// lease from an earlier time, so the lease always expires at the member first.
	leaseMargin = 500 * time.Millisecond
	// leaseRetryDelay is the wait before the next check if this VM could not read
	// the state.
	leaseRetryDelay = 100 * time.Millisecond
)

// memberLease is what the leader stores about a member in memory only, outside the
// log.
type memberLease struct {
	incarnation uint64
	expires     time.Time
	// revision is the configuration that the member has in force.
	revision uint64
}

// leases expires members and assigns the jobs of ended entries to live ones while
// this VM leads. Renewals are in memory only; a new leader gives every member a new
// lease.
type leases struct {
	replica *Replica
	ttl     time.Duration
	log     *events.Log

	mu      sync.Mutex
	members map[string]memberLease
	// term is the term to which members belongs.
	term uint64
	// revisionReported is closed and replaced when a member reports a newer revision.
	revisionReported chan struct{}
}

func newLeases(replica *Replica, ttl time.Duration, log *events.Log) *leases {
	return &leases{replica: replica, ttl: ttl, log: log, members: map[string]memberLease{}, revisionReported: make(chan struct{})}
}

// Run checks the leases until ctx ends.
func (l *leases) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		changed := l.replica.Changed()
		if !l.replica.Leading() {
			waitForChange(ctx, changed, l.ttl/8)
			continue
		}
		next := l.check(ctx)
		waitForChange(ctx, changed, next)
	}
	return nil
}

// waitForChange waits until changed closes, d has passed or ctx ends.
func waitForChange(ctx context.Context, changed <-chan struct{}, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-changed:
	case <-timer.C:
	}
}

// check ends members whose lease has expired and moves orphaned jobs. It returns the
// time until the next check.
func (l *leases) check(ctx context.Context) time.Duration {
	now := time.Now()
	term := l.replica.Term()
	var expired []state.Member
	var orphans []job.Record
	var entries []state.Member
	next := l.ttl
	err := l.replica.Read(func(m *state.Machine) {
		expired, next = l.expiredMembers(m.Members(), term, now)
		orphans = m.Orphans()
		entries = liveEntries(m.Members())
	})
	if err != nil {
		return leaseRetryDelay
	}
	for _, m := range expired {
		l.expire(ctx, m)
	}
	l.moveOrphans(ctx, orphans, entries)
	return next
}

// expiredMembers returns the active members whose lease has expired, and the time
// until the next lease expires, at most the TTL. A member without a lease gets a new
// one.
func (l *leases) expiredMembers(members []state.Member, term uint64, now time.Time) ([]state.Member, time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if term != l.term {
		l.term = term
		l.members = map[string]memberLease{}
	}
	next := l.ttl
	var list []state.Member
	for _, m := range members {
		if !m.Active() {
			delete(l.members, m.ID)
			continue
		}
		t, ok := l.members[m.ID]
		if !ok || t.incarnation != m.Incarnation {
			t = memberLease{incarnation: m.Incarnation, expires: now.Add(l.ttl + leaseMargin)}
			l.members[m.ID] = t
		}
		remaining := t.expires.Sub(now)
		if remaining <= 0 {
			list = append(list, m)
			continue
		}
		next = min(next, remaining)
	}
	return list, next
}

func (l *leases) expire(ctx context.Context, m state.Member) {
	command := state.Command{EndMember: &state.EndMember{ID: m.ID, Incarnation: m.Incarnation, State: state.MemberExpired}}
	result, err := l.replica.Propose(ctx, command)
	if err == nil && result.Ended {
		l.log.Emit(events.Event{ID: events.MemberExpired, Peer: m.ID})
	}
}

func liveEntries(members []state.Member) []state.Member {
	var list []state.Member
	for _, m := range members {
		if m.Role == state.RoleEntry && m.State == state.MemberLive {
			list = append(list, m)
		}
	}
	return list
}

// moveOrphans spreads the jobs of ended entries over the live ones.
func (l *leases) moveOrphans(ctx context.Context, orphans []job.Record, entries []state.Member) {
	if len(entries) == 0 {
		return
	}
	for i, r := range orphans {
		owner := entries[i%len(entries)]
		command := state.Command{TakeOverJob: &state.TakeOverJob{Key: r.Key, FromEpoch: r.Epoch, Owner: owner.ID}}
		result, err := l.replica.Propose(ctx, command)
		if err != nil {
			return
		}
		if result.TookOver {
			l.log.Emit(events.Event{ID: events.JobTakenOver, Job: r.Key, Peer: owner.ID})
		}
	}
}

// renew extends a member's lease. The caller has checked that the member is active.
func (l *leases) renew(id string, incarnation, revision uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	old := l.members[id]
	t := memberLease{incarnation: incarnation, expires: time.Now().Add(l.ttl + leaseMargin), revision: revision}
	if old.incarnation == incarnation {
		t.revision = max(t.revision, old.revision)
	}
	l.members[id] = t
	if t.revision > old.revision {
		close(l.revisionReported)
		l.revisionReported = make(chan struct{})
	}
}

// behind lists the active members that have not reported a revision or a later one.
func (l *leases) behind(members []state.Member, revision uint64) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var list []string
	for _, m := range members {
		t := l.members[m.ID]
		if !m.Active() || (t.incarnation == m.Incarnation && t.revision >= revision) {
			continue
		}
		list = append(list, m.ID)
	}
	return list
}

// nextRevisionReport returns a channel that closes when a member reports a newer
// revision.
func (l *leases) nextRevisionReport() <-chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.revisionReported
}

// status returns the revision that a member has in force and the remaining time of its
// lease, for operators.
func (l *leases) status(id string) (revision uint64, remaining time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	t := l.members[id]
	return t.revision, time.Until(t.expires)
}
