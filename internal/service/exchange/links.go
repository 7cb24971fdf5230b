package exchange

import (
	"time"

	"github.com/galenalever/galenalever/internal/decision/rank"
)

const (
	// linkTimeout is how long after the last poll that names it a node counts as one
	// whose link can carry the configuration, and how long after the last request of a
	// slow reader a node reads in its place.
	linkTimeout = 5 * time.Second
	// maxWideLinks is the largest number of addresses in a poll.
	maxWideLinks = 4
)

// links is what the polls of a node tell other nodes about links. It is immutable.
type links struct {
	// slowReader is true if this node is a reader whose link cannot carry the
	// configuration.
	slowReader bool
	// wide holds the control addresses of nodes whose links can.
	wide []string
}

func (f *following) isWide(now time.Time) func(address string) bool {
	return func(address string) bool {
		at, ok := f.wideLinks[address]
		return ok && now.Sub(at) < linkTimeout
	}
}

// newLinks returns what polls tell from now on. The same addresses are chosen on all
// nodes that know them.
func (f *following) newLinks(own string, carries, slowReader bool, now time.Time) *links {
	isWide := f.isWide(now)
	var wide []string
	for address := range f.wideLinks {
		if isWide(address) {
			wide = append(wide, address)
		} else {
			delete(f.wideLinks, address)
		}
	}
	if carries {
		wide = append(wide, own)
	}
	rank.SortAddresses(wide)
	return &links{slowReader: slowReader, wide: wide[:min(len(wide), maxWideLinks)]}
}

// readsForOthers reports whether this node reads in place of slow readers: one has asked
// for it, and the platform has not failed to respond to this node since a short time.
func (f *following) readsForOthers(now time.Time) bool {
	return now.Before(f.readFor) && now.Sub(f.failedAt) >= linkTimeout
}

// polled is the message that another node has polled this one in direct mode. Its
// fields are those of wire.PollRequest.
type polled struct {
	slowReader bool
	wide       []string
}

// MessageName implements kernel.Message.
func (polled) MessageName() string { return "polled" }

func (s *Service) handlePolled(m polled) {
	f, now := &s.planner.following, s.clock.Now()
	isWide, changed := f.isWide(now), false
	for _, address := range m.wide[:min(len(m.wide), maxWideLinks)] {
		if address != s.config.Self.Addresses.Control {
			changed = changed || !isWide(address)
			f.wideLinks[address] = now
		}
	}
	if m.slowReader {
		changed = changed || now.After(f.readFor)
		f.readFor = now.Add(linkTimeout)
	}
	if changed {
		s.scheduleReplan(replanDelay)
	}
	if !f.linkCheckScheduled {
		f.linkCheckScheduled = true
		s.loop.After(linkTimeout, linkCheck{})
	}
}

// linkCheck is the timer message that updates the role, since what polls told about
// links may have expired.
type linkCheck struct{}

// MessageName implements kernel.Message.
func (linkCheck) MessageName() string { return "link-check" }

// handleLinkCheck ends with the first check after the last poll.
func (s *Service) handleLinkCheck() {
	s.planner.following.linkCheckScheduled = false
	s.updateRole()
}
