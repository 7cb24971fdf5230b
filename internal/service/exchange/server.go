package exchange

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/twitchtv/twirp"

	"github.com/galenalever/galenalever/internal/clock"
	"github.com/galenalever/galenalever/internal/control"
	"github.com/galenalever/galenalever/internal/decision/members"
	"github.com/galenalever/galenalever/internal/decision/rank"
	"github.com/galenalever/galenalever/internal/model"
	"github.com/galenalever/galenalever/internal/timeline"
	"github.com/galenalever/galenalever/internal/wire"
	"github.com/galenalever/galenalever/internal/wire/wireconv"
)

const (
	// maxHold bounds how long a poll is held back, whatever the caller asks.
	maxHold = 30 * time.Second
	// maxTransfers is the number of complete states sent at a time.
	maxTransfers = 4
	// maxPolls is the number of polls served at a time.
	maxPolls = 256
	// minRetryAfter and maxRetryAfter bound the time after which a refused peer
	// asks again; it is random in between.
	minRetryAfter = 300 * time.Millisecond
	maxRetryAfter = 900 * time.Millisecond
	// maxHints is the number of other nodes named in a refusal.
	maxHints = 8
)

// Poll implements wire.Exchange.
func (s *Service) Poll(ctx context.Context, request *wire.PollRequest) (*wire.PollResponse, error) {
	s.timeline.Clock().Observe(timeline.Timestamp(request.GetTime()))
	if !s.polls.tryAcquire() {
		return s.refusal(model.InstanceID(request.GetNode())), nil
	}
	defer s.polls.release()
	asked := parseQuery(request)
	if asked.configurationOnly {
		if !s.role.Load().reader {
			if !s.interim.tryAcquire() {
				return s.refusal(asked.from), nil
			}
			defer s.interim.release()
		}
		s.loop.TryPost(followed{}) // the next poll tells it again
	}
	if asked.complete() {
		if !s.transfers.tryAcquire() {
			return s.refusal(asked.from), nil
		}
		defer s.transfers.release()
	}
	return s.hold(ctx, asked)
}

// query is a received question in the types of the decisions.
type query struct {
	from  model.InstanceID
	base  model.Revision
	whole []model.Key
	// running is the digest of what the caller runs.
	running   []byte
	cursor    members.Cursor
	digests   []uint64
	wait      time.Duration
	bootstrap bool
	// configurationOnly leaves out the members.
	configurationOnly bool
}

func parseQuery(request *wire.PollRequest) query {
	wait := time.Duration(request.GetWaitMilliseconds()) * time.Millisecond
	return query{
		from:      model.InstanceID(request.GetNode()),
		base:      model.Revision(request.GetCutRevision()),
		whole:     wireconv.KeysFromWire(request.GetWholeKeys()),
		running:   request.GetRunningDigest(),
		cursor:    members.Cursor{Epoch: request.GetMemberEpoch(), Position: request.GetMemberPosition()},
		digests:   request.GetMemberBuckets(),
		wait:      min(wait, maxHold),
		bootstrap: request.GetBootstrap(),

		configurationOnly: request.GetConfigurationOnly(),
	}
}

// complete reports whether the answer carries the complete configuration.
func (q query) complete() bool { return q.bootstrap || q.base == 0 }

// hold answers as soon as there is news for the caller, or when the wait is
// over. A node that was paused first waits to become fresh itself.
func (s *Service) hold(ctx context.Context, q query) (*wire.PollResponse, error) {
	over := make(chan struct{})
	timer := s.clock.AfterFunc(q.wait, func() { close(over) })
	defer timer.Stop()
	for {
		state, stateChanged := s.states.Watch()
		view, viewChanged := s.members.Watch()
		_, synchronised := s.synchronised.Watch()
		if state == nil || state.Cut.Revision == 0 {
			return s.refusal(q.from), nil
		}
		news := hasNews(state, view, q) || s.owesOffer(state, q)
		if q.wait <= 0 || (news && s.watchdog.Fresh()) {
			return s.answer(state, view, q), nil
		}
		select {
		case <-stateChanged:
		case <-viewChanged:
		case <-synchronised:
		case <-over:
			return s.answer(s.states.Load(), s.members.Load(), q), nil
		case <-s.stopping:
			return s.answer(state, view, q), nil
		case <-ctx.Done():
			return nil, twirp.NewError(twirp.Canceled, ctx.Err().Error())
		}
		_ = clock.Wait(ctx, s.clock, s.config.PollTimes.Coalesce)
	}
}

func hasNews(state *model.Configuration, view *members.View, q query) bool {
	if q.bootstrap || len(q.whole) > 0 || state.Cut.Revision > q.base {
		return true
	}
	return !q.configurationOnly && view.Cursor() != q.cursor
}

// answer tells the caller what it lacks.
func (s *Service) answer(state *model.Configuration, view *members.View, q query) *wire.PollResponse {
	response := &wire.PollResponse{Time: uint64(s.timeline.Clock().Now())}
	wireconv.SetDelta(response, s.configurationDelta(state, q))
	response.Contact = wireconv.ContactToWire(s.contact())
	if !q.configurationOnly {
		s.addMembers(response, view, q)
	}
	return response
}

// addMembers adds what the caller lacks of the members. A cursor into the log
// of an earlier process without digests yields nothing but a request to send
// the digests, which an epoch of 0 expresses.
func (s *Service) addMembers(response *wire.PollResponse, view *members.View, q query) {
	cursor := view.Cursor()
	if q.cursor.Epoch != cursor.Epoch && len(q.digests) == 0 && !q.bootstrap {
		return
	}
	response.MemberEpoch, response.MemberPosition = cursor.Epoch, cursor.Position
	response.Members = wireconv.MembersToWire(view.Since(q.cursor, q.digests))
}

// refusal asks the caller for patience and names other nodes that it may ask.
func (s *Service) refusal(to model.InstanceID) *wire.PollResponse {
	after := minRetryAfter + rand.N(maxRetryAfter-minRetryAfter)
	return &wire.PollResponse{
		RetryAfterMilliseconds: uint32(after.Milliseconds()),
		Members:                wireconv.MembersToWire(s.hints(to)),
		Time:                   uint64(s.timeline.Clock().Now()),
	}
}

// hints returns random nodes of the caller's failure domain, as far as known.
func (s *Service) hints(to model.InstanceID) []model.Member {
	view, rng := s.members.Load(), rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	caller := s.config.Self
	if known, ok := view.Get(to); ok {
		caller = model.Self{ID: known.ID, Domain: known.Domain}
	}
	var out []model.Member
	for range maxHints {
		if m, ok := rank.RandomPartner(view, caller, rng); ok {
			out = append(out, m)
		}
	}
	return out
}

// Announce implements wire.Exchange.
func (s *Service) Announce(ctx context.Context, request *wire.AnnounceRequest) (*wire.AnnounceResponse, error) {
	received, err := wireconv.MembersFromWire(request.GetMembers())
	if err != nil {
		return nil, twirp.NewError(twirp.InvalidArgument, err.Error())
	}
	message := announced{from: control.Origin{Peer: request.GetNode()}, members: received}
	if err := s.loop.Post(ctx, message); err != nil {
		return nil, twirp.NewError(twirp.Unavailable, err.Error())
	}
	return &wire.AnnounceResponse{}, nil
}
