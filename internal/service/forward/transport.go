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
	// idleTimeout closes unused connections, before the gate does.
	idleTimeout = 20 * time.Second
	// keepAlivePeriod is the time between probes of an idle connection.
	keepAlivePeriod = 15 * time.Second
	// The bounds of unused connections, for one gate and for all of them.
	shortIdlePerGate = 8
	shortIdle        = 128
	longIdlePerGate  = 1
	longIdle         = 16
	// maxHeaderBytes bounds the header of an answer.
	maxHeaderBytes = 256 << 10
	// continueTimeout bounds the wait for a gate to ask for a streamed body. A
	// gate asks once the request has a slot.
	continueTimeout = time.Minute
)

// transports holds the connections to gates. Short and long requests do not
// share any.
type transports struct {
	short, long *http.Transport
	// single uses each connection for one request. http.Transport repeats some
	// requests by itself when a reused connection turns out dead, and never on
	// a fresh one.
	single *http.Transport
}

func newTransports() *transports {
	single := newTransport(0, 0)
	single.DisableKeepAlives = true
	return &transports{
		short:  newTransport(shortIdlePerGate, shortIdle),
		long:   newTransport(longIdlePerGate, longIdle),
		single: single,
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
			return &countedConn{Conn: conn}, nil
		},
		DisableCompression:     true,
		MaxIdleConns:           idle,
		MaxIdleConnsPerHost:    idlePerHost,
		IdleConnTimeout:        idleTimeout,
		MaxResponseHeaderBytes: maxHeaderBytes,
		ExpectContinueTimeout:  continueTimeout,
	}
}

// forRequest returns the transport that suits a request.
func (t *transports) forRequest(q *call.Request) *http.Transport {
	switch {
	case q.Body.Streamed() || !q.Route.Idempotent && replayedByMethod(q):
		return t.single
	case q.Route.Class == model.ClassLong:
		return t.long
	default:
		return t.short
	}
}

// replayedByMethod reports whether http.Transport would repeat the request on
// a dead reused connection because of its method, whatever its headers.
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
	t.single.CloseIdleConnections()
}
