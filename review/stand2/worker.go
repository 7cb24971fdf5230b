package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// The headers of the workers' protocol.
const (
	headerID       = "Galenalever-Attempt-Id"
	headerDeadline = "Galenalever-Deadline-Ms"
	headerTarget   = "Galenalever-Target-Instance"
	headerCaller   = "Galenalever-Caller-Service"
	headerSeal     = "Galenalever-Response-Seal"
	headerNotRun   = "Galenalever-Not-Executed"
	headerInstance = "Galenalever-Instance-Id"
	headerLoad     = "Galenalever-Server-Load"
)

const (
	slots     = 6
	maxQueue  = 24
	heartbeat = 1500 * time.Millisecond
)

// worker is an application worker beside a node.
type worker struct {
	bench             *bench
	id, service, zone string
	address           string
	// work returns how long a request takes.
	work func(r *http.Request) time.Duration
	// crashes reports whether a request crashes each worker that begins to run it.
	crashes func(r *http.Request) bool
	downFor time.Duration
	// serve handles the requests instead of the worker, but for health checks; nil if the
	// worker does.
	serve func(w *worker, out http.ResponseWriter, r *http.Request)

	slots chan struct{}

	mu       sync.Mutex
	state    string // ready or draining; empty once the worker no longer writes its entry
	sequence int
	born     int64
	written  string // what the entry in the store says
	waiting  int
	server   *http.Server
	conns    map[net.Conn]struct{}
	ended    bool
}

func newWorker(b *bench, host, service, zone string, work func(*http.Request) time.Duration) (*worker, error) {
	w := &worker{
		bench: b, service: service, zone: zone, work: work, state: "ready", downFor: 2 * time.Second,
		id: fmt.Sprintf("i-%010x", rand.Uint64()>>24),
	}
	if err := w.start(net.JoinHostPort(host, strconv.Itoa(b.ports[workerPort]))); err != nil {
		return nil, err
	}
	go w.beat()
	return w, nil
}

// start begins a life of the worker.
func (w *worker) start(address string) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.address = l.Addr().String()
	w.sequence, w.waiting, w.born = 0, 0, time.Now().UnixMilli()
	w.slots = make(chan struct{}, slots)
	w.conns = make(map[net.Conn]struct{})
	server := &http.Server{Handler: w}
	server.ConnState = func(conn net.Conn, state http.ConnState) {
		w.mu.Lock()
		defer w.mu.Unlock()
		switch {
		case state == http.StateNew && w.server == server:
			w.conns[conn] = struct{}{}
		case state == http.StateClosed:
			delete(w.conns, conn)
		}
	}
	w.server = server
	go func() { _ = server.Serve(l) }() // ends with the life
	return nil
}

// end ends the life of the worker: its connections are reset.
func (w *worker) end() {
	w.mu.Lock()
	server, conns := w.server, w.conns
	w.server, w.conns = nil, nil
	w.mu.Unlock()
	if server == nil {
		return
	}
	for conn := range conns {
		_ = conn.(*net.TCPConn).SetLinger(0)
	}
	_ = server.Close()
}

// crash ends the life of the worker, which is back after some time.
func (w *worker) crash() {
	w.end()
	time.AfterFunc(w.downFor, func() {
		w.mu.Lock()
		ended := w.ended
		w.mu.Unlock()
		if !ended {
			if err := w.start(w.address); err != nil {
				w.bench.note("worker %s does not come back: %v", w.id, err)
			}
		}
	})
}

// exit ends the worker for good.
func (w *worker) exit() {
	w.mu.Lock()
	w.ended, w.state = true, ""
	w.mu.Unlock()
	w.end()
}

// beat writes the entry at once and with each heartbeat.
func (w *worker) beat() {
	for {
		w.mu.Lock()
		ended := w.ended
		w.mu.Unlock()
		if ended {
			return
		}
		w.writeEntry()
		time.Sleep(heartbeat)
	}
}

func (w *worker) writeEntry() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.state == "" || w.server == nil {
		return
	}
	w.sequence++
	if content := fmt.Sprint(w.state, w.born); content != w.written { // the entry changes when more than sequence changes
		w.written = content
		w.bench.store.put("servers/"+w.id, map[string]any{
			"address": w.address, "born": w.born,
			"server_info": map[string]any{"service": w.service, "version": "v1", "zone": w.zone, "slots": slots},
			"status":      map[string]any{"state": w.state, "sequence": w.sequence, "warmup_left_ms": 0},
		})
	}
}

// drain makes the worker report that it is leaving.
func (w *worker) drain() {
	w.mu.Lock()
	w.state = "draining"
	w.mu.Unlock()
	w.writeEntry()
}

// withdraw removes the entry of a worker that leaves without reporting it.
func (w *worker) withdraw() {
	w.mu.Lock()
	w.state = ""
	w.mu.Unlock()
	w.bench.store.remove("servers/" + w.id)
}

// ServeHTTP implements http.Handler.
func (w *worker) ServeHTTP(out http.ResponseWriter, r *http.Request) {
	w.mu.Lock()
	running, slots := len(w.slots), w.slots
	out.Header().Set(headerLoad, fmt.Sprintf("%d,%d,%d,100", running, w.waiting, cap(w.slots)))
	state := w.state
	w.mu.Unlock()
	if r.URL.Path == "/health" {
		out.Header().Set(headerInstance, w.id)
		if state != "ready" {
			out.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	}
	if w.serve != nil {
		w.serve(w, out, r)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	id := r.Header.Get(headerID)
	if target := r.Header.Get(headerTarget); target != "" && target != w.id {
		out.Header().Set(headerInstance, w.id)
		out.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if id == "" {
		out.Header().Set(headerNotRun, "1")
		out.WriteHeader(http.StatusBadRequest)
		return
	}
	out.Header().Set(headerID, id)
	w.bench.sawArrival(w, id, r)
	left := time.Hour
	if ms, err := strconv.Atoi(r.Header.Get(headerDeadline)); err == nil {
		left = time.Duration(ms) * time.Millisecond
	}
	deadline := time.After(left)
	if !w.enqueue() {
		w.reject(out)
		return
	}
	select {
	case slots <- struct{}{}:
		w.dequeue()
	case <-deadline:
		w.dequeue()
		w.reject(out)
		return
	case <-r.Context().Done():
		w.dequeue()
		return
	}
	defer func() { <-slots }()
	w.bench.sawRun(w, id, r)
	if w.crashes != nil && w.crashes(r) {
		w.crash()
		return
	}
	select {
	case <-time.After(w.work(r)):
	case <-deadline:
		out.Header().Set(headerSeal, seal(w, 0))
		out.WriteHeader(http.StatusGatewayTimeout)
		return
	case <-r.Context().Done():
		w.bench.sawBreak(w, id)
		return
	}
	answer := fmt.Sprintf("%s %s %d\n", w.id, id, len(body))
	out.Header().Set(headerSeal, seal(w, len(answer)))
	out.Header().Set("Content-Length", strconv.Itoa(len(answer)))
	_, _ = io.WriteString(out, answer) // the client sees a broken response
}

func seal(w *worker, n int) string { return fmt.Sprintf("%s.%x", w.id, n) }

func (w *worker) enqueue() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.waiting >= maxQueue {
		return false
	}
	w.waiting++
	return true
}

func (w *worker) dequeue() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.waiting--
}

func (w *worker) reject(out http.ResponseWriter) {
	out.Header().Set(headerNotRun, "1")
	out.WriteHeader(http.StatusServiceUnavailable)
}
