// Package invariant asserts the system's invariants in all builds. A violated
// invariant panics with a *Violation. The component's supervisor, or
// daemon/transport in a request handler, records the panic as a numbered event and
// stops the component or request before it can answer.
package invariant

import "fmt"

// Name identifies an invariant of docs/design.md.
type Name string

// The invariants that the program checks itself. The others of docs/design.md,
// section 1.1, can only be checked at the callers or endpoints; the failure tests
// check them there.
const (
	SingleStart        Name = "I1 no task starts twice"
	AllOrNothingAnswer Name = "I2 an answer is complete or failed"
	ConfigMonotonic    Name = "I8 configuration never reverts"
	LogMatching        Name = "L1 replicas apply the same log"
	ElectionSafety     Name = "L2 one leader a term"
	DurableAck         Name = "L3 an acknowledged record is never lost"
	MonotonicRead      Name = "L4 a read never goes back in time"
	SlotBound          Name = "C1 running tasks never exceed the slots"
	InternalCounting   Name = "C2 counters agree with tables"
)

// Violation is the panic value of a violated invariant.
type Violation struct {
	Name   Name
	Detail string
}

// Error implements error.
func (v *Violation) Error() string {
	return fmt.Sprintf("invariant violated: %s: %s", v.Name, v.Detail)
}

// Check panics with a *Violation unless ok is true. The message is formatted only
// on failure, so a passing check costs one branch.
func Check(ok bool, name Name, format string, args ...any) {
	if ok {
		return
	}
	panic(&Violation{Name: name, Detail: fmt.Sprintf(format, args...)})
}
