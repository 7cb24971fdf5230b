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
	// startInterval is the longest time between checks until the first one succeeds.
	startInterval = 100 * time.Millisecond
	// recheckInterval is the time between checks of an unhealthy server in passive
	// mode.
	recheckInterval = 500 * time.Millisecond
	// checkTimeout limits a health check.
	checkTimeout = time.Second
	// crashProbeTimeout limits the check that follows a broken connection.
	crashProbeTimeout = 250 * time.Millisecond
	// maxProbeBody limits how many bytes are read of the response to a check.
	maxProbeBody = 4096
)

// checked carries the result of a check to the control loop.
type checked struct {
	result health.Result
	// warmup is how much longer the server is cold, if stated is true.
	warmup time.Duration
	stated bool
}

// MessageName implements kernel.Message.
func (checked) MessageName() string { return "backend-checked" }

// newProbeClient returns a client that opens a new connection for every check, so
// that a dead connection is never mistaken for a dead server.
func newProbeClient() *http.Client {
	return &http.Client{
		Transport:     &http.Transport{DisableKeepAlives: true, MaxResponseHeaderBytes: maxHeaderBytes},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

func (s *Service) runChecks(ctx context.Context) {
	starting := control.PresenceChanged{Presence: model.PresenceStarting}
	if s.loop.Post(ctx, starting) != nil {
		return
	}
	if s.config.Passive {
		s.runPassiveChecks(ctx)
		return
	}
	for s.loop.Post(ctx, s.check(ctx, checkTimeout)) == nil {
		if !s.awaitNextCheck(ctx) {
			return
		}
	}
}

// runPassiveChecks reports the server as healthy without a check. When a request has
// shown otherwise, it checks the server until it is healthy again.
func (s *Service) runPassiveChecks(ctx context.Context) {
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
			_ = s.loop.Post(ctx, s.check(ctx, checkTimeout))
		}
	}
}

// healthPath returns the health check path that the configuration declares for the
// service, or else the one from the settings.
func (s *Service) healthPath() string {
	if s.configuration != nil {
		if c := s.configuration.Load(); c != nil && c.Tree != nil {
			if declared := c.Tree.Services[s.config.Service]; declared != nil && declared.HealthPath != "" {
				return declared.HealthPath
			}
		}
	}
	return s.config.HealthPath
}

// awaitNextCheck returns false if the context ended.
func (s *Service) awaitNextCheck(ctx context.Context) bool {
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

// check requests the health check path once. A timeout or a status other than 2xx is
// Failed; a connection that is refused or breaks is Refused.
func (s *Service) check(ctx context.Context, timeout time.Duration) checked {
	ctx, cancel := clock.WithTimeout(ctx, s.clock, timeout)
	defer cancel()
	target := s.base.JoinPath(s.healthPath())
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, target.String(), nil)
	if err != nil {
		return checked{result: health.Failed}
	}
	response, err := s.probeClient.Do(request)
	if err != nil {
		if ctx.Err() != nil {
			return checked{result: health.Failed}
		}
		return checked{result: health.Refused}
	}
	defer response.Body.Close()
	_, _ = io.CopyN(io.Discard, response.Body, maxProbeBody)
	c := checked{result: health.OK}
	c.warmup, c.stated = s.config.Headers.FromHealth(response.Header)
	if response.StatusCode < 200 || response.StatusCode > 299 {
		c.result = health.Failed
	}
	return c
}

// Crashed checks, after a connection broke, whether the server process has crashed,
// which it has if it refuses or breaks a new connection. A server that passes its
// health check has only closed the connection; one that fails it or does not respond in
// time counts as unhealthy, but not as crashed. It is safe for concurrent use and
// returns within crashProbeTimeout.
func (s *Service) Crashed(ctx context.Context) bool {
	c := s.check(ctx, crashProbeTimeout)
	if c.result == health.OK {
		if c.stated {
			s.loop.TryPost(warmupStated{left: c.warmup}) // it may have crashed and returned
		}
		return false
	}
	s.loop.TryPost(checked{result: health.Refused})
	return c.result == health.Refused
}

func (s *Service) handleChecked(m checked) {
	before := s.tracker.State
	s.tracker = s.tracker.Observe(m.result)
	after := s.tracker.State
	s.emitObservation(m, before, after)
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

// recordChange records the new state in the timeline. A server that the result
// Refused made unhealthy is recorded as crashed.
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
