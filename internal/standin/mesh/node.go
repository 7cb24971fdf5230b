package mesh

import (
	"context"
	"errors"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"github.com/galenalever/galenalever/internal/standin/backend"
	"github.com/galenalever/galenalever/internal/standin/link"
	"github.com/galenalever/galenalever/internal/standin/platform"
)

// Node is an instance: its backend server, the process of its node, and the links
// through which others reach it. It is safe for concurrent use.
type Node struct {
	Instance
	// Backend is the instance's backend server.
	Backend *backend.Server
	// Traffic and Control are the links to the ports for requests of other nodes and
	// for control messages.
	Traffic, Control *link.Link

	mesh *Mesh

	mu        sync.Mutex
	process   *process
	addresses Addresses
	paused    bool
	// stopping is the process that Stop waits for, or nil.
	stopping *process
	// endDisruption records the end of the kill or pause that lasts; nil if none does.
	endDisruption func()
	// refusing is true while the links refuse connections.
	refusing bool

	listed listed
}

// Start starts the node's process and lists the instance as live on the platform.
func (n *Node) Start(ctx context.Context) error {
	p, addresses, err := startProcess(ctx, n.mesh.config.Program, n.arguments(), n.mesh.config.Environment)
	if err != nil {
		return err
	}
	n.Traffic.SetTarget(addresses.Traffic)
	n.Control.SetTarget(addresses.Control)
	if err := n.resumeLinks(); err != nil {
		p.kill()
		return err
	}
	n.mu.Lock()
	n.process, n.addresses, n.paused = p, addresses, false
	n.mu.Unlock()
	n.recordRecovery()
	n.list(platform.StateLive)
	return nil
}

// arguments returns the command-line arguments of the node's process.
func (n *Node) arguments() []string {
	args := []string{
		"--instance", n.ID,
		"--service", n.Service,
		"--domain", n.Domain,
		"--backend", n.Backend.URL(),
		"--platform", n.mesh.PlatformURL(),
		"--advertise-control", n.Control.Address(),
		"--log-format", "json",
	}
	if !n.mesh.config.DirectTraffic {
		args = append(args, "--advertise-traffic", n.Traffic.Address())
	}
	if peers := n.mesh.peersOf(n); len(peers) > 0 {
		args = append(args, "--peer", strings.Join(peers, ","))
	}
	if n.mesh.config.Direct {
		args = append(args, "--direct", "--bootstrap-for", "0s")
	}
	return append(args, n.mesh.config.Arguments...)
}

func (n *Node) listing(state string) platform.Instance {
	return platform.Instance{
		ID:       n.ID,
		Service:  n.Service,
		Domain:   n.Domain,
		Traffic:  n.trafficAddress(),
		Control:  n.Control.Address(),
		Operator: n.Addresses().Operator,
		State:    state,

		WarmupLeftMS: n.Backend.WarmupLeft().Milliseconds(),
	}
}

// trafficAddress returns the address to which other nodes send requests.
func (n *Node) trafficAddress() string {
	if n.mesh.config.DirectTraffic {
		return n.Addresses().Traffic
	}
	return n.Traffic.Address()
}

// Addresses returns the listen addresses of the current or last process. They are
// empty before the first start.
func (n *Node) Addresses() Addresses {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.addresses
}

// Running reports whether the process runs and is not paused.
func (n *Node) Running() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.process != nil && !n.paused
}

// Failure returns an error with the last log lines if the process ended although it
// was neither terminated nor killed, and nil otherwise.
func (n *Node) Failure() error {
	n.mu.Lock()
	p := n.process
	n.mu.Unlock()
	if p == nil {
		return nil
	}
	select {
	case <-p.exited:
		return eris.Errorf("the process of %s ended unexpectedly: %v\n%s", n.ID, p.err, strings.Join(p.logLines(), "\n"))
	default:
		return nil
	}
}

// Kill kills the process, if there is one. The links refuse connections until the next
// start.
func (n *Node) Kill() {
	n.recordDisruption("kill")
	if p := n.detach(); p != nil {
		p.kill()
		n.refuseLinks()
	}
}

// refuseLinks makes the links refuse connections, as if nothing listened at their
// addresses.
func (n *Node) refuseLinks() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.refusing = true
	n.Traffic.Refuse()
	n.Control.Refuse()
}

func (n *Node) resumeLinks() error {
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.refusing {
		return nil
	}
	n.refusing = false
	return errors.Join(n.Traffic.Resume(), n.Control.Resume())
}

// Terminate lists the instance as leaving on the platform, then drains and ends the
// process. If this takes longer than the limit, it kills the process and returns an
// error. It does nothing if there is no process.
func (n *Node) Terminate(limit time.Duration) error {
	p := n.detach()
	if p == nil {
		return nil
	}
	n.list(platform.StateLeaving)
	err := p.terminate(limit)
	n.refuseLinks()
	return err
}

// KillDuringDrain starts to drain the process and kills it if it still runs after the
// given time.
func (n *Node) KillDuringDrain(after time.Duration) {
	p := n.detach()
	if p == nil {
		return
	}
	n.recordDisruption("kill during drain")
	n.list(platform.StateLeaving)
	_ = p.terminate(after) // an error is expected: the process was killed
	n.refuseLinks()
}

// Reload sends the process SIGHUP, so that it reloads its settings, also while it
// stops.
func (n *Node) Reload() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, p := range []*process{n.process, n.stopping} {
		if p != nil {
			p.signal(syscall.SIGHUP)
		}
	}
}

// Pause suspends the process with SIGSTOP, which the process cannot handle.
func (n *Node) Pause() {
	n.recordDisruption("pause")
	n.setPaused(true, syscall.SIGSTOP)
}

// Resume continues a paused process with SIGCONT.
func (n *Node) Resume() {
	n.setPaused(false, syscall.SIGCONT)
	n.recordRecovery()
}

// recordDisruption records that the process fails from now on, until recordRecovery.
func (n *Node) recordDisruption(kind string) {
	n.mesh.markDisrupted(n.Addresses().Callers)
	end := n.mesh.BeginDisruption(n, kind)
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.endDisruption != nil {
		n.endDisruption()
	}
	n.endDisruption = end
}

func (n *Node) recordRecovery() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.endDisruption != nil {
		n.endDisruption()
		n.endDisruption = nil
	}
}

// setPaused sends the process a signal and records whether it is now paused.
func (n *Node) setPaused(paused bool, s syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.process != nil {
		n.paused = paused
		n.process.signal(s)
	}
}

// PID returns the ID of the current process, or 0 if there is none.
func (n *Node) PID() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.process == nil {
		return 0
	}
	return n.process.command.Process.Pid
}

// detach returns the current process, or nil, and clears it, so that its end is not
// reported as a failure.
func (n *Node) detach() *process {
	n.mu.Lock()
	defer n.mu.Unlock()
	p := n.process
	n.process = nil
	return p
}

// close terminates the process, or kills it after the limit, and stops the links and
// the backend server.
func (n *Node) close(limit time.Duration) error {
	p := n.detach()
	var err error
	if p != nil {
		err = p.terminate(limit)
	}
	n.Traffic.Close()
	n.Control.Close()
	_ = n.Backend.Close() // no client is left
	return err
}
