package exchange

import (
	"context"
	"fmt"
	"time"

	"github.com/galenalever/galenalever/internal/clock"
	"github.com/galenalever/galenalever/internal/control"
	"github.com/galenalever/galenalever/internal/decision/members"
	"github.com/galenalever/galenalever/internal/kernel"
	"github.com/galenalever/galenalever/internal/model"
	"github.com/galenalever/galenalever/internal/timeline"
	"github.com/galenalever/galenalever/internal/wire"
	"github.com/galenalever/galenalever/internal/wire/wireconv"
)

// question says how to poll a peer.
type question struct {
	wait      time.Duration
	bootstrap bool
	// compare has the members compared by their digests; no place in the
	// peer's log is remembered.
	compare bool
	// configurationOnly leaves out the members.
	configurationOnly bool
	// place is that of the upstream in the role.
	place int
	// round is the round of the role in which the question is asked.
	round uint64
}

func (q question) timeout(request *wire.PollRequest, margin time.Duration) time.Duration {
	if request.GetCutRevision() == 0 {
		margin = transferMargin
	}
	return q.wait + margin
}

// refusedError is the answer of a peer that cannot serve now.
type refusedError struct {
	retryAfter time.Duration
}

// Error implements error.
func (e *refusedError) Error() string { return fmt.Sprintf("busy, retry after %s", e.retryAfter) }

// poll asks a peer and has the answer taken in before it returns.
func (s *Service) poll(ctx context.Context, p peer, ask question) error {
	request := s.request(p, ask)
	response, err := s.call(ctx, p, ask, request)
	if err != nil {
		return err
	}
	return s.takeAnswer(ctx, p, ask, request, response)
}

// call makes one poll. An answer that keeps coming is read to its end.
func (s *Service) call(ctx context.Context, p peer, ask question, request *wire.PollRequest) (*wire.PollResponse, error) {
	ctx, progress, cancel := clock.WithIdleTimeout(ctx, s.clock, ask.timeout(request, s.config.PollTimes.Margin), s.config.PollTimes.Margin)
	defer cancel()
	ctx = context.WithValue(ctx, transferKey{}, transfer{progress: progress, following: ask.configurationOnly})
	response, err := s.dial(p.address).Poll(ctx, request)
	if err != nil {
		return nil, err
	}
	s.timeline.Clock().Observe(timeline.Timestamp(response.GetTime()))
	return response, nil
}

func (s *Service) request(p peer, ask question) *wire.PollRequest {
	request := &wire.PollRequest{
		Node:             string(s.config.Self.ID),
		WaitMilliseconds: uint32(ask.wait.Milliseconds()),
		Bootstrap:        ask.bootstrap,
		Time:             uint64(s.timeline.Clock().Now()),
	}
	s.setBase(request, ask)
	s.setRunning(request, ask)
	if ask.configurationOnly {
		request.ConfigurationOnly = true
		return request
	}
	if ask.bootstrap {
		return request
	}
	var cursor members.Cursor
	if !ask.compare {
		cursor = s.cursors.get(p.address)
	}
	request.MemberEpoch, request.MemberPosition = cursor.Epoch, cursor.Position
	if cursor.Epoch == 0 {
		request.MemberBuckets = s.members.Load().Digests()
	}
	return request
}

// setBase says which cut the answer should start from.
func (s *Service) setBase(request *wire.PollRequest, ask question) {
	state, needed := s.states.Load(), s.repair.Load()
	if state == nil || ask.bootstrap || needed.all {
		return
	}
	request.CutRevision = uint64(state.Cut.Revision)
	request.WholeKeys = wireconv.KeysToWire(needed.keys)
}

func (s *Service) takeAnswer(ctx context.Context, p peer, ask question, request *wire.PollRequest, response *wire.PollResponse) error {
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
			_ = s.loop.Post(ctx, m) // a hint; a lost one does no harm
		}
		return &refusedError{retryAfter: time.Duration(after) * time.Millisecond}
	}
	delta, err := wireconv.Delta(response, ask.bootstrap)
	if err != nil {
		return err
	}
	if delta.Revision > model.Revision(request.GetCutRevision()) || ask.bootstrap || len(delta.Running) > 0 {
		messages = append(messages, control.DeltaReceived{From: origin, Delta: delta})
	}
	if len(delta.Subtrees) > 0 {
		s.log.Info("configuration received", "peer", p.name(), "revision", delta.Revision, "base", request.GetCutRevision())
	}
	done := pollDone{
		from: p, place: ask.place, round: ask.round,
		contact: wireconv.ContactFromWire(response.GetContact()), handled: make(chan struct{}),
	}
	if err := s.loop.PostAndWait(ctx, done.handled, append(messages, done)...); err != nil {
		return err
	}
	if !ask.compare && !ask.configurationOnly {
		s.cursors.set(p.address, members.Cursor{Epoch: response.GetMemberEpoch(), Position: response.GetMemberPosition()})
	}
	return nil
}
