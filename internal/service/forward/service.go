// Package forward is the service that executes a routed request: it sends it to the
// gate of a chosen server, retries it where that is safe, and returns the response. To
// decide whether a retry is safe, it determines whether any byte of a failed attempt may
// have been written.
package forward

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/galenalever/galenalever/internal/clock"
	"github.com/galenalever/galenalever/internal/control"
	"github.com/galenalever/galenalever/internal/decision/balance"
	"github.com/galenalever/galenalever/internal/decision/retry"
	"github.com/galenalever/galenalever/internal/decision/route"
	"github.com/galenalever/galenalever/internal/frontend"
	"github.com/galenalever/galenalever/internal/kernel"
	"github.com/galenalever/galenalever/internal/model"
	"github.com/galenalever/galenalever/internal/timeline"
)

// balancer is the part of the balancer service that forward uses. Every Pick,
// PickOwner and Begin is followed by one Done.
type balancer interface {
	Pick(d *route.Destination, class model.Class, kind string, objective time.Duration, tried []*route.Endpoint) (*route.Endpoint, time.Duration)
	PickOwner(d *route.Destination, class model.Class, key string, tried []*route.Endpoint) *route.Endpoint
	ChooseSecond(d *route.Destination, class model.Class, kind string, first *route.Endpoint, tried []*route.Endpoint, q balance.Second) *route.Endpoint
	Begin(e *route.Endpoint, class model.Class)
	Done(e *route.Endpoint, class model.Class, r balance.Report)
}

// Config configures the service.
type Config struct {
	// Origin is the service of this node's instance. It is sent with every request.
	Origin model.ServiceName
	// Headers is the header protocol of the backend servers; nil means frontend.Native.
	Headers frontend.Headers
	// Limits bound the retries over all nodes. If Window is zero, only the budgets
	// of the routes bound them.
	Limits retry.Limits
	// Sender is a random number of at most 32 bits that identifies this process to
	// gates, which estimate the transit times of its requests; 0 means none.
	Sender uint64
	// Time supplies the logical time that is sent with requests; nil sends none.
	Time *timeline.Clock
	// Random supplies random numbers and must be safe for concurrent use; nil means
	// the generator of math/rand/v2.
	Random retry.Source
	// NoThrottle sends requests to gates also while these refuse most of them, as a
	// baseline for experiments.
	NoThrottle bool
	// HedgePercent is the largest number of hedges for 100 requests of a service; 0 means
	// that only routes with a hedge delay of their own are hedged.
	HedgePercent int
}

// meshSize is the part of the membership service that forward uses.
type meshSize interface {
	// Present returns the number of instances that accept requests.
	Present() int
}

// The optional services that forward uses.
type (
	scopeSource interface {
		Scope() tally.Scope
	}
	statusPage interface {
		AddStatus(section string, snapshot func() any)
	}
)

// Service forwards requests. It is safe for concurrent use.
type Service struct {
	config         Config
	clock          clock.Clock
	log            *slog.Logger
	start          time.Time
	balancer       balancer
	transports     *transports
	budgets        budgets
	throttles      throttles
	hedging        *hedging // nil if HedgePercent is 0
	serviceBudgets sync.Map // model.ServiceName -> *retry.ServiceBudget
	mesh           meshSize // nil if the node has no membership
	explainers     explainers
	background     sync.WaitGroup
	// hedgesWithheld counts requests that were not hedged because the server of their
	// first attempt was lost; nil without metrics.
	hedgesWithheld tally.Counter
}

// New returns the service.
func New(config Config) *Service {
	if config.Random == nil {
		config.Random = globalRandom{}
	}
	if config.Headers == nil {
		config.Headers = frontend.Native{}
	}
	return &Service{config: config, transports: newTransports()}
}

type globalRandom struct{}

func (globalRandom) Uint64() uint64 { return rand.Uint64() }

// Name implements kernel.Service.
func (*Service) Name() string { return control.Forward }

// Provision implements kernel.Provisioner.
func (s *Service) Provision(c *kernel.Context) error {
	found, err := kernel.Find[balancer](c, control.Balancer)
	if err != nil {
		return err
	}
	s.balancer = found
	if mesh, err := kernel.Find[meshSize](c, control.Membership); err == nil {
		s.mesh = mesh
	}
	if metrics, err := kernel.Find[scopeSource](c, control.Metrics); err == nil {
		s.throttles.scope = metrics.Scope()
		s.hedgesWithheld = metrics.Scope().Counter("forward_hedges_withheld")
	}
	if page, err := kernel.Find[statusPage](c, control.Operator); err == nil {
		page.AddStatus(control.Forward, func() any { return s.ThrottleStatus() })
	}
	s.explainers = findExplainers(c)
	s.clock, s.log = c.Clock, c.Log
	s.start = c.Clock.Now()
	if s.config.HedgePercent > 0 {
		s.hedging = newHedging(s.config, c)
	}
	return nil
}

// Stop implements kernel.Stopper. It waits until cancelled hedge attempts have ended and
// closes idle connections. It need not wait for requests, since the ingress service has
// already done so.
func (s *Service) Stop(ctx context.Context) error {
	defer s.transports.closeIdle()
	done := make(chan struct{})
	go func() {
		defer close(done)
		s.background.Wait()
	}()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
