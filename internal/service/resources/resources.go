// Package resources is the service that owns the accounts of what the connections of
// callers, nodes and operators occupy. The services that listen find their account by
// name. It applies the operator's time limits to the connections of callers.
package resources

import (
	"context"
	"log/slog"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/galenalever/galenalever/internal/clock"
	"github.com/galenalever/galenalever/internal/control"
	"github.com/galenalever/galenalever/internal/decision/resources"
	"github.com/galenalever/galenalever/internal/kernel"
	"github.com/galenalever/galenalever/internal/model"
	"github.com/galenalever/galenalever/internal/occupancy"
)

// checkInterval is the time between two checks of the time limits and two reports.
const checkInterval = 500 * time.Millisecond

// The services that this service depends on.
type (
	configSource interface {
		Configuration() *kernel.Snapshot[*model.Configuration]
	}
	scopeSource interface {
		Scope() tally.Scope
	}
	statusPage interface {
		AddStatus(section string, f func() any)
	}
)

// Config configures the service.
type Config struct {
	// Shares are the limits by the name of the service that listens.
	Shares map[string]resources.Limits
}

// Service owns the accounts.
type Service struct {
	config        Config
	clock         clock.Clock
	log           *slog.Logger
	configuration *kernel.Snapshot[*model.Configuration] // nil without a config service
	accounts      map[string]*occupancy.Account
	reports       map[string]*report
	done          chan struct{}
	// tree is the one to which header and idle belong. They are used by check only.
	tree         *model.Tree
	header, idle time.Duration
}

// New returns the service.
func New(config Config) *Service {
	s := &Service{
		config: config, accounts: make(map[string]*occupancy.Account), reports: make(map[string]*report),
		done: make(chan struct{}),
	}
	for name, limits := range config.Shares {
		s.accounts[name] = occupancy.New(clock.System{}, limits) // connections have deadlines in system time, too
	}
	return s
}

// Name implements kernel.Service.
func (*Service) Name() string { return control.Resources }

// Account returns the account of the service that listens, or nil if it has none.
func (s *Service) Account(service string) *occupancy.Account { return s.accounts[service] }

// Provision implements kernel.Provisioner.
func (s *Service) Provision(c *kernel.Context) error {
	s.clock, s.log = c.Clock, c.Log
	if config, err := kernel.Find[configSource](c, control.Config); err == nil {
		s.configuration = config.Configuration()
	}
	metrics, err := kernel.Find[scopeSource](c, control.Metrics)
	if err != nil {
		return err
	}
	for name := range s.accounts {
		s.reports[name] = newReport(metrics.Scope().SubScope("resources").Tagged(map[string]string{"listener": name}))
	}
	if page, err := kernel.Find[statusPage](c, control.Operator); err == nil {
		page.AddStatus(control.Resources, func() any { return s.Stats() })
	}
	return nil
}

// Stats returns the figures of the accounts by service.
func (s *Service) Stats() map[string]occupancy.Stats {
	stats := make(map[string]occupancy.Stats, len(s.accounts))
	for name, account := range s.accounts {
		stats[name] = account.Stats()
	}
	return stats
}

// Start implements kernel.Starter.
func (s *Service) Start(ctx context.Context) error {
	go func() {
		defer close(s.done)
		for clock.Wait(ctx, s.clock, checkInterval) == nil {
			s.check()
		}
	}()
	return nil
}

// Stop implements kernel.Stopper. The checks end with the context of Start.
func (*Service) Stop(context.Context) error { return nil }

// check closes the connections of callers that exceed a time limit and reports the
// figures of all accounts.
func (s *Service) check() {
	if account := s.accounts[control.Ingress]; account != nil {
		header, idle := s.timeLimits()
		account.CloseExpired(header, idle)
	}
	for name, account := range s.accounts {
		s.reports[name].update(s.log, name, account.Stats())
	}
}

// timeLimits returns how long a header may arrive and a connection may be idle: the
// longest times that the routes of the running configuration allow, 0 without a limit.
func (s *Service) timeLimits() (header, idle time.Duration) {
	if s.configuration == nil {
		return 0, 0
	}
	c := s.configuration.Load()
	if c == nil || c.Tree == nil || c.Tree == s.tree {
		return s.header, s.idle
	}
	s.tree, s.header, s.idle = c.Tree, 0, 0
	for _, route := range c.Tree.Routes {
		s.header, s.idle = max(s.header, route.HeaderTimeout), max(s.idle, route.IdleTimeout)
	}
	return s.header, s.idle
}
