// Package backend provides the service that sends requests and health checks from a
// node to its backend server. It derives the server's health from the checks with
// hysteresis, announces the instance as ready after the first success, and detects
// crashes. For a failed request it reports whether any byte was written.
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
	"github.com/galenalever/galenalever/internal/frontend"
	"github.com/galenalever/galenalever/internal/kernel"
	"github.com/galenalever/galenalever/internal/model"
	"github.com/galenalever/galenalever/internal/timeline"
)

// recorder is the part of the timeline service that this service uses.
type recorder interface {
	Record(kind timeline.Kind, detail string)
}

// Config holds the settings of the service.
type Config struct {
	// URL is the base URL of the server, with the scheme http.
	URL string
	// HealthPath is the path of the server's health check.
	HealthPath string
	// HealthInterval is the time between two health checks once the first one has
	// succeeded. It has no effect with Passive.
	HealthInterval time.Duration
	// Passive means that the server is assumed to be healthy until a request shows
	// that it refuses connections or has crashed, and that health checks run only
	// from then until it has recovered.
	Passive bool
	// Service is the service of the server. The HealthPath in its declaration, if
	// any, takes precedence.
	Service model.ServiceName
	// Headers is the header protocol of the server; nil means frontend.Native.
	Headers frontend.Headers
}

// configSource is the part of the config service that this service uses.
type configSource interface {
	Configuration() *kernel.Snapshot[*model.Configuration]
}

// Service sends requests and health checks to the backend server.
type Service struct {
	config Config
	base   *url.URL
	// Requests that are not idempotent use connections that were idle only briefly:
	// if the server closes an idle connection while a request is written to it, the
	// outcome is unknown.
	idempotent, other *http.Transport
	probeClient       *http.Client
	state             *kernel.Snapshot[health.State]
	// tracker and announced are used on the control loop only. announced is true once
	// PresenceReady has been emitted.
	tracker       health.Tracker
	announced     bool
	loop          *kernel.Loop
	clock         clock.Clock
	log           *slog.Logger
	timeline      recorder
	configuration *kernel.Snapshot[*model.Configuration] // nil without a config service
	done          chan struct{}
}

// New returns a service that has not yet contacted the server.
func New(c Config) *Service {
	if c.Headers == nil {
		c.Headers = frontend.Native{}
	}
	return &Service{
		config:      c,
		idempotent:  newTransport(idleTimeoutIdempotent),
		other:       newTransport(idleTimeoutOther),
		probeClient: newProbeClient(),
		state:       kernel.NewSnapshot(health.Starting),
		done:        make(chan struct{}),
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
	if config, err := kernel.Find[configSource](c, control.Config); err == nil {
		s.configuration = config.Configuration()
	}
	kernel.Subscribe(c.Loop, s.handleChecked)
	kernel.Subscribe(c.Loop, s.handleWarmupStated)
	return nil
}

func parseBase(text string) (*url.URL, error) {
	base, err := url.Parse(text)
	if err != nil {
		return nil, eris.Wrap(err, "parsing the URL of the backend server")
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
		s.runChecks(ctx)
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

// State returns the snapshot of the server's health state.
func (s *Service) State() *kernel.Snapshot[health.State] { return s.state }

// Available reports whether the server is healthy. It is safe for concurrent use.
func (s *Service) Available() bool { return s.state.Load() == health.Healthy }
