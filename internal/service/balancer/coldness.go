package balancer

import (
	"slices"
	"sync/atomic"
	"time"

	"github.com/galenalever/galenalever/internal/control"
	"github.com/galenalever/galenalever/internal/decision/members"
	"github.com/galenalever/galenalever/internal/decision/route"
	"github.com/galenalever/galenalever/internal/model"
)

// coldness holds until when one instance is cold, as the platform lists it. It is not a part of
// the instance's endpoint, since a listing that only states less time left must not
// replace the statistics.
type coldness struct {
	// listedAt is the revision of the last listing; used on the control loop only.
	listedAt model.Revision
	period   atomic.Pointer[coldPeriod] // nil if the instance is warm
}

// coldPeriod is the rest of a warm-up, left at the time since, which counts from the start
// of the service.
type coldPeriod struct{ since, left time.Duration }

// cold reports whether the instance is cold, given how long its service's servers need for the
// warm-up at most.
func (c *coldness) cold(longest, now time.Duration) bool {
	p := c.period.Load()
	return p != nil && now < p.since+min(p.left, longest)
}

// leftAt returns how much longer the listing states that the instance is cold.
func (c *coldness) leftAt(now time.Duration) time.Duration {
	if p := c.period.Load(); p != nil {
		return max(p.since+p.left-now, 0)
	}
	return 0
}

// handleMembersChanged takes in the listed warm-ups. A record that changed for another
// reason is no new statement, since it grows old.
func (s *Service) handleMembersChanged(m control.MembersChanged) {
	for _, changed := range m.Changed {
		if members.Departed(changed) {
			s.coldnesses.Delete(changed.ID)
			continue
		}
		known, ok := s.coldnesses.Load(changed.ID)
		if !ok && changed.WarmupLeft <= 0 {
			continue
		}
		if !ok {
			known, _ = s.coldnesses.LoadOrStore(changed.ID, &coldness{})
		}
		c := known.(*coldness)
		if changed.ListedAt <= c.listedAt {
			continue
		}
		c.listedAt = changed.ListedAt
		if changed.WarmupLeft <= 0 {
			c.period.Store(nil)
			continue
		}
		c.period.Store(&coldPeriod{since: s.now(), left: changed.WarmupLeft})
	}
}

// coldnessOf returns the coldness of an instance. Without keep, a new one is not stored.
func (s *Service) coldnessOf(id model.InstanceID, keep bool) *coldness {
	if c, ok := s.coldnesses.Load(id); ok {
		return c.(*coldness)
	}
	if !keep {
		return &coldness{}
	}
	c, _ := s.coldnesses.LoadOrStore(id, &coldness{})
	return c.(*coldness)
}

// coldRatePerSlot returns the rate that a cold server accepts, divided by its slots, and 0
// for a warm one.
func (p *pool) coldRatePerSlot(s *server, now time.Duration) float64 {
	if !p.warmup.Declared() || !s.coldness.cold(p.warmup.Warmup, now) {
		return 0
	}
	slots := s.endpoint.Slots
	if slots == 0 {
		slots = p.service.Slots
	}
	return float64(p.warmup.PerSecond()) / float64(max(slots, 1))
}

// AnyCold reports whether a server of the destination is cold, as the platform lists it.
func (s *Service) AnyCold(d *route.Destination) bool {
	limits, now := s.config.Warmup.Limits(d.Service), s.now()
	return limits.Declared() && slices.ContainsFunc(d.Endpoints, func(e *route.Endpoint) bool {
		known, ok := s.coldnesses.Load(e.ID.Instance)
		return ok && known.(*coldness).cold(limits.Warmup, now)
	})
}

// slowStart returns the length of the slow start. Where servers need a warm-up, the
// time that they need is known, and a warm one gets its full share at once.
func (p *pool) slowStart() time.Duration {
	if p.warmup.Declared() {
		return 0
	}
	return p.service.SlowStart
}
