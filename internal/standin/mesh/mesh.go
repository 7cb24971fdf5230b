package mesh

import (
	"context"
	"errors"
	"io"
	"log"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/galenalever/galenalever/internal/standin/backend"
	"github.com/galenalever/galenalever/internal/standin/link"
	"github.com/galenalever/galenalever/internal/standin/platform"
)

// Config is the settings of a mesh.
type Config struct {
	Deployment Deployment
	// Program is the path of galenaleverd.
	Program string
	// Arguments are added to every node's settings.
	Arguments []string
	// Environment is that of the nodes.
	Environment []string
	// Latency is the run time of a request at a server.
	Latency time.Duration
	// RestartTime is how long a crashed server is away.
	RestartTime time.Duration
	// DirectTraffic lets requests between nodes pass without a link.
	DirectTraffic bool
	// Seed selects the jitter of the links.
	Seed uint64
}

// maxPeers is the number of control addresses that a fresh node is given.
const maxPeers = 3

// Mesh is one running deployment.
type Mesh struct {
	// Platform is the platform stand-in.
	Platform *platform.Platform
	// Nodes are the instances, in the order of the deployment.
	Nodes []*Node
	// Ledger counts the executions at all servers.
	Ledger *backend.Ledger

	config   Config
	listener net.Listener
	server   *http.Server

	mu sync.Mutex
	// disturbed holds the callers' addresses of processes that were killed or
	// paused.
	disturbed map[string]bool
}

// New starts the platform, the servers and the links, and no node yet.
func New(c Config) (*Mesh, error) {
	m := &Mesh{
		Platform: platform.New(platform.Config{}),
		Ledger:   backend.NewLedger(),
		config:   c,

		disturbed: make(map[string]bool),
	}
	if err := m.servePlatform(); err != nil {
		return nil, err
	}
	for _, instance := range c.Deployment.Instances() {
		n, err := m.newNode(instance)
		if err != nil {
			return nil, errors.Join(err, m.Close(0))
		}
		m.Nodes = append(m.Nodes, n)
	}
	return m, nil
}

func (m *Mesh) servePlatform() error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return eris.Wrap(err, "platform stand-in")
	}
	m.listener = listener
	m.server = &http.Server{
		Handler:           m.Platform.Handler(),
		ReadHeaderTimeout: time.Minute,
		ErrorLog:          log.New(io.Discard, "", 0),
	}
	go func() { _ = m.server.Serve(listener) }() // ends with Close
	return nil
}

// newNode starts what stands around one node.
func (m *Mesh) newNode(i Instance) (*Node, error) {
	server, err := backend.Start(backend.Config{
		Name:        i.ID,
		Latency:     m.config.Latency,
		RestartTime: m.config.RestartTime,
		Ledger:      m.Ledger,
	})
	if err != nil {
		return nil, err
	}
	state := link.State{Delay: m.config.Deployment.LinkDelay}
	var links [2]*link.Link
	for j := range links {
		seed := m.config.Seed + uint64(len(m.Nodes)*len(links)+j)
		if links[j], err = link.Start(link.Config{State: state, Seed: seed}); err != nil {
			return nil, err
		}
	}
	return &Node{Instance: i, Backend: server, Traffic: links[0], Control: links[1], mesh: m}, nil
}

// Start starts all nodes at the same time and waits until they listen.
func (m *Mesh) Start(ctx context.Context) error {
	errs := make([]error, len(m.Nodes))
	var starts sync.WaitGroup
	for i, n := range m.Nodes {
		starts.Go(func() { errs[i] = eris.Wrapf(n.Start(ctx), "node %s", n.ID) })
	}
	starts.Wait()
	return errors.Join(errs...)
}

// failure returns the failure of the first node whose process ended by itself.
func (m *Mesh) failure() error {
	for _, n := range m.Nodes {
		if err := n.Failure(); err != nil {
			return err
		}
	}
	return nil
}

// PlatformURL returns the address at which nodes read the platform.
func (m *Mesh) PlatformURL() string { return "http://" + m.listener.Addr().String() }

// Callers returns the callers' addresses of the nodes that run.
func (m *Mesh) Callers() []string {
	var addresses []string
	for _, n := range m.Nodes {
		if n.Running() {
			addresses = append(addresses, n.Addresses().Callers)
		}
	}
	return addresses
}

// Disrupted reports whether the process with a callers' address was killed or
// paused.
func (m *Mesh) Disrupted(callers string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.disturbed[callers]
}

func (m *Mesh) disturb(callers string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.disturbed[callers] = true
}

// peersOf returns control addresses for a node to ask first.
func (m *Mesh) peersOf(n *Node) []string {
	var peers []string
	for _, other := range m.Nodes {
		if other != n && len(peers) < maxPeers {
			peers = append(peers, other.Control.Address())
		}
	}
	return peers
}

// Close drains and ends all nodes, each within the limit, then the rest. The
// error tells the nodes that did not end well.
func (m *Mesh) Close(limit time.Duration) error {
	errs := make([]error, len(m.Nodes))
	var ends sync.WaitGroup
	for i, n := range m.Nodes {
		ends.Go(func() { errs[i] = eris.Wrapf(n.close(limit), "node %s", n.ID) })
	}
	ends.Wait()
	_ = m.server.Close() // no node is left
	return errors.Join(errs...)
}
