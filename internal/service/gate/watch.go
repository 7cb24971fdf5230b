package gate

import (
	"context"

	"github.com/galenalever/galenalever/internal/decision/health"
)

// watchServer reports the requests that the gate gave up shortly before the
// server became unhealthy. Nobody else notices a crash that one of them causes,
// because its connection is already closed.
func (s *Service) watchServer(ctx context.Context) {
	snapshot := s.partners.server.State()
	for {
		state, changed := snapshot.Watch()
		if state == health.Unhealthy {
			s.reportAbandoned(ctx)
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

func (s *Service) reportAbandoned(ctx context.Context) {
	if fingerprints := s.abandoned.take(s.clock.Now()); len(fingerprints) > 0 {
		s.partners.suspects.Report(ctx, fingerprints)
	}
}
