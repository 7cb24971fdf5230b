// Package membership provides the service that maintains the node's view of the
// instances of the mesh.
package membership

import (
	"context"
	"log/slog"
	"slices"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/galenalever/galenalever/internal/clock"
	"github.com/galenalever/galenalever/internal/control"
	"github.com/galenalever/galenalever/internal/decision/members"
	"github.com/galenalever/galenalever/internal/decision/platformread"
	"github.com/galenalever/galenalever/internal/kernel"
	"github.com/galenalever/galenalever/internal/model"
	"github.com/galenalever/galenalever/internal/timeline"
)

const (
	// forgetAfter is how long the record of a departed instance is kept, so that
	// outdated records from other nodes do not add the instance again.
	forgetAfter = time.Hour
	// forgetInterval is the time between two removals of expired records.
	forgetInterval = time.Minute
	// maxRecorded is the largest number of changes in one update that are recorded
	// as an event each. A larger update is recorded as one event.
	maxRecorded = 16
)

// recorder is the part of the timeline service that this service uses.
type recorder interface {
	Record(kind timeline.Kind, detail string)
}

// Config holds the settings of the service.
type Config struct {
	Self model.Self
	// Unannounced is true if this process does not announce its own instance, which
	// is then known to the mesh only from the platform's list.
	Unannounced bool
}

// Service maintains the view of the members. All handlers run on the control loop.
type Service struct {
	config   Config
	clock    clock.Clock
	loop     *kernel.Loop
	log      *slog.Logger
	timeline recorder
	view     *kernel.Snapshot[*members.View]
	// own is the member record that this process announces. Like departed, it is used
	// on the control loop only.
	own model.Member
	// incarnation is a copy of own.Announced.Incarnation for other goroutines.
	incarnation atomic.Uint64
	// present is the number of instances that accept requests.
	present atomic.Int64
	// departed holds the time at which this node recorded the departure of each
	// instance.
	departed map[model.InstanceID]time.Time
	// removals is used on the control loop only.
	removals platformread.Removals
}

// forget is the timer message that removes records of departed instances.
type forget struct{}

// MessageName implements kernel.Message.
func (forget) MessageName() string { return "forget-members" }

// New returns the service. Unless the instance is unannounced, the view contains it
// with PresenceStarting.
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
// from the configured one if an earlier process announced a greater one. It is safe
// for concurrent use.
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
	kernel.Subscribe(c.Loop, s.handleReceived)
	kernel.Subscribe(c.Loop, s.handlePresence)
	kernel.Subscribe(c.Loop, func(forget) { s.handleForget() })
	return nil
}

// Start implements kernel.Starter.
func (s *Service) Start(context.Context) error {
	s.loop.After(forgetInterval, forget{})
	return nil
}

// handlePresence announces a later presence of this process's own instance. A presence
// never returns to an earlier one, so a message with one is ignored.
func (s *Service) handlePresence(m control.PresenceChanged) {
	if m.Presence <= s.own.Announced.Presence {
		return
	}
	s.own.Announced.Presence = m.Presence
	s.timeline.Record(timeline.KindPresenceChanged, m.Presence.String())
	if s.config.Unannounced {
		return
	}
	s.merge([]model.Member{s.own})
}

// handleReceived merges records that the platform or another node has sent. Another node
// may have lost the platform and still report instances that are no longer listed.
func (s *Service) handleReceived(m control.MembersReceived) {
	received := m.Members
	if !m.From.Platform {
		received = s.removals.Apply(s.view.Load(), received)
	}
	removed, unknown := platformread.RemovalRecords(s.view.Load(), m.Removed)
	for _, r := range unknown {
		s.removals.Add(r)
	}
	s.removals.ListedCompletely(m.CompleteAt)
	s.merge(slices.Concat(received, removed))
}

// merge adds records to the view and publishes the result. If a record of this
// process's own instance differs from its announcement, the process announces
// itself again in a way that supersedes the record.
func (s *Service) merge(received []model.Member) {
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
	s.recordChanges(changed)
	s.loop.Emit(control.MembersChanged{Changed: changed})
}

// Present returns the number of instances that accept requests. It is safe for
// concurrent use.
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

// recordChanges records changed members in the timeline and stores the times of
// departures.
func (s *Service) recordChanges(changed []model.Member) {
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

// handleForget removes the records of instances that departed at least forgetAfter ago.
func (s *Service) handleForget() {
	s.loop.After(forgetInterval, forget{})
	now := s.clock.Now()
	var expired []model.InstanceID
	for id, since := range s.departed {
		if now.Sub(since) >= forgetAfter {
			expired = append(expired, id)
			delete(s.departed, id)
		}
	}
	if next := s.view.Load().Without(expired...); next != s.view.Load() {
		s.view.Store(next)
	}
}
