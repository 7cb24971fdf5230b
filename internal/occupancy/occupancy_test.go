package occupancy_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/galenalever/galenalever/internal/clock"
	"github.com/galenalever/galenalever/internal/decision/resources"
	"github.com/galenalever/galenalever/internal/occupancy"
)

var limits = resources.Limits{
	Connections: 2, Bytes: 64 << 10, ConnectionBytes: 1 << 10,
	Grace: 100 * time.Millisecond, OpenGrace: 100 * time.Millisecond, IdleGrace: 100 * time.Millisecond, Rate: 1 << 10,
}

// serve starts a guarded server on loopback and returns its account and address.
func serve(t *testing.T, handler http.HandlerFunc) (*occupancy.Account, string) {
	t.Helper()
	return serveWithin(t, limits, handler)
}

func serveWithin(t *testing.T, limits resources.Limits, handler http.HandlerFunc) (*occupancy.Account, string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	account := occupancy.New(clock.System{}, limits)
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute, IdleTimeout: time.Minute}
	guarded := account.Guard(server, listener)
	served := make(chan error, 1)
	go func() { served <- server.Serve(guarded) }()
	t.Cleanup(func() {
		_ = server.Close()
		<-served
		awaitStats(t, account, "after the end of the server", func(s occupancy.Stats) bool { return s.Connections == 0 && s.Bytes == 0 })
	})
	return account, listener.Addr().String()
}

func awaitStats(t *testing.T, a *occupancy.Account, when string, want func(occupancy.Stats) bool) {
	t.Helper()
	end := time.Now().Add(10 * time.Second)
	for !want(a.Stats()) {
		if time.Now().After(end) {
			t.Fatalf("%s: %+v", when, a.Stats())
		}
		time.Sleep(time.Millisecond)
	}
}

func dial(t *testing.T, address, text string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(10 * time.Second))
	if _, err := io.WriteString(conn, text); err != nil {
		t.Fatal(err)
	}
	return conn
}

func readResponse(t *testing.T, r *bufio.Reader) *http.Response {
	t.Helper()
	response, err := http.ReadResponse(r, nil)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		t.Fatal(err)
	}
	return response
}

// TestChargesEndWithTheirRequest guards against charges that stay after a request on a
// connection that is used again.
func TestChargesEndWithTheirRequest(t *testing.T) {
	account, address := serve(t, func(_ http.ResponseWriter, r *http.Request) {
		if err := occupancy.Of(r.Context()).Charge(r.Context(), 40<<10); err != nil {
			t.Error(err)
		}
		_, _ = io.Copy(io.Discard, r.Body)
	})
	conn := dial(t, address, "")
	reader := bufio.NewReader(conn)
	for i := range 5 { // together they exceed the limit
		fmt.Fprintf(conn, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc")
		if response := readResponse(t, reader); response.StatusCode != http.StatusOK || response.Close {
			t.Fatalf("request %d: %s, close %t", i, response.Status, response.Close)
		}
	}
	awaitStats(t, account, "idle", func(s occupancy.Stats) bool { return s.Connections == 1 && s.Bytes == limits.ConnectionBytes })
}

// TestStalledClientsGiveWay guards against unfinished bodies, unfinished headers and
// unused connections that keep others from being served.
func TestStalledClientsGiveWay(t *testing.T) {
	for name, text := range map[string]string{
		"unused": "", "header": "GET / HTTP/1.1\r\nHo", "body": "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 30\r\n\r\nabc",
	} {
		t.Run(name, func(t *testing.T) {
			account, address := serve(t, func(w http.ResponseWriter, r *http.Request) {
				if _, err := io.Copy(io.Discard, r.Body); err == nil {
					_, _ = io.WriteString(w, "served")
				}
			})
			for range 3 * limits.Connections {
				dial(t, address, text)
			}
			conn := dial(t, address, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
			if response := readResponse(t, bufio.NewReader(conn)); response.StatusCode != http.StatusOK {
				t.Error(response.Status)
			}
			if s := account.Stats(); s.Closed == 0 || s.Connections > limits.Connections {
				t.Errorf("%+v", s)
			}
		})
	}
}

// TestRunningRequestIsNotClosed guards against a connection that is closed while its
// request runs, because others need it.
func TestRunningRequestIsNotClosed(t *testing.T) {
	release := make(chan struct{})
	account, address := serve(t, func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		<-release
	})
	var readers []*bufio.Reader
	for range limits.Connections {
		readers = append(readers, bufio.NewReader(dial(t, address, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc")))
	}
	dial(t, address, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	time.Sleep(3 * limits.Grace) // the waiting connection is not accepted meanwhile
	if s := account.Stats(); s.Closed > 0 {
		t.Errorf("%+v", s)
	}
	close(release)
	for _, r := range readers {
		readResponse(t, r)
	}
}

// TestPipeliningClientIsTold guards against a client that sends requests without reading
// responses and is not recognised, and an ordinary one that is taken for it.
func TestPipeliningClientIsTold(t *testing.T) {
	_, address := serve(t, func(http.ResponseWriter, *http.Request) {
		time.Sleep(time.Millisecond) // net/http reads ahead meanwhile
	})
	request := "GET / HTTP/1.1\r\nHost: h\r\n\r\n"
	conn := dial(t, address, "")
	reader := bufio.NewReader(conn)
	for range 30 {
		_, _ = io.WriteString(conn, request) // an error shows in the response
		if readResponse(t, reader).Close {
			t.Fatal("an ordinary client was taken for one that pipelines")
		}
	}
	_ = conn.Close()
	for name, requests := range map[string]int{"small": 40, "more than a buffer": 1000} {
		reader := bufio.NewReader(dial(t, address, strings.Repeat(request, requests)))
		for i := 0; !readResponse(t, reader).Close; i++ {
			if i > 25 {
				t.Fatalf("%s: a client that pipelines was not told", name)
			}
		}
	}
}

// TestRefusalBeforeTheBodyArrives guards against a refusal that is lost because the
// connection is reset while an ordinary client still sends its body, and against a
// connection that waits for the rest of a body without end.
func TestRefusalBeforeTheBodyArrives(t *testing.T) {
	account, address := serve(t, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNotFound) })
	conn := dial(t, address, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1000000\r\n\r\n")
	piece := strings.Repeat("x", 10_000)
	for range 50 {
		_, _ = io.WriteString(conn, piece) // the server may have ended its reads
	}
	if response := readResponse(t, bufio.NewReader(conn)); response.StatusCode != http.StatusNotFound {
		t.Error(response.Status)
	}
	stalled := dial(t, address, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nabc")
	if response := readResponse(t, bufio.NewReader(stalled)); response.StatusCode != http.StatusNotFound {
		t.Error(response.Status)
	}
	awaitStats(t, account, "after refusals", func(s occupancy.Stats) bool { return s.Connections == 0 })
}

// TestConnectionsBeyondTheLimitAreNotKept guards against idle connections that take the
// room of others for all of a long IdleGrace, and against requests that are lost because a
// connection is closed while its client uses it again: the bodies cannot be sent twice.
func TestConnectionsBeyondTheLimitAreNotKept(t *testing.T) {
	const (
		nodes, requests = 12, 40
		timeout         = 5 * time.Second
	)
	kept := limits
	kept.Connections, kept.KeptConnections, kept.IdleGrace = 8, 2, time.Hour
	kept.Grace, kept.OpenGrace = timeout, timeout // a client that gets no processor time is not one that sends nothing
	account, address := serveWithin(t, kept, func(_ http.ResponseWriter, r *http.Request) { _, _ = io.Copy(io.Discard, r.Body) })
	var group sync.WaitGroup
	for range nodes {
		group.Go(func() {
			transport := &http.Transport{}
			t.Cleanup(transport.CloseIdleConnections)
			client := &http.Client{Transport: transport, Timeout: timeout}
			for range requests {
				response, err := client.Post("http://"+address, "", io.MultiReader(strings.NewReader("offer")))
				if err != nil {
					t.Error(err)
					return
				}
				_ = response.Body.Close()
			}
		})
	}
	group.Wait()
	if s := account.Stats(); s.NotKept == 0 || s.Closed > 0 {
		t.Errorf("%+v", s)
	}
}

// TestTimeLimits guards against headers and idle connections that stay longer than the
// operator allows, and against the end of a connection in use.
func TestTimeLimits(t *testing.T) {
	account, address := serve(t, func(http.ResponseWriter, *http.Request) {})
	header := dial(t, address, "GET / HT")
	idle := dial(t, address, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	reader := bufio.NewReader(idle)
	readResponse(t, reader)
	awaitStats(t, account, "open", func(s occupancy.Stats) bool { return s.Connections == 2 })
	account.CloseExpired(time.Minute, time.Minute)
	if s := account.Stats(); s.Expired != 0 {
		t.Errorf("within the limits: %+v", s)
	}
	time.Sleep(20 * time.Millisecond)
	account.CloseExpired(10*time.Millisecond, 10*time.Millisecond)
	for _, conn := range []net.Conn{header, idle} {
		if _, err := conn.Read(make([]byte, 1)); err == nil {
			t.Error("the connection is open")
		}
	}
	if s := account.Stats(); s.Expired != 2 {
		t.Errorf("%+v", s)
	}
}
