package mesh

import (
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"github.com/galenalever/galenalever/internal/standin/platform"
)

// Stop is a planned stop of a node's process.
type Stop struct {
	// Node is the ID of the instance, Callers the process's address for callers.
	Node    string
	Callers string
	// Signalled is the time of SIGTERM, Ended that of the end of the process.
	Signalled, Ended time.Time
	// Grace is the time after which the process would have been killed.
	Grace time.Duration
	// Err is not nil if the process outlived the grace time or exited with a status
	// other than 0.
	Err error
}

// Stop stops the process as a platform does: SIGTERM, and SIGKILL after the grace time.
// If listed is true, the platform lists the instance as leaving before the signal,
// otherwise it learns nothing of the stop. It does nothing if there is no process.
func (n *Node) Stop(grace time.Duration, listed bool) error {
	p := n.detach()
	if p == nil {
		return nil
	}
	if listed {
		n.list(platform.StateLeaving)
	}
	n.setStopping(p)
	s := Stop{Node: n.ID, Callers: n.Addresses().Callers, Signalled: time.Now(), Grace: grace}
	s.Err = p.terminate(grace)
	s.Ended = time.Now()
	n.setStopping(nil)
	if s.Err != nil {
		s.Err = eris.Errorf("%v: %s", s.Err, strings.Join(p.errorsSince(s.Signalled), "; "))
	}
	n.refuseLinks()
	n.mesh.addStop(s)
	return s.Err
}

func (n *Node) setStopping(p *process) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.stopping = p
}
