package quarantine

import (
	"cmp"
	"context"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"github.com/galenalever/galenalever/internal/clock"
	"github.com/galenalever/galenalever/internal/decision/quarantine"
	"github.com/galenalever/galenalever/internal/model"
	"github.com/galenalever/galenalever/internal/wire"
	"github.com/galenalever/galenalever/internal/wire/wireconv"
)

const (
	// pullPeers is the number of peers that a node asks for their suspects.
	pullPeers = 8
	// maxParallelCalls bounds the calls to peers that run at a time.
	maxParallelCalls = 32
	// idleConnections is the time after which an unused connection is closed.
	idleConnections = 30 * time.Second
)

// Peers that did not acknowledge a notice are asked again after a delay that
// doubles up to a number of rounds.
const (
	firstRetry  = 2 * time.Second
	retryRounds = 5
)

func newClient() *http.Client {
	return &http.Client{Transport: &http.Transport{
		IdleConnTimeout:     idleConnections,
		MaxIdleConnsPerHost: 1,
		MaxConnsPerHost:     2,
	}}
}

// requestPull wakes the goroutine that asks the peers. It never blocks.
func (s *Service) requestPull() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// pullOnRequest exchanges suspects with the peers whenever this node has
// synchronised, so that a fresh or paused one learns what it missed, and while
// peers have not acknowledged a notice.
func (s *Service) pullOnRequest(ctx context.Context) {
	round := 0
	for {
		select {
		case <-s.wake:
		case <-ctx.Done():
			return
		}
		if s.pull(ctx) || round == retryRounds {
			round = 0
		} else {
			s.clock.AfterFunc(firstRetry<<round, s.requestPull)
			round++
		}
		s.prepared.Store(true)
	}
}

// pull exchanges suspects with some peers, or with all while not all know what
// this node knows. It reports whether all of them answered.
func (s *Service) pull(ctx context.Context) bool {
	ctx, cancel := clock.WithTimeout(ctx, s.clock, pullTimeout)
	defer cancel()
	peers := s.peers()
	if !s.tellAll.Load() {
		peers = s.nearest(peers)
	}
	ok := s.notify(ctx, peers, s.table.Load().Suspects(s.clock.Now()))
	if ok {
		s.tellAll.Store(false)
	}
	return ok
}

// nearest returns a few peers, those that follow this node in order of their
// IDs, so that nodes which start together ask different ones.
func (s *Service) nearest(peers []model.Member) []model.Member {
	slices.SortFunc(peers, func(a, b model.Member) int { return cmp.Compare(a.ID, b.ID) })
	after, _ := slices.BinarySearchFunc(peers, s.self.ID, func(m model.Member, id model.InstanceID) int {
		return cmp.Compare(m.ID, id)
	})
	peers = slices.Concat(peers[after:], peers[:after])
	return peers[:min(len(peers), pullPeers)]
}

// notify sends suspects to peers, in parallel, and takes over those that they
// answer with. It returns when all have answered or the context ends, and reports
// whether all have.
func (s *Service) notify(ctx context.Context, peers []model.Member, suspects []quarantine.Suspect) bool {
	var failed atomic.Bool
	request := &wire.SuspectRequest{Node: string(s.self.ID), Suspects: wireconv.SuspectsToWire(suspects, s.clock.Now())}
	var group sync.WaitGroup
	slots := make(chan struct{}, maxParallelCalls)
	for _, peer := range peers {
		slots <- struct{}{}
		group.Go(func() {
			defer func() { <-slots }()
			if err := s.call(ctx, peer, request); err != nil {
				failed.Store(true)
				s.log.Warn("peer did not acknowledge suspects", "peer", peer.ID, "error", err)
			}
		})
	}
	group.Wait()
	return !failed.Load()
}

// peers returns the other members of the service whose node may run.
func (s *Service) peers() []model.Member {
	var out []model.Member
	for _, m := range s.members.ServiceMembers(s.self.Service) {
		gone := m.Announced.Presence == model.PresenceGone || m.Listed == model.ListingRemoved
		if m.ID != s.self.ID && !gone && m.Addresses.Control != "" {
			out = append(out, m)
		}
	}
	return out
}

func (s *Service) call(ctx context.Context, peer model.Member, request *wire.SuspectRequest) error {
	client := wire.NewExchangeProtobufClient("http://"+peer.Addresses.Control, s.client)
	answer, err := client.Suspect(ctx, request)
	if err != nil {
		return eris.Wrapf(err, "notice to %s", peer.ID)
	}
	if known := wireconv.SuspectsFromWire(answer.GetSuspects(), s.clock.Now()); len(known) > 0 {
		s.apply(ctx, known)
	}
	return nil
}
