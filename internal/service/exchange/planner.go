package exchange

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/galenalever/galenalever/internal/control"
	"github.com/galenalever/galenalever/internal/decision/rank"
	"github.com/galenalever/galenalever/internal/kernel"
	"github.com/galenalever/galenalever/internal/model"
	"github.com/galenalever/galenalever/internal/timeline"
)

const (
	// replanDelay lets changes of members that come together cause one plan.
	replanDelay = 100 * time.Millisecond
	// orphanAfter is the number of failed polls in a row after which a node
	// reads the platform itself, while it goes on trying.
	orphanAfter = 8
)

// peer is another node as the I/O goroutines need it.
type peer struct {
	id      model.InstanceID
	address string
}

func peerOf(m model.Member) peer { return peer{id: m.ID, address: m.Addresses.Control} }

// name returns the peer's ID, or its address while the ID is unknown.
func (p peer) name() string {
	if p.id != "" {
		return string(p.id)
	}
	return p.address
}

// role is what the I/O goroutines do. It is published as a snapshot.
type role struct {
	reader bool
	// upstreams are the nodes to poll; in the tree only the first place is used.
	upstreams [rank.MaxFollowed]peer
	scope     control.ReadScope
	// followed is true while others rely on this node to read the platform.
	followed bool
	// place is the number of readers that come before this one.
	place int
	// round grows with every pause; what was asked in an earlier round proves
	// nothing.
	round uint64
}

// sameAt returns whether another role has the same work for the poller of a place.
func (r role) sameAt(place int) func(role) bool {
	return func(other role) bool { return other.upstreams[place] == r.upstreams[place] && other.round == r.round }
}

// planner is the control state of the service. Only handlers on the control
// loop touch it.
type planner struct {
	rng        *rand.Rand
	exclusions *rank.Exclusions
	// failures counts failed polls in a row.
	failures int
	// configured is true once the node has a configuration.
	configured bool
	// synchronised is true once a peer has answered in the present round.
	synchronised bool
	// mayRead is true once peers were asked for long enough.
	mayRead bool
	// planned is true while a replan message is on its way.
	planned bool
	// pending holds own records that found no destination yet.
	pending map[model.InstanceID]model.Member
	// following is the control state of a node that reads directly or follows.
	following following
}

// replan is the message that has the role decided anew.
type replan struct{}

// MessageName implements kernel.Message.
func (replan) MessageName() string { return "replan" }

// bootstrapOver tells that peers were asked for long enough.
type bootstrapOver struct{}

// MessageName implements kernel.Message.
func (bootstrapOver) MessageName() string { return "bootstrap-over" }

func (s *Service) subscribe(loop *kernel.Loop) {
	kernel.Subscribe(loop, s.handleConfiguration)
	kernel.Subscribe(loop, s.handleWholeNeeded)
	kernel.Subscribe(loop, s.handleMembersChanged)
	kernel.Subscribe(loop, s.handlePaused)
	kernel.Subscribe(loop, s.handleSynchronised)
	kernel.Subscribe(loop, func(replan) { s.handleReplan() })
	kernel.Subscribe(loop, func(bootstrapOver) { s.planner.mayRead = true; s.decide() })
	kernel.Subscribe(loop, func(m barrier) { close(m.handled) })
	kernel.Subscribe(loop, s.handlePollDone)
	kernel.Subscribe(loop, s.handlePollFailed)
	kernel.Subscribe(loop, s.handleAnnounced)
	kernel.Subscribe(loop, s.handleUndelivered)
	kernel.Subscribe(loop, s.handleResend)
	kernel.Subscribe(loop, func(reannounce) { s.handleReannounce() })
	kernel.Subscribe(loop, func(followed) { s.handleFollowed() })
	kernel.Subscribe(loop, s.handleReached)
}

// repair is what the next poll asks for whole because deltas failed their
// checks.
type repair struct {
	keys []model.Key
	// all asks for the complete cut.
	all bool
}

func (s *Service) handleWholeNeeded(m control.WholeSubtreesNeeded) {
	s.repair.Store(repair{keys: m.Keys, all: m.All})
}

func (s *Service) handleConfiguration(m control.ConfigurationChanged) {
	if r := s.repair.Load(); r.all || len(r.keys) > 0 {
		s.repair.Store(repair{})
	}
	if s.config.Direct {
		s.measure(m.Configuration)
	}
	if !s.planner.configured && m.Configuration.Cut.Revision > 0 {
		s.planner.configured = true
		s.decide()
	}
}

func (s *Service) handleMembersChanged(m control.MembersChanged) {
	if s.config.Direct {
		s.scheduleReplan(replanDelay)
		return
	}
	for _, changed := range m.Changed {
		if changed.ID == s.config.Self.ID {
			s.announce([]model.Member{changed})
		}
		if rank.Eligible(&changed) {
			s.planner.exclusions.Restore(changed.ID) // its process was restarted
		}
	}
	s.scheduleReplan(replanDelay)
}

// handlePaused forgets what this node believed about others and asks anew.
func (s *Service) handlePaused(control.Paused) {
	s.planner.exclusions.Clear()
	s.planner.failures = 0
	s.planner.synchronised = false
	next := s.role.Load()
	next.round++
	s.role.Store(next)
	s.decide()
}

func (s *Service) handleSynchronised(control.Synchronised) {
	s.synchronised.Store(s.synchronised.Load() + 1)
}

func (s *Service) scheduleReplan(delay time.Duration) {
	if s.planner.planned {
		return
	}
	s.planner.planned = true
	s.loop.After(delay, replan{})
}

func (s *Service) handleReplan() {
	s.planner.planned = false
	s.decide()
	s.announcePending()
}

// decide publishes the role that follows from what is known now.
func (s *Service) decide() {
	old := s.role.Load()
	next := role{round: old.round}
	switch {
	case s.config.Direct:
		s.assignDirect(&next, old)
	case s.planner.configured || s.planner.mayRead:
		s.assign(&next, old)
	}
	if next == old {
		return
	}
	s.role.Store(next)
	if next.upstreams[0] != old.upstreams[0] && !s.config.Direct {
		s.timeline.Record(timeline.KindUpstreamChanged, next.upstreams[0].name())
	}
	if next.scope != old.scope || next.place != old.place || next.followed != old.followed {
		s.loop.Emit(control.ReadScopeChanged{Scope: next.scope, ReaderIndex: next.place, Followed: next.followed})
	}
}

func (s *Service) assign(next *role, old role) {
	if !s.planner.configured && !s.listed() {
		next.scope = control.ReadInstances
		return
	}
	decided := rank.Decide(s.members.Load(), s.config.Self, old.upstreams[0].id, s.evidence())
	next.reader, next.place = decided.Reader, decided.ReaderIndex
	next.upstreams[0] = peerOf(decided.Upstream)
	if decided.Reader || s.planner.failures >= orphanAfter {
		next.scope = control.ReadAll
	}
}

// listed reports whether the platform's list of instances is known.
func (s *Service) listed() bool {
	return slices.ContainsFunc(s.members.Load().All(), func(m model.Member) bool { return m.ListedAt > 0 })
}

func (s *Service) evidence() rank.Evidence { return s.planner.exclusions.At(s.clock.Now()) }
