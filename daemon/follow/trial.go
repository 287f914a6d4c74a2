package follow

import (
	"context"
	"time"

	"github.com/cicadapulley/cicadapulley/api/mesh"
	"github.com/cicadapulley/cicadapulley/daemon/link"
)

const (
	// minTrialTime and maxTrialTime bound how long a direct connection to the leader must
	// hold before it replaces a relayed one. The time doubles with each replacement that was
	// followed by another relay within maxTrialTime, so that a network that fails again and
	// again does not make the agent alternate.
	minTrialTime = time.Second
	maxTrialTime = 64 * time.Second
)

// trials decides when a direct connection replaces a relayed one. Only the connection to
// the leader is on trial, so there is at most one. Follower.mu guards it.
type trials struct {
	// leader is the direct connection on trial, nil for none, and begunAt since when.
	leader   *Leader
	begunAt  time.Time
	stopPing context.CancelFunc
	// finished is set once a new session has been requested on it, whose Welcome ends the
	// trial. The session of an earlier Welcome may be older than the relayed one.
	finished bool
	// time is how long a trial takes. relayed is set while the latest connection that was used is
	// a relayed one, and replacedAt is when a direct one has last followed such a connection.
	time       time.Duration
	relayed    bool
	replacedAt time.Time
}

func newTrials() trials { return trials{time: minTrialTime} }

// begin begins the trial of a direct connection, unless it is on trial already.
func (t *trials) begin(ctx context.Context, l *Leader) {
	if t.leader == l {
		return
	}
	t.stop()
	pingCtx, stop := context.WithCancel(ctx)
	t.leader, t.begunAt, t.stopPing, t.finished = l, time.Now(), stop, false
	go link.Ping(pingCtx, l.Conn, leaderPingInterval)
}

// passed reports whether a direct connection may replace the relayed one.
func (t *trials) passed(l *Leader) bool { return t.leader == l && t.finished }

// finish requests the session with which the connection on trial, if there is one, replaces
// the relayed one.
func (t *trials) finish() {
	if t.leader != nil && !t.finished {
		t.finished = true
		t.leader.Send(&mesh.NewSession{})
	}
}

// stop ends a trial.
func (t *trials) stop() {
	if t.leader != nil {
		t.stopPing()
		t.leader = nil
	}
}

// claimed records which connection to a leader is used from now on. If another relay to the
// same leader begins, the trial begins anew: the direct connection gets no other Welcome.
func (t *trials) claimed(l *Leader, laterTerm bool) {
	now, relayed := time.Now(), l.RelayedBy != ""
	switch {
	case relayed == t.relayed: // another entry, or another control VM
	case !relayed:
		t.replacedAt = now
	case now.Sub(t.replacedAt) < maxTrialTime:
		t.time = min(2*t.time, maxTrialTime)
	default:
		t.time = minTrialTime
	}
	t.relayed = relayed
	if relayed && !laterTerm {
		t.begunAt, t.finished = now, false
		return
	}
	t.stop()
}

// checkTrial ends the trial of a connection that has held for long enough.
func (f *Follower) checkTrial(l *Leader) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.trials.leader == l && time.Since(f.trials.begunAt) >= f.trials.time {
		f.trials.finish()
	}
}

// endTrial ends the trial of a connection that has failed.
func (f *Follower) endTrial(l *Leader) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.trials.leader == l {
		f.trials.stop()
	}
}

// receiveTimeout returns the time without a message after which a connection is closed. On
// trial it is that of a leader.
func (f *Follower) receiveTimeout(l *Leader) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.trials.leader == l {
		return leaderTimeout
	}
	return standbyTimeout
}
