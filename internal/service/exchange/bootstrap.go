package exchange

import (
	"cmp"
	"context"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/galenalever/galenalever/internal/clock"
	"github.com/galenalever/galenalever/internal/control"
	"github.com/galenalever/galenalever/internal/decision/rank"
	"github.com/galenalever/galenalever/internal/model"
	"github.com/galenalever/galenalever/internal/wire"
	"github.com/galenalever/galenalever/internal/wire/wireconv"
)

const (
	// bootstrapPeers is the number of nodes that a fresh process asks in one
	// attempt.
	bootstrapPeers = 3
	// probeTimeout bounds the question for a node's revision.
	probeTimeout = 500 * time.Millisecond
	// bootstrapRetryMin and bootstrapRetryMax bound the random pause between
	// two attempts.
	bootstrapRetryMin = 150 * time.Millisecond
	bootstrapRetryMax = 450 * time.Millisecond
	// firstReadSpread is the time over which the seeds of a mesh that starts
	// from nothing begin to read the platform.
	firstReadSpread = time.Second
	// laterReadSpread is the time over which all others do, if no seed has
	// answered until then: 21,000 nodes make 1,050 calls a second.
	laterReadSpread = 20 * time.Second
)

// runBootstrap asks other nodes for their state until this node has one.
func (s *Service) runBootstrap(ctx context.Context) {
	rng := s.random("bootstrap")
	s.clock.AfterFunc(s.bootstrapTime(rng), func() { _ = s.loop.Post(ctx, bootstrapOver{}) })
	for ctx.Err() == nil && !s.hasConfiguration() {
		s.bootstrapFrom(ctx, s.newestFirst(ctx, s.bootstrapCandidates(rng))) // a failure is followed by another attempt
		pause := bootstrapRetryMin + time.Duration(rng.Int64N(int64(bootstrapRetryMax-bootstrapRetryMin)))
		_ = clock.Wait(ctx, s.clock, pause)
	}
}

// bootstrapFrom takes over the state of the first peer. If that holds versions
// back, the others may run newer versions of the same subtrees: their answers are
// fetched before any is taken in.
func (s *Service) bootstrapFrom(ctx context.Context, peers []peer) {
	if len(peers) == 0 {
		return
	}
	ask := question{bootstrap: true}
	request := s.request(peers[0], ask)
	answers := make([]*wire.PollResponse, len(peers))
	var err error
	if answers[0], err = s.call(ctx, peers[0], ask, request); err != nil {
		s.log.Debug("no bootstrap from the peer", "peer", peers[0].name(), "error", err)
		return
	}
	if len(answers[0].GetRunning()) > 0 {
		var group sync.WaitGroup
		for i, p := range peers[1:] {
			group.Go(func() {
				var err error
				if answers[i+1], err = s.call(ctx, p, ask, request); err != nil {
					s.log.Debug("no further versions from the peer", "peer", p.name(), "error", err)
				}
			})
		}
		group.Wait()
	}
	for i, answer := range answers {
		if answer == nil {
			continue
		}
		if err := s.takeAnswer(ctx, peers[i], ask, request, answer); err != nil {
			s.log.Debug("answer of the peer not taken", "peer", peers[i].name(), "error", err)
		}
	}
}

// newestFirst asks nodes for the revisions of their cuts and returns those that
// have one, the greatest first, so that a fresh process does not start behind what
// it ran in an earlier life because it met a node that lags.
func (s *Service) newestFirst(ctx context.Context, candidates []peer) []peer {
	type answer struct {
		peer     peer
		revision model.Revision
	}
	answers := make([]answer, len(candidates))
	var group sync.WaitGroup
	for i, p := range candidates {
		group.Go(func() { answers[i] = answer{p, s.probe(ctx, p)} })
	}
	group.Wait()
	slices.SortStableFunc(answers, func(a, b answer) int { return cmp.Compare(b.revision, a.revision) })
	var out []peer
	for _, a := range answers {
		if a.revision > 0 {
			out = append(out, a.peer)
		}
	}
	return out
}

// probe returns the revision of a node's cut, or 0 if the node has none or does
// not answer. The nodes that a refusal names are candidates of the next attempt.
func (s *Service) probe(ctx context.Context, p peer) model.Revision {
	ctx, cancel := clock.WithTimeout(ctx, s.clock, probeTimeout)
	defer cancel()
	request := &wire.PollRequest{
		Node:        string(s.config.Self.ID),
		CutRevision: math.MaxUint64, // nothing is newer
		Time:        uint64(s.timeline.Clock().Now()),
	}
	response, err := s.dial(p.address).Poll(ctx, request)
	if err != nil {
		return 0
	}
	if hints, err := wireconv.MembersFromWire(response.GetMembers()); err == nil && len(hints) > 0 {
		_ = s.loop.Post(ctx, control.MembersReceived{From: control.Origin{Peer: p.name()}, Members: hints})
	}
	return model.Revision(response.GetCutRevision())
}

func (s *Service) hasConfiguration() bool {
	state := s.states.Load()
	return state != nil && state.Cut.Revision > 0
}

// bootstrapTime returns how long the node asks others only. Seeds come first,
// because in a mesh that starts from nothing all others ask them.
func (s *Service) bootstrapTime(rng *rand.Rand) time.Duration {
	if len(s.otherSeeds()) == 0 {
		return 0
	}
	spread := laterReadSpread
	if slices.Contains(s.config.Seeds, s.config.Self.Addresses.Control) {
		spread = firstReadSpread
	}
	return s.config.BootstrapFor + time.Duration(rng.Int64N(int64(spread)))
}

func (s *Service) otherSeeds() []string {
	own := s.config.Self.Addresses.Control
	return slices.DeleteFunc(slices.Clone(s.config.Seeds), func(a string) bool { return a == own })
}

// bootstrapCandidates returns random nodes among the seeds and those that
// refusals have named.
func (s *Service) bootstrapCandidates(rng *rand.Rand) []peer {
	var out []peer
	for _, address := range s.otherSeeds() {
		out = append(out, peer{address: address})
	}
	for _, m := range s.members.Load().All() {
		if m.ID != s.config.Self.ID && rank.Eligible(&m) && !slices.Contains(s.config.Seeds, m.Addresses.Control) {
			out = append(out, peerOf(m))
		}
	}
	rng.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out[:min(len(out), bootstrapPeers)]
}
