package forward

import (
	"net/http"
	"net/textproto"
	"strings"
)

// hopByHopHeaders apply to a single connection and are never forwarded.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect",
}

// endToEndHeaders returns a copy of the headers without the hop-by-hop headers, with
// room for extraCapacity more. The values are shared with h.
func endToEndHeaders(h http.Header, extraCapacity int) http.Header {
	out := make(http.Header, len(h)+extraCapacity)
	for name, values := range h {
		out[name] = values
	}
	for _, list := range h["Connection"] {
		for name := range strings.SplitSeq(list, ",") {
			out.Del(textproto.TrimString(name))
		}
	}
	for _, name := range hopByHopHeaders {
		delete(out, name)
	}
	return out
}

// keepUserAgent prevents http.Transport from adding a User-Agent of its own.
func keepUserAgent(h http.Header) {
	if _, ok := h["User-Agent"]; !ok {
		h["User-Agent"] = nil
	}
}

// replayHeaders are the headers that allow http.Transport to repeat a request without a
// body by itself. It checks only their canonical spelling.
var replayHeaders = []string{"Idempotency-Key", "X-Idempotency-Key"}

// hideReplayHeaders changes the names of replayHeaders to lower case, so that
// http.Transport does not find them. Header names are case-insensitive for servers.
func hideReplayHeaders(h http.Header) {
	for _, name := range replayHeaders {
		if values, ok := h[name]; ok {
			delete(h, name)
			h[strings.ToLower(name)] = values
		}
	}
}
