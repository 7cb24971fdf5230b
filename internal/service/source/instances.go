package source

import (
	"context"
	"time"

	"github.com/galenalever/galenalever/internal/control"
	"github.com/galenalever/galenalever/internal/decision/platformread"
	"github.com/galenalever/galenalever/internal/kernel"
	"github.com/galenalever/galenalever/internal/model"
)

// waitAfterFailure is the long-poll wait of a listing after a failure. It is short
// so that the platform does not delay the first response after an outage, whose time
// starts the hold on removals.
const waitAfterFailure = time.Millisecond

// watchInstances posts changes of the instance list until the context ends. The
// first listing of an assignment does not wait for a change.
func (s *Service) watchInstances(ctx context.Context, retry *retrier, current assignment) {
	var wait time.Duration
	for ctx.Err() == nil {
		received, err := s.listInstances(ctx, s.removalHold.Wait(wait, s.clock.Now()))
		if err != nil {
			s.reportReachability(ctx, retry, false)
			retry.failed(ctx, err)
			wait = waitAfterFailure
			continue
		}
		now := s.clock.Now()
		if retry.failures > 0 {
			s.removalHold.PlatformRecovered(now)
		}
		s.reportReachability(ctx, retry, true)
		retry.succeeded()
		wait = s.watchWait()
		s.postMembers(ctx, s.holdRemovals(received, now), current)
		s.awaitListInterval(ctx)
	}
}

// reportReachability posts PlatformReached when a call ends a series of failures or
// begins one. It must be called before retry counts the result of the call.
func (s *Service) reportReachability(ctx context.Context, retry *retrier, ok bool) {
	if ok == (retry.failures > 0) && ctx.Err() == nil {
		_ = s.loop.Post(ctx, control.PlatformReached{Reached: ok}) // fails with the context only
	}
}

// holdRemovals delays removals that a platform outage may have caused, since
// entries expire meanwhile, and adds the delayed removals that are now due.
func (s *Service) holdRemovals(received []model.Member, now time.Time) []model.Member {
	view := s.members.Load()
	passed := s.removalHold.Filter(received, view.Get, view.Len(), now)
	if n := len(received) - len(passed); n > 0 {
		s.log.Info("delaying removals: entries may have expired during a platform outage", "count", n)
	}
	return append(passed, s.removalHold.Due(now)...)
}

func (s *Service) postMembers(ctx context.Context, received []model.Member, current assignment) {
	var messages []kernel.Message
	if len(received) > 0 {
		messages = append(messages, control.MembersReceived{From: control.Origin{Platform: true}, Members: received})
	}
	s.postAndWait(ctx, listingRead{listing: listingInstances, round: current.round, handled: make(chan struct{})}, messages...)
}

// listInstances returns the members that changed. From a complete listing, it also
// returns removal records for the known instances that are missing in it. A response
// that is older than an earlier one is rejected with platformread.ErrStale.
func (s *Service) listInstances(ctx context.Context, wait time.Duration) ([]model.Member, error) {
	if err := s.awaitRateLimit(ctx); err != nil {
		return nil, err
	}
	after := s.instancesRevision
	list, err := s.config.Platform.Instances(ctx, after, wait)
	if err != nil {
		return nil, err
	}
	if list.Revision < after {
		return nil, platformread.ErrStale
	}
	s.instancesRevision = list.Revision
	for _, invalid := range list.InvalidEntries {
		s.log.Warn("invalid entry in the platform's instance list", "error", invalid, "listed_at", list.Revision)
	}
	if after > 0 && !list.Complete {
		return list.Members, nil
	}
	return append(list.Members, platformread.RemovedInstances(s.members.Load(), list.Revision, list.Members)...), nil
}
