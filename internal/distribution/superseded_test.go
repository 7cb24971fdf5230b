package distribution

import (
	"github.com/cockroachdb/datadriven"

	"github.com/galenalever/galenalever/internal/decision/replicate"
	"github.com/galenalever/galenalever/internal/model"
)

// supersede publishes a good version of the first team's document and, after the time of
// the argument "after", an invalid one.
func (s *script) supersede(d *datadriven.TestData) {
	s.publishTeam(0)
	s.mesh.advance(duration(s.t, d, "after"))
	s.mesh.publish(model.TeamKey(model.TeamName(teamName(0))), "team: [")
}

// agreed waits until all nodes know the newest revision and run the same versions as
// the most advanced node.
func (s *script) agreed(d *datadriven.TestData) string {
	return s.waitUntilNone(d, "agreed", func() int {
		best := s.mesh.mostAdvanced()
		return s.mesh.countNodes(func(n *node) bool {
			c := n.config.Configuration().Load()
			return c.Cut.Revision != s.mesh.platform.revision || replicate.RunningDigest(c) != replicate.RunningDigest(best)
		})
	})
}

// mostAdvanced returns the configuration of the node that runs the newest
// version of the first team's document.
func (m *mesh) mostAdvanced() *model.Configuration {
	key := model.TeamKey(model.TeamName(teamName(0)))
	var best *model.Configuration
	for _, n := range m.nodes {
		c := n.config.Configuration().Load()
		if !n.alive() || c.Running[key] == nil {
			continue
		}
		if best == nil || c.Running[key].Revision > best.Running[key].Revision {
			best = c
		}
	}
	return best
}
