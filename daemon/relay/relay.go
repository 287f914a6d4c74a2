// Package relay copies bytes between agents and the leader for an entry that reaches both
// while they don't reach each other. Parent: the root of the entry's process. Children:
// one goroutine for each direction of each relay. Restart rule: none; the leader asks for
// another relay. State: the open relays. It decodes nothing of what it copies, and the
// leader decides which agents are relayed.
package relay

import (
	"bytes"
	"context"
	"fmt"
	"maps"
	"net"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/cicadapulley/cicadapulley/api/mesh"
	"github.com/cicadapulley/cicadapulley/daemon/events"
	"github.com/cicadapulley/cicadapulley/daemon/supervisor"
)

const (
	// dialTimeout bounds each of the two connections of a relay.
	dialTimeout = 250 * time.Millisecond
	// idleTimeout is how long a relay stays open while neither side sends anything. Both
	// send pings several times in it.
	idleTimeout = 2 * time.Second
	// writeTimeout bounds one write, as for a direct connection.
	writeTimeout = time.Second
	// bufferBytes is the size of the buffer of each direction.
	bufferBytes = 16 << 10
	// maxOrders bounds the orders that wait while others are carried out.
	maxOrders = 64
	// summaryInterval is the time over which ends are reported in one event.
	summaryInterval = time.Second
)

// Causes of the end of a relay.
var (
	errAgentEnded   = errors.New("the agent ended the connection")
	errControlEnded = errors.New("the control VM ended the connection")
	errDialAgent    = errors.New("no connection to the agent")
	errDialControl  = errors.New("no connection to the control VM")
	errIdle         = errors.New("neither side sent anything")
	errReplaced     = errors.New("another control VM leads")
	errStopped      = errors.New("the entry stops")
)

// Options configure a Service.
type Options struct {
	// VM is the name of the entry's VM.
	VM string
	// Limit is the number of agents that are relayed at once; 0 relays none.
	Limit int
	Log   *events.Log
}

// Service relays agents. Relay is safe for concurrent use.
type Service struct {
	opts   Options
	orders chan order
	// open is the number of agents that are relayed.
	open atomic.Int64
}

// order is the order to relay an agent.
type order struct {
	vm, address string
	// control is the mesh address of the control VM.
	control string
}

// relay is an order that is being carried out.
type relay struct {
	order
	end context.CancelCauseFunc
}

// ended is the end of a relay.
type ended struct {
	*relay
	cause error
}

// New returns a service; Run relays.
func New(o Options) *Service {
	return &Service{opts: o, orders: make(chan order, maxOrders)}
}

// Relay relays an agent to the control VM at an address, unless that is done already or
// Options.Limit is reached. It does not block.
func (s *Service) Relay(m *mesh.Relay, control string) {
	select {
	case s.orders <- order{vm: m.VM, address: m.Address, control: control}:
	default: // the leader chooses another entry
	}
}

// Run relays until ctx ends.
func (s *Service) Run(ctx context.Context) error {
	open := map[string]*relay{}
	ends := make(chan ended)
	running := 0
	var summary summary
	defer func() {
		for ; running > 0; running-- {
			summary.add(<-ends)
		}
		s.open.Store(0)
		summary.report(s.opts.Log)
	}()
	for {
		select {
		case <-ctx.Done():
			return nil
		case o := <-s.orders:
			if !s.accepts(open, o) {
				continue
			}
			relayCtx, end := context.WithCancelCause(ctx)
			r := &relay{order: o, end: end}
			open[o.vm] = r
			running++
			go func() { ends <- ended{r, s.run(relayCtx, r)} }()
		case e := <-ends:
			running--
			e.end(nil)
			if open[e.vm] == e.relay {
				delete(open, e.vm)
			}
			summary.add(e)
		case <-summary.due:
			summary.report(s.opts.Log)
		}
		s.open.Store(int64(len(open)))
	}
}

// accepts reports whether an order is to be carried out. It ends a relay of the same agent
// to another control VM: orders come from the leader, so that one leads no longer.
func (s *Service) accepts(open map[string]*relay, o order) bool {
	previous := open[o.vm]
	if previous == nil {
		return len(open) < s.opts.Limit
	}
	if previous.control == o.control {
		return false
	}
	previous.end(errReplaced)
	return true
}

// run carries out an order until either side ends, and returns the cause.
func (s *Service) run(ctx context.Context, r *relay) error {
	return supervisor.CatchPanic(s.opts.Log, "relays/"+r.vm, func() error {
		agent, err := dial(ctx, r.address)
		if err != nil {
			return causeOf(ctx, errDialAgent)
		}
		defer agent.Close()
		control, err := dial(ctx, r.control)
		if err != nil {
			return causeOf(ctx, errDialControl)
		}
		defer control.Close()
		p := &pair{agent: agent, control: control, openedAt: time.Now(), end: r.end}
		stop := context.AfterFunc(ctx, p.close)
		defer stop()
		if err := p.greet(s.opts.VM); err != nil {
			return causeOf(ctx, errAgentEnded)
		}
		var other sync.WaitGroup
		other.Go(func() {
			_ = supervisor.CatchPanic(s.opts.Log, "relays/"+r.vm, func() error { // a panic ends the pair
				p.copy(agent, control, errControlEnded, errAgentEnded)
				return nil
			})
		})
		p.copy(control, agent, errAgentEnded, errControlEnded)
		other.Wait()
		return causeOf(ctx, errAgentEnded)
	})
}

// causeOf returns why a relay's context has ended, or err if it has not.
func causeOf(ctx context.Context, err error) error {
	switch cause := context.Cause(ctx); {
	case cause == nil:
		return err
	case errors.Is(cause, context.Canceled):
		return errStopped
	default:
		return cause
	}
}

func dial(ctx context.Context, address string) (net.Conn, error) {
	d := net.Dialer{Timeout: dialTimeout}
	return d.DialContext(ctx, "tcp", address)
}

// pair is the two connections of a relay.
type pair struct {
	agent, control net.Conn
	openedAt       time.Time
	// activeAt is when bytes were last received, as the time since openedAt.
	activeAt atomic.Int64
	end      context.CancelCauseFunc
}

func (p *pair) close() {
	_ = p.agent.Close() // nothing depends on the errors
	_ = p.control.Close()
}

// greet sends the agent the only message that the entry writes itself.
func (p *pair) greet(vm string) error {
	var hello bytes.Buffer
	if err := mesh.Encode(&hello, &mesh.Hello{Role: mesh.RoleRelay, VM: vm}); err != nil {
		return err
	}
	return write(p.agent, hello.Bytes())
}

// copy copies one direction until either connection ends, and ends both. readCause and
// writeCause are the causes for each.
func (p *pair) copy(to, from net.Conn, readCause, writeCause error) {
	defer p.close()
	buffer := make([]byte, bufferBytes)
	for {
		n, err := p.read(from, buffer, readCause)
		if err == nil {
			if write(to, buffer[:n]) == nil {
				continue
			}
			err = writeCause
		}
		p.end(err)
		return
	}
}

// read reads from one side. It fails if neither side sends anything for idleTimeout.
func (p *pair) read(from net.Conn, buffer []byte, readCause error) (int, error) {
	for {
		idleAt := p.openedAt.Add(time.Duration(p.activeAt.Load()) + idleTimeout)
		if err := from.SetReadDeadline(idleAt); err != nil {
			return 0, readCause
		}
		n, err := from.Read(buffer)
		if n > 0 {
			p.activeAt.Store(int64(time.Since(p.openedAt)))
			return n, nil
		}
		var timeout net.Error
		switch {
		case !errors.As(err, &timeout) || !timeout.Timeout():
			return 0, readCause
		case time.Since(p.openedAt)-time.Duration(p.activeAt.Load()) >= idleTimeout:
			return 0, errIdle
		}
	}
}

func write(to net.Conn, data []byte) error {
	if err := to.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return err
	}
	_, err := to.Write(data)
	return err
}

// summary collects the ends that are reported in one event.
type summary struct {
	// due receives when the event is due; nil while there are no ends.
	due  <-chan time.Time
	vm   string
	ends map[string]int
}

func (s *summary) add(e ended) {
	if s.due == nil {
		s.due = time.After(summaryInterval)
		s.ends = map[string]int{}
	}
	s.vm = e.vm
	s.ends[e.cause.Error()]++
}

// report emits the event for the collected ends, if there are any.
func (s *summary) report(log *events.Log) {
	if s.due == nil {
		return
	}
	total := 0
	var text []string
	for _, cause := range slices.Sorted(maps.Keys(s.ends)) {
		total += s.ends[cause]
		text = append(text, fmt.Sprintf("%s: %d", cause, s.ends[cause]))
	}
	peer := s.vm
	if total > 1 {
		peer = fmt.Sprintf("%d agents", total)
	}
	log.Emit(events.Event{ID: events.RelayEnded, Peer: peer, Text: strings.Join(text, ", ")})
	*s = summary{}
}

// Collectors returns the metrics of the service.
func (s *Service) Collectors() []prometheus.Collector {
	return []prometheus.Collector{
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: "cicadapulley_relays", Help: "Agents that this entry relays to the leader."},
			func() float64 { return float64(s.open.Load()) }),
	}
}
