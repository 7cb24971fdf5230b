package backend

import (
	"context"
	"time"

	"github.com/galenalever/galenalever/internal/control"
	"github.com/galenalever/galenalever/internal/decision/health"
)

// warmupStated carries the rest of the warm-up from a health response that does not count
// for the health of the server to the control loop.
type warmupStated struct{ left time.Duration }

// MessageName implements kernel.Message.
func (warmupStated) MessageName() string { return "backend-warmup-stated" }

func (s *Service) handleWarmupStated(m warmupStated) {
	s.loop.Emit(control.ServerObserved{WarmupLeft: m.left, WarmupStated: true})
}

// emitObservation reports what a check shows about the warm-up of the server.
func (s *Service) emitObservation(m checked, before, after health.State) {
	observed := control.ServerObserved{
		WentDown:     before != after && after == health.Unhealthy,
		Returned:     before == health.Unhealthy && after == health.Healthy,
		WarmupLeft:   m.warmup,
		WarmupStated: m.stated,
	}
	if observed != (control.ServerObserved{}) {
		s.loop.Emit(observed)
	}
}

// CheckNow checks the server once, besides the regular checks if there are any. The result
// counts like theirs.
func (s *Service) CheckNow(ctx context.Context) {
	_ = s.loop.Post(ctx, s.check(ctx, checkTimeout)) // fails only when the node stops
}
