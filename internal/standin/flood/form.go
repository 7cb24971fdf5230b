package flood

import (
	"context"
	"fmt"
	"net"
	"strings"
	"sync/atomic"
	"time"
)

// Form is a kind of hostile request.
type Form struct {
	Name string
	send func(c *client)
}

// The sizes of requests, in bytes unless they say otherwise.
const (
	// bufferedBody is one byte more than nodes keep of a body.
	bufferedBody = 65_001
	largeBody    = 1 << 20
	// excessiveBody is far over any limit; excessiveSent is how much of it is sent at most.
	excessiveBody = 1 << 30
	excessiveSent = 4 << 20
	pieceBytes    = 1000
	// headBytes is below the limit of 16,384 bytes for a header.
	headBytes = 16_000
	// pipelinedRequests are sent on each connection.
	pipelinedRequests = 2000
	// responsePadding is the size of the response that a client does not read.
	responsePadding = 540_000
	// trickleInterval is the time between two bytes of a slow client.
	trickleInterval = 100 * time.Millisecond
)

// Forms returns all forms.
func Forms() []Form {
	return []Form{
		{"body at once", func(c *client) { c.post(bufferedBody); c.body(bufferedBody-1, bufferedBody) }},
		{"body in pieces", func(c *client) { c.post(bufferedBody); c.body(bufferedBody-1, pieceBytes) }},
		{"chunked body", func(c *client) { c.postChunked(""); c.chunks(bufferedBody / pieceBytes) }},
		{"chunked body with unfinished trailer", func(c *client) {
			c.postChunked("Trailer: X-Sum\r\n")
			c.chunks(bufferedBody / pieceBytes)
			c.write("0\r\nX-Sum: " + shortFields(pieceBytes))
		}},
		{"large body", func(c *client) { c.post(largeBody); c.body(largeBody-1, bufferedBody) }},
		{"body over the limit", func(c *client) { c.post(excessiveBody); c.body(excessiveSent, bufferedBody) }},
		{"chunked body over the limit", func(c *client) { c.postChunked(""); c.chunks(excessiveSent / pieceBytes) }},
		{"short fields", func(c *client) { c.write(c.head("POST", "Content-Length: 2\r\n"+shortFields(headBytes)) + "x") }},
		{"short fields, unfinished", func(c *client) {
			c.write(strings.TrimSuffix(c.head("GET", shortFields(headBytes)), "\r\n"))
		}},
		{"pipelined requests", func(c *client) { c.pipeline() }},
		{"slow head", func(c *client) { c.trickle(c.head("GET", shortFields(headBytes))) }},
		{"slow body", func(c *client) { c.post(bufferedBody); c.trickle(strings.Repeat("x", bufferedBody)) }},
		{"unread response", func(c *client) {
			c.write(c.headOf("GET", fmt.Sprintf("%s?size=%d", c.target.Path, responsePadding), ""))
		}},
		{"idle", func(*client) {}},
	}
}

// client is one connection of a flood. Errors of writes are ignored: the server may
// close the connection.
type client struct {
	ctx    context.Context
	conn   net.Conn
	target Target
	// sent reports that the client has sent what it sends at once.
	sent func()
	// steps counts the writes of all clients.
	steps *atomic.Int64
}

func (c *client) write(text string) bool {
	_, err := c.conn.Write([]byte(text))
	c.steps.Add(1)
	return err == nil
}

func (c *client) head(method, fields string) string { return c.headOf(method, c.target.Path, fields) }

func (c *client) headOf(method, path, fields string) string {
	return method + " " + path + " HTTP/1.1\r\nHost: " + c.target.Host + "\r\n" + c.target.Fields + fields + "\r\n"
}

func (c *client) post(length int) {
	c.write(c.head("POST", fmt.Sprintf("Content-Type: application/protobuf\r\nContent-Length: %d\r\n", length)))
}

func (c *client) postChunked(fields string) {
	c.write(c.head("POST", "Content-Type: application/protobuf\r\nTransfer-Encoding: chunked\r\n"+fields))
}

// body sends n bytes in pieces.
func (c *client) body(n, piece int) {
	text := strings.Repeat("x", min(n, piece))
	for ; n > 0; n -= piece {
		if !c.write(text[:min(n, piece)]) {
			return
		}
	}
}

// chunks sends n chunks, but not the end of the body.
func (c *client) chunks(n int) {
	chunk := fmt.Sprintf("%x\r\n%s\r\n", pieceBytes, strings.Repeat("x", pieceBytes))
	for range n {
		if !c.write(chunk) {
			return
		}
	}
}

// pipeline sends many requests and reads no response.
func (c *client) pipeline() {
	request := c.head("GET", "")
	const batch = 100
	for range pipelinedRequests / batch {
		if !c.write(strings.Repeat(request, batch)) {
			return
		}
	}
}

// trickle sends a text slowly, one byte at a time.
func (c *client) trickle(text string) {
	c.sent()
	ticker := time.NewTicker(trickleInterval)
	defer ticker.Stop()
	for i := range len(text) {
		select {
		case <-ticker.C:
		case <-c.ctx.Done():
			return
		}
		if !c.write(text[i : i+1]) {
			return
		}
	}
}

// shortFields returns as many header fields as fit into n bytes, with distinct names of
// up to three characters and no value.
func shortFields(n int) string {
	const letters = "abcdefghijklmnopqrstuvwxyz"
	var b strings.Builder
	for i := 0; b.Len() < n-len("aaa:\r\n"); i++ {
		b.WriteByte(letters[i%len(letters)])
		b.WriteByte(letters[i/len(letters)%len(letters)])
		b.WriteByte(letters[i/len(letters)/len(letters)%len(letters)])
		b.WriteString(":\r\n")
	}
	return b.String()
}
