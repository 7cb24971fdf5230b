package exchange

import (
	"bytes"
	"sync"

	"github.com/galenalever/galenalever/internal/decision/replicate"
	"github.com/galenalever/galenalever/internal/model"
	"github.com/galenalever/galenalever/internal/wire"
)

// Nodes that hold a subtree back can run different versions of its key,
// although they know the same cut. Each poll carries a digest over the caller's
// running subtrees, by which the peer finds out whether to offer its own.

// maxOffers bounds the callers whose last offer is remembered.
const maxOffers = 64

// offers remembers the digest of the running subtrees that each caller was
// offered last. Callers that cannot take an offer get it once, so that nodes
// which differ for long do not exchange the same subtrees with every poll. It is
// safe for concurrent use.
type offers struct {
	mu   sync.Mutex
	last map[model.InstanceID]model.Hash
}

func (o *offers) made(to model.InstanceID, digest model.Hash) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.last[to] == digest
}

// add forgets all others when there are too many; they may get an offer again.
func (o *offers) add(to model.InstanceID, digest model.Hash) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.last == nil || len(o.last) >= maxOffers {
		o.last = make(map[model.InstanceID]model.Hash)
	}
	o.last[to] = digest
}

// setRunning tells the peer what this node runs.
func (s *Service) setRunning(request *wire.PollRequest, ask question) {
	if state := s.states.Load(); state != nil && !ask.bootstrap {
		digest := replicate.RunningDigest(state)
		request.RunningDigest = digest[:]
	}
}

// owesOffer reports whether to offer running subtrees to a caller that knows the
// same cut. A comparison, which does not wait, always gets them.
func (s *Service) owesOffer(state *model.Configuration, q query) bool {
	if len(q.running) == 0 || len(state.Held) == 0 || state.Cut.Revision != q.base {
		return false
	}
	own := replicate.RunningDigest(state)
	if bytes.Equal(own[:], q.running) {
		return false
	}
	return q.wait <= 0 || !s.offers.made(q.from, own)
}

// configurationDelta returns what an answer says of the configuration.
func (s *Service) configurationDelta(state *model.Configuration, q query) replicate.Delta {
	switch {
	case q.bootstrap:
		return replicate.Bootstrap(state)
	case state.Cut.Revision > q.base:
		delta := replicate.Diff(state.Cut, q.base, q.whole)
		delta.Running = replicate.HeldRunning(state, q.base)
		return delta
	case s.owesOffer(state, q):
		s.offers.add(q.from, replicate.RunningDigest(state))
		return replicate.Delta{Revision: state.Cut.Revision, Running: replicate.HeldRunning(state, 0)}
	default:
		return replicate.Delta{Revision: state.Cut.Revision}
	}
}
