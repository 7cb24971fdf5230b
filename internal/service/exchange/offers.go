package exchange

import (
	"bytes"
	"sync"

	"github.com/galenalever/galenalever/internal/decision/replicate"
	"github.com/galenalever/galenalever/internal/model"
	"github.com/galenalever/galenalever/internal/wire"
)

// Nodes that hold a subtree back can run different versions of its key, although
// they know the same cut. Each poll carries a digest of the caller's running
// subtrees, from which the peer determines whether to offer, that is, to send, its
// running subtrees of the held keys.

// maxOffers bounds the number of callers whose last offer is kept.
const maxOffers = 64

// offers holds the digest of the running subtrees that were last sent to each
// caller. A caller that cannot use an offer gets it only once, so that nodes which
// run different versions for long do not send the same subtrees with every poll. It
// is safe for concurrent use.
type offers struct {
	mu   sync.Mutex
	last map[model.InstanceID]model.Hash
}

// alreadyMade reports whether the last offer to a caller had the digest.
func (o *offers) alreadyMade(to model.InstanceID, digest model.Hash) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.last[to] == digest
}

// record stores the last offer to a caller. If it has stored maxOffers, it drops them
// all, and the other callers may then get the same offer again.
func (o *offers) record(to model.InstanceID, digest model.Hash) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.last == nil || len(o.last) >= maxOffers {
		o.last = make(map[model.InstanceID]model.Hash)
	}
	o.last[to] = digest
}

// setRunning sets the digest of the subtrees that this node runs, except in a bootstrap
// request, whose response contains all running subtrees anyway.
func (s *Service) setRunning(request *wire.PollRequest, options pollOptions) {
	if configuration := s.configuration.Load(); configuration != nil && !options.bootstrap {
		digest := replicate.RunningDigest(configuration)
		request.RunningDigest = digest[:]
	}
}

// shouldOffer reports whether to send running subtrees to a caller that knows the
// same cut but runs other versions. A poll that does not wait, such as a comparison,
// always gets them.
func (s *Service) shouldOffer(configuration *model.Configuration, q query) bool {
	if len(q.running) == 0 || len(configuration.Held) == 0 || configuration.Cut.Revision != q.base {
		return false
	}
	own := replicate.RunningDigest(configuration)
	if bytes.Equal(own[:], q.running) {
		return false
	}
	return q.wait <= 0 || !s.offers.alreadyMade(q.from, own)
}

func (s *Service) configurationDelta(configuration *model.Configuration, q query) replicate.Delta {
	switch {
	case q.bootstrap:
		return replicate.Bootstrap(configuration)
	case configuration.Cut.Revision > q.base:
		delta := replicate.Diff(configuration.Cut, q.base, q.wholeKeys)
		delta.Running = replicate.HeldRunning(configuration, q.base)
		return delta
	case s.shouldOffer(configuration, q):
		s.offers.record(q.from, replicate.RunningDigest(configuration))
		return replicate.Delta{Revision: configuration.Cut.Revision, Running: replicate.HeldRunning(configuration, 0)}
	default:
		return replicate.Delta{Revision: configuration.Cut.Revision}
	}
}
