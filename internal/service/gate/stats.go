package gate

import (
	"maps"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/galenalever/galenalever/internal/decision/quarantine"
	"github.com/galenalever/galenalever/internal/hop"
	"github.com/galenalever/galenalever/internal/model"
)

// counters counts the outcomes of requests for metrics and the status page. It is
// safe for concurrent use.
type counters struct {
	scope    tally.Scope
	answered tally.Counter
	replayed tally.Counter
	inFlight tally.Gauge
	queued   tally.Gauge

	mu     sync.Mutex
	totals totals
	// refused holds the metrics of the reasons that have occurred.
	refused map[model.Reason]tally.Counter
}

// totals are counts since the start of the process.
type totals struct {
	answered, replayed uint64
	refused            map[model.Reason]uint64
}

func newCounters(scope tally.Scope) *counters {
	return &counters{
		scope:    scope,
		answered: scope.Counter("gate_answered"),
		replayed: scope.Counter("gate_replayed"),
		inFlight: scope.Gauge("gate_in_flight"),
		queued:   scope.Gauge("gate_queued"),
		totals:   totals{refused: make(map[model.Reason]uint64)},
		refused:  make(map[model.Reason]tally.Counter),
	}
}

// observe updates the gauges of the occupancy.
func (c *counters) observe(l hop.Load) {
	c.inFlight.Update(float64(l.InFlight))
	c.queued.Update(float64(l.Queued))
}

func (c *counters) countAnswered() {
	c.answered.Inc(1)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.totals.answered++
}

func (c *counters) countReplayed() {
	c.replayed.Inc(1)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.totals.replayed++
}

func (c *counters) countRefused(reason model.Reason) {
	c.mu.Lock()
	defer c.mu.Unlock()
	counter, ok := c.refused[reason]
	if !ok {
		counter = c.scope.Tagged(map[string]string{"reason": string(reason)}).Counter("gate_refused")
		c.refused[reason] = counter
	}
	counter.Inc(1)
	c.totals.refused[reason]++
}

func (c *counters) snapshot() totals {
	c.mu.Lock()
	defer c.mu.Unlock()
	t := c.totals
	t.refused = maps.Clone(t.refused)
	return t
}

// Stats is the state of a gate on the status page.
type Stats struct {
	// Answered counts responses of the server, Replayed stored answers to repeats,
	// and Refused all other outcomes by reason.
	Answered uint64                  `json:"answered"`
	Replayed uint64                  `json:"replayed"`
	Refused  map[model.Reason]uint64 `json:"refused,omitempty"`
	// InFlight, Queued and Slots are the current occupancy.
	InFlight int `json:"in_flight"`
	Queued   int `json:"queued"`
	Slots    int `json:"slots"`
	// AdmissionLevels are the shares, in percent by priority, of the requests without a
	// free slot that may be queued.
	AdmissionLevels []int `json:"admission_levels"`
	// Remembered counts the requests whose repeats are recognised.
	Remembered int `json:"remembered"`
	// RecordsKnown means that requests with idempotency keys may run on this
	// instance.
	RecordsKnown bool      `json:"records_known"`
	Leaving      bool      `json:"leaving"`
	Suspects     []Suspect `json:"suspects,omitempty"`
	// Transfers are those of the bodies of calls over the node's link.
	Transfers TransferStats `json:"transfers"`
	// Evacuated means that the failure domain is evacuated.
	Evacuated bool `json:"evacuated,omitempty"`
	// Warmup is nil if the service declares no warm-up.
	Warmup *WarmupStats `json:"warmup,omitempty"`
}

// Suspect is a request that was running when a server crashed.
type Suspect struct {
	Fingerprint string `json:"fingerprint"`
	// Crashed lists the servers whose crash is attributed to it.
	Crashed     []model.InstanceID `json:"crashed,omitempty"`
	Quarantined bool               `json:"quarantined"`
	// Cleared means that it has since run without a crash.
	Cleared bool `json:"cleared,omitempty"`
	// ExpiresIn is the time until the record expires.
	ExpiresIn time.Duration `json:"expires_in_ns"`
}

// Stats returns the current state. It is safe for concurrent use.
func (s *Service) Stats() Stats {
	t := s.counters.snapshot()
	load, now := s.load(), s.clock.Now()
	s.mu.Lock()
	remembered, warmup := s.memory.Len(), s.warmupStats(now)
	s.mu.Unlock()
	return Stats{
		Answered: t.answered, Replayed: t.replayed, Refused: t.refused,
		InFlight: load.InFlight, Queued: load.Queued, Slots: load.Slots,
		AdmissionLevels: s.admissionLevels(),

		Remembered:   remembered,
		RecordsKnown: s.recordsKnown.Load(),
		Leaving:      s.leaving.Load(),
		Evacuated:    s.evacuation.active.Load(),
		Suspects:     listSuspects(s.deps.suspects.Suspects().Load(), now),
		Transfers:    s.transfers.stats(),
		Warmup:       warmup,
	}
}

func listSuspects(table quarantine.Table, now time.Time) []Suspect {
	var out []Suspect
	for _, s := range table.Suspects(now) {
		out = append(out, Suspect{
			Fingerprint: s.Fingerprint.String(),
			Crashed:     s.Crashed(),
			Quarantined: s.Quarantined(),
			Cleared:     len(s.Crashed()) == 0,
			ExpiresIn:   s.Expires.Sub(now),
		})
	}
	return out
}
