package ingress

import (
	"context"
	"time"
)

// Stop implements kernel.Stopper. It waits until this node's server has drained, closes
// the listener and the idle connections, and waits for the requests in flight.
func (s *Service) Stop(ctx context.Context) error {
	s.awaitServerDrained(ctx)
	// SetKeepAlivesEnabled(false) must not come first: it closes connections whose
	// next request has just been read, yet the server still handles that request.
	s.log.Info("closing the callers' listener", "in_flight", s.inFlight.count(), "unused_connections", s.unused.Count())
	err := s.server.Shutdown(ctx)
	<-s.served
	s.logCut()
	return err
}

// logCut logs the requests whose connections the end of the process will close.
func (s *Service) logCut() {
	now := s.clock.Now()
	for _, request := range s.inFlight.all() {
		s.log.Warn("request is cut by the end of the process", "request", request.id, "route", request.route,
			"age_ms", now.Sub(request.begin).Milliseconds(), "leaving_ms", s.sinceLeaving(request.begin).Milliseconds())
	}
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

// shutdownReserve is the part of the time allowed for Stop that is reserved for shutting
// down the callers' connections.
const shutdownReserve = 500 * time.Millisecond

// awaitServerDrained waits until this node's server runs no request of other nodes, since
// those requests make calls through this service.
func (s *Service) awaitServerDrained(ctx context.Context) {
	if s.gate == nil {
		return
	}
	if deadline, ok := ctx.Deadline(); ok {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, deadline.Add(-shutdownReserve))
		defer cancel()
	}
	if !s.gate.AwaitDrained(ctx) {
		s.log.Warn("this node's server still runs requests after the time allowed for draining; their calls are aborted")
	}
}
