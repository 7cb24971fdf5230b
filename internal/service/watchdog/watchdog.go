// Package watchdog is the service that notices when the process did not run
// for a while, so that what it believed before is not acted on.
package watchdog

import (
	"context"
	"log/slog"
	"sync/atomic"
	"time"

	"github.com/galenalever/galenalever/internal/clock"
	"github.com/galenalever/galenalever/internal/control"
	"github.com/galenalever/galenalever/internal/decision/pause"
	"github.com/galenalever/galenalever/internal/kernel"
	"github.com/galenalever/galenalever/internal/timeline"
)

const (
	// tickInterval is the time between two ticks of the control loop.
	tickInterval = 250 * time.Millisecond
	// maxGap is the longest time without a tick that is not a pause. It is
	// shorter than the time in which a leaving server stops getting work.
	maxGap = 2 * time.Second
)

// recorder is what the service uses of the timeline service.
type recorder interface {
	Record(kind timeline.Kind, detail string)
}

// Service detects pauses and tells whether the node's state is fresh.
type Service struct {
	clock    clock.Clock
	loop     *kernel.Loop
	log      *slog.Logger
	timeline recorder
	// lastTick is written on the control loop only.
	lastTick atomic.Pointer[time.Time]
	// synchronised is true while no pause has happened since the last
	// synchronisation. It is written on the control loop only.
	synchronised atomic.Bool
}

// tick is the timer's message.
type tick struct{}

// MessageName implements kernel.Message.
func (tick) MessageName() string { return "watchdog-tick" }

// New returns the service.
func New() *Service { return &Service{} }

// Name implements kernel.Service.
func (*Service) Name() string { return control.Watchdog }

// Provision implements kernel.Provisioner.
func (s *Service) Provision(c *kernel.Context) error {
	var err error
	if s.timeline, err = kernel.Find[recorder](c, control.Timeline); err != nil {
		return err
	}
	s.clock, s.loop, s.log = c.Clock, c.Loop, c.Log
	s.recordTick()
	kernel.Subscribe(c.Loop, func(tick) { s.handleTick() })
	kernel.Subscribe(c.Loop, s.handleSynchronised)
	kernel.Subscribe(c.Loop, s.handlePaused)
	return nil
}

// Start implements kernel.Starter.
func (s *Service) Start(ctx context.Context) error { return s.loop.Post(ctx, tick{}) }

// Fresh reports whether the node has synchronised since its start and since its
// last pause. Any goroutine may call it. It compares the clock with the last
// tick by itself, so a pause is seen before the control loop has run again.
func (s *Service) Fresh() bool {
	return s.synchronised.Load() && s.gap() <= maxGap
}

func (s *Service) gap() time.Duration {
	return pause.Gap(*s.lastTick.Load(), s.clock.Now())
}

func (s *Service) recordTick() {
	now := s.clock.Now()
	s.lastTick.Store(&now)
}

func (s *Service) handleTick() {
	s.check()
	s.loop.After(tickInterval, tick{})
}

// check declares a pause when the last tick is too long ago. The state becomes
// stale before the tick is recorded, so Fresh is false in between.
func (s *Service) check() {
	gap := s.gap()
	if gap > maxGap {
		s.synchronised.Store(false)
		s.loop.Emit(control.Paused{Gap: gap})
	}
	s.recordTick()
}

func (s *Service) handlePaused(m control.Paused) {
	s.log.Warn("the process did not run; it synchronises before it takes requests", "gap", m.Gap)
	s.timeline.Record(timeline.KindPaused, m.Gap.Round(time.Millisecond).String())
}

// handleSynchronised makes the state fresh. An answer from before a pause that
// is handled ahead of the next tick changes nothing: Fresh still sees the gap,
// and the tick makes the state stale again.
func (s *Service) handleSynchronised(m control.Synchronised) {
	if s.gap() <= maxGap && !s.synchronised.Swap(true) {
		s.timeline.Record(timeline.KindSynchronised, m.From.String())
		s.loop.Emit(control.Refreshed{})
	}
}
