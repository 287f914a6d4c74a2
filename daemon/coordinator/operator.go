package coordinator

import (
	"context"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cicadapulley/cicadapulley/core/ledger"
	"github.com/cicadapulley/cicadapulley/core/raft"
	"github.com/cicadapulley/cicadapulley/core/work"
	"github.com/cicadapulley/cicadapulley/daemon/events"
)

// ErrNotLeading is returned by a control VM that does not lead, or whose lease
// as leader does not hold, so that its state may be outdated.
var ErrNotLeading = errors.New("this control VM does not lead")

// configureTimeout bounds the replication of a configuration.
const configureTimeout = 900 * time.Millisecond

// Configure brings a valid configuration into force if its version is higher than
// the current one. It returns once this configuration, or one of a higher version,
// is durable. The error is ErrNotLeading, or another one if the outcome is
// unknown.
func (s *Service) Configure(ctx context.Context, c *work.Configuration) error {
	if !s.driver.Leading() {
		return ErrNotLeading
	}
	callCtx, cancel := context.WithTimeout(ctx, configureTimeout)
	defer cancel()
	result, err := s.propose(callCtx, ledger.Command{Configure: c})
	var notLeader *raft.NotLeaderError
	switch {
	case errors.As(err, &notLeader):
		return ErrNotLeading
	case err != nil:
		return errors.Wrap(err, "record configuration")
	}
	s.opts.Log.Emit(events.Event{ID: events.ConfigurationTaken, Ticket: c.Version, Text: "in force " + strconv.FormatBool(result.Changed)})
	if result.Changed {
		s.eachEntry(s.sendWelcome)
	}
	return nil
}

// Configuration returns the configuration document in force, nil before the first.
// The only error is ErrNotLeading.
func (s *Service) Configuration() ([]byte, error) {
	var document []byte
	err := s.driver.Read(func() {
		if c := s.machine.Configuration(); c != nil {
			document = c.Document
		}
	})
	if err != nil {
		return nil, ErrNotLeading
	}
	return document, nil
}
