package exchange

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/galenalever/galenalever/internal/clock"
	"github.com/galenalever/galenalever/internal/decision/backoff"
	"github.com/galenalever/galenalever/internal/decision/rank"
	"github.com/galenalever/galenalever/internal/model"
)

// In direct mode, a node whose upstreams do not respond, or have lost the platform, polls
// random other nodes until it is informed again. The nodes that it follows may fail
// together, and waiting for one timeout after the other takes longer than a change may.
// The platform is slower for a node with a slow link, since it sends the whole
// configuration.

// maxSearches is the largest number of polls of random nodes that are in progress at a
// time.
const maxSearches = 4

// searchRate is how often a node polls random nodes.
type searchRate uint8

const (
	searchOff searchRate = iota
	// searchSlow is for a node whose upstreams respond but have lost the platform, as in
	// an outage, in which all nodes search. The upstreams tell when it is over.
	searchSlow
	// searchFast is for a node whose upstreams do not respond.
	searchFast
)

// String returns the name used in logs.
func (r searchRate) String() string {
	switch r {
	case searchSlow:
		return "slow"
	case searchFast:
		return "fast"
	default:
		return "off"
	}
}

// slowSearchPolicy and fastSearchPolicy set the time between two polls of random nodes.
var (
	slowSearchPolicy = backoff.Policy{Base: 200 * time.Millisecond, Max: 3 * time.Second}
	fastSearchPolicy = backoff.Policy{Base: 200 * time.Millisecond, Max: 500 * time.Millisecond}
)

func (r searchRate) policy() backoff.Policy {
	if r == searchFast {
		return fastSearchPolicy
	}
	return slowSearchPolicy
}

// searchRateOf returns how often a node with the role must poll random nodes.
func (s *Service) searchRateOf(r role) searchRate {
	f, now := &s.planner.following, s.clock.Now()
	switch {
	case !s.planner.configured || now.Before(f.searchFrom):
		return searchOff
	case f.current(r) && (!r.interim || now.Sub(f.readAt) >= s.config.PollTimes.MaxSilence):
		return searchOff
	case now.Sub(f.respondedAt) >= s.config.PollTimes.SearchAfter:
		return searchFast
	case !s.informed():
		return searchSlow
	default:
		return searchOff
	}
}

func (s *Service) updateSearch(r role) {
	if next := s.searchRateOf(r); next != s.searchRate.Load() {
		s.searchRate.Store(next)
		s.log.Info("rate of polls of random nodes changed", "rate", next.String())
	}
}

// startSearches lets this node poll random nodes from now on if its upstreams do not
// respond. A node without a configuration requests the whole of it from its upstreams and
// from the platform instead.
func (s *Service) startSearches() {
	s.planner.following.searchFrom = s.clock.Now().Add(s.config.PollTimes.SearchAfter)
	s.recordResponse()
}

// recordResponse records that an upstream has responded, whatever its contact with the
// platform.
func (s *Service) recordResponse() {
	f := &s.planner.following
	f.respondedAt = s.clock.Now()
	if !f.searchCheckScheduled {
		f.searchCheckScheduled = true
		s.loop.After(s.config.PollTimes.SearchAfter, searchCheck{})
	}
}

// searchCheck is the timer message that begins a search if no upstream has responded
// meanwhile.
type searchCheck struct{}

// MessageName implements kernel.Message.
func (searchCheck) MessageName() string { return "search-check" }

func (s *Service) handleSearchCheck() {
	f := &s.planner.following
	if left := s.config.PollTimes.SearchAfter - s.clock.Now().Sub(f.respondedAt); left > 0 {
		s.loop.After(left, searchCheck{})
		return
	}
	f.searchCheckScheduled = false
	s.updateSearch(s.role.Load())
}

// runSearch polls random nodes as s.searchRate tells, until the context ends. A poll without a
// response does not delay the next one.
func (s *Service) runSearch(ctx context.Context) {
	rng, running := s.random("search"), newSlots(maxSearches)
	for s.searchRate.AwaitWhile(ctx, func(rate searchRate) bool { return rate == searchOff }) == nil {
		rate := s.searchRate.Load()
		for attempt := 1; s.searchRate.Load() == rate && rate != searchOff && ctx.Err() == nil; attempt++ {
			s.pollRandomNode(ctx, running, rng)
			waitCtx, cancel := clock.WithTimeout(ctx, s.clock, rate.policy().Delay(attempt, rng))
			_ = s.searchRate.AwaitWhile(waitCtx, func(next searchRate) bool { return next == rate }) // an error means that the delay is over
			cancel()
		}
	}
}

// pollRandomNode starts a poll of a random node, unless maxSearches polls are in progress or
// no other node is known.
func (s *Service) pollRandomNode(ctx context.Context, running slots, rng *rand.Rand) {
	target, ok := s.searchTarget(rng)
	if !ok || !running.tryAcquire() {
		return
	}
	s.tasks.Go(func() {
		defer running.release()
		if _, err := s.poll(ctx, target, pollOptions{compare: true, search: true}); err != nil {
			s.log.Debug("poll of a random node failed", "peer", target.name(), "error", err)
		}
	})
}

// searchTarget returns a random node that is not an upstream, or false if there is none.
func (s *Service) searchTarget(rng *rand.Rand) (peer, bool) {
	upstreams := s.role.Load().upstreams
	m, ok := rank.RandomNode(s.members.Load(), s.config.Self, func(id model.InstanceID) bool {
		return id == upstreams[0].id || id == upstreams[1].id
	}, rng)
	return peerOf(m), ok
}

// handleSearchDone uses what a random node knows. Only a node that reads the platform
// itself makes this one informed: any other one may have its knowledge from this node.
func (s *Service) handleSearchDone(m pollDone) {
	if m.contact == model.ContactLost || m.contact == model.ContactNone {
		return
	}
	s.learnRevision(m)
	if m.contact == model.ContactCurrent {
		s.planner.following.confirmed[m.from] = s.clock.Now()
		s.loop.After(s.config.PollTimes.MaxSilence, silenceCheck{})
	}
	s.updateRole()
}
