package coordinator

import (
	"context"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cicadapulley/cicadapulley/api/mesh"
	"github.com/cicadapulley/cicadapulley/core/ledger"
	"github.com/cicadapulley/cicadapulley/core/work"
	"github.com/cicadapulley/cicadapulley/daemon/boottime"
	"github.com/cicadapulley/cicadapulley/daemon/events"
	"github.com/cicadapulley/cicadapulley/daemon/supervisor"
)

// ErrUnavailable is returned for an operator's request that no leader has confirmed.
// A configuration may come into force nevertheless.
var ErrUnavailable = errors.New("no control VM that leads has confirmed the request")

const (
	// operatorTimeout bounds an operator's request, whose caller waits one second for
	// the answer.
	operatorTimeout = 900 * time.Millisecond
	// forwardTimeout bounds the wait for the answer of one leader. A leader that is
	// frozen or cut off does not answer, and another one may be elected meanwhile.
	forwardTimeout = 350 * time.Millisecond
	// forwardRetryDelay is the delay before a request is tried again after a failure,
	// as during an election.
	forwardRetryDelay = 25 * time.Millisecond
)

// Configure brings a valid configuration into force if its version is higher than
// the current one. It returns once this configuration, or one of a higher version,
// is durable. If another VM leads, the request is forwarded to it: a redirect would
// cost the operator another call, to a VM that may not be reachable. An error wraps
// ErrUnavailable; the outcome is then unknown.
func (s *Service) Configure(ctx context.Context, c *work.Configuration) error {
	_, err := s.operate(ctx, &mesh.OperatorRequest{Configure: c})
	return err
}

// Configuration returns the document of the configuration in force, nil before the
// first. An error wraps ErrUnavailable.
func (s *Service) Configuration(ctx context.Context) ([]byte, error) {
	r, err := s.operate(ctx, &mesh.OperatorRequest{})
	if err != nil {
		return nil, err
	}
	return r.Document, nil
}

// arrivalKey is the key of the time in the context of WithArrival.
type arrivalKey struct{}

// WithArrival returns the context of an operator's request that reached this VM at a time
// on the clock of package boottime, before the process read it.
func WithArrival(ctx context.Context, at time.Time) context.Context {
	return context.WithValue(ctx, arrivalKey{}, at)
}

// arrivalOf returns the time of WithArrival, or the present time without it.
func arrivalOf(ctx context.Context) time.Time {
	if at, ok := ctx.Value(arrivalKey{}).(time.Time); ok {
		return at
	}
	return boottime.Now()
}

// operate carries out an operator's request here or at the leader. All requests may
// be repeated: a configuration whose version is in force changes nothing, and neither
// does the drain of a drained data centre. So a request without an answer is tried again
// until operatorTimeout has passed.
func (s *Service) operate(ctx context.Context, q *mesh.OperatorRequest) (*mesh.OperatorResponse, error) {
	// The deadline is on a clock that counts suspension, unlike that of the context. After a
	// suspension the operator may have sent the request elsewhere and given another order.
	deadline := arrivalOf(ctx).Add(operatorTimeout)
	ctx, cancel := context.WithTimeout(ctx, deadline.Sub(boottime.Now()))
	defer cancel()
	start := time.Now()
	attempts := 0
	// r is the latest answer of a leader, and failure why the latest attempt has none. The
	// deadline may cut off an attempt that follows the answer with the reason.
	r := &mesh.OperatorResponse{}
	failure := "not tried"
	leader := ""
	for {
		// The time is read after the revision. If the VM is suspended after this check, the
		// revision tells the leader that the request may be outdated.
		attempt := s.withRevision(q, r)
		if ctx.Err() != nil || !boottime.Now().Before(deadline) {
			failure = joinReasons("given up", failure)
			break
		}
		leader = s.leaderAddress()
		if leader != "" {
			attempts++
			answer, err := s.operateAt(ctx, leader, attempt)
			if err != nil {
				failure = err.Error()
			} else {
				r, failure = answer, ""
			}
		} else {
			failure = "no leader is known"
		}
		if r.Done {
			break
		}
		if !rejectedForRevision(attempt, r) {
			supervisor.Sleep(ctx, forwardRetryDelay)
		}
	}
	r.Detail = joinReasons(failure, r.Detail)
	s.logOperation(q, r, leader, attempts, time.Since(start))
	if !r.Done {
		return nil, errors.Wrap(ErrUnavailable, r.Detail)
	}
	return r, nil
}

// joinReasons joins the reasons that are not empty.
func joinReasons(reasons ...string) string {
	return strings.Join(slices.DeleteFunc(reasons, func(s string) bool { return s == "" }), ": ")
}

// operateAt carries out a request at the leader, which may be this VM. The error is that
// of the connection, if the leader has not answered.
func (s *Service) operateAt(ctx context.Context, leader string, q *mesh.OperatorRequest) (*mesh.OperatorResponse, error) {
	if leader == s.opts.Address {
		return s.answerOperator(ctx, q), nil
	}
	callCtx, cancel := context.WithTimeout(ctx, forwardTimeout)
	defer cancel()
	r, err := s.peers.call(callCtx, leader, q)
	if err != nil {
		return nil, err
	}
	if (q.Drain != nil || q.ReadDrain != "") && r.Done && r.Drains == nil {
		return &mesh.OperatorResponse{Detail: errFormerLeader.Error()}, nil
	}
	return r, nil
}

// answerOperator answers a request if this VM leads. It never forwards, so that no
// request is passed on in circles.
func (s *Service) answerOperator(ctx context.Context, q *mesh.OperatorRequest) *mesh.OperatorResponse {
	r := &mesh.OperatorResponse{Sequence: q.Sequence}
	ctx, cancel := context.WithTimeout(ctx, operatorTimeout)
	defer cancel()
	err := s.carryOut(ctx, q, r)
	r.Done = err == nil
	if err != nil {
		r.Detail = err.Error()
	}
	return r
}

func (s *Service) carryOut(ctx context.Context, q *mesh.OperatorRequest, r *mesh.OperatorResponse) error {
	switch {
	case q.Drain != nil:
		return s.recordDrain(ctx, q.Drain, r)
	case q.ReadDrain != "":
		return s.driver.Read(func() { s.setDrains(q.ReadDrain, r) })
	case q.Configure == nil:
		return s.driver.Read(func() {
			if c := s.machine.Configuration(); c != nil {
				r.Document = c.Document
			}
		})
	}
	if err := q.Configure.Validate(); err != nil {
		return err
	}
	if s.memory.isShort() {
		present := 0
		err := s.driver.Read(func() {
			if c := s.machine.Configuration(); c != nil {
				present = len(c.Document)
			}
		})
		if err != nil || len(q.Configure.Document) > present {
			return errors.CombineErrors(err, errMemory)
		}
	}
	result, err := s.propose(ctx, ledger.Command{Configure: q.Configure})
	if err != nil {
		return errors.Wrap(err, "record configuration")
	}
	s.opts.Log.Emit(events.Event{ID: events.ConfigurationTaken, Ticket: q.Configure.Version, Text: "in force " + strconv.FormatBool(result.Changed)})
	return nil
}

// logOperation emits the event of an operator's request.
func (s *Service) logOperation(q *mesh.OperatorRequest, r *mesh.OperatorResponse, leader string, attempts int, took time.Duration) {
	e := events.Event{ID: events.OperatorAnswered, Peer: leader, Text: "read"}
	switch {
	case q.Configure != nil:
		e.Ticket = q.Configure.Version
		e.Text = "configure"
	case q.Drain != nil && q.Drain.Drained:
		e.Text = "drain " + q.Drain.DataCentre
	case q.Drain != nil:
		e.Text = "withdraw drain " + q.Drain.DataCentre
	case q.ReadDrain != "":
		e.Text = "read drain " + q.ReadDrain
	}
	e.Text += " confirmed " + strconv.FormatBool(r.Done) + " attempts " + strconv.Itoa(attempts) + " took " + took.Round(time.Millisecond).String()
	if !r.Done {
		e.Text += ": " + r.Detail
	}
	s.opts.Log.Emit(e)
}
