// Package uplink is the service that paces the bodies of the responses which a node sends
// over its link, to other nodes and to callers, so that small messages pass. The services
// that send responses find it by name.
package uplink

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/galenalever/galenalever/internal/clock"
	"github.com/galenalever/galenalever/internal/control"
	"github.com/galenalever/galenalever/internal/decision/transfer"
	"github.com/galenalever/galenalever/internal/kernel"
	"github.com/galenalever/galenalever/internal/model"
)

const (
	// minPacedBytes is the size from which a piece of a body counts. Smaller ones are
	// among the messages that must not wait.
	minPacedBytes = 4 << 10
	bitsPerByte   = 8
)

// The services that this service depends on.
type (
	scopeSource interface{ Scope() tally.Scope }
	statusPage  interface {
		AddStatus(section string, f func() any)
	}
)

// Config configures the service.
type Config struct {
	// Bandwidth is the bandwidth of the node's link in bits per second; 0 means no limit.
	Bandwidth float64
	// Self names the host of the node. What stays on this host does not use the link.
	Self model.Self
}

// Service paces the pieces of bodies. It is safe for concurrent use.
type Service struct {
	config  Config
	clock   clock.Clock
	ownHost string
	waited  tally.Counter
	waiting tally.Gauge

	mu      sync.Mutex
	tickets transfer.Ticket
	state   *transfer.Outgoing
	waiters map[transfer.Ticket]chan struct{}
	timer   clock.Timer // nil before the first wait
	stats   Stats
}

// Stats is the state on the status page. Waited and WaitedTime count since the start of
// the process.
type Stats struct {
	Waiting    int           `json:"waiting"`
	Backlog    time.Duration `json:"backlog_ns"`
	Waited     uint64        `json:"waited"`
	WaitedTime time.Duration `json:"waited_ns"`
}

// New returns the service.
func New(config Config) *Service {
	return &Service{
		config: config, state: transfer.NewOutgoing(config.Bandwidth / bitsPerByte),
		waiters: make(map[transfer.Ticket]chan struct{}),
	}
}

// Name implements kernel.Service.
func (*Service) Name() string { return control.Uplink }

// Provision implements kernel.Provisioner.
func (s *Service) Provision(c *kernel.Context) error {
	s.clock = c.Clock
	s.ownHost, _, _ = net.SplitHostPort(s.config.Self.Addresses.Traffic) // without one, only loopback is local
	metrics, err := kernel.Find[scopeSource](c, control.Metrics)
	if err != nil {
		return err
	}
	s.waited = metrics.Scope().Counter("uplink_chunks_waited")
	s.waiting = metrics.Scope().Gauge("uplink_chunks_waiting")
	if page, err := kernel.Find[statusPage](c, control.Operator); err == nil {
		page.AddStatus(control.Uplink, func() any { return s.Stats() })
	}
	return nil
}

// Leaves reports whether what is sent to the address leaves the host, and so uses the link.
func (s *Service) Leaves(address string) bool {
	host, _, err := net.SplitHostPort(address)
	if err != nil || host == s.ownHost {
		return false
	}
	ip := net.ParseIP(host)
	return ip == nil || !ip.IsLoopback()
}

// Pace waits until the link has room for the next piece of a body, but not beyond the
// deadline or the end of ctx. A piece without a deadline does not wait.
func (s *Service) Pace(ctx context.Context, bytes, priority int, deadline time.Time) {
	if s.config.Bandwidth <= 0 || bytes < minPacedBytes {
		return
	}
	s.mu.Lock()
	s.tickets++
	ticket, begin := s.tickets, s.clock.Now()
	if s.state.Arrive(transfer.Chunk{Ticket: ticket, Bytes: bytes, Priority: priority, Deadline: deadline}, begin) {
		s.mu.Unlock()
		return
	}
	sent := make(chan struct{})
	s.waiters[ticket] = sent
	s.stats.Waited++
	s.waited.Inc(1)
	s.schedule()
	s.mu.Unlock()
	select {
	case <-sent:
	case <-ctx.Done():
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stats.WaitedTime += s.clock.Now().Sub(begin)
	if _, ok := s.waiters[ticket]; ok {
		delete(s.waiters, ticket)
		s.state.Withdraw(ticket)
		s.schedule()
	}
}

// proceed lets the pieces go on whose time has come.
func (s *Service) proceed() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, ticket := range s.state.Continue(s.clock.Now()) {
		close(s.waiters[ticket])
		delete(s.waiters, ticket)
	}
	s.schedule()
}

// schedule sets the timer for the next piece. The caller must hold s.mu.
func (s *Service) schedule() {
	if s.timer != nil {
		s.timer.Stop()
	}
	s.waiting.Update(float64(s.state.Waiting()))
	if next, ok := s.state.Next(); ok {
		s.timer = s.clock.AfterFunc(next.Sub(s.clock.Now()), s.proceed)
	}
}

// Stats returns the state of the link.
func (s *Service) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := s.stats
	out.Waiting, out.Backlog = s.state.Waiting(), s.state.Backlog(s.clock.Now())
	return out
}
