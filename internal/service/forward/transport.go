package forward

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/galenalever/galenalever/internal/call"
	"github.com/galenalever/galenalever/internal/model"
)

const (
	// dialTimeout bounds the opening of a connection to a gate.
	dialTimeout = 500 * time.Millisecond
	// idleTimeout closes idle connections before the gate does.
	idleTimeout = 20 * time.Second
	// keepAlivePeriod is the time between TCP keep-alive probes of a connection.
	keepAlivePeriod = 15 * time.Second
	// The maximum numbers of idle connections to one gate and to all gates.
	shortIdlePerGate = 8
	shortIdle        = 128
	longIdlePerGate  = 1
	longIdle         = 16
	// maxHeaderBytes bounds the size of a response's header.
	maxHeaderBytes = 256 << 10
	// continueTimeout bounds the wait for a gate's 100 Continue response, which the
	// gate sends once the request has a slot.
	continueTimeout = time.Minute
)

// transports holds the connections to gates. Requests of the short and the long class
// use separate connections.
type transports struct {
	short, long *http.Transport
	// singleUse opens a connection for each request. If a reused connection turns out
	// to be closed, http.Transport repeats some requests by itself; on a new connection
	// it never does.
	singleUse *http.Transport
}

func newTransports() *transports {
	single := newTransport(0, 0)
	single.DisableKeepAlives = true
	return &transports{
		short:     newTransport(shortIdlePerGate, shortIdle),
		long:      newTransport(longIdlePerGate, longIdle),
		singleUse: single,
	}
}

func newTransport(idlePerHost, idle int) *http.Transport {
	dialer := &net.Dialer{Timeout: dialTimeout, KeepAlive: keepAlivePeriod}
	return &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return &writeCountingConn{Conn: conn}, nil
		},
		DisableCompression:     true,
		MaxIdleConns:           idle,
		MaxIdleConnsPerHost:    idlePerHost,
		IdleConnTimeout:        idleTimeout,
		MaxResponseHeaderBytes: maxHeaderBytes,
		ExpectContinueTimeout:  continueTimeout,
	}
}

// forRequest returns the transport for a request.
func (t *transports) forRequest(q *call.Request) *http.Transport {
	switch {
	case q.Body.Streamed() || !q.Route.Idempotent && replayedByMethod(q):
		return t.singleUse
	case q.Route.Class == model.ClassLong:
		return t.long
	default:
		return t.short
	}
}

// replayedByMethod reports whether http.Transport, because of the method, would repeat
// the request if a reused connection turns out to be closed.
func replayedByMethod(q *call.Request) bool {
	if q.Body.Length() != 0 {
		return false
	}
	switch q.Method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace:
		return true
	}
	return false
}

func (t *transports) closeIdle() {
	t.short.CloseIdleConnections()
	t.long.CloseIdleConnections()
	t.singleUse.CloseIdleConnections()
}
