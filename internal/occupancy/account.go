// Package occupancy applies the decision on resources to the connections of an
// http.Server: it charges connections, headers and bodies to an account before they are
// read, and closes the connections that the decision chooses.
package occupancy

import (
	"context"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/galenalever/galenalever/internal/clock"
	"github.com/galenalever/galenalever/internal/decision/resources"
)

// ErrFull is the error of a charge for which there is no room, although nobody's
// connection may be closed for it.
var ErrFull = eris.New("the memory for requests is occupied")

// errClosed is the error of a charge to a connection that has been closed for others.
var errClosed = eris.New("the connection was closed because it made no progress while others needed its memory")

// chargeTimeout bounds the wait for room. It is longer than resources.Limits.Grace, so
// that connections which make no progress can be closed in this time.
const chargeTimeout = 1500 * time.Millisecond

// Account is the account of the connections of one listener. It is safe for concurrent
// use. A nil Account limits nothing.
type Account struct {
	clock  clock.Clock
	start  time.Time
	limits resources.Limits

	mu      sync.Mutex
	account *resources.Account
	conns   map[*resources.Holder]*Conn
	// released is closed and replaced when something is released while anyone waits.
	released chan struct{}
	waiting  int
	stats    Stats
}

// Stats describes an account.
type Stats struct {
	Connections    int   `json:"connections"`
	MaxConnections int   `json:"max_connections"`
	Bytes          int64 `json:"bytes"`
	MaxBytes       int64 `json:"max_bytes"`
	// Closed counts the connections closed for the sake of others, Expired those closed
	// because of a time limit, Refused the charges without room.
	Closed  int64 `json:"closed"`
	Expired int64 `json:"expired"`
	Refused int64 `json:"refused"`
	// NotKept counts the requests whose connection is closed after the response, since
	// too many are open.
	NotKept int64 `json:"not_kept"`
}

// New returns an empty account.
func New(clk clock.Clock, limits resources.Limits) *Account {
	return &Account{
		clock: clk, start: clk.Now(), limits: limits, account: resources.New(limits),
		conns: make(map[*resources.Holder]*Conn), released: make(chan struct{}),
	}
}

// Stats returns the present figures.
func (a *Account) Stats() Stats {
	a.mu.Lock()
	defer a.mu.Unlock()
	s := a.stats
	s.Connections, s.MaxConnections = a.account.Connections(), a.limits.Connections
	s.Bytes, s.MaxBytes = a.account.Used(), a.limits.Bytes
	return s
}

// CloseExpired closes the connections on which a header has been arriving, or which have
// been idle, for longer than allowed.
func (a *Account) CloseExpired(header, idle time.Duration) {
	a.mu.Lock()
	expired := a.connsOf(a.account.Expired(header, idle, a.now()))
	a.stats.Expired += int64(len(expired))
	a.mu.Unlock()
	closeAll(expired)
}

// keep decides whether the connection of a request that begins is kept.
func (a *Account) keep() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	kept := a.account.Keep()
	if !kept {
		a.stats.NotKept++
	}
	return kept
}

func (a *Account) now() time.Duration { return a.clock.Now().Sub(a.start) }

// connsOf returns the connections of holders. The caller holds the lock.
func (a *Account) connsOf(holders []*resources.Holder) []*Conn {
	var conns []*Conn
	for _, h := range holders {
		conns = append(conns, a.conns[h])
	}
	return conns
}

func closeAll(conns []*Conn) {
	for _, c := range conns {
		c.abort()
	}
}

// demand repeats a demand, which is called with the lock held, until it is granted, the
// context has ended or stop is closed. It closes the connections that the decision names.
func (a *Account) demand(ctx context.Context, stop <-chan struct{}, demand func(now time.Duration) (resources.Decision, error)) error {
	for {
		a.mu.Lock()
		now := a.now()
		d, err := demand(now)
		closing := a.connsOf(d.Close)
		a.stats.Closed += int64(len(closing))
		released := a.released
		if !d.Granted && !d.Refused && err == nil {
			a.waiting++
		}
		a.mu.Unlock()
		closeAll(closing)
		switch {
		case d.Granted || err != nil:
			return err
		case d.Refused:
			return ErrFull
		}
		retry := make(chan struct{})
		timer := a.clock.AfterFunc(d.Retry-now, func() { close(retry) })
		select {
		case <-released:
		case <-retry:
		case <-ctx.Done():
			err = ErrFull
		case <-stop:
			err = errClosed
		}
		timer.Stop()
		a.mu.Lock()
		a.waiting--
		a.mu.Unlock()
		if err != nil {
			return err
		}
	}
}

// notify wakes those that wait for room. The caller holds the lock.
func (a *Account) notify() {
	if a.waiting > 0 {
		close(a.released)
		a.released = make(chan struct{})
	}
}

func (a *Account) remove(c *Conn) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if _, ok := a.conns[c.holder]; !ok {
		return
	}
	delete(a.conns, c.holder)
	a.account.Remove(c.holder)
	a.notify()
}
