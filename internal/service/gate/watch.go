package gate

import (
	"context"

	"github.com/galenalever/galenalever/internal/decision/health"
)

// watchServer reports the requests that were abandoned shortly before the server
// became unhealthy. No handler detects a crash caused by one of them, because its
// connection is already closed.
func (s *Service) watchServer(ctx context.Context) {
	snapshot := s.deps.server.State()
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
	if fingerprints := s.abandoned.take(s.clock.Now(), abandonedWindow); len(fingerprints) > 0 {
		s.deps.suspects.Report(ctx, fingerprints)
	}
}
