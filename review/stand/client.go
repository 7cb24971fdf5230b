package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// request describes the requests of one kind that clients send.
type request struct {
	method, host, path string
	body               string
	deadlineMS, workMS int
}

// answer is one request with how it ended.
type answer struct {
	attempt string
	machine *machine
	request request
	sent    time.Time
	ended   time.Time
	// status is 0 if the connection ended without a complete answer.
	status int
	sealed bool
	body   string
	err    error
}

// answers collects the answers of clients. It is safe for concurrent use.
type answers struct {
	mu   sync.Mutex
	list []answer
}

func (a *answers) add(x answer) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.list = append(a.list, x)
}

func (a *answers) filter(accept func(answer) bool) []answer {
	a.mu.Lock()
	defer a.mu.Unlock()
	var out []answer
	for _, x := range a.list {
		if accept(x) {
			out = append(out, x)
		}
	}
	return out
}

var attemptPrefix = rand.Uint32()

var lastAttempt atomic.Uint32

// clientTransport opens a connection for each request.
var clientTransport = &http.Transport{DisableKeepAlives: true, DisableCompression: true}

// send sends one request to the node of a machine and waits for the answer or the
// deadline of the client.
func (b *bench) send(m *machine, q request) answer {
	x := answer{attempt: fmt.Sprintf("%08x%08x", attemptPrefix, lastAttempt.Add(1)), machine: m, request: q}
	r, err := http.NewRequest(q.method, "http://"+b.address(m.ip, portCallers)+q.path, strings.NewReader(q.body))
	if err != nil {
		panic(err)
	}
	r.Host = q.host
	r.Header.Set(headerAttempt, x.attempt)
	r.Header.Set(headerDeadline, strconv.Itoa(q.deadlineMS))
	r.Header.Set(headerWork, strconv.Itoa(q.workMS))
	client := http.Client{Transport: clientTransport, Timeout: time.Duration(q.deadlineMS) * time.Millisecond}
	x.sent = time.Now()
	b.record.printf("client of %s sends %s %s %s%s, %d bytes", m.name, x.attempt, q.method, q.host, q.path, len(q.body))
	response, err := client.Do(r)
	if err == nil {
		var body []byte
		body, err = io.ReadAll(response.Body)
		_ = response.Body.Close()
		if err == nil {
			x.status, x.sealed, x.body = response.StatusCode, response.Header.Get(headerSeal) != "", string(body)
		}
	}
	x.ended, x.err = time.Now(), err
	if err != nil {
		b.record.printf("client of %s gets no complete answer to %s after %d ms: %v", m.name, x.attempt, x.ended.Sub(x.sent).Milliseconds(), err)
	} else {
		b.record.printf("client of %s gets %d to %s after %d ms, sealed: %v, body: %q", m.name, x.status, x.attempt, x.ended.Sub(x.sent).Milliseconds(), x.sealed, x.body)
	}
	return x
}

// load sends requests of one kind to a machine at a steady rate, until the channel or
// the case ends. While served reports false, it sends none.
func (b *bench) load(m *machine, q request, perSecond float64, out *answers, served func() bool, until <-chan struct{}) {
	interval := time.Duration(float64(time.Second) / perSecond)
	b.clients.Add(1)
	go func() {
		defer b.clients.Done()
		ticker := time.NewTicker(interval)
		defer ticker.Stop()
		for {
			select {
			case <-ticker.C:
			case <-until:
				return
			case <-b.stop:
				return
			}
			if served != nil && !served() {
				continue
			}
			b.clients.Add(1)
			go func() {
				defer b.clients.Done()
				out.add(b.send(m, q))
			}()
		}
	}()
}
