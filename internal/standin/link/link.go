// Package link simulates a network link between failure domains. It is a TCP relay
// that adds delay and jitter, blocks one or both directions, and truncates
// responses.
package link

import (
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

// State is the present behaviour of a link.
type State struct {
	// Delay is added in each direction. Jitter bounds a further random delay.
	Delay  time.Duration `json:"delay_ns"`
	Jitter time.Duration `json:"jitter_ns"`
	// CutForward blocks all bytes to the target, CutBack all bytes from it. The
	// connections stay open, and the bytes pass once the cut ends.
	CutForward bool `json:"cut_forward"`
	CutBack    bool `json:"cut_back"`
	// TruncateAfter is the number of bytes from the target after which a connection
	// is closed; 0 means never.
	TruncateAfter int64 `json:"truncate_after"`
}

// Config is the settings of a link.
type Config struct {
	// Address is the host:port to listen on.
	Address string
	// Target is the host:port to which connections are relayed.
	Target string
	State  State
	// Seed selects the sequence of random delays.
	Seed uint64
}

// Link is one running relay. It is safe for concurrent use.
type Link struct {
	config  Config
	address string
	done    chan struct{}
	running sync.WaitGroup

	mu       sync.Mutex
	listener net.Listener
	state    State
	// changed is closed and replaced when the state changes.
	changed chan struct{}
	random  *rand.Rand
	pairs   map[*connectionPair]struct{}
}

// Start listens on the configured address and relays in the background.
func Start(c Config) (*Link, error) {
	if c.Address == "" {
		c.Address = "127.0.0.1:0"
	}
	listener, err := net.Listen("tcp", c.Address)
	if err != nil {
		return nil, eris.Wrap(err, "starting the link")
	}
	l := &Link{
		config:   c,
		listener: listener,
		address:  listener.Addr().String(),
		done:     make(chan struct{}),
		state:    c.State,
		changed:  make(chan struct{}),
		random:   rand.New(rand.NewPCG(c.Seed, c.Seed)),
		pairs:    make(map[*connectionPair]struct{}),
	}
	l.running.Add(1)
	go l.accept(listener)
	return l, nil
}

// Address returns the host:port on which the link listens.
func (l *Link) Address() string { return l.address }

// Refuse makes the link refuse new connections, like a host with no process on the
// port. Open connections stay open.
func (l *Link) Refuse() {
	l.mu.Lock()
	defer l.mu.Unlock()
	_ = l.listener.Close() // an error means that it is already closed
}

// The attempts of Resume to listen on the address of the link, which may be in use
// for a moment.
const (
	listenAttempts   = 50
	listenRetryDelay = 20 * time.Millisecond
)

// Resume accepts new connections again after Refuse. It returns an error if the
// address remains in use or the link is closed while it waits.
func (l *Link) Resume() error {
	var listener net.Listener
	var err error
	for range listenAttempts {
		if listener, err = net.Listen("tcp", l.address); err == nil {
			break
		}
		if !l.waitUntil(time.Now().Add(listenRetryDelay)) {
			return eris.New("the link is closed")
		}
	}
	if err != nil {
		return eris.Wrap(err, "resuming the link")
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.listener = listener
	l.running.Add(1)
	go l.accept(listener)
	return nil
}

// State returns the present behaviour.
func (l *Link) State() State {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.state
}

// SetState changes the behaviour, also for open connections.
func (l *Link) SetState(s State) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.state = s
	close(l.changed)
	l.changed = make(chan struct{})
}

// Reset ends all open connections with a TCP reset.
func (l *Link) Reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for pair := range l.pairs {
		pair.reset()
	}
}

// SetTarget changes the host:port to which new connections are relayed.
func (l *Link) SetTarget(address string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.config.Target = address
}

// Close stops the relay and closes its connections. It must be called only once.
func (l *Link) Close() {
	close(l.done)
	l.mu.Lock()
	_ = l.listener.Close() // an error means that Refuse has already closed it
	for pair := range l.pairs {
		pair.close()
	}
	l.mu.Unlock()
	l.running.Wait()
}

func (l *Link) accept(listener net.Listener) {
	defer l.running.Done()
	for {
		client, err := listener.Accept()
		if err != nil {
			return
		}
		l.running.Add(1)
		go l.connect(client)
	}
}

// dialTimeout bounds the time to connect to the target.
const dialTimeout = 5 * time.Second

// connect connects to the target and relays until both directions have ended.
func (l *Link) connect(client net.Conn) {
	defer l.running.Done()
	l.mu.Lock()
	target := l.config.Target
	l.mu.Unlock()
	server, err := net.DialTimeout("tcp", target, dialTimeout)
	if err != nil {
		client.Close()
		return
	}
	pair := &connectionPair{client: client, server: server}
	if !l.add(pair) {
		pair.close()
		return
	}
	defer l.remove(pair)
	var relays sync.WaitGroup
	relays.Go(func() { l.relay(client, server, forward, pair) })
	relays.Go(func() { l.relay(server, client, backward, pair) })
	relays.Wait()
}

// add registers a pair. It returns false if the link is closed.
func (l *Link) add(pair *connectionPair) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	select {
	case <-l.done:
		return false
	default:
		l.pairs[pair] = struct{}{}
		return true
	}
}

func (l *Link) remove(pair *connectionPair) {
	pair.close()
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.pairs, pair)
}

// connectionPair is the two TCP connections, from the client and to the target, of
// one relayed connection.
type connectionPair struct{ client, server net.Conn }

// reset closes both connections with a TCP reset.
func (p *connectionPair) reset() {
	for _, conn := range []net.Conn{p.client, p.server} {
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0) // an error means that the connection is already closed
		}
	}
	p.close()
}

func (p *connectionPair) close() {
	p.client.Close()
	p.server.Close()
}
