package source

import (
	"context"
	"errors"
	"time"

	"github.com/galenalever/galenalever/internal/clock"
	"github.com/galenalever/galenalever/internal/control"
	"github.com/galenalever/galenalever/internal/decision/platformread"
	"github.com/galenalever/galenalever/internal/kernel"
	"github.com/galenalever/galenalever/internal/model"
)

// watchKeys reads changed values and posts a cut after each change, until the
// context ends. The first listing of an assignment does not wait for a change. After
// a failure, the values read so far are kept, unless the node has meanwhile received
// a newer cut from a peer.
func (s *Service) watchKeys(ctx context.Context, retry *retrier, current assignment) {
	assembler := platformread.NewAssembler(s.knownCut())
	var wait time.Duration
	for ctx.Err() == nil {
		if base := s.knownCut(); base.Revision > assembler.After() {
			assembler = platformread.NewAssembler(base)
			s.evacuationsSettled = false
		}
		if err := s.assemble(ctx, assembler, wait); err != nil {
			s.reportConfiguration(ctx, false)
			retry.failed(ctx, err)
			s.awaitInstances(ctx)
			continue
		}
		retry.succeeded()
		s.postCut(ctx, assembler, current)
		s.reportConfiguration(ctx, true) // other nodes may now rely on what this one knows
		s.awaitListInterval(ctx)
		assembler = platformread.NewAssembler(s.knownCut())
		wait = s.config.Pacing.WatchWait
	}
}

func (s *Service) reportConfiguration(ctx context.Context, read bool) {
	if ctx.Err() == nil {
		_ = s.loop.Post(ctx, control.ConfigurationRead{Read: read}) // fails with the context only
	}
}

// awaitInstances waits until a listing of instances has succeeded, if this node reads in
// the interim and the last one failed. In an outage all nodes read in the interim, and one
// of the two listings shows when the platform responds again. The wait has a limit for a
// platform that lists only keys.
func (s *Service) awaitInstances(ctx context.Context) {
	ctx, cancel := clock.WithTimeout(ctx, s.clock, s.config.Pacing.InterimRetry.Max)
	defer cancel()
	_ = s.holdKeys.AwaitWhile(ctx, func(hold bool) bool { return hold }) // the calling loop checks its context
}

// awaitListInterval waits between two listings, longer on a later reader.
func (s *Service) awaitListInterval(ctx context.Context) {
	_ = clock.Wait(ctx, s.clock, time.Duration(1+s.readerIndex.Load())*s.config.Pacing.ListInterval)
}

// postCut posts the assembled cut, if it is complete and newer than its base, and
// confirms that the listing of keys was current.
func (s *Service) postCut(ctx context.Context, assembler *platformread.Assembler, current assignment) {
	var messages []kernel.Message
	cut, ok := assembler.Cut()
	if ok {
		s.awaitNewerVersions(ctx, cut.Revision)
		messages = append(messages, control.CutReceived{Cut: cut})
		if s.evacuationsSettled {
			s.evacuationHold.Settled()
			s.evacuationsSettled = false
		}
	}
	posted := s.clock.Now()
	done := listingRead{listing: listingKeys, round: current.round, revision: assembler.After(), handled: make(chan struct{})}
	s.postAndWait(ctx, done, messages...)
	s.logRead(cut.Revision, s.decodeTime, s.clock.Now().Sub(posted))
	s.decodeTime = 0
}

// awaitNewerVersions waits until a node without a configuration has got one from a peer, if
// the platform has ever returned from an older copy: the copy may hold an older version than
// peers do. The wait has a limit for a node without peers.
func (s *Service) awaitNewerVersions(ctx context.Context, read model.Revision) {
	if read.Era() == 0 || s.knownCut().Revision > 0 {
		return
	}
	ctx, cancel := clock.WithTimeout(ctx, s.clock, peerWait)
	defer cancel()
	_ = s.configurations.AwaitWhile(ctx, func(c *model.Configuration) bool { return c == nil || c.Cut.Revision == 0 }) // the calling loop checks its context
}

func (s *Service) knownCut() model.Cut {
	if state := s.configurations.Load(); state != nil {
		return state.Cut
	}
	return model.Cut{}
}

// assemble lists keys and reads values until the cut is consistent, or until a
// reader before this one has delivered the listed revision. The assembler keeps the
// values read before an error, for the next call.
func (s *Service) assemble(ctx context.Context, a *platformread.Assembler, wait time.Duration) error {
	if _, unread := a.Next(); !unread {
		if err := s.listKeys(ctx, a, wait); err != nil {
			return err
		}
	}
	if _, unread := a.Next(); unread {
		s.awaitEarlierReaders(ctx, a.After())
		if s.knownCut().Revision >= a.After() {
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

// awaitEarlierReaders waits until a reader before this one has delivered the
// listed revision, for at most delayPerReader for each reader before it.
func (s *Service) awaitEarlierReaders(ctx context.Context, listed model.Revision) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	timer := s.clock.AfterFunc(time.Duration(s.readerIndex.Load())*delayPerReader, cancel)
	defer timer.Stop()
	for ctx.Err() == nil {
		state, changed := s.configurations.Watch()
		if state != nil && state.Cut.Revision >= listed {
			return
		}
		_ = kernel.Await(ctx, changed)
	}
}

func (s *Service) listKeys(ctx context.Context, a *platformread.Assembler, wait time.Duration) error {
	if err := s.awaitRateLimit(ctx); err != nil {
		return err
	}
	if err := s.addKeys(ctx, a, a.After(), wait); err != nil {
		return err
	}
	if s.evacuationHold.Expired(s.clock.Now()) && a.Advanced() {
		s.evacuationsSettled = true
		return s.addKeys(ctx, a, 0, 0) // all keys, so that missing evacuations show
	}
	return nil
}

// addKeys adds the changes of keys after a revision to the assembler.
func (s *Service) addKeys(ctx context.Context, a *platformread.Assembler, after model.Revision, wait time.Duration) error {
	list, err := s.config.Platform.Keys(ctx, after, wait)
	if err != nil {
		return err
	}
	if err := a.AddListing(list.Revision, list.Changes); err != nil {
		return err
	}
	if list.EvacuationsAt == 0 {
		return nil
	}
	now := s.clock.Now()
	if kept := a.RemoveMissingEvacuations(list.EvacuationsAt, list.Changes, s.evacuationHold.Keeps(list.EvacuationsAt, now)); kept > 0 {
		s.evacuationHold.Kept(list.EvacuationsAt, now)
		s.log.Info("keeping evacuations that the platform lost by returning from an older copy", "count", kept)
	}
	return nil
}

// readValue reads one value. If it is missing, it was removed after the listing or the
// response comes from a stale copy, so the keys are listed again.
func (s *Service) readValue(ctx context.Context, a *platformread.Assembler, key model.Key) error {
	if err := s.awaitRateLimit(ctx); err != nil {
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
	s.decodeTime += max(s.clock.Now().Sub(begin), 1) // 0 means that no value was read
	return a.AddValue(subtree)
}
