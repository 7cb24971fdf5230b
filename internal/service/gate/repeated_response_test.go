package gate_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/galenalever/galenalever/internal/frontend"
	"github.com/galenalever/galenalever/internal/hop"
	"github.com/galenalever/galenalever/internal/model"
)

// idHeaders is a header protocol whose servers repeat the ID of the request and state
// in which responses the request did not run. A misdirected response names no request.
type idHeaders struct{ frontend.Native }

func (idHeaders) FromServer(status int, h http.Header) frontend.ServerResponse {
	r := frontend.ServerResponse{ID: model.RequestID(h.Get("X-Id")), NotRun: h.Get("X-Not-Run") != ""}
	if status == http.StatusMisdirectedRequest {
		r.NotRun, r.WithoutID = true, r.ID == ""
	}
	return r
}

// repeatingServer refuses the first request of a connection if its ID is "a". To the next
// one it writes copies before the answer, and runs the request all the same.
type repeatingServer struct {
	// refusal is the first response, copies are what precedes the second one.
	refusal, copies string
	// ran receives the ID of each request that ran.
	ran chan string
}

func (s *repeatingServer) serve(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go s.serveConn(conn)
	}
}

func (s *repeatingServer) serveConn(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	copies := ""
	for first := true; ; first = false {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if r.URL.Path == "/healthz" {
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
			return
		}
		id := r.Header.Get("X-Request")
		if id == "a" && first {
			_, _ = io.WriteString(conn, s.refusal)
			copies = s.copies
			continue
		}
		s.ran <- id
		_, _ = fmt.Fprintf(conn, "%sHTTP/1.1 200 OK\r\nX-Id: %s\r\nContent-Length: 2\r\n\r\nok", copies, id)
		copies = ""
	}
}

// TestRepeatedResponseIsNotBelieved guards against a server that writes an earlier
// response once more on a kept connection. The next request must not be reported as not
// run, since the server runs it, and must not get a response that is not its own; the one
// after it is answered on another connection.
func TestRepeatedResponseIsNotBelieved(t *testing.T) {
	const (
		refusal     = "HTTP/1.1 503 Service Unavailable\r\nX-Id: a\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"
		misdirected = "HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n"
		withBody    = "HTTP/1.1 503 Service Unavailable\r\nX-Id: a\r\nX-Not-Run: 1\r\nContent-Length: 4\r\n\r\nfull"
		chunked     = "HTTP/1.1 503 Service Unavailable\r\nX-Id: a\r\nX-Not-Run: 1\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nfull\r\n0\r\n\r\n"
		answer      = "HTTP/1.1 200 OK\r\nX-Id: a\r\nContent-Length: 3\r\n\r\nold"
		interim     = "HTTP/1.1 103 Early Hints\r\nX-Id: a\r\n\r\n"
	)
	for name, test := range map[string]struct {
		first, copies string
		// second is the ID of the second request.
		second string
	}{
		"refusal":                   {refusal, refusal, "b"},
		"refusal, twice":            {refusal, refusal + refusal, "b"},
		"refusal with a body":       {withBody, withBody, "b"},
		"refusal in chunks":         {chunked, chunked, "b"},
		"refusal after interim":     {refusal, interim + refusal, "b"},
		"refusal of the same ID":    {refusal, refusal, "a"}, // sent again on the same connection
		"refusal without an ID":     {refusal, misdirected, "b"},
		"answer of another request": {refusal, answer, "b"},
	} {
		for _, method := range []string{http.MethodGet, http.MethodPost} {
			t.Run(name+" "+method, func(t *testing.T) {
				n, server := startRepeatingServer(t, test.first, test.copies)
				if outcome, _ := n.exchange(t, method, "a"); outcome != model.OutcomeNotRun {
					t.Fatalf("the first request: %s", outcome)
				}
				outcome, body := n.exchange(t, method, test.second)
				if id := <-server.ran; id != test.second {
					t.Fatalf("request %q ran", id)
				}
				if outcome == model.OutcomeNotRun || outcome == model.OutcomeAnswered && body != "ok" {
					t.Errorf("the second request ran and was reported as %s with body %q", outcome, body)
				}
				if outcome, body := n.exchange(t, method, "c"); outcome != model.OutcomeAnswered || body != "ok" {
					t.Errorf("the third request: %s with body %q", outcome, body)
				}
			})
		}
	}
}

func startRepeatingServer(t *testing.T, refusal, copies string) (*node, *repeatingServer) {
	t.Helper()
	clk := newTestClock()
	members := &memberList{headers: idHeaders{}}
	n := startNode("a", clk, &ledger{runs: map[string]int{}}, members, &model.Service{Name: serviceName, Slots: 1, Queue: 2})
	t.Cleanup(n.close)
	n.server.crash()
	waitFor(func() bool { return !n.backend.Available() })
	listener := listenOn(n.server.address)
	t.Cleanup(func() { listener.Close() })
	server := &repeatingServer{refusal: refusal, copies: copies, ran: make(chan string, 8)}
	go server.serve(listener)
	waitFor(n.backend.Available)
	clk.healthChecksPaused.Store(true)
	return n, server
}

// exchange sends a request to the gate and returns the outcome that the gate reports and
// the body.
func (n *node) exchange(t *testing.T, method, id string) (model.Outcome, string) {
	t.Helper()
	response, err := n.send(t, method, id)
	if err != nil {
		return model.OutcomeUnknown, ""
	}
	defer response.Body.Close()
	outcome, _, body := readOutcome(t, response)
	return outcome, body
}

// send sends a request to the gate on a connection of its own.
func (n *node) send(t *testing.T, method, id string) (*http.Response, error) {
	t.Helper()
	r, err := http.NewRequestWithContext(t.Context(), method, "http://"+n.address+"/units", nil)
	must(err)
	r.Header.Set("X-Request", id)
	hop.Request{
		ID: model.RequestID(id), Service: serviceName, Class: model.ClassShort,
		Idempotent: method == http.MethodGet, Attempt: 1, Timeout: time.Second,
	}.Encode(r.Header)
	return (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Do(r)
}

// readOutcome returns the outcome that the gate reports, the status and the body.
func readOutcome(t *testing.T, response *http.Response) (model.Outcome, int, string) {
	t.Helper()
	body, err := io.ReadAll(response.Body)
	head, ok := hop.DecodeResponse(response.Header)
	if !ok || err != nil {
		t.Fatalf("response %s: %v", response.Status, err)
	}
	return head.Outcome, response.StatusCode, string(body)
}
