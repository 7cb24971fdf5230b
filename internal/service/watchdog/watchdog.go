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

// Config is the settings of the service.
type Config struct {
	// MaxStale bounds how long after a pause the state counts as stale although
	// the node could not synchronise; 0 means that only synchronising ends it.
	MaxStale time.Duration
}

// Service detects pauses and tells whether the node's state is fresh.
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
	// everSynchronised and pauses belong to the control loop. pauses counts the
	// pauses, so that a timer knows whether another one has followed.
	everSynchronised bool
	pauses           int
}

// tick is the timer's message.
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
	kernel.Subscribe(c.Loop, s.handleStaleTooLong)
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
	s.pauses++
	if s.config.MaxStale > 0 && s.everSynchronised {
		s.loop.After(s.config.MaxStale, staleTooLong{pause: s.pauses})
	}
}

// staleTooLong ends the wait for synchronising after a pause.
type staleTooLong struct{ pause int }

// MessageName implements kernel.Message.
func (staleTooLong) MessageName() string { return "stale-too-long" }

// handleStaleTooLong has the node go on with what it knew before the pause.
func (s *Service) handleStaleTooLong(m staleTooLong) {
	if m.pause == s.pauses && s.gap() <= maxGap && !s.synchronised.Swap(true) {
		s.log.Warn("not synchronised since the pause; going on with the state from before", "waited", s.config.MaxStale)
	}
}

// handleSynchronised makes the state fresh. An answer from before a pause that
// is handled ahead of the next tick changes nothing: Fresh still sees the gap,
// and the tick makes the state stale again.
func (s *Service) handleSynchronised(m control.Synchronised) {
	if s.gap() <= maxGap && !s.synchronised.Swap(true) {
		s.everSynchronised = true
		s.timeline.Record(timeline.KindSynchronised, m.From.String())
		s.loop.Emit(control.Refreshed{})
	}
}
