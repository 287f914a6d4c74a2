package coordinator

import (
	"fmt"
	"runtime"
	"strings"
	"testing"
	"time"
)

const (
	// undisturbedTimeout bounds the attempts of withStableLeader. An attempt takes less than a second on a
	// machine that is not busy.
	undisturbedTimeout = 90 * time.Second
	// leadershipSampling is the time between looks at the leadership, and maxSamplingDelay the delay of one after
	// which the leader's lease may have lapsed unseen, and connections may have timed out.
	leadershipSampling = 2 * time.Millisecond
	maxSamplingDelay   = 100 * time.Millisecond
)

// attempt is the testing.TB of a check that may be repeated: a failure ends the attempt and not the test.
type attempt struct {
	testing.TB
	failed   bool
	messages strings.Builder
}

func (a *attempt) Fail() { a.failed = true }

func (a *attempt) FailNow() {
	a.failed = true
	runtime.Goexit()
}

func (a *attempt) Log(args ...any) { fmt.Fprintln(&a.messages, args...) }

func (a *attempt) Fatal(args ...any) {
	a.Log(args...)
	a.FailNow()
}

func (a *attempt) Fatalf(format string, args ...any) {
	a.Log(fmt.Sprintf(format, args...))
	a.FailNow()
}

// run runs check, which may end its goroutine by FailNow, and reports whether it passed.
func (a *attempt) run(check func()) bool {
	done := make(chan struct{})
	returned := false
	go func() {
		defer close(done)
		check()
		returned = true
	}()
	<-done
	return returned && !a.failed
}

// withStableLeader runs a check that relies on one leader, whose lease holds all the time. On a busy machine an
// election, or a lease that lapses for a moment, may refuse or undo what the check does. So the check is repeated
// if it fails and the leadership was disturbed meanwhile; without a disturbance its failure counts. The check uses
// the given testing.TB only.
func (c *cluster) withStableLeader(check func(t testing.TB, leader int)) {
	c.Helper()
	test := c.TB
	defer func() { c.TB = test }()
	for deadline := time.Now().Add(undisturbedTimeout); ; {
		leader := c.leader()
		disturbance := c.watchLeadership(leader)
		a := &attempt{TB: test}
		c.TB = a
		passed := a.run(func() { check(a, leader) })
		c.TB = test
		cause := disturbance()
		switch {
		case passed:
			return
		case cause == "":
			c.Fatalf("with a stable leader: %s", a.messages.String())
		case time.Now().After(deadline):
			c.Fatalf("no attempt without a disturbance within %s, at last %s: %s", undisturbedTimeout, cause, a.messages.String())
		}
		c.Logf("repeated, %s: %s", cause, a.messages.String())
	}
}

// watchLeadership watches a leader until the returned function is called, which returns what has disturbed the
// leadership, empty if nothing has.
func (c *cluster) watchLeadership(leader int) func() string {
	service := c.managers[leader].service.Load()
	number, leads := uint64(0), false
	if service != nil {
		number, leads = service.driver.LeadingTerm()
	}
	stop, result := make(chan struct{}), make(chan string, 1)
	look := func(last time.Time) string {
		if delay := time.Since(last); delay > maxSamplingDelay {
			return "the process did not run for " + delay.Round(time.Millisecond).String()
		}
		if !leads || c.managers[leader].service.Load() != service {
			return "the leader was stopped"
		}
		if now, ok := service.driver.LeadingTerm(); !ok || now != number {
			return "the leader's lease lapsed"
		}
		return ""
	}
	go func() {
		ticker := time.NewTicker(leadershipSampling)
		defer ticker.Stop()
		cause := ""
		for last := time.Now(); ; last = time.Now() {
			stopped := false
			select {
			case <-stop:
				stopped = true
			case <-ticker.C:
			}
			if cause == "" {
				cause = look(last)
			}
			if stopped {
				result <- cause
				return
			}
		}
	}()
	return func() string {
		close(stop)
		return <-result
	}
}
