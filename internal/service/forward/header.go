package forward

import (
	"net/http"
	"net/textproto"
	"strings"
)

// connectionHeaders concern one connection and are never forwarded.
var connectionHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect",
}

// endToEnd returns a copy of the headers without those that concern one
// connection. The values are shared.
func endToEnd(h http.Header, extra int) http.Header {
	out := make(http.Header, len(h)+extra)
	for name, values := range h {
		out[name] = values
	}
	for _, list := range h["Connection"] {
		for name := range strings.SplitSeq(list, ",") {
			out.Del(textproto.TrimString(name))
		}
	}
	for _, name := range connectionHeaders {
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

// The headers by which http.Transport takes a request without a body for one
// that it may repeat on its own. It looks only at the canonical spelling.
var replayHeaders = []string{"Idempotency-Key", "X-Idempotency-Key"}

// hideReplayHeaders spells those headers in lower case, which means the same to
// every HTTP server.
func hideReplayHeaders(h http.Header) {
	for _, name := range replayHeaders {
		if values, ok := h[name]; ok {
			delete(h, name)
			h[strings.ToLower(name)] = values
		}
	}
}
