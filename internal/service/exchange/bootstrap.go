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
	"github.com/galenalever/galenalever/internal/decision/replicate"
	"github.com/galenalever/galenalever/internal/model"
	"github.com/galenalever/galenalever/internal/wire"
	"github.com/galenalever/galenalever/internal/wire/wireconv"
)

const (
	// bootstrapPeers is the number of nodes that are probed in one bootstrap
	// attempt.
	bootstrapPeers = 3
	// probeTimeout bounds the request for a node's revision.
	probeTimeout = 500 * time.Millisecond
	// bootstrapRetryMin and bootstrapRetryMax bound the random delay between two
	// bootstrap attempts.
	bootstrapRetryMin = 150 * time.Millisecond
	bootstrapRetryMax = 450 * time.Millisecond
	// seedReadSpread is the time over which the first platform reads of the seeds
	// are spread when a whole mesh starts.
	seedReadSpread = time.Second
	// nonSeedReadSpread is the time over which the first platform reads of all
	// other nodes are spread if no seed has responded before: 21,000 nodes then
	// make 1,050 calls per second.
	nonSeedReadSpread = 20 * time.Second
)

// runBootstrap requests the configuration from other nodes until this node has
// one.
func (s *Service) runBootstrap(ctx context.Context) {
	rng := s.random("bootstrap")
	s.clock.AfterFunc(s.bootstrapDuration(rng), func() { _ = s.loop.Post(ctx, bootstrapOver{}) })
	for ctx.Err() == nil && !s.hasConfiguration() {
		s.bootstrapFrom(ctx, s.peersByRevision(ctx, s.bootstrapCandidates(rng))) // retried in the next iteration
		pause := bootstrapRetryMin + time.Duration(rng.Int64N(int64(bootstrapRetryMax-bootstrapRetryMin)))
		_ = clock.Wait(ctx, s.clock, pause)
	}
}

// bootstrapFrom applies the state of the first peer. If that peer holds subtree
// versions back, the other peers may run newer versions of the same subtrees, so
// their responses are fetched before any response is applied, and applied with the first.
func (s *Service) bootstrapFrom(ctx context.Context, peers []peer) {
	if len(peers) == 0 {
		return
	}
	options := pollOptions{bootstrap: true}
	request := s.newRequest(peers[0], options)
	responses := make([]*wire.PollResponse, len(peers))
	var err error
	if responses[0], err = s.call(ctx, peers[0], options, request); err != nil {
		s.log.Debug("bootstrap poll failed", "peer", peers[0].name(), "error", err)
		return
	}
	if len(responses[0].GetRunning()) > 0 {
		var group sync.WaitGroup
		for i, p := range peers[1:] {
			group.Go(func() {
				var err error
				if responses[i+1], err = s.call(ctx, p, options, request); err != nil {
					s.log.Debug("poll for running versions failed", "peer", p.name(), "error", err)
				}
			})
		}
		group.Wait()
		options.offered = s.offeredBy(peers[1:], responses[1:])
	}
	for i, response := range responses {
		if response == nil {
			continue
		}
		if err := s.applyResponse(ctx, peers[i], options, request, response); err != nil {
			s.log.Debug("bootstrap response not applied", "peer", peers[i].name(), "error", err)
		}
	}
}

// offeredBy returns the subtrees in the responses to bootstrap polls.
func (s *Service) offeredBy(peers []peer, responses []*wire.PollResponse) [][]replicate.SubtreeDelta {
	var offered [][]replicate.SubtreeDelta
	for i, response := range responses {
		if response == nil {
			continue
		}
		delta, err := wireconv.Delta(response, true)
		if err != nil {
			s.log.Debug("malformed bootstrap response", "peer", peers[i].name(), "error", err)
			continue
		}
		offered = append(offered, slices.Concat(delta.Running, delta.Subtrees))
	}
	return offered
}

// peersByRevision requests the cut revisions of the candidates and returns those
// that have a cut, highest revision first. A restarted process that bootstrapped
// from a lagging node could otherwise run an older configuration than it ran
// before the restart.
func (s *Service) peersByRevision(ctx context.Context, candidates []peer) []peer {
	type probeResult struct {
		peer     peer
		revision model.Revision
	}
	results := make([]probeResult, len(candidates))
	var group sync.WaitGroup
	for i, p := range candidates {
		group.Go(func() { results[i] = probeResult{p, s.probe(ctx, p)} })
	}
	group.Wait()
	slices.SortStableFunc(results, func(a, b probeResult) int { return cmp.Compare(b.revision, a.revision) })
	var out []peer
	for _, r := range results {
		if r.revision > 0 {
			out = append(out, r.peer)
		}
	}
	return out
}

// probe returns the revision of a node's cut, or 0 if the node has none or does
// not respond. The nodes that a refusal names become candidates of the next
// attempt.
func (s *Service) probe(ctx context.Context, p peer) model.Revision {
	ctx, cancel := clock.WithTimeout(ctx, s.clock, probeTimeout)
	defer cancel()
	request := &wire.PollRequest{
		Node:        string(s.config.Self.ID),
		CutRevision: math.MaxUint64, // no cut is newer, so the response carries no subtrees
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
	configuration := s.configuration.Load()
	return configuration != nil && configuration.Cut.Revision > 0
}

// bootstrapDuration returns how long this node only bootstraps from others before
// it may read the platform: 0 if it has no other seed. It is shorter for seeds,
// because all other nodes bootstrap from them when a whole mesh starts.
func (s *Service) bootstrapDuration(rng *rand.Rand) time.Duration {
	if len(s.otherSeeds()) == 0 {
		return 0
	}
	spread := nonSeedReadSpread
	if slices.Contains(s.config.Seeds, s.config.Self.Addresses.Control) {
		spread = seedReadSpread
	}
	return s.config.BootstrapFor + time.Duration(rng.Int64N(int64(spread)))
}

func (s *Service) otherSeeds() []string {
	own := s.config.Self.Addresses.Control
	return slices.DeleteFunc(slices.Clone(s.config.Seeds), func(a string) bool { return a == own })
}

// bootstrapCandidates returns a random selection of the other seeds and of the members
// known so far, such as those that refusals have named.
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
