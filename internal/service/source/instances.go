package source

import (
	"context"
	"time"

	"github.com/galenalever/galenalever/internal/control"
	"github.com/galenalever/galenalever/internal/decision/reading"
	"github.com/galenalever/galenalever/internal/kernel"
	"github.com/galenalever/galenalever/internal/model"
)

// retryWait is how long a listing after a failure is held back: an answer at once
// shows when the platform has returned, from which lapsed entries are judged.
const retryWait = time.Millisecond

// watchInstances posts what changes in the list of instances until the context
// ends. The first listing of an order is not held back.
func (s *Service) watchInstances(ctx context.Context, retry *retrier, current order) {
	var wait time.Duration
	for ctx.Err() == nil {
		received, err := s.listInstances(ctx, s.lapses.Wait(wait, s.clock.Now()))
		if err != nil {
			s.reached(ctx, retry, false)
			retry.failed(ctx, err)
			wait = retryWait
			continue
		}
		now := s.clock.Now()
		if retry.failures > 0 {
			s.lapses.PlatformRecovered(now)
		}
		s.reached(ctx, retry, true)
		retry.succeeded()
		wait = s.watchWait()
		s.postMembers(ctx, s.withoutLapsed(received, now), current)
		s.pace(ctx)
	}
}

// reached tells the other services when a call ends a row of failures or begins
// one.
func (s *Service) reached(ctx context.Context, retry *retrier, ok bool) {
	if ok == (retry.failures > 0) && ctx.Err() == nil {
		_ = s.loop.Post(ctx, control.PlatformReached{Reached: ok}) // fails with the context only
	}
}

// withoutLapsed holds back removals that an outage of the platform may have
// caused, and adds those that were held for long enough.
func (s *Service) withoutLapsed(received []model.Member, now time.Time) []model.Member {
	view := s.members.Load()
	held := s.lapses.Filter(received, view.Get, view.Len(), now)
	if n := len(received) - len(held); n > 0 {
		s.log.Info("removals held back, since entries may have lapsed in an outage", "count", n)
	}
	return append(held, s.lapses.Due(now)...)
}

func (s *Service) postMembers(ctx context.Context, received []model.Member, current order) {
	var messages []kernel.Message
	if len(received) > 0 {
		messages = append(messages, control.MembersReceived{From: control.Origin{Platform: true}, Members: received})
	}
	s.post(ctx, read{listing: listingInstances, round: current.round, handled: make(chan struct{})}, messages...)
}

// listInstances returns the records that changed. An answer older than one seen
// before is refused.
func (s *Service) listInstances(ctx context.Context, wait time.Duration) ([]model.Member, error) {
	if err := s.admit(ctx); err != nil {
		return nil, err
	}
	after := s.instancesSeen
	list, err := s.config.Platform.Instances(ctx, after, wait)
	if err != nil {
		return nil, err
	}
	if list.Revision < after {
		return nil, reading.ErrStale
	}
	s.instancesSeen = list.Revision
	for _, fault := range list.InvalidEntries {
		s.log.Warn("entry of the list of instances names no instance", "error", fault, "listed_at", list.Revision)
	}
	if after > 0 && !list.Complete {
		return list.Members, nil
	}
	return append(list.Members, reading.RemovedInstances(s.members.Load(), list.Revision, list.Members)...), nil
}
