// Package timeline records the events of a process. Hybrid logical timestamps,
// which are sent with every message, order the events of all processes.
package timeline

import (
	"sync"

	"github.com/galenalever/galenalever/internal/clock"
)

// Timestamp is a hybrid logical time: milliseconds since the Unix epoch in the
// upper 48 bits, a logical counter in the lower 16. It orders causally related
// events of several processes even when their physical clocks disagree.
type Timestamp uint64

const counterBits = 16

// Milliseconds returns the physical part, in milliseconds since the Unix epoch.
func (t Timestamp) Milliseconds() int64 { return int64(t >> counterBits) }

// Counter returns the logical part.
func (t Timestamp) Counter() uint16 { return uint16(t) }

// Clock issues hybrid logical timestamps. It is safe for concurrent use.
type Clock struct {
	physical clock.Clock
	mu       sync.Mutex
	last     Timestamp
}

// NewClock returns a hybrid logical clock on top of a physical one.
func NewClock(physical clock.Clock) *Clock { return &Clock{physical: physical} }

// Now returns a timestamp greater than every one issued or observed before.
func (c *Clock) Now() Timestamp {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.last = max(c.last+1, c.physicalNow())
	return c.last
}

// maxDrift bounds how far a peer's timestamp may be ahead of the local clock, 60
// seconds. A greater one is ignored, so that one wrong clock does not advance the
// clocks of all nodes.
const maxDrift Timestamp = 60_000 << counterBits

// Observe advances the clock to a peer's timestamp if that is later and within
// maxDrift.
func (c *Clock) Observe(t Timestamp) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if t <= c.physicalNow()+maxDrift {
		c.last = max(c.last, t)
	}
}

func (c *Clock) physicalNow() Timestamp {
	return Timestamp(c.physical.Now().UnixMilli()) << counterBits
}

// Kind names a type of event.
type Kind string

// The kinds of events.
const (
	KindProcessStarted       Kind = "process-started"
	KindProcessStopped       Kind = "process-stopped"
	KindConfigurationApplied Kind = "configuration-applied"
	KindSubtreeHeld          Kind = "subtree-held"
	KindEvacuationStarted    Kind = "evacuation-started"
	KindEvacuationEnded      Kind = "evacuation-ended"
	KindMemberChanged        Kind = "member-changed"
	KindPresenceChanged      Kind = "presence-changed"
	KindSourceStarted        Kind = "source-reading-started"
	KindSourceStopped        Kind = "source-reading-stopped"
	KindSourceFailed         Kind = "source-failed"
	KindSourceRegained       Kind = "source-regained"
	KindPlatformReturned     Kind = "platform-returned" // from an older copy of its state
	KindUpstreamChanged      Kind = "upstream-changed"
	KindUpstreamFailed       Kind = "upstream-failed"
	KindSynchronised         Kind = "synchronised"
	KindPaused               Kind = "paused"
	KindServerCrashed        Kind = "server-crashed"
	KindServerHealthy        Kind = "server-healthy"
	KindServerUnhealthy      Kind = "server-unhealthy"
	KindRequestSuspected     Kind = "request-suspected"
	KindRequestQuarantined   Kind = "request-quarantined"
	KindQuarantineEnded      Kind = "quarantine-ended"
	KindServerCold           Kind = "server-cold"
	KindServerWarm           Kind = "server-warm"
	KindServerEjected        Kind = "server-ejected"
	KindServerRestored       Kind = "server-restored"
	KindOverload             Kind = "overload"
	KindCallsFail            Kind = "calls-fail"
	KindCallsRegained        Kind = "calls-regained"
	KindDrainStarted         Kind = "drain-started"
	KindDrainFinished        Kind = "drain-finished"
)

// Event is one entry of a process's timeline.
type Event struct {
	Time Timestamp `json:"time"`
	// Node is the instance ID of the recording process.
	Node string `json:"node"`
	Kind Kind   `json:"kind"`
	// Detail is a short human-readable text.
	Detail string `json:"detail,omitempty"`
}

// Ring keeps the newest events of a process. It is safe for concurrent use.
type Ring struct {
	clock    *Clock
	node     string
	mu       sync.Mutex
	events   []Event
	next     int
	capacity int
}

// NewRing returns a ring for up to capacity events of node.
func NewRing(c *Clock, node string, capacity int) *Ring {
	return &Ring{clock: c, node: node, capacity: capacity}
}

// Record adds an event with the current time. If the ring is full, it replaces
// the oldest event.
func (r *Ring) Record(kind Kind, detail string) {
	event := Event{Time: r.clock.Now(), Node: r.node, Kind: kind, Detail: detail}
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.events) < r.capacity {
		r.events = append(r.events, event)
		return
	}
	r.events[r.next] = event
	r.next = (r.next + 1) % r.capacity
}

// After returns the events later than t, oldest first.
func (r *Ring) After(t Timestamp) []Event {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []Event
	for i := range r.events {
		event := r.events[(r.next+i)%len(r.events)]
		if event.Time > t {
			out = append(out, event)
		}
	}
	return out
}
