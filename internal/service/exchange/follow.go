package exchange

import (
	"time"

	"github.com/galenalever/galenalever/internal/control"
	"github.com/galenalever/galenalever/internal/decision/rank"
	"github.com/galenalever/galenalever/internal/model"
	"github.com/galenalever/galenalever/internal/timeline"
)

// In direct mode the platform lists backend servers and nodes do not announce
// themselves. A few nodes of each failure domain read the platform. The others follow
// two of the nodes before them, from which they get members and configuration, and read
// nothing. A node that hears from none of the nodes that it follows, or only that they
// have lost the platform, reads the platform itself until one is in contact again.
//
// A reader that has lost the platform follows other readers until it responds again. A
// reader whose link cannot carry the configuration asks nodes whose links can to read
// in its place, and follows them. It learns their addresses from the polls of its
// followers, which collect them from theirs. While it knows none, it follows other
// readers, or reads itself.

const (
	// relayBackoff is how long a reader with a slow link does not poll a node that
	// follows others itself.
	relayBackoff = 3 * time.Second
	// lostContactBackoff is how long a reader with a slow link does not poll a node
	// that has lost contact with the platform. It is short because all nodes may lose
	// contact at the same time.
	lostContactBackoff = 500 * time.Millisecond
	// recoveryGrace is the time that other nodes get to regain contact after an
	// outage, before a node with a slow link reads the whole configuration. They retry
	// within half a second.
	recoveryGrace = time.Second
)

// following is the control state of a node in direct mode. It is accessed only by
// handlers on the control loop.
type following struct {
	// configurationBytes is the size in bytes of the running configuration.
	configurationBytes int
	// confirmed holds the times of the last responses that allow this node to follow
	// their senders. It includes nodes that it no longer follows.
	confirmed map[peer]time.Time
	// reached is true while the platform responds to this node. It is false while the
	// node reads nothing.
	reached bool
	// configurationRead is true while the platform responds with the configuration, too, and
	// readAt is when it became true.
	configurationRead bool
	readAt            time.Time
	// respondedAt is when an upstream last responded. This node polls no random nodes before
	// searchFrom.
	respondedAt time.Time
	searchFrom  time.Time
	// searchCheckScheduled is true while the timer of a searchCheck message runs.
	searchCheckScheduled bool
	// unreachable is true from a failed call to the platform until the next successful
	// one, or until the node has followed others since. failedAt is when a call last
	// failed. Until readAfter, which is set after an outage, a node with a slow link reads
	// no configuration.
	unreachable bool
	failedAt    time.Time
	readAfter   time.Time
	// wideLinks holds when a poll last named the node at a control address as one whose
	// link can carry the configuration.
	wideLinks map[string]time.Time
	// readFor is the end of the time in which this node reads in place of slow readers.
	readFor time.Time
	// linkCheckScheduled is true while the timer of a linkCheck message runs.
	linkCheckScheduled bool
	// knownRevision is the revision of the platform up to which this node knows all
	// changes from the nodes that it follows.
	knownRevision model.Revision
}

// handlePlatformReached records whether the platform responds to this node.
func (s *Service) handlePlatformReached(m control.PlatformReached) {
	if !s.config.Direct {
		return
	}
	f := &s.planner.following
	f.reached = m.Reached
	if !m.Reached {
		f.failedAt = s.clock.Now()
	}
	if m.Reached && f.unreachable {
		// Peers that did not respond may have been unreachable for the same reason.
		s.planner.exclusions.Clear()
		f.readAfter = s.clock.Now().Add(recoveryGrace)
		s.loop.After(recoveryGrace, replan{})
	}
	f.unreachable = !m.Reached
	s.updateRole()
}

// handleConfigurationRead records whether the platform responds with the configuration.
func (s *Service) handleConfigurationRead(m control.ConfigurationRead) {
	f := &s.planner.following
	if !s.config.Direct || m.Read == f.configurationRead {
		return
	}
	f.configurationRead = m.Read
	if m.Read {
		f.readAt = s.clock.Now()
	}
	s.updateRole()
}

// current reports whether this node knows the state of the platform from the platform itself.
func (f *following) current(r role) bool {
	return r.scope == control.ReadAll && f.reached && f.configurationRead
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

// assignDirect sets the role of a node in direct mode: what it reads from the platform,
// and which nodes it follows.
func (s *Service) assignDirect(next *role, old role) {
	f := &s.planner.following
	var ids [rank.MaxFollowed]model.InstanceID
	for i, p := range old.upstreams {
		ids[i] = p.id
	}
	now := s.clock.Now()
	carries := !s.planner.configured || rank.LinkCarriesConfiguration(s.config.Bandwidth, f.configurationBytes)
	place := rank.Follow(s.members.Load(), s.config.Self, ids, f.isWide(now), s.evidence())
	next.reader = place.Reader || carries && f.readsForOthers(now)
	next.interim, next.scope = true, control.ReadAll
	s.links.Store(f.newLinks(s.config.Self.Addresses.Control, carries && s.planner.configured, place.Reader && !carries, now))
	if next.reader && carries {
		next.interim = false
		// A platform that has returned from an older copy may lack versions that others have.
		asksOthers := !s.planner.configured && place.Upstreams[0].ListedAt.Era() > 0
		if !f.unreachable && !asksOthers {
			clear(f.confirmed)
			return
		}
	}
	for i, m := range place.Upstreams {
		next.upstreams[i] = peerOf(m)
	}
	switch {
	case !next.interim: // reads on, to notice that the platform responds again
	case s.informed():
		next.scope = control.ReadNothing
	case !carries && (f.unreachable || now.Before(f.readAfter)):
		next.scope = control.ReadInstances
	}
}

// informed reports whether a node that this one follows, or did until a short time ago,
// has reported contact with the platform a short time ago.
func (s *Service) informed() bool {
	now, informed := s.clock.Now(), false
	for from, at := range s.planner.following.confirmed {
		if now.Sub(at) < s.config.PollTimes.MaxSilence {
			informed = true
		} else {
			delete(s.planner.following.confirmed, from)
		}
	}
	return informed
}

// updateContact publishes this node's contact with the platform, which ends the wait of
// the polls that it serves.
func (s *Service) updateContact(r role) {
	f := &s.planner.following
	contact := model.ContactLost
	switch {
	case f.current(r) && r.interim:
		contact = model.ContactInterim
	case f.current(r):
		contact = model.ContactCurrent
	case s.informed():
		contact = model.ContactRelayed
	}
	if contact != s.contact.Load() {
		s.contact.Store(contact)
		s.log.Info("contact with the platform changed", "contact", contact.String(), "reader", r.reader)
	}
}

// confirmUpstream records the response of a peer and reports whether this node may
// follow it. A reader with a slow link then excludes the peer for a time, which selects
// another one.
func (s *Service) confirmUpstream(m pollDone) bool {
	f, current := &s.planner.following, s.role.Load()
	if current.upstreams[m.upstreamIndex] != m.from || m.withoutMembers {
		return false // the role has changed since the poll, or the next poll gets the members
	}
	if rank.MayFollow(s.config.Self, current.reader, m.from.address, m.contact) {
		if _, known := f.confirmed[m.from]; !known {
			s.timeline.Record(timeline.KindUpstreamChanged, m.from.name())
		}
		f.confirmed[m.from] = s.clock.Now()
		if current.reader && m.contact == model.ContactCurrent {
			f.wideLinks[m.from.address] = s.clock.Now() // only nodes with wide links report this contact
		}
		s.learnRevision(m)
		s.loop.After(s.config.PollTimes.MaxSilence, silenceCheck{})
		s.updateRole()
		return true
	}
	s.stopFollowing(m.from)
	if current.reader {
		backoff := relayBackoff
		if m.contact == model.ContactLost {
			backoff = lostContactBackoff
		}
		s.planner.exclusions.MarkBusy(m.from.id, s.clock.Now().Add(backoff))
		s.loop.After(backoff+time.Millisecond, replan{})
	}
	s.updateRole()
	return false
}

// learnRevision records the revision up to which a peer knew all changes, if this node has
// applied its response.
func (s *Service) learnRevision(m pollDone) {
	f := &s.planner.following
	if c := s.configuration.Load(); c != nil && c.Cut.Revision >= m.cutRevision {
		f.knownRevision = max(f.knownRevision, m.platformRevision)
		s.known.Store(uint64(f.knownRevision))
	}
}

// silenceCheck is the timer message that may end the time in which this node is
// informed.
type silenceCheck struct{}

// MessageName implements kernel.Message.
func (silenceCheck) MessageName() string { return "silence-check" }

// handleSilenceCheck updates the role if the nodes that this one follows are silent.
func (s *Service) handleSilenceCheck() {
	if s.config.Direct && !s.informed() {
		s.updateRole()
	}
}

// stopFollowing removes a peer from the confirmed upstreams.
func (s *Service) stopFollowing(p peer) {
	if _, known := s.planner.following.confirmed[p]; known {
		delete(s.planner.following.confirmed, p)
		s.log.Info("peer is not followed any longer", "peer", p.name())
	}
}

// platformRevision returns the revision of the platform up to which this node knows all
// changes, or 0. It is safe for concurrent use.
func (s *Service) platformRevision() model.Revision {
	known := model.Revision(s.known.Load())
	if s.source != nil {
		known = max(known, s.source.Revision())
	}
	return known
}
