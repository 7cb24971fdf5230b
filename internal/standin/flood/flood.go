// Package flood is a stand-in for hostile clients: many connections that send requests
// of one form, which occupy a server as long as possible.
package flood

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// Target is what the clients of a flood address.
type Target struct {
	// Address is the host:port of a listener.
	Address string
	// Host is the Host header and Path the path of the requests.
	Host, Path string
	// Fields are further header fields, each with its end of line.
	Fields string
}

// Flood is a running flood.
type Flood struct {
	cancel  context.CancelFunc
	clients sync.WaitGroup
	sending sync.WaitGroup
	refused atomic.Int64
	// steps counts the connections that were opened and the writes that ended.
	steps atomic.Int64
}

const (
	// dialTimeout is short, since a server whose queue of connections is full does
	// not respond.
	dialTimeout = 2 * time.Second
	// receiveBuffer is the size in bytes of the receive buffers of clients that do
	// not read; the least that the system allows is about this.
	receiveBuffer = 4 << 10
	// stepCheckInterval is the time between two checks of whether the clients proceed.
	stepCheckInterval = 25 * time.Millisecond
)

// Start opens the connections, one for each client, and sends a request of the form on
// each. The connections stay open until Stop, unless the server closes them.
func Start(target Target, form Form, clients int) *Flood {
	ctx, cancel := context.WithCancel(context.Background())
	f := &Flood{cancel: cancel}
	f.sending.Add(clients)
	for range clients {
		f.clients.Go(func() { f.attack(ctx, target, form) })
	}
	return f
}

// attack runs one client until the flood is stopped.
func (f *Flood) attack(ctx context.Context, target Target, form Form) {
	sent := sync.OnceFunc(f.sending.Done)
	defer sent()
	dialer := net.Dialer{Timeout: dialTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", target.Address)
	if err != nil {
		f.refused.Add(1)
		return
	}
	defer context.AfterFunc(ctx, func() { _ = conn.Close() })()
	defer conn.Close()
	f.steps.Add(1)
	_ = conn.(*net.TCPConn).SetReadBuffer(receiveBuffer)
	form.send(&client{ctx: ctx, conn: conn, target: target, sent: sent, steps: &f.steps})
	sent()
	<-ctx.Done()
}

// AwaitSettled waits until for the time quiet each client has either sent what its form
// sends at once, failed to connect, or been blocked. Clients that still proceed are
// awaited up to the limit.
func (f *Flood) AwaitSettled(quiet, limit time.Duration) {
	sent := make(chan struct{})
	go func() {
		defer close(sent)
		f.sending.Wait()
	}()
	end := time.NewTimer(limit)
	defer end.Stop()
	ticker := time.NewTicker(stepCheckInterval)
	defer ticker.Stop()
	steps, changed := f.steps.Load(), time.Now()
	for time.Since(changed) < quiet {
		select {
		case <-sent:
			time.Sleep(quiet)
			return
		case <-end.C:
			time.Sleep(quiet)
			return
		case <-ticker.C:
			if now := f.steps.Load(); now != steps {
				steps, changed = now, time.Now()
			}
		}
	}
}

// Refused returns the number of clients that could not connect.
func (f *Flood) Refused() int64 { return f.refused.Load() }

// Stop closes all connections and waits until the clients have ended.
func (f *Flood) Stop() {
	f.cancel()
	f.clients.Wait()
}
