package backend

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/galenalever/galenalever/internal/clock"
	"github.com/galenalever/galenalever/internal/control"
	"github.com/galenalever/galenalever/internal/decision/health"
	"github.com/galenalever/galenalever/internal/kernel"
	"github.com/galenalever/galenalever/internal/model"
	"github.com/galenalever/galenalever/internal/timeline"
)

const (
	// startInterval is the time between checks until the server is ready first.
	startInterval = 100 * time.Millisecond
	// recheckInterval is the time between checks of a server that has failed.
	recheckInterval = 500 * time.Millisecond
	// checkTimeout bounds a health check.
	checkTimeout = time.Second
	// crashProbeTimeout bounds the check that follows a broken connection.
	crashProbeTimeout = 250 * time.Millisecond
	// maxProbeBody bounds what is read of the answer to a check, in bytes.
	maxProbeBody = 4096
)

// checked carries the result of a check to the control loop.
type checked struct{ result health.Result }

// MessageName implements kernel.Message.
func (checked) MessageName() string { return "backend-checked" }

// newProbeClient returns a client that opens a connection for every check, so
// that a dead one is never mistaken for a dead server.
func newProbeClient() *http.Client {
	return &http.Client{
		Transport:     &http.Transport{DisableKeepAlives: true, MaxResponseHeaderBytes: maxHeaderBytes},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

func (s *Service) checkUntil(ctx context.Context) {
	starting := control.PresenceChanged{Presence: model.PresenceStarting}
	if s.loop.Post(ctx, starting) != nil {
		return
	}
	if s.config.Passive {
		s.checkFailed(ctx)
		return
	}
	for s.loop.Post(ctx, checked{result: s.check(ctx, checkTimeout)}) == nil {
		if !s.pause(ctx) {
			return
		}
	}
}

// checkFailed takes the server as healthy, and checks it whenever a request
// has shown otherwise, until it is healthy again.
func (s *Service) checkFailed(ctx context.Context) {
	if s.loop.Post(ctx, checked{result: health.OK}) != nil {
		return
	}
	for ctx.Err() == nil {
		state, changed := s.state.Watch()
		if state != health.Unhealthy {
			_ = kernel.Await(ctx, changed) // the loop checks the context
			continue
		}
		if clock.Wait(ctx, s.clock, recheckInterval) == nil {
			_ = s.loop.Post(ctx, checked{result: s.check(ctx, checkTimeout)})
		}
	}
}

// healthPath returns the path of the server's health check.
func (s *Service) healthPath() string {
	if s.declared != nil {
		if c := s.declared.Load(); c != nil && c.Tree != nil {
			if declared := c.Tree.Services[s.config.Service]; declared != nil && declared.HealthPath != "" {
				return declared.HealthPath
			}
		}
	}
	return s.config.HealthPath
}

// pause waits until the next check is due and reports false if the context
// ended.
func (s *Service) pause(ctx context.Context) bool {
	interval := s.config.HealthInterval
	if s.state.Load() == health.Starting {
		interval = min(interval, startInterval)
	}
	due := make(chan struct{})
	timer := s.clock.AfterFunc(interval, func() { close(due) })
	defer timer.Stop()
	select {
	case <-due:
		return true
	case <-ctx.Done():
		return false
	}
}

func (s *Service) check(ctx context.Context, timeout time.Duration) health.Result {
	ctx, cancel := clock.WithTimeout(ctx, s.clock, timeout)
	defer cancel()
	target := s.base.JoinPath(s.healthPath())
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, target.String(), nil)
	if err != nil {
		return health.Failed
	}
	response, err := s.probes.Do(request)
	if err != nil {
		if ctx.Err() != nil {
			return health.Failed
		}
		return health.Refused
	}
	defer response.Body.Close()
	_, _ = io.CopyN(io.Discard, response.Body, maxProbeBody)
	if response.StatusCode < 200 || response.StatusCode > 299 {
		return health.Failed
	}
	return health.OK
}

// Crashed checks after a broken connection whether the server process is gone.
// A server that answers its health check has only closed a connection.
func (s *Service) Crashed(ctx context.Context) bool {
	if s.check(ctx, crashProbeTimeout) == health.OK {
		return false
	}
	s.loop.TryPost(checked{result: health.Refused})
	return true
}

func (s *Service) handleChecked(m checked) {
	before := s.tracker.State
	s.tracker = s.tracker.Observe(m.result)
	after := s.tracker.State
	if before == after {
		return
	}
	s.state.Store(after)
	s.log.Info("health of the backend server changed", "from", before.String(), "to", after.String())
	s.recordChange(m.result, after)
	if after == health.Healthy && !s.announced {
		s.announced = true
		s.loop.Emit(control.PresenceChanged{Presence: model.PresenceReady})
	}
}

func (s *Service) recordChange(result health.Result, after health.State) {
	switch {
	case after == health.Healthy:
		s.timeline.Record(timeline.KindServerHealthy, s.base.Host)
	case result == health.Refused:
		s.timeline.Record(timeline.KindServerCrashed, s.base.Host)
	default:
		s.timeline.Record(timeline.KindServerUnhealthy, s.base.Host)
	}
}
