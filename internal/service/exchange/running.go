package exchange

import (
	"bytes"

	"github.com/galenalever/galenalever/internal/decision/replicate"
	"github.com/galenalever/galenalever/internal/model"
	"github.com/galenalever/galenalever/internal/wire"
)

// Nodes that hold a subtree back can run different versions of its key,
// although they know the same cut. Each poll carries a digest of the caller's
// running subtrees, by which the peer finds out whether to offer its own.

// setRunning tells what the caller runs.
func (s *Service) setRunning(request *wire.PollRequest, ask question) {
	if state := s.states.Load(); state != nil && !ask.bootstrap {
		digest := replicate.RunningDigest(state)
		request.RunningDigest = digest[:]
	}
}

// offersRunning reports whether to offer running subtrees to a caller that
// knows the same cut or a newer one. A comparison always gets them; a held poll
// only if they changed since it began, as nodes may differ for long.
func offersRunning(begin, state *model.Configuration, q query) bool {
	if len(q.running) == 0 || len(state.Held) == 0 {
		return false
	}
	own := replicate.RunningDigest(state)
	if bytes.Equal(own[:], q.running) {
		return false
	}
	return q.wait <= 0 || begin == nil || replicate.RunningDigest(begin) != own
}

// configurationDelta returns what the answer to a held poll or a comparison
// says of the configuration.
func configurationDelta(begin, state *model.Configuration, q query) replicate.Delta {
	switch {
	case q.bootstrap:
		return replicate.Bootstrap(state)
	case state.Cut.Revision > q.base:
		delta := replicate.Diff(state.Cut, q.base, q.whole)
		delta.Running = replicate.HeldRunning(state, q.base)
		return delta
	case offersRunning(begin, state, q):
		return replicate.Delta{Revision: state.Cut.Revision, Running: replicate.HeldRunning(state, 0)}
	default:
		return replicate.Delta{Revision: state.Cut.Revision}
	}
}
