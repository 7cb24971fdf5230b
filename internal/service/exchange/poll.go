package exchange

import (
	"context"
	"fmt"
	"time"

	"github.com/galenalever/galenalever/internal/clock"
	"github.com/galenalever/galenalever/internal/control"
	"github.com/galenalever/galenalever/internal/decision/members"
	"github.com/galenalever/galenalever/internal/decision/replicate"
	"github.com/galenalever/galenalever/internal/kernel"
	"github.com/galenalever/galenalever/internal/model"
	"github.com/galenalever/galenalever/internal/timeline"
	"github.com/galenalever/galenalever/internal/wire"
	"github.com/galenalever/galenalever/internal/wire/wireconv"
)

// pollOptions are the parameters of a poll.
type pollOptions struct {
	// wait is how long the peer may delay its response while nothing has changed.
	wait time.Duration
	// bootstrap requests the complete configuration, running subtrees included.
	bootstrap bool
	// compare requests a comparison of the members by digests. The position in the
	// peer's member log is neither sent nor stored.
	compare bool
	// search is true for a poll of a random node; see runSearch.
	search bool
	// offered is control.DeltaReceived.Offered.
	offered [][]replicate.SubtreeDelta
	// upstreamIndex is the index of the peer in role.upstreams.
	upstreamIndex int
	// generation is that of the role when the poll was sent.
	generation uint64
	// knownContact is the contact in the last response of the peer, ContactNone before the
	// first one.
	knownContact model.PlatformContact
}

// timeout returns how long the poll may take until its response begins.
func (o pollOptions) timeout(request *wire.PollRequest, margin time.Duration) time.Duration {
	if request.GetCutRevision() == 0 {
		margin = transferMargin
	}
	return o.wait + margin
}

// refusedError means that a peer responded but is too busy to serve the poll.
type refusedError struct {
	retryAfter time.Duration
}

// Error implements error.
func (e *refusedError) Error() string {
	return fmt.Sprintf("peer is busy, retry after %s", e.retryAfter)
}

// poll returns the peer's contact with the platform after the control loop has handled
// the response.
func (s *Service) poll(ctx context.Context, p peer, options pollOptions) (model.PlatformContact, error) {
	request := s.newRequest(p, options)
	response, err := s.call(ctx, p, options, request)
	if err != nil {
		return model.ContactNone, err
	}
	return wireconv.ContactFromWire(response.GetContact()), s.applyResponse(ctx, p, options, request, response)
}

// call sends one poll and returns the response. The timeout does not abort a
// response as long as data keeps arriving.
func (s *Service) call(ctx context.Context, p peer, options pollOptions, request *wire.PollRequest) (*wire.PollResponse, error) {
	ctx, progress, cancel := clock.WithIdleTimeout(ctx, s.clock, options.timeout(request, s.config.PollTimes.Margin), s.config.PollTimes.Margin)
	defer cancel()
	ctx = context.WithValue(ctx, responseOptionsKey{}, responseOptions{onProgress: progress, following: s.config.Direct})
	response, err := s.dial(p.address).Poll(ctx, request)
	if err != nil {
		return nil, err
	}
	s.timeline.Clock().Observe(timeline.Timestamp(response.GetTime()))
	return response, nil
}

func (s *Service) newRequest(p peer, options pollOptions) *wire.PollRequest {
	request := &wire.PollRequest{
		Node:             string(s.config.Self.ID),
		WaitMilliseconds: uint32(options.wait.Milliseconds()),
		Bootstrap:        options.bootstrap,
		Time:             uint64(s.timeline.Clock().Now()),
		KnownContact:     wireconv.ContactToWire(options.knownContact),
	}
	if links := s.links.Load(); links != nil {
		request.SlowReader, request.WideLinks = links.slowReader, links.wide
	}
	s.setBase(request, options)
	s.setRunning(request, options)
	if options.bootstrap {
		return request
	}
	var cursor members.Cursor
	if !options.compare {
		cursor = s.cursors.get(p.address)
	}
	request.MemberEpoch, request.MemberPosition = cursor.Epoch, cursor.Position
	if cursor.Epoch == 0 {
		request.MemberBuckets = s.members.Load().Digests()
	}
	return request
}

// setBase sets the cut that the response is relative to, and the keys whose
// subtrees are requested whole.
func (s *Service) setBase(request *wire.PollRequest, options pollOptions) {
	configuration, needed := s.configuration.Load(), s.repair.Load()
	if configuration == nil || options.bootstrap || needed.all {
		return
	}
	request.CutRevision = uint64(configuration.Cut.Revision)
	request.WholeKeys = wireconv.KeysToWire(needed.keys)
}

// applyResponse posts the content of a response to the control loop and waits until
// it is handled. It returns a refusedError if the peer is busy.
func (s *Service) applyResponse(ctx context.Context, p peer, options pollOptions, request *wire.PollRequest, response *wire.PollResponse) error {
	origin := control.Origin{Peer: p.name()}
	var messages []kernel.Message
	received, err := wireconv.MembersFromWire(response.GetMembers())
	if err != nil {
		return err
	}
	if len(received) > 0 {
		messages = append(messages, control.MembersReceived{From: origin, Members: received})
	}
	if after := response.GetRetryAfterMilliseconds(); after > 0 {
		for _, m := range messages {
			_ = s.loop.Post(ctx, m) // names other nodes to poll, so its loss is harmless
		}
		return &refusedError{retryAfter: time.Duration(after) * time.Millisecond}
	}
	delta, err := wireconv.Delta(response, options.bootstrap)
	if err != nil {
		return err
	}
	if delta.Revision > model.Revision(request.GetCutRevision()) || options.bootstrap || len(delta.Running) > 0 {
		messages = append(messages, control.DeltaReceived{From: origin, Delta: delta, Offered: options.offered})
	}
	if len(delta.Subtrees) > 0 {
		s.log.Info("configuration received", "peer", p.name(), "revision", delta.Revision, "base", request.GetCutRevision())
	}
	done := pollDone{
		from: p, upstreamIndex: options.upstreamIndex, generation: options.generation,
		contact: wireconv.ContactFromWire(response.GetContact()), platformRevision: model.Revision(response.GetPlatformRevision()),
		cutRevision: delta.Revision, handled: make(chan struct{}),
		withoutMembers: response.GetMemberEpoch() == 0, search: options.search,
	}
	if err := s.loop.PostAndWait(ctx, done.handled, append(messages, done)...); err != nil {
		return err
	}
	if !options.compare {
		s.cursors.set(p.address, members.Cursor{Epoch: response.GetMemberEpoch(), Position: response.GetMemberPosition()})
	}
	return nil
}
