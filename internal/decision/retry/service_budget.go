package retry

import (
	"sync"
	"time"
)

// Limits bound the arrivals at one service's servers beyond the first of each
// request, summed over all nodes of the mesh.
type Limits struct {
	// Ratio is the share of the requests for the service.
	Ratio float64
	// Slack is the number of arrivals that are allowed in each window beyond Ratio.
	Slack float64
	// Window is the time in which arrivals and requests are counted.
	Window time.Duration
}

const (
	// ratioShare is the share of the ratio that a node spends. The rest covers the
	// calls that retried requests make, which look like first calls.
	ratioShare = 0.8
	// burstShare is the share of a node's slack that it may spend at once; the
	// rest is refilled over one window.
	burstShare = 0.7
)

// ServiceBudget is a token bucket with one node's part of the limits of one
// service. It is safe for concurrent use.
type ServiceBudget struct {
	limits Limits

	mu       sync.Mutex
	tokens   float64
	refilled time.Duration
	started  bool
}

// NewServiceBudget returns a budget that is full at its first use.
func NewServiceBudget(limits Limits) *ServiceBudget { return &ServiceBudget{limits: limits} }

// Deposit counts one request for the service. now counts from any fixed start; nodes
// is the number of nodes that share the slack, and 0 counts as 1.
func (b *ServiceBudget) Deposit(now time.Duration, nodes int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now, nodes)
	b.tokens = min(b.tokens+b.limits.Ratio*ratioShare, b.capacity(nodes))
}

// reservedShare is the share of a full budget that is reserved for requests whose
// callers cannot retry; other callers, once refused, retry with a new request.
const reservedShare = 0.5

// Withdraw takes a token for one more arrival and reports whether there was one.
// The reserved tokens are only for a final attempt, a request whose caller cannot
// retry.
func (b *ServiceBudget) Withdraw(now time.Duration, nodes int, finalAttempt bool) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now, nodes)
	least := 1.0
	if !finalAttempt {
		least = max(least, b.capacity(nodes)*reservedShare)
	}
	if b.tokens < least {
		return false
	}
	b.tokens--
	return true
}

func (b *ServiceBudget) capacity(nodes int) float64 {
	return max(b.limits.Slack/float64(max(nodes, 1))*burstShare, 1)
}

func (b *ServiceBudget) refill(now time.Duration, nodes int) {
	capacity := b.capacity(nodes)
	if !b.started {
		b.started, b.tokens = true, capacity
	}
	rate := b.limits.Slack / float64(max(nodes, 1)) * (1 - burstShare) / b.limits.Window.Seconds()
	b.tokens = min(b.tokens+rate*(now-b.refilled).Seconds(), capacity)
	b.refilled = now
}
