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
	// replanDelay lets member changes that follow closely cause a single update of
	// the role.
	replanDelay = 100 * time.Millisecond
	// platformFallbackFailures is the number of consecutive failed polls after which
	// a node reads the platform itself. It continues to poll.
	platformFallbackFailures = 8
)

// peer identifies another node to the I/O goroutines.
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

// role determines what the I/O goroutines do. The control loop publishes it as a
// snapshot.
type role struct {
	// reader is true if the node reads the platform for its failure domain.
	reader bool
	// upstreams are the nodes to poll. Outside of direct mode only the first is used.
	upstreams [rank.MaxFollowed]peer
	// scope is what the node reads from the platform.
	scope control.ReadScope
	// interim is true if the node reads only until it can follow another one.
	interim bool
	// readerIndex is rank.Role.ReaderIndex.
	readerIndex int
	// generation is incremented after each pause of the process. The response to a
	// poll of an earlier generation does not prove that this node is up to date.
	generation uint64
}

// sameUpstream returns a predicate that is true for roles with the same generation
// and the same upstream at an index.
func (r role) sameUpstream(index int) func(role) bool {
	return func(other role) bool {
		return other.upstreams[index] == r.upstreams[index] && other.generation == r.generation
	}
}

// planner is the control state of the service. It is accessed only by handlers on
// the control loop.
type planner struct {
	rng        *rand.Rand
	exclusions *rank.Exclusions
	// failures is the number of consecutive failed polls.
	failures int
	// configured is true once the node has a configuration.
	configured bool
	// synchronised is true once a peer has responded to a poll of the current
	// generation.
	synchronised bool
	// bootstrapOver is true once the time in which the node only bootstraps from
	// others has passed.
	bootstrapOver bool
	// replanScheduled is true while the timer of a replan message runs.
	replanScheduled bool
	// deferred holds this node's own record while there is no target for it.
	deferred  map[model.InstanceID]model.Member
	following following
}

// replan is the message that triggers an update of the role.
type replan struct{}

// MessageName implements kernel.Message.
func (replan) MessageName() string { return "replan" }

// bootstrapOver is the timer message that ends the time in which the node only
// bootstraps from others.
type bootstrapOver struct{}

// MessageName implements kernel.Message.
func (bootstrapOver) MessageName() string { return "bootstrap-over" }

func (s *Service) subscribe(loop *kernel.Loop) {
	kernel.Subscribe(loop, s.handleConfiguration)
	kernel.Subscribe(loop, s.handleWholeSubtreesNeeded)
	kernel.Subscribe(loop, s.handleMembersChanged)
	kernel.Subscribe(loop, s.handlePaused)
	kernel.Subscribe(loop, s.handleSynchronised)
	kernel.Subscribe(loop, func(replan) { s.handleReplan() })
	kernel.Subscribe(loop, func(bootstrapOver) { s.planner.bootstrapOver = true; s.updateRole() })
	kernel.Subscribe(loop, func(m barrier) { close(m.handled) })
	kernel.Subscribe(loop, s.handlePollDone)
	kernel.Subscribe(loop, s.handlePollFailed)
	kernel.Subscribe(loop, s.handleAnnounced)
	kernel.Subscribe(loop, s.handleUndelivered)
	kernel.Subscribe(loop, s.handleResend)
	kernel.Subscribe(loop, func(reannounce) { s.handleReannounce() })
	kernel.Subscribe(loop, func(silenceCheck) { s.handleSilenceCheck() })
	kernel.Subscribe(loop, func(searchCheck) { s.handleSearchCheck() })
	kernel.Subscribe(loop, s.handlePolled)
	kernel.Subscribe(loop, func(linkCheck) { s.handleLinkCheck() })
	kernel.Subscribe(loop, s.handlePlatformReached)
	kernel.Subscribe(loop, s.handleConfigurationRead)
}

// repair lists the subtrees that the next poll requests whole because their deltas
// failed the hash check.
type repair struct {
	keys []model.Key
	// all requests the complete cut.
	all bool
}

func (s *Service) handleWholeSubtreesNeeded(m control.WholeSubtreesNeeded) {
	s.repair.Store(repair{keys: m.Keys, all: m.All})
}

// handleConfiguration ends a repair, since the configuration has changed, and updates the
// role when the node gets its first configuration.
func (s *Service) handleConfiguration(m control.ConfigurationChanged) {
	if r := s.repair.Load(); r.all || len(r.keys) > 0 {
		s.repair.Store(repair{})
	}
	if s.config.Direct {
		s.measureConfiguration(m.Configuration)
	}
	if !s.planner.configured && m.Configuration.Cut.Revision > 0 {
		s.planner.configured = true
		if s.config.Direct {
			s.startSearches()
		}
		s.updateRole()
	}
}

func (s *Service) handleMembersChanged(m control.MembersChanged) {
	for _, changed := range m.Changed {
		if changed.ID == s.config.Self.ID && !s.config.Direct {
			s.announce([]model.Member{changed})
		}
		if rank.Eligible(&changed) {
			s.planner.exclusions.Restore(changed.ID) // its process may have restarted
		}
	}
	if s.config.Direct && !s.informed() {
		s.updateRole() // the members may name the first node to follow
		return
	}
	s.scheduleReplan(replanDelay)
}

// handlePaused drops what this node observed of others before the process was
// paused, and starts a new generation of polls.
func (s *Service) handlePaused(control.Paused) {
	s.planner.exclusions.Clear()
	s.planner.failures = 0
	s.planner.synchronised = false
	s.planner.following.reached, s.planner.following.configurationRead = false, false
	clear(s.planner.following.confirmed)
	next := s.role.Load()
	next.generation++
	s.role.Store(next)
	s.updateRole()
}

// handleSynchronised lets waiting polls check again whether they may respond.
func (s *Service) handleSynchronised(control.Synchronised) {
	s.synchronised.Store(s.synchronised.Load() + 1)
}

func (s *Service) scheduleReplan(delay time.Duration) {
	if s.planner.replanScheduled {
		return
	}
	s.planner.replanScheduled = true
	s.loop.After(delay, replan{})
}

func (s *Service) handleReplan() {
	s.planner.replanScheduled = false
	s.updateRole()
	s.announceDeferred()
}

// updateRole computes the role from the current state and publishes it if it
// changed.
func (s *Service) updateRole() {
	old := s.role.Load()
	next := role{generation: old.generation}
	switch {
	case s.config.Direct:
		s.assignDirect(&next, old)
	case s.planner.configured || s.planner.bootstrapOver:
		s.assignInTree(&next, old)
	}
	if s.config.Direct {
		if old.scope == control.ReadNothing && next.scope != old.scope {
			s.planner.following.reached, s.planner.following.unreachable = false, false // until the first call
		}
		if next.scope == control.ReadAll && old.scope != next.scope {
			s.planner.following.configurationRead = false // until the first call that includes it
		}
		s.updateContact(next)
		s.updateSearch(next)
	}
	if next == old {
		return
	}
	s.role.Store(next)
	if next.upstreams != old.upstreams && s.config.Direct {
		s.log.Info("polled peers changed", "first", next.upstreams[0].name(), "second", next.upstreams[1].name(),
			"reader", next.reader, "scope", next.scope.String(), "informed", s.informed())
	}
	if next.upstreams[0] != old.upstreams[0] && !s.config.Direct {
		s.timeline.Record(timeline.KindUpstreamChanged, next.upstreams[0].name())
	}
	if next.scope != old.scope || next.readerIndex != old.readerIndex || next.interim != old.interim {
		s.loop.Emit(control.ReadScopeChanged{
			Scope: next.scope, ReaderIndex: next.readerIndex, Interim: next.interim,
			Known: s.planner.following.knownRevision,
		})
	}
}

func (s *Service) assignInTree(next *role, old role) {
	if !s.planner.configured && !s.hasListing() {
		// The role depends on the list of instances, so that is read first.
		next.scope = control.ReadInstances
		return
	}
	decided := rank.Decide(s.members.Load(), s.config.Self, old.upstreams[0].id, s.evidence())
	next.reader, next.readerIndex = decided.Reader, decided.ReaderIndex
	next.upstreams[0] = peerOf(decided.Upstream)
	if decided.Reader || s.planner.failures >= platformFallbackFailures {
		next.scope = control.ReadAll
	}
}

// hasListing reports whether the view contains the platform's list of instances.
func (s *Service) hasListing() bool {
	return slices.ContainsFunc(s.members.Load().All(), func(m model.Member) bool { return m.ListedAt > 0 })
}

// evidence returns which nodes are excluded now.
func (s *Service) evidence() rank.Evidence { return s.planner.exclusions.At(s.clock.Now()) }
