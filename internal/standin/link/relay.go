package link

import (
	"net"
	"time"
)

// direction is the direction of a stream: forward is towards the target.
type direction bool

const (
	forward  direction = true
	backward direction = false
)

const (
	// chunkBytes is the maximum size of a chunk.
	chunkBytes = 32 << 10
	// maxChunksInFlight bounds the delayed chunks of one stream.
	maxChunksInFlight = 256
)

// chunk is a part of a stream that is delayed as a whole.
type chunk struct {
	data []byte
	// due is the earliest time at which the chunk is sent.
	due time.Time
}

// relay copies one stream to the other connection. At the end of the stream it
// closes the write side of that connection.
func (l *Link) relay(from, to net.Conn, d direction, pair *connectionPair) {
	chunks := make(chan chunk, maxChunksInFlight)
	go l.readChunks(from, chunks)
	var sent int64
	for c := range chunks {
		if !l.waitUntilOpen(d) || !l.waitUntil(c.due) {
			break
		}
		data, truncated := l.truncate(c.data, sent, d)
		n, err := to.Write(data)
		sent += int64(n)
		if err != nil || truncated {
			pair.close()
			break
		}
	}
	closeWrite(to)
	for range chunks { // unblocks readChunks so that it ends
		pair.close()
	}
}

// readChunks closes the channel when the stream ends.
func (l *Link) readChunks(from net.Conn, chunks chan<- chunk) {
	defer close(chunks)
	for {
		buffer := make([]byte, chunkBytes)
		n, err := from.Read(buffer)
		if n > 0 {
			chunks <- chunk{data: buffer[:n], due: time.Now().Add(l.nextDelay())}
		}
		if err != nil {
			return
		}
	}
}

// nextDelay returns the one-way delay of the next chunk.
func (l *Link) nextDelay() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	d := l.state.Delay
	if l.state.Jitter > 0 {
		d += time.Duration(l.random.Int64N(int64(l.state.Jitter)))
	}
	return d
}

// waitUntil waits until due. It returns false if the link is closed before.
func (l *Link) waitUntil(due time.Time) bool {
	wait := time.Until(due)
	if wait <= 0 {
		return true
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-l.done:
		return false
	}
}

// waitUntilOpen waits until the direction is not cut. It returns false if the link
// is closed before.
func (l *Link) waitUntilOpen(d direction) bool {
	for {
		l.mu.Lock()
		cut := (d == forward && l.state.CutForward) || (d == backward && l.state.CutBack)
		changed := l.changed
		l.mu.Unlock()
		if !cut {
			return true
		}
		select {
		case <-changed:
		case <-l.done:
			return false
		}
	}
}

// truncate returns the part of data that may still be sent, and whether the
// connection must be closed after it.
func (l *Link) truncate(data []byte, sent int64, d direction) ([]byte, bool) {
	limit := l.State().TruncateAfter
	if d == forward || limit == 0 || sent+int64(len(data)) < limit {
		return data, false
	}
	return data[:max(limit-sent, 0)], true
}

func closeWrite(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.CloseWrite()
	}
}
