package gate

import (
	"net/http"
	"strings"

	"github.com/galenalever/galenalever/internal/decision/responsematch"
)

// matchOf returns what a response of the server says about its request.
func (s *Service) matchOf(r *http.Response) responsematch.Response {
	result := s.headers.FromServer(r.StatusCode, r.Header)
	return responsematch.Response{
		ID: result.ID, WithoutID: result.WithoutID, NotRun: result.NotRun,
		SwitchesProtocol: r.StatusCode == http.StatusSwitchingProtocols,
		NotFinal:         r.StatusCode < http.StatusOK, // the transport handles interim responses
		UnclearLength:    hasUnclearLength(r),
		Spliced:          isSpliced(r), Incomplete: result.Incomplete,
	}
}

// hasUnclearLength reports whether a response has a space after the name of a header that
// gives its length. net/http does not read such a header, and would take any end of the
// connection for the end of the body.
func hasUnclearLength(r *http.Response) bool {
	for name := range r.Header {
		if !strings.HasSuffix(name, " ") {
			continue
		}
		switch http.CanonicalHeaderKey(strings.TrimRight(name, " ")) {
		case "Content-Length", "Transfer-Encoding":
			return true
		}
	}
	return false
}

// isSpliced reports whether the head of a response contains a second status line. A server
// that breaks off in a line of one head and then writes another response to the connection
// makes that line end with the status line of the other response.
func isSpliced(r *http.Response) bool {
	if endsWithStatusLine(r.Status) {
		return true
	}
	for _, values := range r.Header {
		for _, value := range values {
			if endsWithStatusLine(value) {
				return true
			}
		}
	}
	return false
}

// endsWithStatusLine reports whether a text ends with a status line of HTTP/1.0 or 1.1.
func endsWithStatusLine(text string) bool {
	const protocol = "HTTP/1."
	i := strings.LastIndex(text, protocol)
	if i < 0 {
		return false
	}
	minor, rest, _ := strings.Cut(text[i+len(protocol):], " ")
	status, _, _ := strings.Cut(rest, " ")
	return (minor == "0" || minor == "1") && len(status) == 3 && strings.Trim(status, "0123456789") == ""
}
