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
		Spliced:          isSpliced(r), Incomplete: result.Incomplete,
	}
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
