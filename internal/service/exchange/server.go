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
	// maxPollWait bounds the wait of a poll, whatever the caller requests.
	maxPollWait = 30 * time.Second
	// maxTransfers is the largest number of complete configurations sent at a time.
	maxTransfers = 4
	// maxPolls is the largest number of polls served at a time.
	maxPolls = 256
	// minRetryAfter and maxRetryAfter bound the random time after which a refused
	// peer polls again.
	minRetryAfter = 300 * time.Millisecond
	maxRetryAfter = 900 * time.Millisecond
	// maxHints is the largest number of other nodes named in a refusal.
	maxHints = 8
)

// Poll implements wire.Exchange.
func (s *Service) Poll(ctx context.Context, request *wire.PollRequest) (*wire.PollResponse, error) {
	s.timeline.Clock().Observe(timeline.Timestamp(request.GetTime()))
	if !s.polls.tryAcquire() {
		return s.refusal(model.InstanceID(request.GetNode())), nil
	}
	defer s.polls.release()
	if s.config.Direct {
		s.loop.TryPost(polled{slowReader: request.GetSlowReader(), wide: request.GetWideLinks()}) // if it is lost, the next poll posts it again
	}
	q := parseQuery(request)
	return s.awaitChange(ctx, q)
}

// query is a received wire.PollRequest in the types of the decision packages.
type query struct {
	from model.InstanceID
	// base is the revision of the caller's cut, or 0 if it has none.
	base      model.Revision
	wholeKeys []model.Key
	// running is the digest of the caller's running subtrees.
	running []byte
	// cursor is the caller's position in this node's member log.
	cursor members.Cursor
	// digests are those of the caller's member buckets; empty if not sent.
	digests   []uint64
	wait      time.Duration
	bootstrap bool
	// knownContact is this node's contact in its last response to the caller, or
	// ContactNone if the caller has none.
	knownContact model.PlatformContact
}

func parseQuery(request *wire.PollRequest) query {
	wait := time.Duration(request.GetWaitMilliseconds()) * time.Millisecond
	return query{
		from:      model.InstanceID(request.GetNode()),
		base:      model.Revision(request.GetCutRevision()),
		wholeKeys: wireconv.KeysFromWire(request.GetWholeKeys()),
		running:   request.GetRunningDigest(),
		cursor:    members.Cursor{Epoch: request.GetMemberEpoch(), Position: request.GetMemberPosition()},
		digests:   request.GetMemberBuckets(),
		wait:      min(wait, maxPollWait),
		bootstrap: request.GetBootstrap(),

		knownContact: wireconv.ContactFromWire(request.GetKnownContact()),
	}
}

func (q query) wantsFullConfiguration() bool { return q.bootstrap || q.base == 0 }

// awaitChange returns a response as soon as there are changes that the caller
// lacks, when this node's contact with the platform changes, or when the caller's wait
// has elapsed. After a pause of this process, a change ends the wait only once the node
// is up to date again. A node without a configuration refuses the poll; in direct mode
// it first waits for one.
func (s *Service) awaitChange(ctx context.Context, q query) (*wire.PollResponse, error) {
	elapsed := make(chan struct{})
	timer := s.clock.AfterFunc(q.wait, func() { close(elapsed) })
	defer timer.Stop()
	contact, contactChanged := s.contact.Watch()
	if q.knownContact != model.ContactNone && q.knownContact != contact {
		q.wait = 0 // the contact has changed since the caller's last poll
	}
	for {
		_, configurationChanged := s.configuration.Watch()
		_, viewChanged := s.members.Watch()
		_, synchronised := s.synchronised.Watch()
		state := s.loadState()
		if !state.configured() && (q.wait <= 0 || !s.config.Direct) {
			return s.refusal(q.from), nil
		}
		if state.configured() {
			changed := hasChanges(state, q) || s.shouldOffer(state.configuration, q)
			if q.wait <= 0 || (changed && s.watchdog.Fresh()) {
				return s.newResponse(state, q), nil
			}
		}
		select {
		case <-configurationChanged:
		case <-viewChanged:
		case <-synchronised:
		case <-contactChanged:
			q.wait = 0 // the next iteration responds
			continue
		case <-elapsed:
			q.wait = 0
			continue
		case <-s.stopping:
			q.wait = 0
			continue
		case <-ctx.Done():
			return nil, twirp.NewError(twirp.Canceled, ctx.Err().Error())
		}
		_ = clock.Wait(ctx, s.clock, s.config.PollTimes.Coalesce)
	}
}

// state is what a response to a poll is made from.
type state struct {
	// platformRevision was loaded before the rest, which includes all changes up to it.
	platformRevision model.Revision
	configuration    *model.Configuration
	view             *members.View
}

func (s *Service) loadState() state {
	revision := s.platformRevision()
	return state{platformRevision: revision, configuration: s.configuration.Load(), view: s.members.Load()}
}

func (s state) configured() bool {
	return s.configuration != nil && s.configuration.Cut.Revision > 0
}

func hasChanges(current state, q query) bool {
	if q.bootstrap || len(q.wholeKeys) > 0 || current.configuration.Cut.Revision > q.base {
		return true
	}
	return current.view.Cursor() != q.cursor
}

// newResponse returns the changes that the caller lacks, or a refusal if the caller needs
// the complete configuration while others are sent.
func (s *Service) newResponse(current state, q query) *wire.PollResponse {
	if q.wantsFullConfiguration() {
		if !s.transfers.tryAcquire() {
			return s.refusal(q.from)
		}
		defer s.transfers.release()
	}
	response := &wire.PollResponse{
		Time:             uint64(s.timeline.Clock().Now()),
		Contact:          wireconv.ContactToWire(s.contact.Load()),
		PlatformRevision: uint64(current.platformRevision),
	}
	wireconv.SetDelta(response, s.configurationDelta(current.configuration, q))
	s.addMembers(response, current.view, q)
	return response
}

// addMembers adds the member records that the caller lacks. If the caller's cursor
// belongs to another log, such as that of an earlier process, and the caller sent no
// digests, the response has no members and epoch 0, which requests the digests.
func (s *Service) addMembers(response *wire.PollResponse, view *members.View, q query) {
	cursor := view.Cursor()
	if q.cursor.Epoch != cursor.Epoch && len(q.digests) == 0 && !q.bootstrap {
		return
	}
	response.MemberEpoch, response.MemberPosition = cursor.Epoch, cursor.Position
	response.Members = wireconv.MembersToWire(view.Since(q.cursor, q.digests))
}

// refusal returns a response that asks the caller to poll again later and names
// other nodes that it may poll instead.
func (s *Service) refusal(to model.InstanceID) *wire.PollResponse {
	retryAfter := minRetryAfter + rand.N(maxRetryAfter-minRetryAfter)
	return &wire.PollResponse{
		RetryAfterMilliseconds: uint32(retryAfter.Milliseconds()),
		Members:                wireconv.MembersToWire(s.hints(to)),
		Time:                   uint64(s.timeline.Clock().Now()),
	}
}

// hints returns up to maxHints random nodes of the caller's failure domain, or of this
// node's if the caller is unknown. The same node may occur repeatedly.
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
