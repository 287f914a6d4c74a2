// Package undisturbed repeats checks of tests that a busy machine has disturbed. Such a check relies on time-outs that
// are shorter than the time for which a process may stand still.
package undisturbed

import (
	"fmt"
	"runtime"
	"strings"
	"testing"
	"time"
)

const (
	// timeout bounds the attempts of a check.
	timeout = 90 * time.Second
	// interval is the time between looks at what may disturb a check.
	interval = 2 * time.Millisecond
)

// Check runs check, and again if it fails and was disturbed: the process stood still for longer than maxDelay, or
// look, which watch returns at the beginning of each attempt, has returned a cause. Without a disturbance a failure
// counts. The check uses the given testing.TB only. A nil watch looks at nothing else.
func Check(t testing.TB, maxDelay time.Duration, watch func() (look func() string), check func(t testing.TB)) {
	t.Helper()
	for deadline := time.Now().Add(timeout); ; {
		look := func() string { return "" }
		if watch != nil {
			look = watch()
		}
		disturbance := begin(maxDelay, look)
		a := &attempt{TB: t}
		passed := a.run(check)
		cause := disturbance()
		switch {
		case passed:
			return
		case cause == "":
			t.Fatalf("undisturbed: %s", a.messages.String())
		case time.Now().After(deadline):
			t.Fatalf("no undisturbed attempt within %s, at last %s: %s", timeout, cause, a.messages.String())
		}
		t.Logf("repeated, %s: %s", cause, a.messages.String())
	}
}

// begin looks for disturbances until the returned function is called, which returns the first.
func begin(maxDelay time.Duration, look func() string) func() string {
	stop, result := make(chan struct{}), make(chan string, 1)
	go func() {
		ticker := time.NewTicker(interval)
		defer ticker.Stop()
		cause := ""
		for last := time.Now(); ; last = time.Now() {
			stopped := false
			select {
			case <-stop:
				stopped = true
			case <-ticker.C:
			}
			if delay := time.Since(last); cause == "" && delay > maxDelay {
				cause = "the process did not run for " + delay.Round(time.Millisecond).String()
			}
			if cause == "" {
				cause = look()
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

// attempt is the testing.TB of a check that may be repeated: a failure ends the attempt and not the test.
type attempt struct {
	testing.TB
	failed   bool
	messages strings.Builder
}

// run runs check, which may end its goroutine by FailNow, and reports whether it passed.
func (a *attempt) run(check func(t testing.TB)) bool {
	done := make(chan struct{})
	returned := false
	go func() {
		defer close(done)
		check(a)
		returned = true
	}()
	<-done
	return returned && !a.failed
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

func (a *attempt) Fatalf(format string, args ...any) { a.Fatal(fmt.Sprintf(format, args...)) }

func (a *attempt) Errorf(format string, args ...any) {
	a.Log(fmt.Sprintf(format, args...))
	a.Fail()
}
