package ingress_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/galenalever/galenalever/internal/model"
)

// resetResponses are the framings of the responses that break off, without the body.
var resetResponses = map[string]string{
	"no length":             "HTTP/1.1 200 OK\r\nX-Seal: s\r\n%s\r\n",
	"closing":               "HTTP/1.1 200 OK\r\nConnection: close\r\nX-Seal: s\r\n%s\r\n",
	"HTTP 1.0":              "HTTP/1.0 200 OK\r\nX-Seal: s\r\n%s\r\n",
	"after interim":         "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\nHTTP/1.1 200 OK\r\nX-Seal: s\r\n%s\r\n",
	"interim with a length": "HTTP/1.1 199 Odd\r\nContent-Length: 0\r\n\r\nHTTP/1.1 200 OK\r\nX-Seal: s\r\n%s\r\n",
}

// resetServer is a server, or a gate, that resets the connection after a part of its response
// while the upload is still being written. The path of a request names the framing, the
// number of bytes, and whether there is a pause before the reset.
type resetServer struct{}

func (resetServer) handle(conn *net.TCPConn, r *http.Request) {
	if answerHealthCheck(conn, r) {
		return
	}
	extra := gateHeader(r, model.OutcomeAnswered)
	if extra != "" {
		_, _ = io.WriteString(conn, "HTTP/1.1 100 Continue\r\n\r\n")
	}
	fields := strings.Split(r.URL.Path, "/")
	text := fmt.Sprintf(resetResponses[strings.ReplaceAll(fields[2], "-", " ")], extra) + resetBody
	cut, _ := strconv.Atoi(fields[3])
	if head := len(text) - len(resetBody); cut > head-len(extra) {
		cut += len(extra)
	}
	_, _ = io.CopyN(io.Discard, r.Body, 16<<10)
	_, _ = io.WriteString(conn, text[:min(cut, len(text))])
	if fields[4] == "pause" {
		time.Sleep(30 * time.Millisecond)
	}
	_ = conn.SetLinger(0)
	_ = conn.Close()
}

const resetBody = "a part of the body"

// TestResetDuringUploadIsNeverWhole guards against a response without a length that a server
// or a gate resets at any byte, while the upload is still being written, and that a caller
// gets as a whole one.
func TestResetDuringUploadIsNeverWhole(t *testing.T) {
	for _, from := range []string{"server", "gate"} {
		t.Run(from, func(t *testing.T) {
			m := newRawMesh(t)
			address := startRawServer(t, resetServer{}.handle).address()
			if from == "server" {
				m.addRealGate(t, "gate", address)
			} else {
				m.addRawMember("gate", address, 0)
			}
			m.start(0)
			m.publish()
			paths := make(chan string)
			var senders sync.WaitGroup
			for range 16 {
				senders.Go(func() {
					for path := range paths {
						sendReset(t, m.listener.Addr().String(), path)
					}
				})
			}
			for name, framing := range resetResponses {
				for cut := range len(framing) - len("%s") + len(resetBody) + 1 {
					for _, pause := range []string{"pause", "none"} {
						paths <- fmt.Sprintf("/write/%s/%d/%s", strings.ReplaceAll(name, " ", "-"), cut, pause)
					}
				}
			}
			close(paths)
			senders.Wait()
		})
	}
}

// sendReset sends an upload of which the server reads a small part, and checks that the
// response is not a whole success.
func sendReset(t *testing.T, address, path string) {
	const size = 1 << 20
	for range maxResends { // a gate refuses requests while it believes that its server is down
		r := sendUpload(t, address, path, size, true)
		if r.whole && r.status == http.StatusServiceUnavailable {
			time.Sleep(resendDelay)
			continue
		}
		if r.invalid != "" || r.whole && r.status != http.StatusBadGateway && r.status != http.StatusGatewayTimeout {
			t.Errorf("%s: %d %q %s", path, r.status, r.body, r.invalid)
		}
		return
	}
	t.Errorf("%s: refused", path)
}
