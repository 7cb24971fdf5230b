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
	reached, reported := false, false
	report := func(ok bool) {
		if (ok != reached || !reported) && ctx.Err() == nil {
			reached, reported = ok, true
			_ = s.loop.Post(ctx, control.PlatformReached{Reached: ok}) // fails with the context only
		}
	}
	s.removalHold.ReadingBegan()
	for ctx.Err() == nil {
		now := s.clock.Now()
		waits := s.removalHold.Wait(s.returnHold.Wait(wait, now), now)
		list, err := s.listInstances(ctx, waits)
		if err != nil {
			report(false)
			s.removalHold.CallFailed(now.Add(waits), s.clock.Now())
			retry.failed(ctx, err)
			wait = waitAfterFailure
			continue
		}
		now = s.clock.Now()
		s.removalHold.CallSucceeded(now)
		if list.Returned {
			s.removalHold.PlatformRecovered(now)
		}
		retry.succeeded()
		if list.Partial {
			_ = s.loop.Post(ctx, membersOf(list)) // the next listing continues this one
			continue
		}
		wait = s.config.Pacing.WatchWait
		list.Members = s.holdRemovals(s.holdReturned(list, now), now)
		s.postMembers(ctx, list, current)
		report(true) // other nodes may now rely on what this one knows
		s.awaitListInterval(ctx)
	}
}

func membersOf(list InstanceListing) control.MembersReceived {
	message := control.MembersReceived{From: control.Origin{Platform: true}, Members: list.Members, Removed: list.Removed}
	if list.Complete && !list.Partial {
		message.CompleteAt = list.Revision
	}
	return message
}

// holdReturned delays entries that the platform has brought back from an older copy and that
// contradict later ones, and adds the delayed entries that are now due.
func (s *Service) holdReturned(list InstanceListing, now time.Time) []model.Member {
	if list.Complete {
		s.returnHold.KeepListed(list.Members)
	}
	passed := s.returnHold.Filter(list.Members, list.Returned, s.members.Load().Get, now)
	if n := len(list.Members) - len(passed); n > 0 {
		s.log.Info("delaying entries of an older copy of the platform", "count", n)
	}
	return append(passed, s.returnHold.Due(now)...)
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

// postMembers posts the changes up to the revision of a listing. While some are held back,
// not all changes are known.
func (s *Service) postMembers(ctx context.Context, list InstanceListing, current assignment) {
	var messages []kernel.Message
	if len(list.Members) > 0 || len(list.Removed) > 0 || list.Complete {
		messages = append(messages, membersOf(list))
	}
	done := listingRead{listing: listingInstances, round: current.round, revision: list.Revision, handled: make(chan struct{})}
	if s.removalHold.Holding() || s.returnHold.Holding() {
		done.revision = 0
	}
	s.postAndWait(ctx, done, messages...)
}

// listInstances returns the changes of the instance list. It adds to a complete listing
// removal records for the known instances that are missing in it. A response that is
// older than an earlier one is rejected with platformread.ErrStale. An instance of which only
// the ID is known may be known from other nodes.
func (s *Service) listInstances(ctx context.Context, wait time.Duration) (InstanceListing, error) {
	if err := s.awaitRateLimit(ctx); err != nil {
		return InstanceListing{}, err
	}
	after := s.instancesRevision
	list, err := s.config.Platform.Instances(ctx, after, wait)
	if err != nil {
		return InstanceListing{}, err
	}
	for _, invalid := range list.InvalidEntries {
		s.log.Warn("invalid entry in the platform's instance list", "error", invalid, "listed_at", list.Revision)
	}
	removed, unknown := platformread.RemovalRecords(s.members.Load(), list.Removed)
	list.Members, list.Removed = append(list.Members, removed...), unknown
	if list.Partial {
		return list, nil
	}
	if list.Revision < after {
		return InstanceListing{}, platformread.ErrStale
	}
	if list.Returned {
		s.recordReturn(after, list.Revision)
	}
	s.instancesRevision = list.Revision
	if list.Complete {
		list.Members = append(list.Members, platformread.RemovedInstances(s.members.Load(), list.Revision, list.Members)...)
	}
	return list, nil
}
