package ingress

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"github.com/galenalever/galenalever/internal/clock"
)

// Stop implements kernel.Stopper. It waits until this node's server has drained, closes
// the listener and waits for the requests in flight. Until these have ended, requests on
// open connections are refused; then the connections are closed.
func (s *Service) Stop(ctx context.Context) error {
	if plan := s.drainPlan.Load(); plan != nil { // the rest of the time is for the other services
		var cancel context.CancelFunc
		ctx, cancel = clock.WithTimeout(ctx, s.clock, plan.CloseBy.Sub(s.clock.Now()))
		defer cancel()
	}
	s.awaitServerDrained(ctx)
	s.log.Info("closing the callers' listener", "in_flight", s.inFlight.count(), "unused_connections", s.unused.Count())
	s.closing.Store(true)
	s.settle(ctx)
	err := s.listener.Close()
	<-s.served
	if s.unused.Count() > 0 {
		s.settle(ctx)
	}
	if !s.inFlight.awaitIdle(ctx) {
		err = eris.Errorf("%d requests of callers are cut by the end of the process", s.logCut())
	}
	// Shutdown must come last: once it has begun, the server closes connections whose
	// next request has arrived, without a response.
	if shutdownErr := s.server.Shutdown(ctx); shutdownErr != nil {
		s.log.Warn("callers have not read their responses in time; their connections are closed", "error", shutdownErr)
		_ = s.server.Close()
	}
	return err
}

const (
	// settleTime is how long a connection that a caller has just opened stays open, so that
	// its request is read and refused. A loaded node accepts connections late.
	settleTime = 100 * time.Millisecond
	// settleDivisor limits that time to a part of the rest of a short drain.
	settleDivisor = 10
)

// settle gives the server time to accept connections and to read the requests on them.
func (s *Service) settle(ctx context.Context) {
	d := settleTime
	if plan := s.drainPlan.Load(); plan != nil {
		d = min(d, plan.CloseBy.Sub(s.clock.Now())/settleDivisor)
	}
	_ = clock.Wait(ctx, s.clock, d) // the steps that follow end with the context, too
}

// awaitServerDrained waits until this node's server runs no request of other nodes, since
// those requests make calls through this service.
func (s *Service) awaitServerDrained(ctx context.Context) {
	if s.gate != nil && !s.gate.AwaitDrained(ctx) {
		s.log.Warn("this node's server still runs requests after the time allowed for draining; their calls are aborted")
	}
}

// logCut logs the requests whose connections the end of the process will close and
// returns their number.
func (s *Service) logCut() int {
	now, cut := s.clock.Now(), s.inFlight.all()
	for _, request := range cut {
		s.log.Warn("request is cut by the end of the process", "request", request.id, "route", request.route,
			"age_ms", now.Sub(request.begin).Milliseconds(), "leaving_ms", s.sinceLeaving(request.begin).Milliseconds())
	}
	return len(cut)
}

// sinceLeaving returns the time from the start of the drain until at: negative for an
// earlier time, 0 if the node does not leave.
func (s *Service) sinceLeaving(at time.Time) time.Duration {
	since := s.leavingSince.Load()
	if since == nil {
		return 0
	}
	return at.Sub(*since)
}
