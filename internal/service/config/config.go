// Package config provides the service that maintains the node's configuration: the
// newest cut that it has accepted and the subtrees that it runs. Both are modified on
// the control loop only and published together as an immutable snapshot.
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

// recorder is the part of the timeline service that this service uses.
type recorder interface {
	Record(kind timeline.Kind, detail string)
}

// Service accepts cuts and deltas. All fields except snapshot are used on the
// control loop only.
type Service struct {
	bootstrapFor time.Duration
	loop         *kernel.Loop
	log          *slog.Logger
	timeline     recorder
	acceptor     *accept.Acceptor
	snapshot     *kernel.Snapshot[*model.Configuration]
	evacuations  evacuations
	// bootstrapping is true until the configuration of a peer has been adopted or
	// bootstrapFor is over. Until then pendingCut is the newest cut read from the
	// platform.
	bootstrapping bool
	pendingCut    model.Cut
}

// New returns the service of a process that has just started. For the time
// bootstrapFor it accepts nothing from the platform, so that a peer can first
// deliver the running configuration.
func New(bootstrapFor time.Duration) *Service {
	acceptor := accept.New(document.NewDecoder().Decode)
	return &Service{
		bootstrapFor:  bootstrapFor,
		acceptor:      acceptor,
		snapshot:      kernel.NewSnapshot(acceptor.Current()),
		evacuations:   newEvacuations(),
		bootstrapping: true,
	}
}

// Name implements kernel.Service.
func (s *Service) Name() string { return control.Config }

// Configuration returns the snapshot of the current configuration. Its value is
// never nil; a cut of revision 0 means that the node has no configuration yet.
func (s *Service) Configuration() *kernel.Snapshot[*model.Configuration] { return s.snapshot }

// Provision implements kernel.Provisioner.
func (s *Service) Provision(c *kernel.Context) error {
	recorderService, err := kernel.Find[recorder](c, control.Timeline)
	if err != nil {
		return err
	}
	s.subscribe(c.Loop, c.Log, recorderService)
	s.evacuations.provision(c)
	return nil
}

func (s *Service) subscribe(loop *kernel.Loop, log *slog.Logger, timeline recorder) {
	s.loop, s.log, s.timeline = loop, log, timeline
	kernel.Subscribe(loop, s.handleCut)
	kernel.Subscribe(loop, s.handleDelta)
	kernel.Subscribe(loop, s.handleBootstrapOver)
}

// bootstrapOver is posted when bootstrapFor has passed since the start.
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
		s.log.Info("received no configuration from a peer during bootstrap; using the platform's")
		s.endBootstrap()
	}
}

// endBootstrap advances to the pending cut, if it is newer than the current one.
func (s *Service) endBootstrap() {
	s.bootstrapping = false
	cut := s.pendingCut
	s.pendingCut = model.Cut{}
	s.advance(cut)
}

func (s *Service) handleCut(m control.CutReceived) {
	if !s.bootstrapping {
		s.advance(m.Cut)
		return
	}
	if m.Cut.Revision > s.pendingCut.Revision {
		s.pendingCut = m.Cut
	}
}

// advance moves to a cut read from the platform, if it is newer.
func (s *Service) advance(cut model.Cut) {
	next, err := replicate.Advance(s.acceptor.Current().Cut, cut)
	if err != nil {
		s.log.Warn("rejected a cut from the platform", "revision", cut.Revision, "error", err)
		return
	}
	s.accept(next)
}

// handleDelta applies a delta from a peer. A node without a configuration adopts a
// bootstrap delta; all other deltas are ignored until its bootstrap is over.
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

// apply returns the cut that results from a delta. If the delta fails verification,
// apply returns false and emits WholeSubtreesNeeded, so that the exchange service
// requests the data again.
func (s *Service) apply(m control.DeltaReceived) (model.Cut, bool) {
	result := replicate.Apply(s.acceptor.Current().Cut, m.Delta)
	if len(result.Mismatched) == 0 && !result.Resync {
		return result.Cut, true
	}
	s.log.Info("delta failed verification", "peer", m.From.Peer, "revision", m.Delta.Revision,
		"mismatched", len(result.Mismatched), "resync", result.Resync)
	s.loop.Emit(control.WholeSubtreesNeeded{From: m.From, Keys: result.Mismatched, All: result.Resync})
	return model.Cut{}, false
}

// bootstrap adopts the cut and the running subtrees of a peer, and the newer versions that
// further peers run, in one step: between two steps the node would run older versions
// than the process before it. A delta from a peer without a configuration is ignored. Running subtrees whose composition is not
// closed are rejected: during the bootstrap time the whole delta is then ignored, after
// it the cut is accepted without them.
func (s *Service) bootstrap(m control.DeltaReceived) {
	if m.Delta.Revision == 0 {
		return
	}
	cut, ok := s.apply(m)
	if !ok {
		return
	}
	if err := s.acceptor.Adopt(replicate.RunningOf(cut, m.Delta)); err != nil {
		s.log.Warn("rejected the running subtrees of a peer", "peer", m.From.Peer, "error", err)
		if s.bootstrapping {
			return
		}
	}
	s.log.Info("adopted the configuration of a peer", "peer", m.From.Peer, "revision", cut.Revision)
	s.acceptor.Accept(cut)
	for _, offered := range m.Offered {
		s.acceptor.Offer(replicate.VerifiedRunning(offered))
	}
	s.publish(s.acceptor.Current())
	s.endBootstrap()
}

// accept passes a cut to the acceptor and publishes the result.
func (s *Service) accept(cut model.Cut) { s.publish(s.acceptor.Accept(cut)) }

// publish stores a new configuration, records its changes and notifies the other
// services.
func (s *Service) publish(after *model.Configuration) {
	before := s.snapshot.Load()
	if after == before {
		return
	}
	s.snapshot.Store(after)
	s.recordChanges(before, after)
	if after.Tree != before.Tree {
		s.evacuations.update(after, s.timeline.Record)
	}
	s.loop.Emit(control.ConfigurationChanged{Configuration: after})
}
