package gate_test

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/galenalever/galenalever/internal/frontend"
	"github.com/galenalever/galenalever/internal/model"
)

// sealHeaders is idHeaders with servers that also seal each success.
type sealHeaders struct{ idHeaders }

func (p sealHeaders) FromServer(status int, h http.Header) frontend.ServerResponse {
	r := p.idHeaders.FromServer(status, h)
	r.Incomplete = !r.NotRun && status < 300 && h.Get("X-Seal") == ""
	return r
}

// TestCompletedHeadIsNotBelieved guards against a head that broke off and was ended by
// other bytes: the success lacks the headers that were still to come, and its
// Content-Length may be short.
func TestCompletedHeadIsNotBelieved(t *testing.T) {
	n := startRawServer(t, sealHeaders{}, func(conn *net.TCPConn, r *http.Request) {
		id := r.Header.Get("X-Request")
		if strings.HasPrefix(id, "cut") {
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Id: %s\r\nContent-Length: 1\r\n\r\n%s", id, id)
			return
		}
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Id: %s\r\nX-Seal: s\r\nContent-Length: %d\r\n\r\n%s", id, len(id), id)
	})
	for i := range 4 {
		if outcome, status, body := n.post(t, fmt.Sprint("cut", i)); outcome != model.OutcomeUnknown || status != http.StatusBadGateway {
			t.Errorf("without a seal: %s %d %q", outcome, status, body)
		}
		id := fmt.Sprint("whole", i)
		if outcome, status, body := n.post(t, id); outcome != model.OutcomeAnswered || status != http.StatusOK || body != id {
			t.Errorf("with a seal: %s %d %q", outcome, status, body)
		}
	}
}
