package exchange

import (
	"context"
	"net"
	"sync/atomic"

	"github.com/uber-go/tally/v4"
)

// byteCounters counts the bytes that the service receives and sends, including
// headers. It is safe for concurrent use; registerMetrics must be called before.
type byteCounters struct {
	received atomic.Uint64
	sent     atomic.Uint64
	// receivedMetric and sentMetric are nil without a metrics service.
	receivedMetric tally.Counter
	sentMetric     tally.Counter
}

func (b *byteCounters) registerMetrics(scope tally.Scope) {
	b.receivedMetric = scope.Counter("control_received_bytes")
	b.sentMetric = scope.Counter("control_sent_bytes")
}

func (b *byteCounters) addReceived(n int) {
	b.received.Add(uint64(n))
	if b.receivedMetric != nil {
		b.receivedMetric.Inc(int64(n))
	}
}

func (b *byteCounters) addSent(n int) {
	b.sent.Add(uint64(n))
	if b.sentMetric != nil {
		b.sentMetric.Inc(int64(n))
	}
}

type dialFunc func(ctx context.Context, network, address string) (net.Conn, error)

func (b *byteCounters) countDial(dial dialFunc) dialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &countingConn{Conn: conn, bytes: b}, nil
	}
}

type countingListener struct {
	net.Listener
	bytes *byteCounters
}

// Accept implements net.Listener.
func (l *countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &countingConn{Conn: conn, bytes: l.bytes}, nil
}

type countingConn struct {
	net.Conn
	bytes *byteCounters
}

// Read implements net.Conn.
func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.addReceived(n)
	return n, err
}

// Write implements net.Conn.
func (c *countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.addSent(n)
	return n, err
}
