package ingress_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/galenalever/galenalever/internal/hop"
	"github.com/galenalever/galenalever/internal/model"
)

// fakeGate stands for the gate beside one server. It treats requests by a
// script, one line for each, and answers them once the script is empty. It
// remembers what it ran by request ID, as a real gate does.
type fakeGate struct {
	name        string
	incarnation model.Incarnation
	server      *http.Server
	listener    net.Listener

	mu     sync.Mutex
	script []string
	ledger []string
	ran    map[model.RequestID]bool
	held   chan struct{} // receives one value for each request that is held
	free   chan struct{} // one value ends one hold
}

func newFakeGate(name string, incarnation model.Incarnation) (*fakeGate, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	g := &fakeGate{
		name: name, incarnation: incarnation, listener: listener, ran: make(map[model.RequestID]bool),
		held: make(chan struct{}, 16), free: make(chan struct{}, 16),
	}
	g.server = &http.Server{Handler: g, ReadHeaderTimeout: time.Minute}
	go func() { _ = g.server.Serve(listener) }()
	return g, nil
}

func (g *fakeGate) record(format string, args ...any) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.ledger = append(g.ledger, fmt.Sprintf(format, args...))
}

// next returns the script line for a request and whether the request is one
// that ran before.
func (g *fakeGate) next(id model.RequestID) (line string, replay bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	line = "answer"
	if len(g.script) > 0 {
		line, g.script = g.script[0], g.script[1:]
	}
	return line, g.ran[id]
}

func (g *fakeGate) run(q hop.Request, body []byte) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.ran[q.ID] = true
	g.ledger = append(g.ledger, fmt.Sprintf("ran %s attempt %d body %d", q.ID, q.Attempt, len(body)))
}

// ServeHTTP implements http.Handler.
func (g *fakeGate) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	q, ok := hop.DecodeRequest(r.Header)
	if !ok {
		g.record("request without the headers of a node")
	}
	line, replay := g.next(q.ID)
	verb, argument, _ := strings.Cut(line, " ")
	if q.Incarnation != 0 && q.Incarnation != g.incarnation {
		verb, argument = "refuse", string(model.ReasonWrongIncarnation)
	}
	switch verb {
	case "refuse", "unknown":
		g.refuse(w, q, verb, argument)
		return
	case "lose": // the connection breaks before the gate has seen the request
		panic(http.ErrAbortHandler)
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		g.record("broken body after %d bytes", len(body))
		panic(http.ErrAbortHandler)
	}
	if replay {
		g.record("replayed %s", q.ID)
	} else {
		g.run(q, body)
	}
	g.answer(w, r, q, verb, argument)
}

func (g *fakeGate) refuse(w http.ResponseWriter, q hop.Request, verb, reason string) {
	response := hop.Response{
		ID: q.ID, Outcome: model.OutcomeNotRun, Reason: model.Reason(reason), Incarnation: g.incarnation,
	}
	if verb == "unknown" {
		response.Outcome = model.OutcomeUnknown
	}
	if response.Reason == model.ReasonQueueFull {
		response.RetryAfter = 1500 * time.Millisecond
	}
	g.record("%s %s %s", verb, q.ID, reason)
	response.Encode(w.Header())
	w.WriteHeader(http.StatusServiceUnavailable)
}

func (g *fakeGate) answer(w http.ResponseWriter, r *http.Request, q hop.Request, verb, argument string) {
	response := hop.Response{ID: q.ID, Outcome: model.OutcomeAnswered, Incarnation: g.incarnation}
	const text = "answer of "
	switch verb {
	case "drop": // ran, but the answer is lost
		panic(http.ErrAbortHandler)
	case "hold":
		g.held <- struct{}{}
		select {
		case <-g.free:
		case <-r.Context().Done():
			g.record("cancelled %s", q.ID)
			return
		}
	case "cross":
		response.ID = "another-request"
	case "plain":
		_, _ = io.WriteString(w, text+g.name)
		return
	case "undelimited":
		w.Header().Set("Connection", "close")
		w.Header().Set("Transfer-Encoding", "identity")
	}
	response.Encode(w.Header())
	w.Header().Set("Galena-Secret", "for nodes only")
	if verb == "truncate" && argument == "length" {
		w.Header().Set("Content-Length", "1000")
	}
	_, _ = io.WriteString(w, text+g.name)
	if verb == "truncate" {
		w.(http.Flusher).Flush()
		panic(http.ErrAbortHandler)
	}
}
