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

// Config holds the settings of a mesh.
type Config struct {
	Deployment Deployment
	// Program is the path of the galenaleverd binary.
	Program string
	// Arguments are appended to the command line of every node.
	Arguments []string
	// Environment is the environment of the node processes. If it is nil, they inherit
	// that of this process.
	Environment []string
	// Latency is the run time of a request at a backend server.
	Latency time.Duration
	// RestartTime is the time until a crashed backend server runs again.
	RestartTime time.Duration
	// Warmup and WarmupBound are those of the backend servers.
	Warmup      time.Duration
	WarmupBound int
	// DirectTraffic sends requests between nodes directly instead of over a link.
	DirectTraffic bool
	// Direct makes the nodes read the platform at once and announce nothing to each other.
	Direct bool
	// Seed is the random seed of the links' jitter.
	Seed uint64
}

// maxPeers is the maximum number of control addresses in the --peer argument of a node.
const maxPeers = 3

// Mesh is a running deployment.
type Mesh struct {
	// Platform is the stand-in for the platform.
	Platform *platform.Platform
	// Nodes are the instances, in the order of the deployment.
	Nodes []*Node
	// Ledger counts the executions of each request at all backend servers.
	Ledger *backend.Ledger

	config   Config
	listener net.Listener
	server   *http.Server

	mu sync.Mutex
	// disrupted is the set of processes that were killed or paused, by their address
	// for callers.
	disrupted   map[string]bool
	disruptions []Disruption
	stops       []Stop
	// stopListing ends the updates of the listed warm-ups.
	stopListing context.CancelFunc
}

// New starts the platform, the backend servers and the links. Start starts the
// nodes. The caller must call Close.
func New(c Config) (*Mesh, error) {
	m := &Mesh{
		Platform: platform.New(platform.Config{}),
		Ledger:   backend.NewLedger(),
		config:   c,

		disrupted: make(map[string]bool),
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
	ctx, cancel := context.WithCancel(context.Background())
	m.stopListing = cancel
	if c.Warmup > 0 {
		go m.listWarmups(ctx)
	}
	return m, nil
}

// servePlatform uses a free port.
func (m *Mesh) servePlatform() error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return eris.Wrap(err, "listening for the platform stand-in")
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

// newNode starts the backend server and the links of a node, but not its process.
func (m *Mesh) newNode(i Instance) (*Node, error) {
	server, err := backend.Start(backend.Config{
		Name:        i.ID,
		Latency:     m.config.Latency,
		RestartTime: m.config.RestartTime,
		Warmup:      m.config.Warmup,
		WarmupBound: m.config.WarmupBound,
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

// Start starts all nodes concurrently and waits until they listen. The error names each
// node that failed to start.
func (m *Mesh) Start(ctx context.Context) error {
	errs := make([]error, len(m.Nodes))
	var group sync.WaitGroup
	for i, n := range m.Nodes {
		group.Go(func() { errs[i] = eris.Wrapf(n.Start(ctx), "node %s", n.ID) })
	}
	group.Wait()
	return errors.Join(errs...)
}

// failure returns the error of the first node whose process has ended unexpectedly,
// or nil.
func (m *Mesh) failure() error {
	for _, n := range m.Nodes {
		if err := n.Failure(); err != nil {
			return err
		}
	}
	return nil
}

// PlatformURL returns the URL of the platform stand-in.
func (m *Mesh) PlatformURL() string { return "http://" + m.listener.Addr().String() }

// Callers returns the addresses of the running nodes' ports for callers.
func (m *Mesh) Callers() []string {
	var addresses []string
	for _, n := range m.Nodes {
		if n.Running() {
			addresses = append(addresses, n.Addresses().Callers)
		}
	}
	return addresses
}

// Disrupted reports whether the process with this address for callers was killed or
// paused at any time.
func (m *Mesh) Disrupted(callers string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.disrupted[callers]
}

func (m *Mesh) markDisrupted(callers string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.disrupted[callers] = true
}

// peersOf returns the control addresses of other nodes that a node contacts first.
func (m *Mesh) peersOf(n *Node) []string {
	var peers []string
	for _, other := range m.Nodes {
		if other != n && len(peers) < maxPeers {
			peers = append(peers, other.Control.Address())
		}
	}
	return peers
}

// Close terminates all nodes concurrently and then stops the platform. A node that
// has not drained within the limit is killed. The error names each node whose process
// was killed or failed.
func (m *Mesh) Close(limit time.Duration) error {
	errs := make([]error, len(m.Nodes))
	var group sync.WaitGroup
	for i, n := range m.Nodes {
		group.Go(func() { errs[i] = eris.Wrapf(n.close(limit), "node %s", n.ID) })
	}
	group.Wait()
	if m.stopListing != nil {
		m.stopListing()
	}
	_ = m.server.Close() // no client is left
	return errors.Join(errs...)
}
