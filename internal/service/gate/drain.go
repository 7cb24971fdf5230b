package gate

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"github.com/galenalever/galenalever/internal/timeline"
)

// lameDuck is how long a gate that leaves refuses requests at least, so that
// nodes which have not heard that it leaves learn it from a refusal.
const lameDuck = 1500 * time.Millisecond

// depart begins the end of the gate. Its node is not ready any more; the gate
// refuses requests once ServeLeaving is over.
func (s *Service) depart() {
	if s.departing.Swap(true) {
		return
	}
	if s.serveLeaving <= 0 {
		s.leave()
		return
	}
	s.clock.AfterFunc(s.serveLeaving, s.leave)
}

// leave refuses queued and new requests from now on. Running ones go on.
func (s *Service) leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leaving.Swap(true) {
		return
	}
	s.leftAt = s.clock.Now()
	s.partners.timeline.Record(timeline.KindDrainStarted, "")
	s.deliver(s.admission.Leave())
	s.closeIfIdle()
}

// closeIfIdle ends the wait of a drain. The critical section must be held. While
// the gate is leaving, working only falls, so idle is closed once.
func (s *Service) closeIfIdle() {
	if s.working == 0 && s.leaving.Load() {
		close(s.idle)
	}
}

// Stop implements kernel.Stopper. It waits for the last running request, hands
// the records of idempotency keys over, goes on refusing until lameDuck is over
// and closes the listener.
func (s *Service) Stop(ctx context.Context) error {
	s.leave()
	drained := s.awaitIdle(ctx)
	s.handOver(ctx)
	s.refuseFor(ctx, lameDuck-s.clock.Now().Sub(s.leftAt))
	if err := s.http.Shutdown(ctx); err != nil {
		drained = false
		_ = s.http.Close()
	}
	<-s.closed
	s.peers.http.CloseIdleConnections()
	if !drained {
		return eris.New("requests were running when the time to drain was over")
	}
	s.partners.timeline.Record(timeline.KindDrainFinished, "")
	return nil
}

// AwaitDrained returns when no request of other nodes runs on the own server any
// more, if the gate has to leave; it reports false if the context ended first.
func (s *Service) AwaitDrained(ctx context.Context) bool {
	return !s.departing.Load() || s.awaitIdle(ctx)
}

func (s *Service) awaitIdle(ctx context.Context) bool {
	select {
	case <-s.idle:
		return true
	case <-ctx.Done():
		return false
	}
}

func (s *Service) refuseFor(ctx context.Context, d time.Duration) {
	over := make(chan struct{})
	timer := s.clock.AfterFunc(d, func() { close(over) })
	defer timer.Stop()
	select {
	case <-over:
	case <-ctx.Done():
	}
}

var errLeaving = eris.New("the node is leaving")

// ready reports why the node should get no callers. A server that does not work
// is no such reason, since the node's callers use others as well.
func (s *Service) ready() error {
	if s.departing.Load() {
		return errLeaving
	}
	return nil
}
