// Package watchdog provides the service that detects pauses of the process, so that
// outdated state from before a pause is not used.
package watchdog

import (
	"context"
	"log/slog"
	"sync/atomic"
	"time"

	"github.com/galenalever/galenalever/internal/clock"
	"github.com/galenalever/galenalever/internal/control"
	"github.com/galenalever/galenalever/internal/decision/processpause"
	"github.com/galenalever/galenalever/internal/kernel"
	"github.com/galenalever/galenalever/internal/timeline"
)

const (
	// tickInterval is the time between two ticks of the control loop.
	tickInterval = 250 * time.Millisecond
	// maxGap is the longest time without a tick that does not count as a pause. It is
	// shorter than the time for which a leaving server may still receive requests, so
	// state that is older by no more than this can be used.
	maxGap = 2 * time.Second
)

// recorder is the part of the timeline service that this service uses.
type recorder interface {
	Record(kind timeline.Kind, detail string)
}

// Config holds the settings of the service.
type Config struct {
	// MaxStale limits how long after a pause the state counts as stale if the node
	// cannot synchronise; 0 means no limit.
	MaxStale time.Duration
}

// Service detects pauses and reports whether the node's state is fresh.
type Service struct {
	config   Config
	clock    clock.Clock
	loop     *kernel.Loop
	log      *slog.Logger
	timeline recorder
	// lastTick is written on the control loop only.
	lastTick atomic.Pointer[time.Time]
	// synchronised is true while no pause has happened since the last
	// synchronisation. It is written on the control loop only.
	synchronised atomic.Bool
	// everSynchronised and pauses are used on the control loop only. pauses counts
	// the pauses, so that a timer of an earlier pause has no effect.
	everSynchronised bool
	pauses           int
}

// tick is the message of the periodic timer.
type tick struct{}

// MessageName implements kernel.Message.
func (tick) MessageName() string { return "watchdog-tick" }

// New returns the service.
func New(c Config) *Service { return &Service{config: c} }

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
	kernel.Subscribe(c.Loop, s.handleMaxStaleReached)
	return nil
}

// Start implements kernel.Starter.
func (s *Service) Start(ctx context.Context) error { return s.loop.Post(ctx, tick{}) }

// Fresh reports whether the node has synchronised since its start and since its
// last pause. It is safe for concurrent use. It compares the clock with the last
// tick itself, so it detects a pause before the control loop has run again.
func (s *Service) Fresh() bool {
	return s.synchronised.Load() && s.gap() <= maxGap
}

func (s *Service) gap() time.Duration {
	return processpause.Gap(*s.lastTick.Load(), s.clock.Now())
}

func (s *Service) recordTick() {
	now := s.clock.Now()
	s.lastTick.Store(&now)
}

func (s *Service) handleTick() {
	s.detectPause()
	s.loop.After(tickInterval, tick{})
}

// detectPause emits Paused if the last tick is more than maxGap ago. It marks the
// state as stale before it records the tick, so Fresh is false throughout.
func (s *Service) detectPause() {
	gap := s.gap()
	if gap > maxGap {
		s.synchronised.Store(false)
		s.loop.Emit(control.Paused{Gap: gap})
	}
	s.recordTick()
}

// handlePaused records the pause and starts the timer for Config.MaxStale. A node that
// has never synchronised has no earlier state to continue with, so it gets no timer.
func (s *Service) handlePaused(m control.Paused) {
	s.log.Warn("the process was paused; synchronising before it accepts requests", "gap", m.Gap)
	s.timeline.Record(timeline.KindPaused, m.Gap.Round(time.Millisecond).String())
	s.pauses++
	if s.config.MaxStale > 0 && s.everSynchronised {
		s.loop.After(s.config.MaxStale, maxStaleReached{pause: s.pauses})
	}
}

// maxStaleReached is posted when Config.MaxStale has passed since a pause.
type maxStaleReached struct{ pause int }

// MessageName implements kernel.Message.
func (maxStaleReached) MessageName() string { return "stale-too-long" }

// handleMaxStaleReached makes the node continue with its state from before the
// pause if it has neither synchronised nor been paused again since.
func (s *Service) handleMaxStaleReached(m maxStaleReached) {
	if m.pause == s.pauses && s.gap() <= maxGap && !s.synchronised.Swap(true) {
		s.log.Warn("not synchronised since the pause; continuing with the state from before it", "waited", s.config.MaxStale)
	}
}

// handleSynchronised marks the state as fresh. A message that was queued before a pause
// may be handled before the next tick; it describes outdated state and is ignored,
// because the gap is then longer than maxGap.
func (s *Service) handleSynchronised(m control.Synchronised) {
	if s.gap() <= maxGap && !s.synchronised.Swap(true) {
		s.everSynchronised = true
		s.timeline.Record(timeline.KindSynchronised, m.From.String())
		s.loop.Emit(control.Refreshed{})
	}
}
