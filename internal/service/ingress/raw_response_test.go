package ingress_test

import (
	"bytes"
	"fmt"
	"hash/crc32"
	"net"
	"strconv"
	"strings"
	"time"
)

// framing writes a response. Extra is a header line, or empty.
type framing struct {
	name, method string
	write        func(extra, seal, body string) string
	// stream is true if the response has no length and ends with its connection.
	stream bool
}

// sealOf returns the value of the header X-Seal that a server sends with a body.
func sealOf(body string) string {
	return fmt.Sprintf("%d.%08x", len(body), crc32.ChecksumIEEE([]byte(body)))
}

// head returns a function that writes a head with the lines and then the body.
func head(lines ...string) func(string, string, string) string {
	return func(extra, seal, body string) string {
		text := strings.Join(lines, "\r\n") + "\r\n" + extra + "X-Seal: " + seal + "\r\n\r\n" + body
		return strings.ReplaceAll(text, "LENGTH", strconv.Itoa(len(body)))
	}
}

// chunked returns a function that writes a body in two chunks before the trailers.
func chunked(trailers string, lines ...string) func(string, string, string) string {
	return func(extra, seal, body string) string {
		half := len(body) / 2
		chunks := fmt.Sprintf("%x\r\n%s\r\n%X;a=b\r\n%s\r\n0\r\n%s\r\n", half, body[:half], len(body)-half, body[half:], trailers)
		return head(append(lines, "Transfer-Encoding: chunked")...)(extra, seal, chunks)
	}
}

func bareNewlines(extra, seal, body string) string {
	return strings.ReplaceAll(head("HTTP/1.1 200 OK", "Content-Length: LENGTH")(extra, seal, body), "\r\n", "\n")
}

var framings = []framing{
	{name: "length", write: head("HTTP/1.1 200 OK", "Content-Length: LENGTH")},
	{name: "close and length", write: head("HTTP/1.1 200 OK", "Connection: close", "Content-Length: LENGTH")},
	{name: "repeated length", write: head("HTTP/1.1 200 OK", "Content-Length: LENGTH", "Content-Length: LENGTH")},
	{name: "folded header", write: head("HTTP/1.1 200 OK", "Content-Length: LENGTH", "X-Other: a", "\tb")},
	{name: "interim", write: head("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\nHTTP/1.1 200 OK", "Content-Length: LENGTH")},
	{name: "HTTP/1.0 with length", write: head("HTTP/1.0 200 OK", "Content-Length: LENGTH")},
	{name: "chunked", write: chunked("", "HTTP/1.1 200 OK")},
	{name: "chunked with trailers", write: chunked("X-Sum: 1\r\nX-End: 2\r\n", "HTTP/1.1 201 Created", "Trailer: X-Sum, X-End")},
	{name: "chunked and length", write: chunked("", "HTTP/1.1 200 OK", "Content-Length: 5")},
	{name: "no length", write: head("HTTP/1.1 200 OK"), stream: true},
	{name: "close and no length", write: head("HTTP/1.1 200 OK", "Connection: close"), stream: true},
	{name: "HTTP/1.0 without length", write: head("HTTP/1.0 200 OK"), stream: true},
	{name: "HEAD", method: "HEAD", write: func(extra, seal, _ string) string {
		return head("HTTP/1.1 200 OK", "Content-Length: 40")(extra, seal, "")
	}},
	{name: "no content", write: func(extra, seal, _ string) string { return head("HTTP/1.1 204 No Content")(extra, seal, "") }},
}

// rawResponse is a response as a caller reads it from its connection.
type rawResponse struct {
	status  int
	header  map[string]string
	body    string
	whole   bool
	invalid string // why the bytes are no response
	rest    []byte
}

// parseRaw parses the first final response in data, without net/http. A response is whole
// only if its framing says so.
func parseRaw(data []byte, method string) rawResponse {
	text, rest, ok := bytes.Cut(data, []byte("\r\n\r\n"))
	if !ok {
		return rawResponse{}
	}
	lines := strings.Split(string(text), "\r\n")
	r := rawResponse{header: make(map[string]string)}
	if n, err := fmt.Sscanf(lines[0], "HTTP/1.1 %3d", &r.status); n != 1 || err != nil {
		return rawResponse{invalid: lines[0]}
	}
	for _, line := range lines[1:] {
		name, value, ok := strings.Cut(line, ": ")
		if _, repeated := r.header[strings.ToLower(name)]; !ok || repeated {
			r.invalid = line
		}
		r.header[strings.ToLower(name)] = value
	}
	if r.status < 200 {
		return parseRaw(rest, method)
	}
	r.parseBody(rest, method)
	return r
}

func (r *rawResponse) parseBody(data []byte, method string) {
	length, hasLength := r.header["content-length"]
	size, err := strconv.Atoi(length)
	switch {
	case method == "HEAD" || r.status == 204 || r.status == 304:
		r.whole, r.rest = true, data
	case r.header["transfer-encoding"] == "chunked" && !hasLength:
		r.parseChunks(data)
	case !hasLength || err != nil:
		r.invalid = "a response without length"
	case len(data) >= size:
		r.body, r.whole, r.rest = string(data[:size]), true, data[size:]
	}
}

func (r *rawResponse) parseChunks(data []byte) {
	for {
		line, rest, ok := bytes.Cut(data, []byte("\r\n"))
		if !ok {
			return
		}
		size, err := strconv.ParseInt(string(line), 16, 64)
		if err != nil {
			r.invalid = "chunk " + string(line)
			return
		}
		if size == 0 {
			// Trailers end with an empty line.
			if after, found := bytes.CutPrefix(rest, []byte("\r\n")); found {
				r.whole, r.rest = true, after
			} else if _, after, found := bytes.Cut(rest, []byte("\r\n\r\n")); found {
				r.whole, r.rest = true, after
			}
			return
		}
		if int64(len(rest)) < size+2 {
			return
		}
		r.body += string(rest[:size])
		data = rest[size+2:]
	}
}

// readRaw reads a response from conn until it is whole or the connection ends.
func readRaw(conn net.Conn, method string) rawResponse {
	_ = conn.SetReadDeadline(time.Now().Add(5 * time.Second))
	var data []byte
	buffer := make([]byte, 64<<10)
	for {
		n, err := conn.Read(buffer)
		data = append(data, buffer[:n]...)
		r := parseRaw(data, method)
		if len(r.rest) > 0 {
			r.invalid = fmt.Sprintf("%q after the response", r.rest)
		}
		if r.whole || r.invalid != "" || err != nil {
			return r
		}
	}
}
