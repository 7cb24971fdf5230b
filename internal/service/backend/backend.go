// Package backend holds the connections of a node to the backend server beside
// it: health checks with hysteresis, cold start, requests with an exact account
// of whether a byte of them was written, and the detection of crashes.
package backend

import (
	"context"
	"log/slog"
	"net/http"
	"net/url"
	"time"

	"github.com/rotisserie/eris"

	"github.com/galenalever/galenalever/internal/clock"
	"github.com/galenalever/galenalever/internal/control"
	"github.com/galenalever/galenalever/internal/decision/health"
	"github.com/galenalever/galenalever/internal/kernel"
	"github.com/galenalever/galenalever/internal/model"
	"github.com/galenalever/galenalever/internal/timeline"
)

// recorder is the part of the time line that this service uses.
type recorder interface {
	Record(kind timeline.Kind, detail string)
}

// Config configures the service.
type Config struct {
	// URL is the base URL of the server, with the scheme http.
	URL string
	// HealthPath is the path of the server's health check.
	HealthPath string
	// HealthInterval is the time between two health checks.
	HealthInterval time.Duration
	// Passive is true if the server is taken as healthy until a request shows
	// otherwise, and checked only until it has recovered.
	Passive bool
	// Service is the service of the server; its declaration may name another
	// HealthPath.
	Service model.ServiceName
}

// configurations is the part of the config service that this service uses.
type configurations interface {
	Configuration() *kernel.Snapshot[*model.Configuration]
}

// Service implements the kernel's service "backend".
type Service struct {
	config Config
	base   *url.URL
	// Requests that are not idempotent use connections that idled only briefly,
	// since a server that closes one at that moment makes the outcome unknown.
	idempotent, other *http.Transport
	probes            *http.Client
	state             *kernel.Snapshot[health.State]
	tracker           health.Tracker // control state
	announced         bool           // control state
	loop              *kernel.Loop
	clock             clock.Clock
	log               *slog.Logger
	timeline          recorder
	declared          *kernel.Snapshot[*model.Configuration] // nil if the node has none
	done              chan struct{}
}

// New returns a service that has not contacted the server.
func New(c Config) *Service {
	return &Service{
		config:     c,
		idempotent: newTransport(idleIdempotent),
		other:      newTransport(idleOther),
		probes:     newProbeClient(),
		state:      kernel.NewSnapshot(health.Starting),
		done:       make(chan struct{}),
	}
}

// Name implements kernel.Service.
func (s *Service) Name() string { return control.Backend }

// Provision implements kernel.Provisioner.
func (s *Service) Provision(c *kernel.Context) error {
	s.loop, s.clock, s.log = c.Loop, c.Clock, c.Log
	var err error
	if s.base, err = parseBase(s.config.URL); err != nil {
		return err
	}
	if s.timeline, err = kernel.Find[recorder](c, control.Timeline); err != nil {
		return err
	}
	if config, err := kernel.Find[configurations](c, control.Config); err == nil {
		s.declared = config.Configuration()
	}
	kernel.Subscribe(c.Loop, s.handleChecked)
	return nil
}

func parseBase(text string) (*url.URL, error) {
	base, err := url.Parse(text)
	if err != nil {
		return nil, eris.Wrap(err, "URL of the backend server")
	}
	if base.Scheme != "http" || base.Host == "" {
		return nil, eris.Errorf("URL of the backend server: %q is not of the form http://host:port", text)
	}
	return base, nil
}

// Start implements kernel.Starter.
func (s *Service) Start(ctx context.Context) error {
	go func() {
		defer close(s.done)
		s.checkUntil(ctx)
	}()
	return nil
}

// Stop implements kernel.Stopper. The health checks end with the context of
// Start.
func (s *Service) Stop(context.Context) error {
	s.idempotent.CloseIdleConnections()
	s.other.CloseIdleConnections()
	return nil
}

// State returns the snapshot of the server's health.
func (s *Service) State() *kernel.Snapshot[health.State] { return s.state }

// Available reports whether the server takes requests. Any goroutine may call
// it.
func (s *Service) Available() bool { return s.state.Load() == health.Healthy }
