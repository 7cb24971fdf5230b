package exchange

import (
	"maps"
	"slices"
	"time"

	"github.com/galenalever/galenalever/internal/control"
	"github.com/galenalever/galenalever/internal/decision/rank"
	"github.com/galenalever/galenalever/internal/model"
)

const (
	// reannounceInterval is the time between two repetitions of the own record.
	// Readers do not pass on what they know, so it costs one call.
	reannounceInterval = 5 * time.Minute
	// undeliveredDelay is the pause before records that reached nobody are sent
	// again.
	undeliveredDelay = 500 * time.Millisecond
)

// announced carries records that another node announced to this one.
type announced struct {
	from    control.Origin
	members []model.Member
}

// MessageName implements kernel.Message.
func (announced) MessageName() string { return "announced" }

// undelivered carries records that no candidate of a target took.
type undelivered struct {
	tried   []model.InstanceID
	members []model.Member
}

// MessageName implements kernel.Message.
func (undelivered) MessageName() string { return "undelivered" }

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
			s.outbox.add(target, record)
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

// handleUndelivered excludes the nodes that did not take the records, so that
// others are chosen.
func (s *Service) handleUndelivered(m undelivered) {
	now := s.clock.Now()
	for _, id := range m.tried {
		s.planner.exclusions.Fail(id, now, s.planner.rng)
	}
	view := s.members.Load()
	for _, record := range m.members {
		if newest, ok := view.Get(record.ID); ok {
			s.planner.pending[record.ID] = newest
		}
	}
	s.decide()
	s.scheduleReplan(undeliveredDelay)
}

func (s *Service) handleReannounce() {
	jitter := time.Duration(s.planner.rng.Int64N(int64(reannounceInterval)))
	s.loop.After(reannounceInterval/2+jitter, reannounce{})
	if own, ok := s.members.Load().Get(s.config.Self.ID); ok {
		s.announce([]model.Member{own})
	}
}
