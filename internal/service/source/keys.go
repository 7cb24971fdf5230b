package source

import (
	"context"
	"errors"
	"time"

	"github.com/galenalever/galenalever/internal/clock"
	"github.com/galenalever/galenalever/internal/control"
	"github.com/galenalever/galenalever/internal/decision/reading"
	"github.com/galenalever/galenalever/internal/kernel"
	"github.com/galenalever/galenalever/internal/model"
)

// watchKeys reads changed values and posts a cut after each change, until the
// context ends. The first listing of an order is not held back.
func (s *Service) watchKeys(ctx context.Context, retry *retrier, current order) {
	assembler := reading.NewAssembler(s.base())
	var wait time.Duration
	for ctx.Err() == nil {
		if base := s.base(); base.Revision > assembler.After() {
			assembler = reading.NewAssembler(base)
		}
		if err := s.assemble(ctx, assembler, wait); err != nil {
			s.answered.Store(false)
			retry.failed(ctx, err)
			continue
		}
		retry.succeeded()
		s.answered.Store(true)
		s.postCut(ctx, assembler, current)
		s.pace(ctx)
		assembler = reading.NewAssembler(s.base())
		wait = s.watchWait()
	}
}

// pace waits between two listings.
func (s *Service) pace(ctx context.Context) {
	_ = clock.Wait(ctx, s.clock, time.Duration(1+s.place.Load())*s.config.Pacing.ListInterval)
}

func (s *Service) postCut(ctx context.Context, assembler *reading.Assembler, current order) {
	var messages []kernel.Message
	cut, ok := assembler.Cut()
	if ok {
		messages = append(messages, control.CutReceived{Cut: cut})
	}
	posted := s.clock.Now()
	s.post(ctx, read{listing: listingKeys, round: current.round, handled: make(chan struct{})}, messages...)
	s.logRead(cut.Revision, s.decoding, s.clock.Now().Sub(posted))
	s.decoding = 0
}

// base returns the newest cut that the node knows.
func (s *Service) base() model.Cut {
	if state := s.states.Load(); state != nil {
		return state.Cut
	}
	return model.Cut{}
}

// assemble lists keys and reads values until the cut is consistent, or until a
// reader that comes before this one has delivered the same. What was read before
// an error is kept for the next call.
func (s *Service) assemble(ctx context.Context, a *reading.Assembler, wait time.Duration) error {
	if _, unread := a.Next(); !unread {
		if err := s.listKeys(ctx, a, wait); err != nil {
			return err
		}
	}
	if _, unread := a.Next(); unread {
		s.awaitOthers(ctx, a.After())
		if s.base().Revision >= a.After() {
			return nil
		}
	}
	for {
		key, unread := a.Next()
		switch {
		case unread:
			if err := s.readValue(ctx, a, key); err != nil {
				return err
			}
		case a.NeedsListing():
			if err := s.listKeys(ctx, a, 0); err != nil {
				return err
			}
		default:
			return nil
		}
	}
}

// awaitOthers leaves a listed change to the readers that come before this one,
// for a time that depends on their number.
func (s *Service) awaitOthers(ctx context.Context, listed model.Revision) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	timer := s.clock.AfterFunc(time.Duration(s.place.Load())*placeDelay, cancel)
	defer timer.Stop()
	for ctx.Err() == nil {
		state, changed := s.states.Watch()
		if state != nil && state.Cut.Revision >= listed {
			return
		}
		_ = kernel.Await(ctx, changed)
	}
}

func (s *Service) listKeys(ctx context.Context, a *reading.Assembler, wait time.Duration) error {
	if err := s.admit(ctx); err != nil {
		return err
	}
	list, err := s.config.Platform.Keys(ctx, a.After(), wait)
	if err != nil {
		return err
	}
	return a.AddListing(list.Revision, list.Changes)
}

// readValue reads one value. A value that is missing was removed after the
// listing, so the keys are listed again.
func (s *Service) readValue(ctx context.Context, a *reading.Assembler, key model.Key) error {
	if err := s.admit(ctx); err != nil {
		return err
	}
	v, err := s.config.Platform.Value(ctx, key)
	if errors.Is(err, ErrNoValue) {
		a.AddMissing(key)
		return s.listKeys(ctx, a, 0)
	}
	if err != nil {
		return err
	}
	begin := s.clock.Now()
	subtree := s.config.Parse(v.Key, v.Revision, v.Text, false)
	s.decoding += max(s.clock.Now().Sub(begin), 1)
	return a.AddValue(subtree)
}
