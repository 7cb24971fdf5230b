package gate_test

import (
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
)

// ledger counts how often each request ran on each backend server.
type ledger struct {
	mu   sync.Mutex
	runs map[string]int
}

func (l *ledger) add(server, request string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs[request+" on "+server]++
}

func (l *ledger) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var lines []string
	for run, n := range l.runs {
		lines = append(lines, fmt.Sprintf("%s: %d\n", run, n))
	}
	slices.Sort(lines)
	if len(lines) == 0 {
		return "nothing ran\n"
	}
	return strings.Join(lines, "")
}

// backendServer is a fake backend server. The path of a request selects its
// behaviour.
type backendServer struct {
	name     string
	ledger   *ledger
	address  string
	http     *http.Server
	mu       sync.Mutex
	arrived  map[string]chan struct{}
	releases map[string]chan struct{}
	// quit ends the held requests at the end of a test.
	quit chan struct{}
	// misdirect makes all responses those of another instance.
	misdirect atomic.Bool
}

func newBackendServer(name string, l *ledger) *backendServer {
	b := &backendServer{name: name, ledger: l, address: "127.0.0.1:0", arrived: map[string]chan struct{}{}, releases: map[string]chan struct{}{}, quit: make(chan struct{})}
	b.start()
	return b
}

// start listens, after a crash on the same address as before.
func (b *backendServer) start() {
	listener := listenOn(b.address)
	b.address = listener.Addr().String()
	b.http = &http.Server{Handler: b}
	go func() { _ = b.http.Serve(listener) }()
}

// crash closes the listener and all connections, as when the process ends.
func (b *backendServer) crash() { _ = b.http.Close() }

// signal returns the channel of a request in m, which it creates if necessary.
func (b *backendServer) signal(m map[string]chan struct{}, id string) chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	if m[id] == nil {
		m[id] = make(chan struct{})
	}
	return m[id]
}

// signalArrival closes the arrival channel of a request when it first arrives.
func (b *backendServer) signalArrival(id string) {
	arrived := b.signal(b.arrived, id)
	b.mu.Lock()
	defer b.mu.Unlock()
	select {
	case <-arrived:
	default:
		close(arrived)
	}
}

func (b *backendServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/healthz" {
		return
	}
	id := r.Header.Get("X-Test-Id")
	b.ledger.add(b.name, id)
	b.signalArrival(id)
	if b.misdirect.Load() {
		w.Header().Set("X-Other-Instance", "yes")
		return
	}
	switch r.URL.Path {
	case "/hold", "/hold2", "/slow":
		select {
		case <-b.signal(b.releases, id):
		case <-r.Context().Done():
			return
		case <-b.quit:
			return
		}
	case "/fail":
		w.WriteHeader(http.StatusInternalServerError)
		return
	case "/kill":
		b.crash()
		return
	case "/kill-or-fail", "/kill-or-reject": // all but one server crash
		if b.name != "b" {
			b.crash()
			return
		}
		status := http.StatusInternalServerError
		if r.URL.Path == "/kill-or-reject" {
			status = http.StatusRequestEntityTooLarge
		}
		w.WriteHeader(status)
		return
	case "/kill-for-katalog":
		if r.Header.Get("X-Test-Caller") == "katalog" {
			b.crash()
			return
		}
	case "/drop":
		conn, _, _ := http.NewResponseController(w).Hijack()
		_ = conn.Close()
		return
	case "/large":
		for range 1000 {
			if _, err := w.Write(make([]byte, 64<<10)); err != nil {
				return
			}
		}
		return
	case "/truncate":
		if r.Method == http.MethodGet {
			w.Header().Set("Content-Length", "100000")
		}
		_, _ = w.Write(make([]byte, 40000)) // chunked if no length is set
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	w.Header().Set("Galena-Outcome", "forged")
	fmt.Fprintf(w, "%s done for %s, %d bytes", b.name, id, len(body))
}
