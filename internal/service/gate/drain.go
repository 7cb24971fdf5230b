package gate

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"github.com/galenalever/galenalever/internal/control"
	"github.com/galenalever/galenalever/internal/model"
	"github.com/galenalever/galenalever/internal/timeline"
)

// lameDuckPeriod is the minimum time for which a leaving gate continues to refuse
// requests, so that nodes that have not received its presence change are informed by
// a refusal.
const lameDuckPeriod = 1500 * time.Millisecond

func (s *Service) handleDrainStarted(m control.DrainStarted) {
	s.drainPlan.Store(&m.Plan)
	s.clock.AfterFunc(m.Plan.End.Sub(s.clock.Now()), s.endCalls)
}

// checkTimeLeft refuses a call that may outlast a node that leaves. How long calls usually
// take does not matter, since the caller's node can choose another server.
func (s *Service) checkTimeLeft(c *call) *refusal {
	plan := s.drainPlan.Load()
	if plan == nil || plan.FitsLate(c.deadline) {
		return nil
	}
	return notRun(model.ReasonLeaving)
}

// outlastsDrain reports whether a call must be broken off at the end of the drain. The others
// end at their deadlines.
func (s *Service) outlastsDrain(c *call) bool {
	plan := s.drainPlan.Load()
	return plan == nil || !plan.FitsLate(c.deadline)
}

// scheduleLeave makes the node not ready, and makes the gate refuse requests once
// Config.ServeLeaving has passed.
func (s *Service) scheduleLeave() {
	if s.leaveScheduled.Swap(true) {
		return
	}
	now := s.clock.Now()
	s.leaveScheduledAt.Store(&now)
	if s.serveLeaving <= 0 {
		s.leave()
		return
	}
	s.clock.AfterFunc(s.serveLeaving, s.leave)
}

// leave refuses all queued and new requests from now on. Running requests continue.
func (s *Service) leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leaving.Swap(true) {
		return
	}
	s.refusingSince = s.clock.Now()
	s.deps.timeline.Record(timeline.KindDrainStarted, "")
	s.deliver(s.admission.Leave())
	s.signalIfIdle()
}

// signalIfIdle closes idle once a leaving gate has no active calls. The caller must
// hold s.mu. A leaving gate admits no calls, so activeCalls reaches 0 only once and
// idle is closed only once.
func (s *Service) signalIfIdle() {
	if s.activeCalls == 0 && s.leaving.Load() {
		close(s.idle)
	}
}

// Stop implements kernel.Stopper. It waits until no request runs, hands over the
// records of idempotency keys, continues to refuse requests until lameDuckPeriod has
// passed and closes the listener.
func (s *Service) Stop(ctx context.Context) error {
	s.leave()
	drained := s.awaitIdle(ctx)
	s.log.Info("gate drained", "complete", drained, "active_calls", s.active(), "leaving_ms", s.sinceLeaving(s.clock.Now()).Milliseconds())
	s.handOver(ctx)
	s.wait(ctx, lameDuckPeriod-s.clock.Now().Sub(s.refusingSince))
	if err := s.http.Shutdown(ctx); err != nil {
		drained = false
		_ = s.http.Close()
	}
	<-s.serveDone
	s.peers.http.CloseIdleConnections()
	if !drained {
		return eris.New("drain timed out with requests still running")
	}
	s.deps.timeline.Record(timeline.KindDrainFinished, "")
	return nil
}

// AwaitDrained waits until no forwarded request runs on the backend server, if the
// gate is to leave; otherwise it returns immediately. It reports false if the
// context ended first.
func (s *Service) AwaitDrained(ctx context.Context) bool {
	return !s.leaveScheduled.Load() || s.awaitIdle(ctx)
}

// active returns the number of running and queued calls.
func (s *Service) active() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.activeCalls
}

// sinceLeaving returns the time from the start of the drain until at: negative for an
// earlier time, 0 if the gate does not leave.
func (s *Service) sinceLeaving(at time.Time) time.Duration {
	since := s.leaveScheduledAt.Load()
	if since == nil {
		return 0
	}
	return at.Sub(*since)
}

func (s *Service) awaitIdle(ctx context.Context) bool {
	select {
	case <-s.idle:
		return true
	case <-ctx.Done():
		return false
	}
}

func (s *Service) wait(ctx context.Context, d time.Duration) {
	expired := make(chan struct{})
	timer := s.clock.AfterFunc(d, func() { close(expired) })
	defer timer.Stop()
	select {
	case <-expired:
	case <-ctx.Done():
	}
}

var errLeaving = eris.New("the node is leaving")

// ready returns an error if callers should not use this node. An unhealthy backend
// server is no reason, since the node also forwards requests to other servers.
func (s *Service) ready() error {
	if s.leaveScheduled.Load() {
		return errLeaving
	}
	return nil
}
