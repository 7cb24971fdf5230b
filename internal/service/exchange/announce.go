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
	// reannounceInterval is the time between two repetitions of the own record.
	// Readers do not pass on what they know, so it costs one call.
	reannounceInterval = 5 * time.Minute
	// maxAttempts is how often records are sent to one target. What is lost then
	// is found by comparison.
	maxAttempts = 8
)

// resendPolicy bounds the pause before records that a target did not take are
// sent to it again.
var resendPolicy = backoff.Policy{Base: 500 * time.Millisecond, Max: 30 * time.Second}

// announced carries records that another node announced to this one.
type announced struct {
	from    control.Origin
	members []model.Member
}

// MessageName implements kernel.Message.
func (announced) MessageName() string { return "announced" }

// undelivered carries records that no candidate of a target took.
type undelivered struct {
	target  string
	tried   []model.InstanceID
	members []model.Member
	// attempt counts from 1.
	attempt int
}

// MessageName implements kernel.Message.
func (undelivered) MessageName() string { return "undelivered" }

// resend is the timer's message that has records sent to a target again.
type resend struct {
	target  string
	members []model.Member
	attempt int
}

// MessageName implements kernel.Message.
func (resend) MessageName() string { return "resend" }

// reannounce is the timer's message that has the own record sent again.
type reannounce struct{}

// MessageName implements kernel.Message.
func (reannounce) MessageName() string { return "reannounce" }

// handleAnnounced takes in announced records and passes on those that are new
// to this node. Each node passes on a record once, so it does not circulate.
func (s *Service) handleAnnounced(m announced) {
	view := s.members.Load()
	fresh := slices.DeleteFunc(slices.Clone(m.members), func(r model.Member) bool { return !view.Newer(r) })
	if len(fresh) == 0 {
		return
	}
	s.loop.Emit(control.MembersReceived{From: m.from, Members: fresh})
	s.announce(fresh)
}

// announce queues records for the nodes that must hear of them. Own records
// wait until there is such a node.
func (s *Service) announce(records []model.Member) {
	view, excluded := s.members.Load(), s.evidence().Silent
	reader := s.role.Load().reader
	for _, record := range records {
		targets := rank.AnnounceTargets(view, s.config.Self, reader, record.Domain, excluded)
		if len(targets) == 0 && record.ID == s.config.Self.ID {
			s.planner.pending[record.ID] = record
		}
		for _, target := range targets {
			s.outbox.add(target, 1, record)
		}
	}
}

func (s *Service) announcePending() {
	if len(s.planner.pending) == 0 {
		return
	}
	records := slices.Collect(maps.Values(s.planner.pending))
	clear(s.planner.pending)
	s.announce(records)
}

// handleUndelivered excludes the nodes that did not take the records and sends
// the records to others of the same target after a pause.
func (s *Service) handleUndelivered(m undelivered) {
	now := s.clock.Now()
	for _, id := range m.tried {
		s.planner.exclusions.MarkSilent(id, now, s.planner.rng)
	}
	s.decide()
	if m.attempt < maxAttempts {
		delay := resendPolicy.Delay(m.attempt, s.planner.rng)
		s.loop.After(delay, resend{target: m.target, members: m.members, attempt: m.attempt + 1})
	}
}

// handleResend sends the newest version of records to one target. A target that
// has lost its place in the meantime is passed over, except that the own record
// then goes to the targets of now.
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

// resendTo reports whether the target still exists.
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

func (s *Service) handleReannounce() {
	jitter := time.Duration(s.planner.rng.Int64N(int64(reannounceInterval)))
	s.loop.After(reannounceInterval/2+jitter, reannounce{})
	if own, ok := s.members.Load().Get(s.config.Self.ID); ok {
		s.announce([]model.Member{own})
	}
}
