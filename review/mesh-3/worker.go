package main

import (
	"bufio"
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// run is one request that a worker began to work on.
type run struct {
	Attempt, Worker, Service  string
	Caller, Method, URI, Body string
	Seal                      string
	Begin, End                time.Time
	Status                    int
	Dropped                   bool
}

// runs records what all workers ran.
type runs struct {
	mu   sync.Mutex
	list []*run
}

func (r *runs) add(entry *run) {
	r.mu.Lock()
	defer r.mu.Unlock()
	entry.Seal = fmt.Sprintf("seal.%d.%s", len(r.list), entry.Attempt)
	r.list = append(r.list, entry)
}

func (r *runs) end(entry *run, status int, dropped bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	entry.End, entry.Status, entry.Dropped = time.Now(), status, dropped
}

func (r *runs) all() []run {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make([]run, len(r.list))
	for i, entry := range r.list {
		out[i] = *entry
	}
	return out
}

// worker is a stand-in for an application worker.
type worker struct {
	id, service, zone, address string
	slots                      int
	store                      *store
	runs                       *runs
	// work returns how long a request takes.
	work func(r *http.Request) time.Duration
	// crashes reports whether a request ends the worker after its work. Such a worker does not
	// drop the request when its connection closes. back is how long it is down then.
	crashes func(r *http.Request) bool
	back    time.Duration
	server  *http.Server

	born     int64
	mu       sync.Mutex
	sequence int
	state    string
	silent   bool
	beating  sync.Once
	busy     chan struct{}
	queued   chan struct{}
}

// heartbeat is heartbeat_ms of the settings.
const heartbeat = 1500 * time.Millisecond

// start listens and registers the worker.
func (w *worker) start() error {
	listener, err := net.Listen("tcp", w.address)
	if err != nil {
		return err
	}
	w.born, w.state, w.sequence = time.Now().UnixMilli(), "ready", 0
	w.busy, w.queued = make(chan struct{}, w.slots), make(chan struct{}, w.slots+24)
	w.server = &http.Server{Handler: w, ReadHeaderTimeout: time.Minute, IdleTimeout: 10 * time.Second}
	server := w.server
	go func() { _ = server.Serve(listener) }()
	w.write()
	w.beating.Do(func() { go w.beat() })
	return nil
}

// beat renews the entry, and writes it again if it is missing.
func (w *worker) beat() {
	ticker := time.NewTicker(heartbeat)
	defer ticker.Stop()
	check := time.NewTicker(heartbeat / 2)
	defer check.Stop()
	for {
		select {
		case <-ticker.C:
			if !w.isSilent() && !w.store.renew("servers/"+w.currentID()) {
				w.write()
			}
		case <-check.C:
			if !w.isSilent() && !w.store.has("servers/"+w.currentID(), w.entryState()) {
				w.write()
			}
		}
	}
}

// setWork replaces what requests do.
func (w *worker) setWork(work func(*http.Request) time.Duration, crashes func(*http.Request) bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.work, w.crashes = work, crashes
}

func (w *worker) behaviour(r *http.Request) (work time.Duration, crashes bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.work(r), w.crashes != nil && w.crashes(r)
}

func (w *worker) currentID() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.id
}

func (w *worker) isSilent() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.silent
}

func (w *worker) entryState() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.state
}

// write stores the entry and returns when that was acknowledged.
func (w *worker) write() time.Time {
	w.mu.Lock()
	w.sequence++
	value := entry(w.address, w.born, w.service, w.zone, w.state, w.slots, w.sequence)
	w.mu.Unlock()
	return w.store.put("servers/"+w.id, value, true)
}

// leave removes the entry without reporting that the worker leaves. It goes on serving.
func (w *worker) leave() time.Time {
	w.mu.Lock()
	w.silent = true
	w.mu.Unlock()
	return w.store.remove("servers/" + w.id)
}

// crash ends the worker with all its connections. It starts again under another ID.
func (w *worker) crash() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.silent {
		return // another request has ended it
	}
	w.silent = true
	_ = w.server.Close()
	time.AfterFunc(w.back, w.restart)
}

func (w *worker) restart() {
	w.mu.Lock()
	w.id, w.silent = fmt.Sprintf("i-%08x", rand.Uint32()), false
	w.mu.Unlock()
	if err := w.start(); err != nil {
		time.AfterFunc(100*time.Millisecond, w.restart)
	}
}

// has reports whether an entry of a worker in the state is stored, or nobody can tell.
func (s *store) has(key, state string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.away {
		return true
	}
	i, ok := s.items[key]
	return ok && bytes.Contains(i.Value, []byte(`"state":"`+state+`"`))
}

// reject responds that a request has not run.
func reject(rw http.ResponseWriter, r *http.Request, status int) {
	if id := r.Header.Get("Galenalever-Attempt-Id"); id != "" {
		rw.Header().Set("Galenalever-Attempt-Id", id)
	}
	rw.Header().Set("Galenalever-Not-Executed", "1")
	rw.WriteHeader(status)
}

// ServeHTTP implements http.Handler.
func (w *worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	self := w.currentID()
	if r.URL.Path == "/health" {
		rw.Header().Set("Galenalever-Instance-Id", self)
		if w.entryState() != "ready" {
			rw.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	}
	if target := r.Header.Get("Galenalever-Target-Instance"); target != "" && target != self {
		rw.Header().Set("Galenalever-Instance-Id", self)
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	id := r.Header.Get("Galenalever-Attempt-Id")
	if id == "" {
		reject(rw, r, http.StatusBadRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		reject(rw, r, http.StatusBadRequest)
		return
	}
	milliseconds, _ := strconv.Atoi(r.Header.Get("Galenalever-Deadline-Ms"))
	deadline := time.After(time.Duration(milliseconds) * time.Millisecond)
	select {
	case w.queued <- struct{}{}:
		defer func() { <-w.queued }()
	default:
		reject(rw, r, http.StatusServiceUnavailable)
		return
	}
	select {
	case w.busy <- struct{}{}:
		defer func() { <-w.busy }()
	case <-deadline:
		reject(rw, r, http.StatusServiceUnavailable)
		return
	case <-r.Context().Done():
		return
	}
	digest := sha256.Sum256(body)
	entry := &run{
		Attempt: id, Worker: self, Service: w.service, Caller: r.Header.Get("Galenalever-Caller-Service"),
		Method: r.Method, URI: r.RequestURI, Body: hex.EncodeToString(digest[:4]), Begin: time.Now(),
	}
	w.runs.add(entry)
	work, crashes := w.behaviour(r)
	if crashes {
		time.Sleep(work)
		w.runs.end(entry, 0, false)
		w.crash()
		return
	}
	status := http.StatusOK
	select {
	case <-time.After(work):
	case <-deadline:
		status = http.StatusGatewayTimeout
	case <-r.Context().Done():
		w.runs.end(entry, 0, true)
		return
	}
	w.runs.end(entry, status, false)
	answer := answerOf(entry.Seal, id, self)
	h := rw.Header()
	h.Set("Galenalever-Attempt-Id", id)
	h.Set("Galenalever-Response-Seal", entry.Seal)
	h.Set("Galenalever-Server-Load", fmt.Sprintf("%d,%d,%d", len(w.busy), len(w.queued)-len(w.busy), w.slots))
	h.Set("Content-Length", strconv.Itoa(len(answer)))
	rw.WriteHeader(status)
	_, _ = io.WriteString(rw, answer)
}

// answerOf returns the whole body of a run's answer.
func answerOf(seal, attempt, worker string) string {
	line := seal + " " + attempt + " " + worker + "\n"
	out := make([]byte, 0, 2048)
	for len(out) < 1500 {
		out = append(out, line...)
	}
	return string(out)
}

// answer is what a client got for one attempt.
type answer struct {
	Attempt, Node, Method, URI, Host string
	Sent, Ended                      time.Time
	// Status is 0 without a complete answer; Err then says why.
	Status int
	Err    string
	// Seal and AnswerID are headers of the answer. OwnAnswer is true if the answer names the
	// attempt in its header and in its body.
	Seal, AnswerID string
	OwnAnswer      bool
	// RetryAfter is when the client may come again.
	RetryAfter time.Duration
}

// clientConn is a client's connection to a node.
type clientConn struct {
	net.Conn
	reader *bufio.Reader
}

func dial(address string) (*clientConn, error) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	return &clientConn{Conn: conn, reader: bufio.NewReader(conn)}, nil
}

// request is what a client sends.
type request struct {
	method, uri, host string
	header            map[string]string
	body              []byte
	// chunked sends the body in chunks.
	chunked  bool
	deadline time.Duration
}

// chunks returns a body in the chunked encoding.
func chunks(body []byte) []byte {
	const size = 16 << 10
	var out []byte
	for piece := range slices.Chunk(body, size) {
		out = fmt.Appendf(out, "%x\r\n%s\r\n", len(piece), piece)
	}
	return append(out, "0\r\n\r\n"...)
}

// send makes one attempt on a connection.
func (c *clientConn) send(attempt, node string, q request) answer {
	a := answer{Attempt: attempt, Node: node, Method: q.method, URI: q.uri, Host: q.host}
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nGalenalever-Attempt-Id: %s\r\nGalenalever-Deadline-Ms: %d\r\n",
		q.method, q.uri, q.host, attempt, q.deadline.Milliseconds())
	for name, value := range q.header {
		head += name + ": " + value + "\r\n"
	}
	switch {
	case q.chunked:
		head += "Transfer-Encoding: chunked\r\n"
		q.body = chunks(q.body)
	case len(q.body) > 0 || q.method == http.MethodPost:
		head += fmt.Sprintf("Content-Length: %d\r\n", len(q.body))
	}
	_ = c.SetDeadline(time.Now().Add(q.deadline + 200*time.Millisecond))
	_, err := c.Write(append([]byte(head+"\r\n"), q.body...))
	a.Sent = time.Now()
	if err == nil {
		err = c.receive(&a, q.method)
	}
	a.Ended = time.Now()
	if err != nil {
		a.Err = err.Error()
	}
	return a
}

func (c *clientConn) receive(a *answer, method string) error {
	response, err := http.ReadResponse(c.reader, &http.Request{Method: method})
	if err != nil {
		return err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return err
	}
	a.Status = response.StatusCode
	a.Seal, a.AnswerID = response.Header.Get("Galenalever-Response-Seal"), response.Header.Get("Galenalever-Attempt-Id")
	if seconds, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64); err == nil {
		a.RetryAfter = time.Duration(seconds * float64(time.Second))
	}
	a.OwnAnswer = a.AnswerID == a.Attempt && bytes.Contains(body, []byte(" "+a.Attempt+" "))
	return nil
}
