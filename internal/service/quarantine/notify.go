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
	"github.com/galenalever/galenalever/internal/httpclient"
	"github.com/galenalever/galenalever/internal/model"
	"github.com/galenalever/galenalever/internal/wire"
	"github.com/galenalever/galenalever/internal/wire/wireconv"
)

const (
	// partialExchangePeers is the maximum number of peers in an exchange that does not
	// have to reach all of them.
	partialExchangePeers = 8
	// maxParallelCalls is the maximum number of concurrent calls to peers.
	maxParallelCalls = 32
	// maxResponseBytes is the maximum size, in bytes, of a peer's response.
	maxResponseBytes = 1 << 20
	// idleConnectionTimeout is the time after which an unused connection is closed.
	idleConnectionTimeout = 30 * time.Second
)

// An exchange that a peer did not acknowledge is repeated after initialRetryDelay. The
// delay doubles with each of at most maxRetryRounds repetitions.
const (
	initialRetryDelay = 2 * time.Second
	maxRetryRounds    = 5
)

func newClient() *http.Client {
	return &http.Client{Transport: &http.Transport{
		IdleConnTimeout:     idleConnectionTimeout,
		MaxIdleConnsPerHost: 1,
		MaxConnsPerHost:     2,

		MaxResponseHeaderBytes: httpclient.MaxHeaderBytes,
	}}
}

// requestExchange wakes the goroutine that exchanges suspects with the peers. It never
// blocks.
func (s *Service) requestExchange() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// exchangeOnRequest exchanges suspects with the peers whenever requestExchange was
// called, and repeats an exchange that not all of them acknowledged. Each Refreshed
// message requests an exchange, so that the node receives the suspects that were
// reported before its start or during a pause.
func (s *Service) exchangeOnRequest(ctx context.Context) {
	round := 0
	for {
		select {
		case <-s.wake:
		case <-ctx.Done():
			return
		}
		if s.exchangeSuspects(ctx) || round == maxRetryRounds {
			round = 0
		} else {
			s.clock.AfterFunc(initialRetryDelay<<round, s.requestExchange)
			round++
		}
		s.prepared.Store(true)
	}
}

// exchangeSuspects exchanges suspects with up to partialExchangePeers peers, or with
// all while notifyAll is set. It reports whether all of them responded.
func (s *Service) exchangeSuspects(ctx context.Context) bool {
	ctx, cancel := clock.WithTimeout(ctx, s.clock, exchangeTimeout)
	defer cancel()
	peers := s.peers()
	if !s.notifyAll.Load() {
		peers = s.successors(peers)
	}
	ok := s.notify(ctx, peers, s.table.Load().Suspects(s.clock.Now()))
	if ok {
		s.notifyAll.Store(false)
	}
	return ok
}

// successors returns up to partialExchangePeers peers that follow this node in the
// circular order of IDs, so that nodes which start together query different peers.
func (s *Service) successors(peers []model.Member) []model.Member {
	slices.SortFunc(peers, func(a, b model.Member) int { return cmp.Compare(a.ID, b.ID) })
	next, _ := slices.BinarySearchFunc(peers, s.self.ID, func(m model.Member, id model.InstanceID) int {
		return cmp.Compare(m.ID, id)
	})
	peers = slices.Concat(peers[next:], peers[:next])
	return peers[:min(len(peers), partialExchangePeers)]
}

// notify sends suspects to peers in parallel and records those that they return. It
// returns when all have responded or the context ends, and reports whether all have.
func (s *Service) notify(ctx context.Context, peers []model.Member, suspects []quarantine.Suspect) bool {
	var failed atomic.Bool
	request := &wire.SuspectRequest{Node: string(s.self.ID), Suspects: wireconv.SuspectsToWire(suspects, s.clock.Now())}
	var group sync.WaitGroup
	semaphore := make(chan struct{}, maxParallelCalls)
	for _, peer := range peers {
		semaphore <- struct{}{}
		group.Go(func() {
			defer func() { <-semaphore }()
			if err := s.call(ctx, peer, request); err != nil {
				failed.Store(true)
				s.log.Warn("peer did not acknowledge suspects", "peer", peer.ID, "error", err)
			}
		})
	}
	group.Wait()
	return !failed.Load()
}

// peers returns the other members of the service whose node may be running.
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

// call sends suspects to one peer and records those in its response.
func (s *Service) call(ctx context.Context, peer model.Member, request *wire.SuspectRequest) error {
	bounded := httpclient.Bounded{Client: s.client, MaxBytes: maxResponseBytes}
	client := wire.NewExchangeProtobufClient("http://"+peer.Addresses.Control, bounded)
	response, err := client.Suspect(ctx, request)
	if err != nil {
		return eris.Wrapf(err, "sending suspects to %s", peer.ID)
	}
	if known := wireconv.SuspectsFromWire(response.GetSuspects(), s.clock.Now()); len(known) > 0 {
		s.apply(ctx, known)
	}
	return nil
}
