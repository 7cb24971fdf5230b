package exchange

import (
	"slices"
	"time"

	"github.com/galenalever/galenalever/internal/control"
	"github.com/galenalever/galenalever/internal/decision/rank"
	"github.com/galenalever/galenalever/internal/model"
	"github.com/galenalever/galenalever/internal/timeline"
)

// In a mesh whose nodes read the platform directly, a node whose link does not
// carry the configuration follows others: it gets what changed in a version, not
// the whole version. While no node that it follows is in contact with the
// platform, it reads the platform itself, if that answers. After an outage it first
// leaves the others time to be in contact again, or all nodes with thin links would
// read whole configurations at the same moment.

const (
	// noReaderFor is how long a node that follows others itself is not asked
	// again.
	noReaderFor = 10 * time.Second
	// lostFor is how long a node without contact to the platform is not asked
	// again. It is short, since all may lose it at the same time.
	lostFor = 500 * time.Millisecond
	// regainTime is the time that the others have after an outage: their retries
	// come within half a second.
	regainTime = time.Second
	// followedFor is how long after a poll another node counts as relying on
	// this one.
	followedFor = 5 * time.Second
	// maxInterimFollowers is the number of nodes that may follow one whose link does
	// not carry the configuration: a version in which much changes goes to each.
	maxInterimFollowers = 4
	// followedResolution is the least time between two notes of a poll.
	followedResolution = time.Second
)

// following is control state of a node that reads directly or follows. Only
// handlers on the control loop touch it.
type following struct {
	// size is the size of the running configuration in bytes.
	size int
	// current are the peers whose last answer told of contact with the platform.
	current [rank.MaxFollowed]peer
	// polledAt is when another node last followed this one.
	polledAt time.Time
	// away is true while the platform does not answer this node, and resumeAt the
	// end of the time after its return in which only others are asked.
	away     bool
	resumeAt time.Time
}

// handleReached takes in whether the platform answers this node.
func (s *Service) handleReached(m control.PlatformReached) {
	if !s.config.Direct {
		return
	}
	f := &s.planner.following
	f.away = !m.Reached
	if m.Reached {
		// Others that were silent may have been cut off with the platform.
		s.planner.exclusions.Clear()
		f.resumeAt = s.clock.Now().Add(regainTime)
		s.loop.After(regainTime, replan{})
	}
	s.decide()
}

// followed is the message that another node polls this one for the configuration.
type followed struct{}

// MessageName implements kernel.Message.
func (followed) MessageName() string { return "followed" }

func (s *Service) handleFollowed() {
	f, now := &s.planner.following, s.clock.Now()
	if now.Sub(f.polledAt) < followedResolution {
		return
	}
	f.polledAt = now
	s.loop.After(followedFor+time.Millisecond, replan{})
	s.decide()
}

// contact tells where this node gets its configuration. Any goroutine may call it.
func (s *Service) contact() model.PlatformContact {
	if s.source == nil {
		return model.ContactNone
	}
	c := s.source.Contact()
	if c == model.ContactCurrent && s.config.Direct && !s.role.Load().reader {
		return model.ContactInterim
	}
	return c
}

// measure notes the size of what runs.
func (s *Service) measure(c *model.Configuration) {
	size := 0
	for _, subtree := range c.Running {
		for _, leaf := range subtree.Leaves {
			size += len(leaf.Path) + len(leaf.Value)
		}
	}
	s.planner.following.size = size
}

// assignDirect decides whether the node reads the configuration from the platform
// and whom it follows.
func (s *Service) assignDirect(next *role, old role) {
	f := &s.planner.following
	next.followed = !f.polledAt.IsZero() && s.clock.Now().Sub(f.polledAt) < followedFor
	if !s.planner.configured || rank.LinkCarriesConfiguration(s.config.Bandwidth, f.size) {
		next.reader, next.scope = true, control.ReadAll
		f.current = [rank.MaxFollowed]peer{}
		return
	}
	next.scope = control.ReadAll
	if f.away || s.clock.Now().Before(f.resumeAt) {
		next.scope = control.ReadInstances
	}
	var ids [rank.MaxFollowed]model.InstanceID
	for i, p := range old.upstreams {
		ids[i] = p.id
	}
	for i, m := range rank.Follow(s.members.Load(), s.config.Self, ids, s.evidence()) {
		next.upstreams[i] = peerOf(m)
		if f.current[i] != next.upstreams[i] {
			f.current[i] = peer{}
		}
		if f.current[i] != (peer{}) {
			next.scope = control.ReadInstances
		}
	}
}

// keepFollowing takes in where a peer gets its configuration. It reports false,
// and has another one chosen, unless that is the platform.
func (s *Service) keepFollowing(m pollDone) bool {
	f := &s.planner.following
	if rank.MayFollow(s.config.Self, m.from.address, m.contact) {
		if f.current[m.place] != m.from && s.role.Load().upstreams[m.place] == m.from {
			f.current[m.place] = m.from
			s.timeline.Record(timeline.KindUpstreamChanged, m.from.name())
			s.decide()
		}
		return true
	}
	pause := noReaderFor
	if m.contact == model.ContactLost {
		pause = lostFor
	}
	s.stopFollowing(m.from)
	s.planner.exclusions.MarkBusy(m.from.id, s.clock.Now().Add(pause))
	s.loop.After(pause+time.Millisecond, replan{})
	s.decide()
	return false
}

// stopFollowing forgets the contact of a peer.
func (s *Service) stopFollowing(p peer) {
	f := &s.planner.following
	if i := slices.Index(f.current[:], p); i >= 0 && p != (peer{}) {
		f.current[i] = peer{}
		s.log.Info("peer is not followed any longer", "peer", p.name())
	}
}
