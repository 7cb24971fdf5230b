// Package config is the service that owns the configuration: the cut that this
// node knows and the subtrees that it runs. Both live on the control loop and
// leave it as immutable snapshots.
package config

import (
	"context"
	"log/slog"
	"time"

	"github.com/galenalever/galenalever/internal/control"
	"github.com/galenalever/galenalever/internal/decision/accept"
	"github.com/galenalever/galenalever/internal/decision/replicate"
	"github.com/galenalever/galenalever/internal/document"
	"github.com/galenalever/galenalever/internal/kernel"
	"github.com/galenalever/galenalever/internal/model"
	"github.com/galenalever/galenalever/internal/timeline"
)

// recorder is the partner that keeps the time line.
type recorder interface {
	Record(kind timeline.Kind, detail string)
}

// Service accepts cuts and deltas. All fields but the snapshot belong to the
// control loop.
type Service struct {
	bootstrapFor time.Duration
	loop         *kernel.Loop
	log          *slog.Logger
	timeline     recorder
	acceptor     *accept.Acceptor
	snapshot     *kernel.Snapshot[*model.Configuration]
	// bootstrapping is true until a peer has answered or the time for it is
	// over. Until then the newest cut of the platform waits in pending.
	bootstrapping bool
	pending       model.Cut
}

// New returns the service of a fresh process. For the time bootstrapFor it
// accepts nothing from the platform, so that a peer can first tell what runs.
func New(bootstrapFor time.Duration) *Service {
	acceptor := accept.New(document.NewDecoder().Decode)
	return &Service{
		bootstrapFor:  bootstrapFor,
		acceptor:      acceptor,
		snapshot:      kernel.NewSnapshot(acceptor.Current()),
		bootstrapping: true,
	}
}

// Name implements kernel.Service.
func (s *Service) Name() string { return control.Config }

// Configuration returns the snapshot of the current configuration. Its value is
// never nil; a cut of revision 0 means that nothing is known yet.
func (s *Service) Configuration() *kernel.Snapshot[*model.Configuration] { return s.snapshot }

// Provision implements kernel.Provisioner.
func (s *Service) Provision(c *kernel.Context) error {
	partner, err := kernel.Find[recorder](c, control.Timeline)
	if err != nil {
		return err
	}
	s.attach(c.Loop, c.Log, partner)
	return nil
}

// attach subscribes the handlers.
func (s *Service) attach(loop *kernel.Loop, log *slog.Logger, timeline recorder) {
	s.loop, s.log, s.timeline = loop, log, timeline
	kernel.Subscribe(loop, s.handleCut)
	kernel.Subscribe(loop, s.handleDelta)
	kernel.Subscribe(loop, s.handleBootstrapOver)
}

// bootstrapOver ends the time in which a fresh process waits for a peer.
type bootstrapOver struct{}

// MessageName implements kernel.Message.
func (bootstrapOver) MessageName() string { return "bootstrap-over" }

// Start implements kernel.Starter.
func (s *Service) Start(context.Context) error {
	s.loop.After(s.bootstrapFor, bootstrapOver{})
	return nil
}

func (s *Service) handleBootstrapOver(bootstrapOver) {
	if s.bootstrapping {
		s.log.Info("no peer answered the bootstrap; the platform's configuration is taken")
		s.endBootstrap()
	}
}

// endBootstrap takes the cut that waited, if it is still the newest.
func (s *Service) endBootstrap() {
	s.bootstrapping = false
	cut := s.pending
	s.pending = model.Cut{}
	s.advance(cut)
}

func (s *Service) handleCut(m control.CutReceived) {
	if !s.bootstrapping {
		s.advance(m.Cut)
		return
	}
	if m.Cut.Revision > s.pending.Revision {
		s.pending = m.Cut
	}
}

// advance moves to a cut of the platform, if it is newer.
func (s *Service) advance(cut model.Cut) {
	next, err := replicate.Advance(s.acceptor.Current().Cut, cut)
	if err != nil {
		s.log.Warn("cut of the platform refused", "revision", cut.Revision, "error", err)
		return
	}
	s.accept(next)
}

func (s *Service) handleDelta(m control.DeltaReceived) {
	if s.acceptor.Current().Cut.Revision == 0 && m.Delta.Bootstrap {
		s.bootstrap(m)
		return
	}
	if s.bootstrapping {
		return
	}
	if next, ok := s.apply(m); ok {
		s.acceptor.Accept(next)
		s.publish(s.acceptor.Offer(replicate.VerifiedRunning(m.Delta.Running)))
	}
}

// apply returns the cut that a delta leads to. If the delta fails its checks,
// the exchange is told what to ask for.
func (s *Service) apply(m control.DeltaReceived) (model.Cut, bool) {
	result := replicate.Apply(s.acceptor.Current().Cut, m.Delta)
	if len(result.Mismatched) == 0 && !result.Resync {
		return result.Cut, true
	}
	s.log.Info("delta failed its checks", "peer", m.From.Peer, "revision", m.Delta.Revision,
		"mismatched", len(result.Mismatched), "resync", result.Resync)
	s.loop.Emit(control.WholeSubtreesNeeded{From: m.From, Keys: result.Mismatched, All: result.Resync})
	return model.Cut{}, false
}

// bootstrap takes over the cut and the running subtrees of a peer. A peer that
// knows nothing itself is no answer. Running subtrees that are not closed are
// refused; once the bootstrap time is over, the cut is taken without them.
func (s *Service) bootstrap(m control.DeltaReceived) {
	if m.Delta.Revision == 0 {
		return
	}
	cut, ok := s.apply(m)
	if !ok {
		return
	}
	if err := s.acceptor.Adopt(replicate.RunningOf(cut, m.Delta)); err != nil {
		s.log.Warn("running subtrees of the peer refused", "peer", m.From.Peer, "error", err)
		if s.bootstrapping {
			return
		}
	}
	s.log.Info("configuration taken over", "peer", m.From.Peer, "revision", cut.Revision)
	s.accept(cut)
	s.endBootstrap()
}

// accept decides on a cut.
func (s *Service) accept(cut model.Cut) { s.publish(s.acceptor.Accept(cut)) }

// publish stores a new configuration and tells the other services.
func (s *Service) publish(after *model.Configuration) {
	before := s.snapshot.Load()
	if after == before {
		return
	}
	s.snapshot.Store(after)
	s.record(before, after)
	s.loop.Emit(control.ConfigurationChanged{Configuration: after})
}
