package gate_test

import (
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/galenalever/galenalever/internal/model"
)

// TestUnclearLengthIsNotComplete guards against a response whose length is given, but not
// read, and which then ends wherever its connection ends.
func TestUnclearLengthIsNotComplete(t *testing.T) {
	for name, test := range map[string]struct {
		lines, body string
		want        model.Outcome
	}{
		"length with a space":         {"Content-Length : 4\r\n", "part", model.OutcomeUnknown},
		"cut, length with a space":    {"Content-Length : 8\r\n", "part", model.OutcomeUnknown},
		"lower case":                  {"content-length : 8\r\n", "part", model.OutcomeUnknown},
		"chunked with a space":        {"Transfer-Encoding : chunked\r\n", "8\r\npart", model.OutcomeUnknown},
		"two lengths":                 {"Content-Length: 4\r\nContent-Length: 5\r\n", "part", model.OutcomeUnknown},
		"two lengths in one line":     {"Content-Length: 4, 5\r\n", "part", model.OutcomeUnknown},
		"empty length":                {"Content-Length: \r\n", "part", model.OutcomeUnknown},
		"signed length":               {"Content-Length: +4\r\n", "part", model.OutcomeUnknown},
		"unknown coding":              {"Transfer-Encoding: gzip, chunked\r\n", "4\r\npart\r\n0\r\n\r\n", model.OutcomeUnknown},
		"chunked twice":               {"Transfer-Encoding: chunked, chunked\r\n", "4\r\npart\r\n0\r\n\r\n", model.OutcomeUnknown},
		"other header with a space":   {"X-Other : a\r\nContent-Length: 4\r\n", "part", model.OutcomeAnswered},
		"length":                      {"Content-Length: 4\r\n", "part", model.OutcomeAnswered},
		"no length, end of stream":    {"", "part", model.OutcomeAnswered},
		"chunked and length, chunked": {"Content-Length: 2\r\nTransfer-Encoding: chunked\r\n", "4\r\npart\r\n0\r\n\r\n", model.OutcomeAnswered},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			n := startRawServer(t, nil, func(conn *net.TCPConn, _ *http.Request) {
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n"+test.lines+"\r\n"+test.body)
				_ = conn.CloseWrite()
			})
			outcome, status, body := n.post(t, "r1")
			if outcome != test.want || outcome == model.OutcomeAnswered && (status != http.StatusOK || body != "part") {
				t.Errorf("%s %d %q", outcome, status, body)
			}
		})
	}
}
