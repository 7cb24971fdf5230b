// Package dependencies is the service that knows which calls the local server makes while
// it runs requests, and refuses requests of a kind whose calls are refused or late now.
// The ingress service reports the calls, the gate the runs.
package dependencies

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/galenalever/galenalever/internal/clock"
	"github.com/galenalever/galenalever/internal/control"
	"github.com/galenalever/galenalever/internal/decision/dependency"
	"github.com/galenalever/galenalever/internal/kernel"
	"github.com/galenalever/galenalever/internal/model"
	"github.com/galenalever/galenalever/internal/timeline"
)

// activeFor is the time after the last call in which runs are recorded. A server that
// makes no calls costs one atomic load for each request.
const activeFor = 10 * time.Second

type (
	// scopeSource is the part of the metrics service that this service uses.
	scopeSource interface{ Scope() tally.Scope }
	// statusPage is the part of the operator service that this service uses.
	statusPage interface {
		AddStatus(section string, f func() any)
	}
	// recorder is the part of the timeline service that this service uses.
	recorder interface {
		Record(kind timeline.Kind, detail string)
	}
)

// Service implements the kernel's service "dependencies". Its methods are safe for
// concurrent use.
type Service struct {
	config   Config
	clock    clock.Clock
	log      *slog.Logger
	scope    tally.Scope
	timeline recorder // nil if the node has none
	// activeUntil is when the service stops to record runs, in Unix nanoseconds.
	activeUntil atomic.Int64

	mu    sync.Mutex
	state dependency.State
	// held holds the counters of the kinds that have been limited, calls the metrics of
	// the services that have been called.
	held  map[string]tally.Counter
	calls map[model.ServiceName]callMetrics
}

// callMetrics are the metrics of the calls to one service.
type callMetrics struct {
	answered, unanswered tally.Counter
	share                tally.Gauge
}

// Config configures the service.
type Config struct {
	// Unlimited admits every request, as a baseline for experiments.
	Unlimited bool
}

// New returns the service.
func New(config Config) *Service {
	return &Service{config: config, held: make(map[string]tally.Counter), calls: make(map[model.ServiceName]callMetrics)}
}

// Name implements kernel.Service.
func (*Service) Name() string { return control.Dependencies }

// Provision implements kernel.Provisioner.
func (s *Service) Provision(c *kernel.Context) error {
	s.clock, s.log = c.Clock, c.Log
	scopes, err := kernel.Find[scopeSource](c, control.Metrics)
	if err != nil {
		return err
	}
	s.scope = scopes.Scope().SubScope("dependencies")
	if page, err := kernel.Find[statusPage](c, control.Operator); err == nil {
		page.AddStatus(control.Dependencies, func() any { return s.Status() })
	}
	if events, err := kernel.Find[recorder](c, control.Timeline); err == nil {
		s.timeline = events
	}
	return nil
}

// CallEnded records the end of a call that the local server made to a service. A call that
// was refused for lack of capacity, or was late, has not been answered.
func (s *Service) CallEnded(service model.ServiceName, answered bool, begun, now time.Time) {
	s.activeUntil.Store(now.Add(activeFor).UnixNano())
	s.mu.Lock()
	defer s.mu.Unlock()
	share := s.state.CallEnded(service, answered, begun, now)
	m := s.metricsOf(service)
	m.share.Update(share)
	if answered {
		m.answered.Inc(1)
		return
	}
	m.unanswered.Inc(1)
}

// metricsOf returns the metrics of the calls to a service. The caller must hold s.mu.
func (s *Service) metricsOf(service model.ServiceName) callMetrics {
	m, ok := s.calls[service]
	if !ok {
		scope := s.scope.Tagged(map[string]string{"called": string(service)})
		m = callMetrics{
			answered: scope.Counter("calls_answered"), unanswered: scope.Counter("calls_unanswered"),
			share: scope.Gauge("calls_answered_share"),
		}
		s.calls[service] = m
	}
	return m
}

// RunEnded records that the local server ended the run of a request of a kind, with a
// server error if failed is true.
func (s *Service) RunEnded(kind string, failed bool, begun, now time.Time) {
	if !s.active(now) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state.RunEnded(kind, failed, begun, now)
}

// Admit reports whether a request of a kind may start, and otherwise the delay after which
// its calls are expected to be answered. A request that is admitted and does not run must
// be withdrawn. overdue is true for a request that has missed its latency objective.
func (s *Service) Admit(kind string, overdue bool, now time.Time) (ok bool, retryAfter time.Duration) {
	if s.config.Unlimited || !s.active(now) {
		return true, 0
	}
	d := s.decide(kind, overdue, now)
	if d.Changed {
		s.recordChange(kind, d.Limited)
	}
	return d.Admitted, d.RetryAfter
}

// Forecast returns what Admit would return, and changes nothing.
func (s *Service) Forecast(kind string, overdue bool, now time.Time) (ok bool, retryAfter time.Duration) {
	if s.config.Unlimited || !s.active(now) {
		return true, 0
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	d := s.state.Forecast(kind, overdue, now)
	return d.Admitted, d.RetryAfter
}

func (s *Service) decide(kind string, overdue bool, now time.Time) dependency.Decision {
	s.mu.Lock()
	defer s.mu.Unlock()
	d := s.state.Admit(kind, overdue, now)
	if !d.Admitted {
		counter, ok := s.held[kind]
		if !ok {
			counter = s.scope.Tagged(map[string]string{"kind": kind}).Counter("held_back")
			s.held[kind] = counter
		}
		counter.Inc(1)
	}
	return d
}

// recordChange records that the limit of a kind began or ended.
func (s *Service) recordChange(kind string, limited bool) {
	event, message := timeline.KindCallsRegained, "calls are answered again; requests are no longer limited"
	if limited {
		event, message = timeline.KindCallsFail, "runs fail because of calls; requests are limited"
	}
	s.log.LogAttrs(context.Background(), slog.LevelInfo, message, slog.String("kind", kind))
	if s.timeline != nil {
		s.timeline.Record(event, kind)
	}
}

// Withdraw records that an admitted request did not run.
func (s *Service) Withdraw(kind string, now time.Time) {
	if s.config.Unlimited || !s.active(now) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state.Withdraw(kind, now)
}

// Status returns what the service knows for the status page.
func (s *Service) Status() dependency.Status {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.Status(s.clock.Now())
}

func (s *Service) active(now time.Time) bool { return now.UnixNano() < s.activeUntil.Load() }
