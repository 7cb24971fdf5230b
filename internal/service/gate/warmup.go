package gate

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/galenalever/galenalever/internal/clock"
	"github.com/galenalever/galenalever/internal/control"
	"github.com/galenalever/galenalever/internal/decision/warmup"
	"github.com/galenalever/galenalever/internal/model"
	"github.com/galenalever/galenalever/internal/timeline"
)

// warming limits the requests to a cold server. Its fields are guarded by Service.mu.
type warming struct {
	// declared is true while the service declares a warm-up, for readers without the lock.
	declared atomic.Bool
	bounds   warmup.Bounds
	state    *warmup.State
	// cold is the state that was last recorded in the timeline.
	cold bool
	// timer runs Service.wakeQueue at the time wakeAt; nil if it is not set.
	timer  clock.Timer
	wakeAt time.Time
	// listedID and listedAt identify the last listing that was applied.
	listedID model.InstanceID
	listedAt model.Revision
	// checkDue triggers one health check.
	checkDue chan struct{}

	coldGauge, startsGauge tally.Gauge
}

func (w *warming) provision(now time.Time, scope tally.Scope) {
	w.state = warmup.New(now)
	w.coldGauge, w.startsGauge = scope.Gauge("gate_cold"), scope.Gauge("gate_cold_starts")
}

// configureWarmup applies the declaration of the service. The caller must hold s.mu.
func (s *Service) configureWarmup(service *model.Service, now time.Time) {
	limits := s.warming.bounds.Limits(service)
	if limits == s.warming.state.Limits() {
		return
	}
	s.warming.state.Configure(limits)
	s.warming.declared.Store(limits.Declared())
	if limits.Declared() {
		s.admission.SetPacer(s.warming.state)
	} else {
		s.admission.SetPacer(nil)
	}
	s.updateWarming(now)
}

// paced reports whether requests to a cold server are limited. The caller must hold s.mu.
func (s *Service) paced() bool { return s.warming.state.Limits().Declared() }

// handleServerObserved applies what the checks of the backend server show.
func (s *Service) handleServerObserved(m control.ServerObserved) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	if m.WentDown {
		s.warming.state.WentDown()
	}
	if m.WarmupStated {
		s.warming.state.Reported(m.WarmupLeft, now)
	}
	if m.Returned {
		s.warming.state.Returned(now)
	}
	s.updateWarming(now)
}

// applyListedWarmup applies the platform's newest listing of the backend server. One that
// was applied already is no new evidence, since its statement grows old.
func (s *Service) applyListedWarmup(listed model.Member) {
	s.mu.Lock()
	defer s.mu.Unlock()
	w := &s.warming
	if listed.ID == "" || listed.ID == w.listedID && listed.ListedAt <= w.listedAt {
		return
	}
	w.listedID, w.listedAt = listed.ID, listed.ListedAt
	now := s.clock.Now()
	w.state.Listed(listed.WarmupLeft, now)
	s.updateWarming(now)
}

// assumeCold makes the server count as cold until a health response states otherwise, and
// makes one health check. It is for the end of a time in which the gate did not see what happened
// to its server, such as an evacuation.
func (s *Service) assumeCold() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.paced() {
		return
	}
	now := s.clock.Now()
	s.warming.state.Assume(now)
	s.updateWarming(now)
	select {
	case s.warming.checkDue <- struct{}{}:
	default: // one is due already
	}
}

// checkWhenDue makes the health checks that assumeCold requests, until the context ends.
func (s *Service) checkWhenDue(ctx context.Context) {
	for {
		select {
		case <-s.warming.checkDue:
			s.deps.server.CheckNow(ctx)
		case <-ctx.Done():
			return
		}
	}
}

// updateWarming records whether the server is cold and starts the queued requests that it
// may receive now. The caller must hold s.mu.
func (s *Service) updateWarming(now time.Time) {
	w := &s.warming
	if cold := w.state.Cold(now); cold != w.cold {
		w.cold = cold
		if cold {
			left := w.state.ColdUntil(now).Sub(now).Round(time.Millisecond)
			s.deps.timeline.Record(timeline.KindServerCold, "for up to "+left.String())
			w.coldGauge.Update(1)
		} else {
			s.deps.timeline.Record(timeline.KindServerWarm, "")
			w.coldGauge.Update(0)
		}
	}
	s.deliver(s.admission.Wake(now))
}

// scheduleWake sets the timer that runs wakeQueue when time alone changes what the gate
// decides: a queued request may be sent to the cold server, or the server is warm. The caller must
// hold s.mu.
func (s *Service) scheduleWake() {
	w := &s.warming
	if !s.paced() && !w.cold {
		return
	}
	now := s.clock.Now()
	w.startsGauge.Update(float64(w.state.InLastSecond(now)))
	at, ok := s.admission.WakeAt(now)
	if until := w.state.ColdUntil(now); w.cold && (!ok || until.Before(at)) {
		at, ok = until, true
	}
	if !ok || w.timer != nil && !at.Before(w.wakeAt) {
		return
	}
	if w.timer != nil {
		w.timer.Stop()
	}
	w.wakeAt = at
	w.timer = s.clock.AfterFunc(at.Sub(now), s.wakeQueue)
}

// wakeQueue decides on the queued requests again.
func (s *Service) wakeQueue() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.warming.timer = nil
	s.updateWarming(s.clock.Now())
}

// markSent records that a call is sent to the server now.
func (s *Service) markSent(c *call) {
	if !s.warming.declared.Load() {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.admission.Sent(c.ticket, s.clock.Now())
	s.scheduleWake()
}

// markUncounted records that a call does not count among the requests of a cold server: it rejected the
// call as misdirected, or no byte of it was written.
func (s *Service) markUncounted(c *call) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.admission.Uncounted(c.ticket)
}

// WarmupStats is the state of the warm-up of the backend server on the status page.
type WarmupStats struct {
	Cold bool `json:"cold"`
	// Left is how much longer the server is cold, as far as is known.
	Left time.Duration `json:"left_ns,omitempty"`
	// InLastSecond is the number of requests sent to it in the last second, Limit the
	// largest number while it is cold, and Bound the number that the mesh tolerates.
	InLastSecond int     `json:"in_last_second"`
	Limit        int     `json:"limit"`
	Bound        float64 `json:"bound"`
}

// warmupStats returns the state of the warm-up; nil if the service declares none. The
// caller must hold s.mu.
func (s *Service) warmupStats(now time.Time) *WarmupStats {
	if !s.paced() {
		return nil
	}
	state, limits := s.warming.state, s.warming.state.Limits()
	out := &WarmupStats{
		Cold: state.Cold(now), InLastSecond: state.InLastSecond(now), Limit: limits.PerSecond(),
		Bound: limits.Rate*limits.Excess + s.warming.bounds.Slack,
	}
	if out.Cold {
		out.Left = state.ColdUntil(now).Sub(now)
	}
	return out
}
