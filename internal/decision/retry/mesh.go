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
	// Slack is the number of arrivals that are allowed beyond Ratio.
	Slack float64
	// Window is the time in which arrivals and requests are counted.
	Window time.Duration
}

const (
	// ratioPart is the part of the ratio that a node spends; the rest covers
	// calls that repeated requests make and that nobody can tell from others.
	ratioPart = 0.8
	// burstPart is the part of a node's slack that it may spend at once; the
	// rest returns over one window.
	burstPart = 0.7
)

// ServiceBudget is one node's part of the limits of one service. It is safe for
// concurrent use.
type ServiceBudget struct {
	limits Limits

	mu       sync.Mutex
	tokens   float64
	refilled time.Duration
	started  bool
}

// NewServiceBudget returns a share that is full at its first use.
func NewServiceBudget(limits Limits) *ServiceBudget { return &ServiceBudget{limits: limits} }

// Deposit counts one request for the service. The time counts from any fixed
// start; nodes is the number of nodes that share the slack.
func (s *ServiceBudget) Deposit(now time.Duration, nodes int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refill(now, nodes)
	s.tokens = min(s.tokens+s.limits.Ratio*ratioPart, s.capacity(nodes))
}

// keptPart is the part of a full share that is kept for requests whose callers
// cannot come again; others, once refused, come as new requests.
const keptPart = 0.5

// Withdraw takes a token for one more arrival and reports whether there was one.
// The last tokens are for requests whose callers cannot come again.
func (s *ServiceBudget) Withdraw(now time.Duration, nodes int, lastChance bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refill(now, nodes)
	least := 1.0
	if !lastChance {
		least = max(least, s.capacity(nodes)*keptPart)
	}
	if s.tokens < least {
		return false
	}
	s.tokens--
	return true
}

func (s *ServiceBudget) capacity(nodes int) float64 {
	return max(s.limits.Slack/float64(max(nodes, 1))*burstPart, 1)
}

func (s *ServiceBudget) refill(now time.Duration, nodes int) {
	capacity := s.capacity(nodes)
	if !s.started {
		s.started, s.tokens = true, capacity
	}
	rate := s.limits.Slack / float64(max(nodes, 1)) * (1 - burstPart) / s.limits.Window.Seconds()
	s.tokens = min(s.tokens+rate*(now-s.refilled).Seconds(), capacity)
	s.refilled = now
}
