package exchange

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/galenalever/galenalever/internal/decision/rank"
	"github.com/galenalever/galenalever/internal/model"
)

// runComparisons periodically polls nodes other than the upstream until the
// context ends: a reader polls its partners in turn, any other node polls random
// nodes.
func (s *Service) runComparisons(ctx context.Context) {
	rng := s.random("compare")
	for turn := 0; ctx.Err() == nil; turn++ {
		role, changed := s.role.Watch()
		if !s.hasConfiguration() {
			s.waitForNextComparison(ctx, changed, rng, time.Second)
			continue
		}
		if partner, ok := s.comparisonPartner(role, turn, rng); ok {
			_, _ = s.poll(ctx, peerOf(partner), pollOptions{generation: role.generation, compare: !role.reader})
		}
		s.waitForNextComparison(ctx, changed, rng, rank.CompareInterval(role.reader, s.members.Load().Len()))
	}
}

// waitForNextComparison waits for the interval, with jitter of half of it, or until the
// role changes. The role also changes after a pause of the process, when a comparison
// is due at once.
func (s *Service) waitForNextComparison(ctx context.Context, changed <-chan struct{}, rng *rand.Rand, interval time.Duration) {
	jittered := interval/2 + time.Duration(rng.Int64N(int64(interval)))
	elapsed := make(chan struct{})
	timer := s.clock.AfterFunc(jittered, func() { close(elapsed) })
	defer timer.Stop()
	select {
	case <-elapsed:
	case <-changed:
	case <-ctx.Done():
	}
}

// comparisonPartner returns false if there is no node to compare with.
func (s *Service) comparisonPartner(r role, turn int, rng *rand.Rand) (model.Member, bool) {
	view := s.members.Load()
	if !r.reader {
		return rank.RandomPartner(view, s.config.Self, rng)
	}
	partners := rank.ReaderPartners(view, s.config.Self, rank.None)
	if len(partners) == 0 {
		return model.Member{}, false
	}
	return partners[turn%len(partners)], true
}
