package distribution

import (
	"fmt"
	"slices"

	"github.com/cockroachdb/datadriven"

	"github.com/galenalever/galenalever/internal/model"
)

// announcements counts the announcements sent during a time.
func (s *script) announcements(d *datadriven.TestData) string {
	s.mesh.announced.Store(0)
	s.mesh.advance(duration(s.t, d, "during"))
	s.t.Logf("%s: %d announcements", d.Pos, s.mesh.announced.Load())
	return fmt.Sprintf("fewer than nodes: %t", s.mesh.announced.Load() < int64(len(s.mesh.nodes)))
}

// within waits until a count is 0 and reports the rest.
func (s *script) within(d *datadriven.TestData, what string, count func() int) string {
	limit := duration(s.t, d, "within")
	begin := s.mesh.clock.Now()
	for count() > 0 && s.mesh.clock.Now().Sub(begin) < limit {
		s.mesh.advance(step)
	}
	rest := count()
	s.t.Logf("%s: %s after %s, %d left", d.Pos, what, s.mesh.clock.Now().Sub(begin), rest)
	if rest > 0 {
		return fmt.Sprintf("%d nodes are not", rest)
	}
	return "all nodes"
}

func (s *script) converged(d *datadriven.TestData) string {
	return s.within(d, "converged", s.mesh.lagging)
}

// present waits until every node takes the instance for present.
func (s *script) present(d *datadriven.TestData) string {
	var id string
	d.ScanArgs(s.t, "instance", &id)
	return s.within(d, "present", func() int {
		return s.mesh.count(func(n *node) bool {
			known, _ := n.membership.View().Load().Get(model.InstanceID(id))
			return !known.Present()
		})
	})
}

// absent waits until no node takes the instance for present.
func (s *script) absent(d *datadriven.TestData) string {
	var id string
	d.ScanArgs(s.t, "instance", &id)
	return s.within(d, "absent", func() int {
		return s.mesh.count(func(n *node) bool {
			known, ok := n.membership.View().Load().Get(model.InstanceID(id))
			return !ok || known.Present()
		})
	})
}

func (s *script) check(d *datadriven.TestData) string {
	s.mesh.mu.Lock()
	defer s.mesh.mu.Unlock()
	p := s.mesh.platform
	var each []uint64
	for _, n := range s.mesh.perNode {
		each = append(each, n)
	}
	slices.Sort(each)
	s.t.Logf("%s: highest platform rate %d/s, refused %d; control bytes per node: median %d, highest %d",
		d.Pos, p.highest, p.refused, each[len(each)/2], each[len(each)-1])
	out := fmt.Sprintf("reverted: %d\n", len(s.mesh.reverted))
	for _, r := range s.mesh.reverted {
		out += r + "\n"
	}
	over := p.highest > p.limit
	p.highest, p.refused = 0, 0
	clear(s.mesh.perNode)
	return out + fmt.Sprintf("platform over its limit: %t", over)
}
