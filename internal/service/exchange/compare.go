package exchange

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/galenalever/galenalever/internal/decision/rank"
	"github.com/galenalever/galenalever/internal/model"
)

// runCompare polls nodes outside of the tree until the context ends: a reader
// its partners in turn, any other node random ones.
func (s *Service) runCompare(ctx context.Context) {
	rng := s.random("compare")
	for turn := 0; ctx.Err() == nil; turn++ {
		role, changed := s.role.Watch()
		if !s.hasConfiguration() {
			s.waitToCompare(ctx, changed, rng, time.Second)
			continue
		}
		if partner, ok := s.partner(role, turn, rng); ok {
			_ = s.poll(ctx, peerOf(partner), question{round: role.round, compare: !role.reader})
		}
		s.waitToCompare(ctx, changed, rng, rank.CompareInterval(role.reader, s.members.Load().Len()))
	}
}

// waitToCompare waits a random time about the interval, or until the role
// changes, since a pause calls for a comparison at once.
func (s *Service) waitToCompare(ctx context.Context, changed <-chan struct{}, rng *rand.Rand, interval time.Duration) {
	jittered := interval/2 + time.Duration(rng.Int64N(int64(interval)))
	over := make(chan struct{})
	timer := s.clock.AfterFunc(jittered, func() { close(over) })
	defer timer.Stop()
	select {
	case <-over:
	case <-changed:
	case <-ctx.Done():
	}
}

func (s *Service) partner(r role, turn int, rng *rand.Rand) (model.Member, bool) {
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
