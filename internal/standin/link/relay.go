package link

import (
	"net"
	"time"
)

// direction is a way through the link.
type direction bool

const (
	forward direction = true
	back    direction = false
)

const (
	// chunkBytes is the largest piece that is delayed as one.
	chunkBytes = 32 << 10
	// chunksInFlight bounds the pieces under way in one direction.
	chunksInFlight = 256
)

// chunk is a piece of the stream and the time at which it arrives.
type chunk struct {
	data []byte
	due  time.Time
}

// relay moves bytes from one connection to the other. At the end of the stream
// it closes the other's sending side.
func (l *Link) relay(from, to net.Conn, d direction, p *pair) {
	chunks := make(chan chunk, chunksInFlight)
	go l.receive(from, chunks)
	var sent int64
	for c := range chunks {
		if !l.waitUntilOpen(d) || !l.waitUntil(c.due) {
			break
		}
		data, truncated := l.truncate(c.data, sent, d)
		n, err := to.Write(data)
		sent += int64(n)
		if err != nil || truncated {
			p.close()
			break
		}
	}
	closeWrite(to)
	for range chunks { // lets receive end
		p.close()
	}
}

// receive reads chunks until the stream ends.
func (l *Link) receive(from net.Conn, chunks chan<- chunk) {
	defer close(chunks)
	for {
		buffer := make([]byte, chunkBytes)
		n, err := from.Read(buffer)
		if n > 0 {
			chunks <- chunk{data: buffer[:n], due: time.Now().Add(l.delay())}
		}
		if err != nil {
			return
		}
	}
}

// delay returns the one-way delay of the next chunk.
func (l *Link) delay() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	d := l.state.Delay
	if l.state.Jitter > 0 {
		d += time.Duration(l.random.Int64N(int64(l.state.Jitter)))
	}
	return d
}

// waitUntil returns at the given time, and false if the link closes before.
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

// waitUntilOpen returns once the direction is not cut, and false if the link
// closes before.
func (l *Link) waitUntilOpen(d direction) bool {
	for {
		l.mu.Lock()
		cut := (d == forward && l.state.CutForward) || (d == back && l.state.CutBack)
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

// truncate returns the part of data that may still pass and whether the
// connection ends after it.
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
