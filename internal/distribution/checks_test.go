package distribution

import (
	"fmt"
	"slices"

	"github.com/cockroachdb/datadriven"

	"github.com/galenalever/galenalever/internal/model"
)

// announcements runs the mesh for the duration of the argument "during" and reports
// whether the nodes sent fewer announcements in total than there are nodes.
func (s *script) announcements(d *datadriven.TestData) string {
	s.mesh.announced.Store(0)
	s.mesh.advance(duration(s.t, d, "during"))
	s.t.Logf("%s: %d announcements", d.Pos, s.mesh.announced.Load())
	return fmt.Sprintf("fewer announcements than nodes: %t", s.mesh.announced.Load() < int64(len(s.mesh.nodes)))
}

// waitUntilNone waits until the number of nodes that do not fulfil a condition is 0, at
// most for the duration of the argument "within", and reports how many are left. The
// function count returns that number; condition is its name in the log.
func (s *script) waitUntilNone(d *datadriven.TestData, condition string, count func() int) string {
	limit := duration(s.t, d, "within")
	begin := s.mesh.clock.Now()
	for count() > 0 && s.mesh.clock.Now().Sub(begin) < limit {
		s.mesh.advance(step)
	}
	remaining := count()
	s.t.Logf("%s: %s after %s, %d left", d.Pos, condition, s.mesh.clock.Now().Sub(begin), remaining)
	if remaining > 0 {
		return fmt.Sprintf("%d nodes left", remaining)
	}
	return "all nodes"
}

// converged waits until every node runs the newest revision of all documents.
func (s *script) converged(d *datadriven.TestData) string {
	return s.waitUntilNone(d, "converged", s.mesh.countLagging)
}

// present waits until every node considers the instance present.
func (s *script) present(d *datadriven.TestData) string {
	var id string
	d.ScanArgs(s.t, "instance", &id)
	return s.waitUntilNone(d, "present", func() int {
		return s.mesh.countNodes(func(n *node) bool {
			known, _ := n.membership.View().Load().Get(model.InstanceID(id))
			return !known.Present()
		})
	})
}

// absent waits until every node knows the instance and considers it absent.
func (s *script) absent(d *datadriven.TestData) string {
	var id string
	d.ScanArgs(s.t, "instance", &id)
	return s.waitUntilNone(d, "absent", func() int {
		return s.mesh.countNodes(func(n *node) bool {
			known, ok := n.membership.View().Load().Get(model.InstanceID(id))
			return !ok || known.Present()
		})
	})
}

// check reports the reversions to older versions, and whether the platform received more
// calls in a second than its limit. It resets the counts of calls and bytes.
func (s *script) check(d *datadriven.TestData) string {
	s.mesh.mu.Lock()
	defer s.mesh.mu.Unlock()
	p := s.mesh.platform
	var byteCounts []uint64
	for _, count := range s.mesh.bytesPerNode {
		byteCounts = append(byteCounts, count)
	}
	slices.Sort(byteCounts)
	s.t.Logf("%s: highest platform rate %d/s, refused %d; control bytes per node: median %d, highest %d",
		d.Pos, p.highestRate, p.refusedCalls, byteCounts[len(byteCounts)/2], byteCounts[len(byteCounts)-1])
	out := fmt.Sprintf("reverted: %d\n", len(s.mesh.reversions))
	for _, reversion := range s.mesh.reversions {
		out += reversion + "\n"
	}
	over := p.highestRate > p.limit
	p.highestRate, p.refusedCalls = 0, 0
	clear(s.mesh.bytesPerNode)
	return out + fmt.Sprintf("platform over its limit: %t", over)
}
