// Package platform simulates the platform's configuration service and its list of
// instances. Nodes read and watch it, and operators publish through an admin API.
// It counts every call of a node against a limit, and can simulate outages and
// stale responses.
package platform

import (
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/galenalever/galenalever/internal/clock"
)

// MaxValueBytes is the maximum size of a value.
const MaxValueBytes = 1 << 20

// DefaultLimit is the default number of calls that the platform serves in one
// second.
const DefaultLimit = 2000

// ErrTooLarge is returned for a value larger than MaxValueBytes.
var ErrTooLarge = eris.New("value is larger than 1 MiB")

// The states of a listed instance.
const (
	StateLive    = "live"
	StateLeaving = "leaving"
	StateRemoved = "removed"
)

// Instance is one entry of the list of instances.
type Instance struct {
	ID      string `json:"id"`
	Service string `json:"service"`
	Domain  string `json:"domain"`
	// Traffic, Control and Operator are the addresses (host:port) of the node.
	Traffic  string `json:"traffic"`
	Control  string `json:"control"`
	Operator string `json:"operator"`
	// State is StateLive if it is empty when the instance is published.
	State string `json:"state"`
	// WarmupLeftMS is how many milliseconds the instance's server stays cold.
	WarmupLeftMS int64 `json:"warmup_left_ms,omitempty"`
	// Revision is set in responses.
	Revision uint64 `json:"revision"`
}

// Outage selects how the platform fails the calls of nodes.
type Outage string

// The kinds of outage.
const (
	OutageNone   Outage = ""
	OutageError  Outage = "error"  // every call gets status 503
	OutageClosed Outage = "closed" // every connection is closed without a response
	OutageSilent Outage = "silent" // no call gets a response
)

// Mode is the present behaviour of the platform.
type Mode struct {
	Outage Outage `json:"outage"`
	// Stale makes the platform serve the state that was current when Stale was
	// switched on.
	Stale bool `json:"stale"`
	// InstanceLag delays each change of the list of instances.
	InstanceLag time.Duration `json:"instance_lag_ns"`
}

// Config is the settings of the platform. Zero values select defaults.
type Config struct {
	// Limit is the number of calls served in one second.
	Limit int
	Clock clock.Clock
}

// Platform is a simulated platform. Its values and its instances have separate
// revisions. It is safe for concurrent use.
type Platform struct {
	clock clock.Clock

	mu        sync.Mutex
	values    history[[]byte]
	instances history[Instance]
	mode      Mode
	// staleValuesRevision and staleInstancesRevision are the revisions served while
	// mode.Stale is set.
	staleValuesRevision, staleInstancesRevision uint64
	// changed is closed and replaced at each change of values, instances or mode.
	changed chan struct{}
	limiter limiter
}

// New returns an empty platform.
func New(c Config) *Platform {
	if c.Limit == 0 {
		c.Limit = DefaultLimit
	}
	if c.Clock == nil {
		c.Clock = clock.System{}
	}
	return &Platform{
		clock:     c.Clock,
		values:    newHistory[[]byte](),
		instances: newHistory[Instance](),
		changed:   make(chan struct{}),
		limiter:   limiter{limit: c.Limit},
	}
}

// Put publishes a value and returns its revision, or ErrTooLarge.
func (p *Platform) Put(key string, value []byte) (uint64, error) {
	if len(value) > MaxValueBytes {
		return 0, ErrTooLarge
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	defer p.notify()
	return p.values.put(key, value, false), nil
}

// Delete removes a value and returns the revision of the removal.
func (p *Platform) Delete(key string) uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	defer p.notify()
	return p.values.put(key, nil, true)
}

// PutInstance adds or replaces an instance. The change becomes visible after
// Mode.InstanceLag.
func (p *Platform) PutInstance(i Instance) {
	if i.State == "" {
		i.State = StateLive
	}
	p.applyAfterLag(func() { p.instances.put(i.ID, i, false) })
}

// RemoveInstance marks an instance as removed. The change becomes visible after
// Mode.InstanceLag.
func (p *Platform) RemoveInstance(id string) {
	p.applyAfterLag(func() {
		last, _ := p.instances.at(id, p.instances.revision)
		last.value.ID = id
		last.value.State = StateRemoved
		p.instances.put(id, last.value, true)
	})
}

func (p *Platform) applyAfterLag(apply func()) {
	applyLocked := func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		defer p.notify()
		apply()
	}
	if lag := p.Mode().InstanceLag; lag > 0 {
		p.clock.AfterFunc(lag, applyLocked)
		return
	}
	applyLocked()
}

// Mode returns the present behaviour.
func (p *Platform) Mode() Mode {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode
}

// SetMode changes the behaviour. Waiting watches check it at once.
func (p *Platform) SetMode(m Mode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	defer p.notify()
	if m.Stale && !p.mode.Stale {
		p.staleValuesRevision, p.staleInstancesRevision = p.values.revision, p.instances.revision
	}
	p.mode = m
}

// SetStaleAt makes the platform serve the values that were current at a revision
// and the instances that are current now, until SetMode switches Stale off.
func (p *Platform) SetStaleAt(revision uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	defer p.notify()
	p.mode.Stale = true
	p.staleValuesRevision, p.staleInstancesRevision = revision, p.instances.revision
}

// Revision returns the revision of the newest value.
func (p *Platform) Revision() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.values.revision
}

// Counters returns the counts of the calls so far.
func (p *Platform) Counters() Counters {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.limiter.counters
}

// notify wakes the waiting watches. The lock must be held.
func (p *Platform) notify() {
	close(p.changed)
	p.changed = make(chan struct{})
}
