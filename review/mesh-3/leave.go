package main

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// leaveShare is the share of the clients that leave early, as in give_up, in leaveSpans
	// spans of leaveSpan with pauses of leavePause.
	leaveShare, leaveSpans = 0.2, 5
	leaveSpan, leavePause  = 5 * time.Second, 2 * time.Second
	// uploaders is the number of clients at each node.
	uploaders = 12
	// closedFor is the time after a close from which arrivals count, and aFew how many are
	// allowed.
	closedFor = 500 * time.Millisecond
	aFew      = 5
)

var uploadRoute = routeOf{Host: "up.example", Prefix: "/fiti832/ti23/", Type: "upload", Timeout: 2500, Target: 800, Priority: 1, Service: booking, Attempts: 2}

// uploadLeave lets clients send uploads in chunks to a busy service. Some of them leave after
// half of the latency objective.
func uploadLeave(m *mesh, trouble bool) ([]string, error) {
	if err := m.start("jkt", "jkt", "smg", "smg"); err != nil {
		return nil, err
	}
	m.configure(8, []string{booking}, map[string]routeOf{"r-read": readRoute, "r-up": uploadRoute})
	for _, n := range m.nodes {
		n.worker.setWork(func(*http.Request) time.Duration {
			return 300*time.Millisecond + time.Duration(rand.IntN(900))*time.Millisecond
		}, nil)
	}
	time.Sleep(5 * time.Second) // until the nodes have been in touch for long
	var leaving atomic.Bool
	var mu sync.Mutex
	closed := make(map[string]time.Time)
	stop := make(chan struct{})
	for _, n := range m.nodes {
		for range uploaders {
			go func() {
				for {
					select {
					case <-stop:
						return
					default:
					}
					attempt := m.newAttempt()
					conn, err := dial(n.outbound())
					if err != nil {
						continue
					}
					if leaving.Load() && rand.Float64() < leaveShare {
						time.AfterFunc(time.Duration(uploadRoute.Target/2)*time.Millisecond, func() {
							mu.Lock()
							closed[attempt] = time.Now()
							mu.Unlock()
							_ = conn.Close()
						})
					}
					a := conn.send(attempt, n.name, request{
						method: http.MethodPost, uri: uploadRoute.Prefix + "photo", host: uploadRoute.Host, deadline: 5 * time.Second,
						chunked: true, body: bytes.Repeat([]byte("p"), 70_000+rand.IntN(40_000)),
					})
					m.record(a)
					_ = conn.Close()
					time.Sleep(a.RetryAfter)
				}
			}()
		}
	}
	for range leaveSpans {
		time.Sleep(leavePause)
		leaving.Store(trouble)
		time.Sleep(leaveSpan)
		leaving.Store(false)
	}
	time.Sleep(leavePause)
	close(stop)
	time.Sleep(leavePause)
	mu.Lock()
	defer mu.Unlock()
	return m.arrivalsAfterClose(closed), nil
}

// arrivalsAfterClose returns the requests that reached a worker long after their client had
// closed its connection without an answer, if there are more than a few.
func (m *mesh) arrivalsAfterClose(closed map[string]time.Time) []string {
	m.mu.Lock()
	for _, a := range m.answers {
		if a.Status != 0 {
			delete(closed, a.Attempt)
		}
	}
	m.mu.Unlock()
	m.notef("%d clients left before their answer", len(closed))
	var findings []string
	for _, r := range m.runs.all() {
		if at, ok := closed[r.Attempt]; ok && r.Begin.After(at.Add(closedFor)) {
			findings = append(findings, fmt.Sprintf("GONE: attempt %s reaches worker %s %.3f s after its client closed the connection", r.Attempt, r.Worker, r.Begin.Sub(at).Seconds()))
		}
	}
	if len(findings) <= aFew {
		return nil
	}
	return findings
}
