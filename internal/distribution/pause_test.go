package distribution

import (
	"fmt"
	"testing/synctest"

	"github.com/cockroachdb/datadriven"

	"github.com/galenalever/galenalever/internal/model"
)

// pause blocks the control loop of a node for a time. It reports whether the node is
// fresh, as its traffic goroutines see it, just before and just after the loop resumes.
func (s *script) pause(d *datadriven.TestData) string {
	var id string
	d.ScanArgs(s.t, "instance", &id)
	n := s.mesh.node(model.InstanceID(id))
	message := stall{resume: make(chan struct{})}
	n.kernel.Loop().TryPost(message)
	s.mesh.advance(duration(s.t, d, "for"))
	before := n.watchdog.Fresh()
	close(message.resume)
	synctest.Wait()
	return fmt.Sprintf("fresh before its loop resumes: %t, after: %t", before, n.watchdog.Fresh())
}
