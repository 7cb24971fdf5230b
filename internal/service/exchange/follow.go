package exchange

import (
	"slices"
	"time"

	"github.com/galenalever/galenalever/internal/control"
	"github.com/galenalever/galenalever/internal/decision/rank"
	"github.com/galenalever/galenalever/internal/model"
	"github.com/galenalever/galenalever/internal/timeline"
)

// In a mesh whose nodes read the platform directly, a node whose link cannot carry
// the configuration follows other nodes: their responses contain only the changes of a
// version, not the whole version. While no node that it follows is in contact with
// the platform, it reads the platform itself, if the platform responds. After an
// outage it first gives the other nodes time to regain contact; otherwise all nodes
// with slow links would read whole configurations at the same moment.

const (
	// followerBackoff is how long a node that itself follows others is not polled
	// again.
	followerBackoff = 10 * time.Second
	// lostContactBackoff is how long a node that has lost contact with the platform
	// is not polled again. It is short because all nodes may lose contact at the
	// same time.
	lostContactBackoff = 500 * time.Millisecond
	// recoveryGrace is the time that other nodes get to regain contact after an
	// outage. They retry within half a second.
	recoveryGrace = time.Second
	// followerTimeout is how long after a configuration-only poll this node counts
	// as followed.
	followerTimeout = 5 * time.Second
	// maxInterimFollowers is the number of nodes that may follow a node whose link
	// cannot carry the configuration. A version with many changes is sent to each
	// of them over that link.
	maxInterimFollowers = 4
	// followedInterval is the minimum time between two updates of
	// following.lastPolled.
	followedInterval = time.Second
)

// following is the control state of a node in direct mode. It is accessed only by
// handlers on the control loop.
type following struct {
	// configurationBytes is the size in bytes of the running configuration.
	configurationBytes int
	// confirmed holds, by upstream index, the peers whose last response reported
	// contact with the platform.
	confirmed [rank.MaxFollowed]peer
	// lastPolled is the time of the last configuration-only poll from another node.
	lastPolled time.Time
	// platformUnreachable is true while the platform does not respond to this node.
	// Until readAfter, which is set when the platform responds again, the node reads
	// the configuration from its peers only.
	platformUnreachable bool
	readAfter           time.Time
}

// handlePlatformReached records whether the platform responds to this node. After an
// outage a node with a slow link reads no configuration from it for recoveryGrace.
func (s *Service) handlePlatformReached(m control.PlatformReached) {
	if !s.config.Direct {
		return
	}
	f := &s.planner.following
	f.platformUnreachable = !m.Reached
	if m.Reached {
		// Peers that did not respond may have been unreachable for the same reason.
		s.planner.exclusions.Clear()
		f.readAfter = s.clock.Now().Add(recoveryGrace)
		s.loop.After(recoveryGrace, replan{})
	}
	s.updateRole()
}

// followed is the message that another node has polled this one for the
// configuration.
type followed struct{}

// MessageName implements kernel.Message.
func (followed) MessageName() string { return "followed" }

// handleFollowed records that this node is followed, until followerTimeout has passed
// without another poll.
func (s *Service) handleFollowed() {
	f, now := &s.planner.following, s.clock.Now()
	if now.Sub(f.lastPolled) < followedInterval {
		return
	}
	f.lastPolled = now
	s.loop.After(followerTimeout+time.Millisecond, replan{})
	s.updateRole()
}

// contact returns this node's contact with the platform, which responses to polls report.
// It may be called from any goroutine.
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

func (s *Service) measureConfiguration(c *model.Configuration) {
	size := 0
	for _, subtree := range c.Running {
		for _, leaf := range subtree.Leaves {
			size += len(leaf.Path) + len(leaf.Value)
		}
	}
	s.planner.following.configurationBytes = size
}

// assignDirect sets the role of a node in direct mode: whether it reads the
// configuration from the platform, and which nodes it follows.
func (s *Service) assignDirect(next *role, old role) {
	f := &s.planner.following
	next.followed = !f.lastPolled.IsZero() && s.clock.Now().Sub(f.lastPolled) < followerTimeout
	if !s.planner.configured || rank.LinkCarriesConfiguration(s.config.Bandwidth, f.configurationBytes) {
		next.reader, next.scope = true, control.ReadAll
		f.confirmed = [rank.MaxFollowed]peer{}
		return
	}
	next.scope = control.ReadAll
	if f.platformUnreachable || s.clock.Now().Before(f.readAfter) {
		next.scope = control.ReadInstances
	}
	var ids [rank.MaxFollowed]model.InstanceID
	for i, p := range old.upstreams {
		ids[i] = p.id
	}
	for i, m := range rank.Follow(s.members.Load(), s.config.Self, ids, s.evidence()) {
		next.upstreams[i] = peerOf(m)
		if f.confirmed[i] != next.upstreams[i] {
			f.confirmed[i] = peer{}
		}
		if f.confirmed[i] != (peer{}) {
			next.scope = control.ReadInstances
		}
	}
}

// confirmUpstream records that a peer may be followed, which depends on where it
// gets its configuration, and reports whether it may. If not, it excludes the peer
// for a time and updates the role, which selects another one.
func (s *Service) confirmUpstream(m pollDone) bool {
	f := &s.planner.following
	if rank.MayFollow(s.config.Self, m.from.address, m.contact) {
		if f.confirmed[m.upstreamIndex] != m.from && s.role.Load().upstreams[m.upstreamIndex] == m.from {
			f.confirmed[m.upstreamIndex] = m.from
			s.timeline.Record(timeline.KindUpstreamChanged, m.from.name())
			s.updateRole()
		}
		return true
	}
	backoff := followerBackoff
	if m.contact == model.ContactLost {
		backoff = lostContactBackoff
	}
	s.stopFollowing(m.from)
	s.planner.exclusions.MarkBusy(m.from.id, s.clock.Now().Add(backoff))
	s.loop.After(backoff+time.Millisecond, replan{})
	s.updateRole()
	return false
}

// stopFollowing removes a peer from the confirmed upstreams.
func (s *Service) stopFollowing(p peer) {
	f := &s.planner.following
	if i := slices.Index(f.confirmed[:], p); i >= 0 && p != (peer{}) {
		f.confirmed[i] = peer{}
		s.log.Info("peer is not followed any longer", "peer", p.name())
	}
}
