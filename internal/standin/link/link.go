// Package link is a stand-in for a link between failure domains: a TCP relay
// that delays, varies the delay, cuts one or both ways, and truncates.
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
	// Delay is added one way; Jitter is the greatest further delay.
	Delay  time.Duration `json:"delay_ns"`
	Jitter time.Duration `json:"jitter_ns"`
	// CutForward and CutBack hold back all bytes to and from the target.
	CutForward bool `json:"cut_forward"`
	CutBack    bool `json:"cut_back"`
	// TruncateAfter closes a connection once so many bytes came from the
	// target; 0 means never.
	TruncateAfter int64 `json:"truncate_after"`
}

// Config is the settings of a link.
type Config struct {
	// Address is the host:port to listen on.
	Address string
	// Target is the host:port that the link leads to.
	Target string
	State  State
	// Seed selects the sequence of jitters.
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
	changed  chan struct{}
	random   *rand.Rand
	pairs    map[*pair]struct{}
}

// Start listens and relays.
func Start(c Config) (*Link, error) {
	if c.Address == "" {
		c.Address = "127.0.0.1:0"
	}
	listener, err := net.Listen("tcp", c.Address)
	if err != nil {
		return nil, eris.Wrap(err, "link stand-in")
	}
	l := &Link{
		config:   c,
		listener: listener,
		address:  listener.Addr().String(),
		done:     make(chan struct{}),
		state:    c.State,
		changed:  make(chan struct{}),
		random:   rand.New(rand.NewPCG(c.Seed, c.Seed)),
		pairs:    make(map[*pair]struct{}),
	}
	l.running.Add(1)
	go l.accept(listener)
	return l, nil
}

// Address returns the host:port on which the link listens.
func (l *Link) Address() string { return l.address }

// Refuse makes the link refuse new connections, as a host does on which no
// process listens. Open connections stay.
func (l *Link) Refuse() {
	l.mu.Lock()
	defer l.mu.Unlock()
	_ = l.listener.Close() // it may be closed already
}

// The attempts to listen again on the address that the link had before.
const (
	listenAttempts   = 50
	listenRetryDelay = 20 * time.Millisecond
)

// Resume ends Refuse.
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
		return eris.Wrap(err, "link stand-in")
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

// SetState changes the behaviour, of open connections too.
func (l *Link) SetState(s State) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.state = s
	close(l.changed)
	l.changed = make(chan struct{})
}

// Reset breaks all open connections with a reset.
func (l *Link) Reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for p := range l.pairs {
		p.reset()
	}
}

// SetTarget changes where new connections lead.
func (l *Link) SetTarget(address string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.config.Target = address
}

// Close ends the relay and its connections.
func (l *Link) Close() {
	close(l.done)
	l.mu.Lock()
	_ = l.listener.Close() // it may refuse connections, and be closed already
	for p := range l.pairs {
		p.close()
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

// dialTimeout bounds the connection to the target.
const dialTimeout = 5 * time.Second

// connect opens the connection to the target and relays until both ways end.
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
	p := &pair{client: client, server: server}
	if !l.add(p) {
		p.close()
		return
	}
	defer l.remove(p)
	var both sync.WaitGroup
	both.Go(func() { l.relay(client, server, forward, p) })
	both.Go(func() { l.relay(server, client, back, p) })
	both.Wait()
}

// add registers a pair unless the link is closed.
func (l *Link) add(p *pair) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	select {
	case <-l.done:
		return false
	default:
		l.pairs[p] = struct{}{}
		return true
	}
}

func (l *Link) remove(p *pair) {
	p.close()
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.pairs, p)
}

// pair is the two connections of one relayed connection.
type pair struct{ client, server net.Conn }

// reset closes both connections so that their peers see a reset.
func (p *pair) reset() {
	for _, conn := range []net.Conn{p.client, p.server} {
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0) // a connection that is closed already needs none
		}
	}
	p.close()
}

func (p *pair) close() {
	p.client.Close()
	p.server.Close()
}
