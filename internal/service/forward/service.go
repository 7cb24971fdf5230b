// Package forward is the service that carries out a routed request: it sends it
// to the gate beside a chosen server, tries again where that is safe, and
// returns the answer. It knows exactly whether a byte of a failed attempt may
// have been written.
package forward

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/galenalever/galenalever/internal/clock"
	"github.com/galenalever/galenalever/internal/control"
	"github.com/galenalever/galenalever/internal/decision/balance"
	"github.com/galenalever/galenalever/internal/decision/retry"
	"github.com/galenalever/galenalever/internal/decision/route"
	"github.com/galenalever/galenalever/internal/kernel"
	"github.com/galenalever/galenalever/internal/model"
	"github.com/galenalever/galenalever/internal/timeline"
)

// chooser is the part of the balancer service that forward uses. Every Pick,
// PickOwner and Begin is followed by one Done.
type chooser interface {
	Pick(d *route.Destination, class model.Class, objective time.Duration, tried []*route.Endpoint) (*route.Endpoint, time.Duration)
	PickOwner(d *route.Destination, class model.Class, key string, tried []*route.Endpoint) *route.Endpoint
	Begin(e *route.Endpoint, class model.Class)
	Done(e *route.Endpoint, class model.Class, r balance.Report)
}

// Config is what the service needs to know.
type Config struct {
	// Origin is the service of this node's instance.
	Origin model.ServiceName
	// Limits bound the retries over all nodes; with a zero Window only the
	// budgets of the routes do.
	Limits retry.Limits
	// Sender is a random number of this process, at most 32 bits, by which gates
	// tell how long its requests were under way; 0 tells them nothing.
	Sender uint64
	// Time stamps forwarded requests; nil sends no time.
	Time *timeline.Clock
	// Random supplies random numbers to concurrent requests; nil means the
	// process-wide generator.
	Random retry.Source
}

// meshSize is the part of the membership service that forward uses.
type meshSize interface {
	// Present returns the number of instances that take requests.
	Present() int
}

// Service forwards requests. It is safe for concurrent use.
type Service struct {
	config     Config
	clock      clock.Clock
	log        *slog.Logger
	start      time.Time
	chooser    chooser
	transports *transports
	budgets    budgets
	shares     sync.Map // model.ServiceName -> *retry.Share
	mesh       meshSize // nil if the node has no membership
	background sync.WaitGroup
}

// New returns the service.
func New(config Config) *Service {
	if config.Random == nil {
		config.Random = processRandom{}
	}
	return &Service{config: config, transports: newTransports()}
}

type processRandom struct{}

func (processRandom) Uint64() uint64 { return rand.Uint64() }

// Name implements kernel.Service.
func (*Service) Name() string { return control.Forward }

// Provision implements kernel.Provisioner.
func (s *Service) Provision(c *kernel.Context) error {
	partner, err := kernel.Find[chooser](c, control.Balancer)
	if err != nil {
		return err
	}
	s.chooser = partner
	if mesh, err := kernel.Find[meshSize](c, control.Membership); err == nil {
		s.mesh = mesh
	}
	s.clock, s.log = c.Clock, c.Log
	s.start = c.Clock.Now()
	return nil
}

// Stop implements kernel.Stopper. It waits for the losers of hedges and closes
// unused connections; requests have ended with the service that took them.
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
