// Package membership is the service that owns what the node knows of the
// instances of the mesh.
package membership

import (
	"context"
	"log/slog"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/galenalever/galenalever/internal/clock"
	"github.com/galenalever/galenalever/internal/control"
	"github.com/galenalever/galenalever/internal/decision/members"
	"github.com/galenalever/galenalever/internal/kernel"
	"github.com/galenalever/galenalever/internal/model"
	"github.com/galenalever/galenalever/internal/timeline"
)

const (
	// forgetAfter is how long a departed instance is remembered, so that late
	// news does not bring it back.
	forgetAfter = time.Hour
	// forgetInterval is the time between two searches for instances to forget.
	forgetInterval = time.Minute
	// maxRecorded is the number of changes that are recorded one by one; more
	// that come together are recorded as one event.
	maxRecorded = 16
)

// recorder is what the service uses of the timeline service.
type recorder interface {
	Record(kind timeline.Kind, detail string)
}

// Config is the settings of the service.
type Config struct {
	Self model.Self
	// Unannounced is true if this process announces nothing of its instance, so
	// that only the platform's list names it.
	Unannounced bool
}

// Service owns the members. All handlers run on the control loop.
type Service struct {
	config   Config
	clock    clock.Clock
	loop     *kernel.Loop
	log      *slog.Logger
	timeline recorder
	view     *kernel.Snapshot[*members.View]
	// own is the announcement of this process.
	own model.Member
	// incarnation is own's incarnation for other goroutines.
	incarnation atomic.Uint64
	// present is the number of instances that take requests.
	present atomic.Int64
	// departed holds when this node learnt of each departure.
	departed map[model.InstanceID]time.Time
}

// forget is the message of the timer that forgets departed instances.
type forget struct{}

// MessageName implements kernel.Message.
func (forget) MessageName() string { return "forget-members" }

// New returns the service. Its view holds this instance as starting.
func New(c Config) *Service {
	own := c.Self.Member(model.PresenceStarting)
	epoch := uint64(c.Self.Incarnation) ^ members.Hash(c.Self.ID)
	view := members.New(epoch)
	if !c.Unannounced {
		view, _ = view.With(own)
	}
	s := &Service{
		config:   c,
		view:     kernel.NewSnapshot(view),
		own:      own,
		departed: make(map[model.InstanceID]time.Time),
	}
	s.incarnation.Store(uint64(own.Announced.Incarnation))
	return s
}

// Name implements kernel.Service.
func (*Service) Name() string { return control.Membership }

// View returns the snapshot of the members.
func (s *Service) View() *kernel.Snapshot[*members.View] { return s.view }

// Incarnation returns the incarnation that this process announces. It differs
// from the configured one if an earlier process announced a greater one. Any
// goroutine may call it.
func (s *Service) Incarnation() model.Incarnation {
	return model.Incarnation(s.incarnation.Load())
}

// Provision implements kernel.Provisioner.
func (s *Service) Provision(c *kernel.Context) error {
	var err error
	if s.timeline, err = kernel.Find[recorder](c, control.Timeline); err != nil {
		return err
	}
	s.clock, s.loop, s.log = c.Clock, c.Loop, c.Log
	kernel.Subscribe(c.Loop, func(m control.MembersReceived) { s.take(m.Members) })
	kernel.Subscribe(c.Loop, s.handlePresence)
	kernel.Subscribe(c.Loop, func(forget) { s.handleForget() })
	return nil
}

// Start implements kernel.Starter.
func (s *Service) Start(context.Context) error {
	s.loop.After(forgetInterval, forget{})
	return nil
}

func (s *Service) handlePresence(m control.PresenceChanged) {
	if m.Presence <= s.own.Announced.Presence {
		return
	}
	s.own.Announced.Presence = m.Presence
	s.timeline.Record(timeline.KindPresenceChanged, m.Presence.String())
	if s.config.Unannounced {
		return
	}
	s.take([]model.Member{s.own})
}

// take merges records and publishes the result. A record that contradicts this
// process about itself is answered by a newer announcement.
func (s *Service) take(received []model.Member) {
	next, changed := s.view.Load().With(received...)
	if known, _ := next.Get(s.config.Self.ID); !s.config.Unannounced && known.Announced != s.own.Announced {
		s.own.Announced = members.Reassert(s.own.Announced, known.Announced)
		s.incarnation.Store(uint64(s.own.Announced.Incarnation))
		var own []model.Member
		next, own = next.With(s.own)
		changed = append(changed, own...)
	}
	if len(changed) == 0 {
		return
	}
	s.view.Store(next)
	s.countPresent(next)
	s.noteDepartures(changed)
	s.loop.Emit(control.MembersChanged{Changed: changed})
}

// Present returns the number of instances that take requests. Any goroutine may
// call it.
func (s *Service) Present() int { return int(s.present.Load()) }

func (s *Service) countPresent(view *members.View) {
	count := 0
	for _, domain := range view.Domains() {
		for m := range view.EachInDomain(domain) {
			if m.Present() {
				count++
			}
		}
	}
	s.present.Store(int64(count))
}

func (s *Service) noteDepartures(changed []model.Member) {
	now := s.clock.Now()
	if len(changed) > maxRecorded {
		s.timeline.Record(timeline.KindMemberChanged, strconv.Itoa(len(changed))+" instances")
	}
	for _, m := range changed {
		if len(changed) <= maxRecorded {
			s.timeline.Record(timeline.KindMemberChanged, describe(m))
		}
		if members.Departed(m) {
			s.departed[m.ID] = now
		} else {
			delete(s.departed, m.ID)
		}
	}
}

func describe(m model.Member) string {
	return string(m.ID) + " " + m.Announced.Presence.String() + ", listed " + m.Listed.String()
}

func (s *Service) handleForget() {
	s.loop.After(forgetInterval, forget{})
	now := s.clock.Now()
	var old []model.InstanceID
	for id, since := range s.departed {
		if now.Sub(since) >= forgetAfter {
			old = append(old, id)
			delete(s.departed, id)
		}
	}
	if next := s.view.Load().Without(old...); next != s.view.Load() {
		s.view.Store(next)
	}
}
