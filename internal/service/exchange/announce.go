package exchange

import (
	"maps"
	"slices"
	"time"

	"github.com/galenalever/galenalever/internal/control"
	"github.com/galenalever/galenalever/internal/decision/backoff"
	"github.com/galenalever/galenalever/internal/decision/rank"
	"github.com/galenalever/galenalever/internal/model"
)

const (
	// reannounceInterval is the mean time between two announcements of this node's
	// own record. Readers do not forward records that they already know, so each
	// repetition costs one call.
	reannounceInterval = 5 * time.Minute
	// maxAnnounceAttempts bounds how often records are sent to one target. Records that
	// are undelivered after that spread by comparison.
	maxAnnounceAttempts = 8
)

// resendPolicy is the backoff before undelivered records are sent to a target
// again.
var resendPolicy = backoff.Policy{Base: 500 * time.Millisecond, Max: 30 * time.Second}

// announced is the message that carries records announced by another node.
type announced struct {
	from    control.Origin
	members []model.Member
}

// MessageName implements kernel.Message.
func (announced) MessageName() string { return "announced" }

// undelivered is the message that carries records which no candidate of a target
// accepted.
type undelivered struct {
	target string
	// tried are the candidates to which delivery failed.
	tried   []model.InstanceID
	members []model.Member
	// attempt counts from 1.
	attempt int
}

// MessageName implements kernel.Message.
func (undelivered) MessageName() string { return "undelivered" }

// resend is the timer message that sends records to a target again.
type resend struct {
	target  string
	members []model.Member
	attempt int
}

// MessageName implements kernel.Message.
func (resend) MessageName() string { return "resend" }

// reannounce is the timer message that announces this node's own record again.
type reannounce struct{}

// MessageName implements kernel.Message.
func (reannounce) MessageName() string { return "reannounce" }

// handleAnnounced applies announced records and forwards those that are new to
// this node. Each node forwards a record once, so records do not circulate.
func (s *Service) handleAnnounced(m announced) {
	view := s.members.Load()
	newer := slices.DeleteFunc(slices.Clone(m.members), func(r model.Member) bool { return !view.Newer(r) })
	if len(newer) == 0 {
		return
	}
	s.loop.Emit(control.MembersReceived{From: m.from, Members: newer})
	s.announce(newer)
}

// announce queues records for the nodes that must receive them. This node's own
// record is kept until there is such a node.
func (s *Service) announce(records []model.Member) {
	view, excluded := s.members.Load(), s.evidence().Silent
	reader := s.role.Load().reader
	for _, record := range records {
		targets := rank.AnnounceTargets(view, s.config.Self, reader, record.Domain, excluded)
		if len(targets) == 0 && record.ID == s.config.Self.ID {
			s.planner.deferred[record.ID] = record
		}
		for _, target := range targets {
			s.outbox.add(target, 1, record)
		}
	}
}

// announceDeferred announces the record that had no target before.
func (s *Service) announceDeferred() {
	if len(s.planner.deferred) == 0 {
		return
	}
	records := slices.Collect(maps.Values(s.planner.deferred))
	clear(s.planner.deferred)
	s.announce(records)
}

// handleUndelivered excludes the nodes that did not accept the records and, after
// a backoff, sends the records to the candidates that the target then has.
func (s *Service) handleUndelivered(m undelivered) {
	now := s.clock.Now()
	for _, id := range m.tried {
		s.planner.exclusions.MarkSilent(id, now, s.planner.rng)
	}
	s.updateRole()
	if m.attempt < maxAnnounceAttempts {
		delay := resendPolicy.Delay(m.attempt, s.planner.rng)
		s.loop.After(delay, resend{target: m.target, members: m.members, attempt: m.attempt + 1})
	}
}

// handleResend sends the newest version of records to one target. If the target
// no longer exists, the records are dropped, except for this node's own record,
// which is announced to the current targets.
func (s *Service) handleResend(m resend) {
	view := s.members.Load()
	for _, record := range m.members {
		newest, ok := view.Get(record.ID)
		if !ok {
			continue
		}
		if !s.resendTo(m.target, m.attempt, newest) && newest.ID == s.config.Self.ID {
			s.announce([]model.Member{newest})
		}
	}
}

// resendTo queues a record for the target with a name and reports whether that
// target still exists.
func (s *Service) resendTo(name string, attempt int, record model.Member) bool {
	reader, excluded := s.role.Load().reader, s.evidence().Silent
	targets := rank.AnnounceTargets(s.members.Load(), s.config.Self, reader, record.Domain, excluded)
	i := slices.IndexFunc(targets, func(t rank.Target) bool { return t.Name == name })
	if i < 0 {
		return false
	}
	s.outbox.add(targets[i], attempt, record)
	return true
}

// handleReannounce announces this node's own record and schedules the next time, with
// jitter of half of the interval.
func (s *Service) handleReannounce() {
	jitter := time.Duration(s.planner.rng.Int64N(int64(reannounceInterval)))
	s.loop.After(reannounceInterval/2+jitter, reannounce{})
	if own, ok := s.members.Load().Get(s.config.Self.ID); ok {
		s.announce([]model.Member{own})
	}
}
