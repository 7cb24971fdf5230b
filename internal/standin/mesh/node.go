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

// Node is one instance: its backend server, the links in front of its node and
// the node's process. It is safe for concurrent use.
type Node struct {
	Instance
	// Backend is the server beside the node.
	Backend *backend.Server
	// Traffic and Control are the links through which others reach the node.
	Traffic, Control *link.Link

	mesh *Mesh

	mu        sync.Mutex
	process   *process
	addresses Addresses
	paused    bool
	// refusing is true while the links refuse connections.
	refusing bool
}

// Start runs the node's process and lists the instance on the platform.
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
	n.mesh.Platform.PutInstance(n.listing(platform.StateLive))
	return nil
}

// arguments returns the settings of the node's process.
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
	}
}

// trafficAddress returns where other nodes send requests.
func (n *Node) trafficAddress() string {
	if n.mesh.config.DirectTraffic {
		return n.Addresses().Traffic
	}
	return n.Traffic.Address()
}

// Addresses returns the listeners of the present process.
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

// Failure returns an error with the last log lines if the process ended by
// itself.
func (n *Node) Failure() error {
	n.mu.Lock()
	p := n.process
	n.mu.Unlock()
	if p == nil {
		return nil
	}
	select {
	case <-p.exited:
		return eris.Errorf("the process of %s ended by itself: %v\n%s", n.ID, p.err, strings.Join(p.log(), "\n"))
	default:
		return nil
	}
}

// Kill ends the process at once.
func (n *Node) Kill() {
	n.mesh.disturb(n.Addresses().Callers)
	if p := n.detach(); p != nil {
		p.kill()
		n.refuseLinks()
	}
}

// refuseLinks makes the links refuse connections while no process listens.
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

// Terminate drains and ends the process; the platform lists the instance as
// leaving.
func (n *Node) Terminate(limit time.Duration) error {
	p := n.detach()
	if p == nil {
		return nil
	}
	n.mesh.Platform.PutInstance(n.listing(platform.StateLeaving))
	err := p.terminate(limit)
	n.refuseLinks()
	return err
}

// KillDuringDrain begins a drain and kills the process in the midst of it.
func (n *Node) KillDuringDrain(after time.Duration) {
	p := n.detach()
	if p == nil {
		return
	}
	n.mesh.disturb(n.Addresses().Callers)
	n.mesh.Platform.PutInstance(n.listing(platform.StateLeaving))
	_ = p.terminate(after) // that it takes longer is expected
	n.refuseLinks()
}

// Reload tells the process that its settings have changed.
func (n *Node) Reload() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.process != nil {
		n.process.signal(syscall.SIGHUP)
	}
}

// Pause stops the process without its knowledge.
func (n *Node) Pause() { n.setPaused(true, syscall.SIGSTOP) }

// Resume continues a paused process.
func (n *Node) Resume() { n.setPaused(false, syscall.SIGCONT) }

func (n *Node) setPaused(paused bool, s syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.process != nil {
		n.mesh.disturb(n.addresses.Callers)
		n.paused = paused
		n.process.signal(s)
	}
}

// PID returns the ID of the present process, or 0 if there is none.
func (n *Node) PID() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.process == nil {
		return 0
	}
	return n.process.command.Process.Pid
}

// detach returns the present process, if any, and forgets it.
func (n *Node) detach() *process {
	n.mu.Lock()
	defer n.mu.Unlock()
	p := n.process
	n.process = nil
	return p
}

// close ends the process, the links and the server.
func (n *Node) close(limit time.Duration) error {
	p := n.detach()
	var err error
	if p != nil {
		err = p.terminate(limit)
	}
	n.Traffic.Close()
	n.Control.Close()
	_ = n.Backend.Close() // nothing calls the server any more
	return err
}
