// Package routing provides the service that derives the route table from the
// running configuration and the known members, on the control loop.
package routing

import (
	"github.com/galenalever/galenalever/internal/clock"
	"github.com/galenalever/galenalever/internal/control"
	"github.com/galenalever/galenalever/internal/decision/route"
	"github.com/galenalever/galenalever/internal/kernel"
	"github.com/galenalever/galenalever/internal/model"
)

// configSource is the part of the config service that this service uses.
type configSource interface {
	Configuration() *kernel.Snapshot[*model.Configuration]
}

// memberSource is the part of the membership service that this service uses, on the
// control loop only.
type memberSource interface {
	// ServiceMembers returns all known members of a service, which must not be
	// modified.
	ServiceMembers(name model.ServiceName) []model.Member
}

// Service maintains the route table and publishes it as a snapshot.
type Service struct {
	members memberSource
	clock   clock.Clock
	table   *kernel.Snapshot[*route.Table]
	// tree is the tree from which the current table was built; nil while there is no
	// table.
	tree *model.Tree
}

// New returns the service. Its table is nil until there is a configuration.
func New() *Service {
	return &Service{table: kernel.NewSnapshot[*route.Table](nil)}
}

// Name implements kernel.Service.
func (*Service) Name() string { return control.Routing }

// Table returns the snapshot of the route table. The table is nil until the
// node has a configuration.
func (s *Service) Table() *kernel.Snapshot[*route.Table] { return s.table }

// Provision implements kernel.Provisioner.
func (s *Service) Provision(c *kernel.Context) error {
	config, err := kernel.Find[configSource](c, control.Config)
	if err != nil {
		return err
	}
	s.members, err = kernel.Find[memberSource](c, control.Membership)
	if err != nil {
		return err
	}
	s.clock = c.Clock
	kernel.Subscribe(c.Loop, func(control.ConfigurationChanged) { s.applyConfiguration(config.Configuration().Load()) })
	kernel.Subscribe(c.Loop, s.applyMembers)
	return nil
}

// applyConfiguration publishes a table with the routes of the running tree, unless the
// tree is that of the current table.
func (s *Service) applyConfiguration(c *model.Configuration) {
	if c == nil || c.Tree == nil || c.Tree == s.tree {
		return
	}
	s.tree = c.Tree
	base := s.table.Load()
	if base == nil {
		base = route.Empty()
	}
	next := base.WithTree(c.Tree, s.members.ServiceMembers)
	next.Revision, next.AppliedAt = c.Cut.Revision, s.clock.Now()
	s.table.Store(next)
}

// applyMembers updates the endpoints of every service with a changed member. Without a
// table there is nothing to update: the first one contains all known members.
func (s *Service) applyMembers(m control.MembersChanged) {
	base := s.table.Load()
	if base == nil {
		return
	}
	next := base
	seen := make(map[model.ServiceName]bool, 1)
	for _, member := range m.Changed {
		if seen[member.Service] {
			continue
		}
		seen[member.Service] = true
		next = next.WithMembers(member.Service, s.members.ServiceMembers(member.Service))
	}
	if next != base {
		s.table.Store(next)
	}
}
