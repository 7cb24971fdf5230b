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
	// mostUrgent is the most urgent claim of the recent requests, last seen at
	// mostUrgentAt.
	mostUrgent   Claim
	mostUrgentAt time.Duration
}

// Claim is what ranks a request for the tokens of a budget.
type Claim struct {
	// Priority ranks the request; 0 is the most urgent.
	Priority int
	// FinalAttempt is true if the caller has no time left to retry when refused. It
	// ranks requests of equal priority.
	FinalAttempt bool
}

// before reports whether c is more urgent than other.
func (c Claim) before(other Claim) bool {
	if c.Priority != other.Priority {
		return c.Priority < other.Priority
	}
	return c.FinalAttempt && !other.FinalAttempt
}

// urgentWindow is the time after which a claim no longer reserves tokens, if no request
// as urgent has followed.
const urgentWindow = time.Second

// NewServiceBudget returns a budget that is full at its first use.
func NewServiceBudget(limits Limits) *ServiceBudget { return &ServiceBudget{limits: limits} }

// Deposit counts one request for the service. now counts from any fixed start; nodes
// is the number of nodes that share the slack, and 0 counts as 1.
func (b *ServiceBudget) Deposit(now time.Duration, nodes int, claim Claim) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now, nodes)
	if now-b.mostUrgentAt > urgentWindow || !b.mostUrgent.before(claim) {
		b.mostUrgent, b.mostUrgentAt = claim, now
	}
	b.tokens = min(b.tokens+b.limits.Ratio*ratioShare, b.capacity(nodes))
}

// reservedShare is the share of a full budget that is reserved for the most urgent
// requests.
const reservedShare = 0.5

// Withdraw takes a token for one more arrival and reports whether there was one. Less
// urgent requests than the most urgent recent ones leave the reserved tokens, and at least
// one.
func (b *ServiceBudget) Withdraw(now time.Duration, nodes int, claim Claim) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now, nodes)
	least := 1.0
	if now-b.mostUrgentAt <= urgentWindow && b.mostUrgent.before(claim) {
		capacity := b.capacity(nodes)
		least = min(max(capacity*reservedShare, 2), capacity)
	}
	if b.tokens < least {
		return false
	}
	b.tokens--
	return true
}

// WithdrawUnreserved takes a token for an arrival that a request can do without, and reports
// whether there was one. It leaves the reserved tokens, however urgent the request is. A full
// budget of less than two tokens, as in meshes of more than 50 nodes, has none to spare; there
// it takes a token only while the budget is full, which it is again after a few requests.
func (b *ServiceBudget) WithdrawUnreserved(now time.Duration, nodes int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now, nodes)
	capacity := b.capacity(nodes)
	if b.tokens < min(capacity*reservedShare+1, capacity) {
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
