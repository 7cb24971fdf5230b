package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Case "drain": a worker turns slow, and the operator takes it away. Its gate goes on
// sending it requests that were queued before.

const (
	bidHost = "bid.example"
	// bidWork is the usual time of work, slowFactor and slowFor the dose of a slow worker: 12
	// times as long for at most 9 s.
	bidWork    = 250 * time.Millisecond
	slowFactor = 12
	slowFor    = 9 * time.Second
	// bidsPerSecond occupies 20 of the 24 slots of the service, as bids and calls do at the
	// peak of the day.
	bidsPerSecond = 80
	// bidTimeout is the timeout_ms of the route.
	bidTimeout = 4000
	// slowBeforeDrain is how long a worker has been slow when it is to leave.
	slowBeforeDrain = 600 * time.Millisecond
	// drainBound is the bound drain_ms; servesOn is how long a leaving worker serves on.
	drainBound = 2 * time.Second
	servesOn   = 4500 * time.Millisecond
	// rounds is the number of workers that are taken away, roundLength the time of each.
	rounds      = 5
	roundLength = 15 * time.Second
)

// bidWorker is a worker of the service.
type bidWorker struct {
	machine *machine
	server  *http.Server

	mu        sync.Mutex
	slowSince time.Time
	// leaving is when the store acknowledged that the worker leaves.
	leaving time.Time
	running int
	late    int
}

func (w *bidWorker) start() error {
	l, err := net.Listen("tcp", w.machine.address(portWorker))
	if err != nil {
		return err
	}
	w.server = &http.Server{Handler: w, ReadHeaderTimeout: time.Minute}
	go func() { _ = w.server.Serve(l) }()
	return nil
}

// begin counts a request that reaches the worker and returns how long it works.
func (w *bidWorker) begin(id string) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.running++
	if !w.leaving.IsZero() {
		since := time.Since(w.leaving)
		late := ""
		if since > drainBound {
			w.late++
			late = ", LATE"
		}
		w.machine.site.record.add("leaving worker %s is sent request %s %.3f s after the acknowledgement%s", w.machine.id, id, since.Seconds(), late)
	}
	if !w.slowSince.IsZero() && time.Since(w.slowSince) < slowFor {
		return slowFactor * bidWork
	}
	return bidWork
}

// ServeHTTP implements http.Handler.
func (w *bidWorker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	rw.Header().Set("Galenalever-Instance-Id", w.machine.id)
	if r.URL.Path == "/health" {
		return
	}
	if target := r.Header.Get("Galenalever-Target-Instance"); target != "" && target != w.machine.id {
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	id := r.Header.Get("Galenalever-Attempt-Id")
	work := w.begin(id)
	_, _ = io.Copy(io.Discard, r.Body)
	select {
	case <-time.After(work):
	case <-r.Context().Done(): // a worker drops a request whose connection closes
	}
	w.mu.Lock()
	w.running--
	running := w.running
	w.mu.Unlock()
	rw.Header().Set("Galenalever-Attempt-Id", id)
	rw.Header().Set("Galenalever-Response-Seal", "s."+id)
	rw.Header().Set("Galenalever-Server-Load", fmt.Sprintf("%d,0,6", running))
	_, _ = io.WriteString(rw, "done\n")
}

// traffic sends bids to the machines in turn.
type traffic struct {
	site          *site
	machines      []*machine
	client        *http.Client
	sent          atomic.Int64
	served, other atomic.Int64
}

func (t *traffic) run(ctx context.Context) {
	ticker := time.NewTicker(time.Second / bidsPerSecond)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		go t.send(ctx, t.sent.Add(1))
	}
}

func (t *traffic) send(ctx context.Context, n int64) {
	m := t.machines[int(n)%len(t.machines)]
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+m.address(portOutbound)+"/bid/lot", nil)
	if err != nil {
		return
	}
	id := fmt.Sprintf("%016x", n)
	r.Host = bidHost
	r.Header.Set("Galenalever-Attempt-Id", id)
	r.Header.Set("Galenalever-Deadline-Ms", "5000")
	sent := time.Now()
	response, err := t.client.Do(r)
	status := 0
	if err == nil {
		_, err = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
		status = response.StatusCode
	}
	if status == http.StatusOK {
		t.served.Add(1)
		return
	}
	if errors.Is(err, context.Canceled) {
		return // the case is over
	}
	t.other.Add(1)
	t.site.record.add("client at %s: request %s, sent %.3f s before: status %d, error %v", m.name, id, time.Since(sent).Seconds(), status, err)
}

// drainRound takes one worker away and brings another one, and returns how many requests
// reached the leaving one too late.
func drainRound(ctx context.Context, w *bidWorker, round int, trouble bool) (int, error) {
	begin, m := time.Now(), w.machine
	if trouble {
		w.mu.Lock()
		w.slowSince = begin
		w.mu.Unlock()
		m.site.record.add("worker %s turns slow", m.id)
	}
	time.Sleep(slowBeforeDrain)
	m.list("draining")
	w.mu.Lock()
	w.leaving = time.Now()
	m.site.record.add("the store has acknowledged that worker %s leaves; it runs %d requests", m.id, w.running)
	w.mu.Unlock()
	time.Sleep(servesOn)
	m.list("")
	_ = w.server.Close()
	m.signal(syscall.SIGTERM)
	select {
	case <-m.exited:
	case <-time.After(6 * time.Second):
		m.signal(syscall.SIGKILL)
		<-m.exited
	}
	w.mu.Lock()
	late := w.late
	w.late, w.leaving, w.slowSince = 0, time.Time{}, time.Time{}
	m.id, m.born = fmt.Sprintf("i-%08x", 0x11110000+round), time.Now().UnixMilli()
	w.mu.Unlock()
	if err := w.start(); err != nil {
		return late, err
	}
	if err := m.start(); err != nil {
		return late, err
	}
	m.list("ready")
	time.Sleep(time.Until(begin.Add(roundLength)))
	return late, ctx.Err()
}

// runDrain reports whether the rule held.
func runDrain(ctx context.Context, s *site, trouble bool) (bool, error) {
	var workers []*bidWorker
	for _, service := range []string{"bidding", "bidding", "bidding", "bidding", "catalogue", "catalogue"} {
		w := &bidWorker{machine: s.add(service)}
		if err := w.start(); err != nil {
			return false, err
		}
		workers = append(workers, w)
	}
	s.putConfig(map[string]any{
		"r-bid": map[string]any{
			"host": bidHost, "prefix": "/bid/", "type": "non_idempotent", "timeout_ms": bidTimeout, "target_latency_ms": 800,
			"priority": 1, "service": "bidding", "max_attempts": 2,
		},
	}, "bidding", "catalogue")
	if err := s.startAll(ctx); err != nil {
		return false, err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	client := &http.Client{Timeout: 6 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 100}}
	t := &traffic{site: s, machines: s.machines[4:], client: client}
	go t.run(ctx)
	time.Sleep(4 * time.Second)
	late := 0
	for round := range rounds {
		n, err := drainRound(ctx, workers[round%4], round, trouble)
		late += n
		if err != nil {
			return false, err
		}
	}
	s.record.add("%d requests sent, %d served, %d not", t.sent.Load(), t.served.Load(), t.other.Load())
	s.record.add("requests that reached a leaving worker more than %s after the acknowledgement: %d", drainBound, late)
	return late == 0, nil
}
