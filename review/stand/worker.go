package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"sync/atomic"
	"time"
)

// The headers of clients, nodes and backend servers.
const (
	headerAttempt  = "Galenalever-Attempt-Id"
	headerDeadline = "Galenalever-Deadline-Ms"
	headerTarget   = "Galenalever-Target-Instance"
	headerInstance = "Galenalever-Instance-Id"
	headerNotRun   = "Galenalever-Not-Executed"
	headerSeal     = "Galenalever-Response-Seal"
	headerLoad     = "Galenalever-Server-Load"
	headerOrigin   = "Galenalever-Caller-Service"
	// headerWork is the time for which a server works on a request, in milliseconds. It
	// belongs to the stand-ins.
	headerWork = "X-Work-Ms"
)

// The kinds of workerEvent.
const (
	eventRun    = "run"
	eventEnd    = "end"
	eventDrop   = "drop"
	eventRefuse = "refuse"
)

// workerEvent is one line that a backend server writes to its standard output.
type workerEvent struct {
	Worker  string `json:"worker"`
	Service string `json:"service"`
	Kind    string `json:"kind"`
	Attempt string `json:"attempt"`
	Method  string `json:"method"`
	Path    string `json:"path"`
	Bytes   int64  `json:"bytes"`
	Status  int    `json:"status,omitempty"`
	// UnixMS is the time of the event.
	UnixMS int64 `json:"unix_ms"`
}

// worker is a backend server with a number of slots and a short queue. It drops a request
// when its connection closes.
type worker struct {
	id, service string
	slots       chan struct{}
	queue       int64
	// streams is true if the server begins to work on a request before it has read a body
	// of unknown length.
	streams bool
	waiting atomic.Int64
	events  chan workerEvent
}

func workerMain(args []string) int {
	flags := flag.NewFlagSet("worker", flag.ExitOnError)
	address := flags.String("address", "", "address to listen on")
	id := flags.String("id", "", "instance ID")
	service := flags.String("service", "", "service")
	slots := flags.Int("slots", 6, "requests that run at a time")
	queue := flags.Int64("queue", 24, "requests that wait")
	streams := flags.Bool("streams", false, "work on requests while their bodies of unknown length arrive")
	_ = flags.Parse(args)
	w := &worker{
		id: *id, service: *service, slots: make(chan struct{}, *slots), queue: *queue, streams: *streams,
		events: make(chan workerEvent, 1024),
	}
	go w.writeEvents()
	mux := http.NewServeMux()
	mux.HandleFunc("GET /health", w.serveHealth)
	mux.HandleFunc("/", w.serve)
	server := &http.Server{Addr: *address, Handler: mux, ReadHeaderTimeout: 10 * time.Second, IdleTimeout: 10 * time.Second}
	fmt.Fprintln(os.Stderr, server.ListenAndServe())
	return exitNotRun
}

func (w *worker) writeEvents() {
	encoder := json.NewEncoder(os.Stdout)
	for event := range w.events {
		_ = encoder.Encode(event)
	}
}

func (w *worker) report(kind string, r *http.Request, bytes int64, status int) {
	w.events <- workerEvent{
		Worker: w.id, Service: w.service, Kind: kind, Attempt: r.Header.Get(headerAttempt),
		Method: r.Method, Path: r.URL.RequestURI(), Bytes: bytes, Status: status, UnixMS: time.Now().UnixMilli(),
	}
}

func (w *worker) load() string {
	return fmt.Sprintf("%d,%d,%d", len(w.slots), w.waiting.Load(), cap(w.slots))
}

func (w *worker) serveHealth(out http.ResponseWriter, _ *http.Request) {
	out.Header().Set(headerInstance, w.id)
	out.Header().Set(headerLoad, w.load())
	out.WriteHeader(http.StatusOK)
}

// refuse answers a request that did not run.
func (w *worker) refuse(out http.ResponseWriter, r *http.Request, status int) {
	w.report(eventRefuse, r, 0, status)
	out.Header().Set(headerAttempt, r.Header.Get(headerAttempt))
	out.Header().Set(headerNotRun, "1")
	out.WriteHeader(status)
}

func (w *worker) serve(out http.ResponseWriter, r *http.Request) {
	if target := r.Header.Get(headerTarget); target != "" && target != w.id {
		w.report(eventRefuse, r, 0, http.StatusMisdirectedRequest)
		out.Header().Set(headerInstance, w.id)
		out.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if r.Header.Get(headerAttempt) == "" {
		w.refuse(out, r, http.StatusBadRequest)
		return
	}
	if w.streams && r.ContentLength < 0 {
		w.runStream(out, r)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return // the connection closed before the request was complete
	}
	ctx := r.Context()
	if left, err := strconv.Atoi(r.Header.Get(headerDeadline)); err == nil {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, time.Duration(left)*time.Millisecond)
		defer cancel()
	}
	if w.waiting.Add(1) > w.queue {
		w.waiting.Add(-1)
		w.refuse(out, r, http.StatusServiceUnavailable)
		return
	}
	select {
	case w.slots <- struct{}{}:
		w.waiting.Add(-1)
	case <-ctx.Done():
		w.waiting.Add(-1)
		w.refuse(out, r, http.StatusServiceUnavailable)
		return
	}
	defer func() { <-w.slots }()
	w.run(ctx, out, r, body)
}

func (w *worker) run(ctx context.Context, out http.ResponseWriter, r *http.Request, body []byte) {
	w.report(eventRun, r, int64(len(body)), 0)
	work, _ := strconv.Atoi(r.Header.Get(headerWork))
	status := http.StatusOK
	select {
	case <-time.After(time.Duration(work) * time.Millisecond):
	case <-ctx.Done():
		if r.Context().Err() != nil {
			w.report(eventDrop, r, int64(len(body)), 0)
			return
		}
		status = http.StatusGatewayTimeout
	}
	w.report(eventEnd, r, int64(len(body)), status)
	attempt := r.Header.Get(headerAttempt)
	out.Header().Set(headerAttempt, attempt)
	out.Header().Set(headerSeal, w.id+"."+attempt)
	out.Header().Set(headerLoad, w.load())
	out.WriteHeader(status)
	fmt.Fprintf(out, "%s of %s ran %s for %s\n", w.id, w.service, attempt, r.Header.Get(headerOrigin))
}

// runStream works on a request while its body arrives, answers when the work is done, and
// then reads what is left of the body.
func (w *worker) runStream(out http.ResponseWriter, r *http.Request) {
	w.slots <- struct{}{}
	defer func() { <-w.slots }()
	w.report(eventRun, r, 0, 0)
	_ = http.NewResponseController(out).EnableFullDuplex()
	var size int64
	read := make(chan error, 1)
	go func() {
		var err error
		size, err = io.Copy(io.Discard, r.Body)
		read <- err
	}()
	work, _ := strconv.Atoi(r.Header.Get(headerWork))
	done := time.After(time.Duration(work) * time.Millisecond)
	for answered := false; ; {
		select {
		case <-done:
			w.report(eventEnd, r, 0, http.StatusOK)
			w.answerStream(out, r)
			answered, done = true, nil
			if read == nil {
				return
			}
		case err := <-read:
			if err != nil && !answered {
				w.report(eventDrop, r, size, 0)
				return
			}
			if answered {
				return
			}
			read = nil
		}
	}
}

func (w *worker) answerStream(out http.ResponseWriter, r *http.Request) {
	attempt := r.Header.Get(headerAttempt)
	body := fmt.Sprintf("%s of %s stored %s\n", w.id, w.service, attempt)
	out.Header().Set(headerAttempt, attempt)
	out.Header().Set(headerSeal, w.id+"."+attempt)
	out.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = io.WriteString(out, body)
	_ = http.NewResponseController(out).Flush()
}
