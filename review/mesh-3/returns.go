package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"syscall"
	"time"
)

// The bounds of the settings.
const (
	drainTime    = 2 * time.Second
	stableWindow = 3 * time.Second
)

// returnHold lets a worker leave whose entry is removed and that goes on serving for a
// while, and lets the store come back from a copy in which the entry is still there.
func returnHold(m *mesh, trouble bool) ([]string, error) {
	if err := m.start("jkt", "jkt", "jkt", "smg", "smg"); err != nil {
		return nil, err
	}
	leaver := m.nodes[len(m.nodes)-1]
	stop := make(chan struct{})
	m.load(m.nodes, stop, 15*time.Millisecond)
	time.Sleep(5 * time.Second)
	gone := leaver.worker.leave()
	m.notef("worker %s is removed from the store and goes on serving", leaver.worker.id)
	time.Sleep(700 * time.Millisecond)
	returned := time.Time{}
	if trouble {
		m.store.goAway()
		m.notef("the store is away")
		time.Sleep(300 * time.Millisecond)
		m.store.returnFromCopy(gone.Add(-time.Second))
		returned = time.Now()
		m.notef("the store is back from a copy that is 2 s old")
	}
	time.Sleep(8 * time.Second)
	close(stop)
	time.Sleep(time.Second)
	return lateArrivals(m, leaver.worker.id, gone, returned, nil), nil
}

// lateArrivals returns the requests that reached a worker later than drain_ms after it was
// gone, from machines in touch: not within the stable window after the return of the store
// or the start of the node that took the request.
func lateArrivals(m *mesh, worker string, gone, returned time.Time, started map[string]time.Time) []string {
	from := make(map[string]answer)
	m.mu.Lock()
	for _, a := range m.answers {
		from[a.Attempt] = a
	}
	m.mu.Unlock()
	var findings []string
	for _, r := range m.runs.all() {
		if r.Worker != worker || !r.Begin.After(gone.Add(drainTime)) {
			continue
		}
		if !returned.IsZero() && r.Begin.Before(returned.Add(stableWindow)) {
			continue
		}
		if at, ok := started[from[r.Attempt].Node]; ok && r.Begin.Before(at.Add(stableWindow)) {
			continue
		}
		findings = append(findings, fmt.Sprintf("DRAIN: attempt %s from %s reaches worker %s %.3f s after the store acknowledged that it is gone",
			r.Attempt, from[r.Attempt].Node, worker, r.Begin.Sub(gone).Seconds()))
	}
	return findings
}

// returnFresh is returnHold, but the worker left before, and a node that reads the store is
// stopped and started again while the store is away.
func returnFresh(m *mesh, trouble bool) ([]string, error) {
	if err := m.start("jkt", "jkt", "jkt", "smg", "smg"); err != nil {
		return nil, err
	}
	stop := make(chan struct{})
	m.load(m.nodes, stop, 15*time.Millisecond)
	time.Sleep(5 * time.Second)
	restarted := map[string]time.Time{}
	var leaver *node
	readers, err := m.readersIn("jkt")
	if err != nil {
		return nil, err
	}
	for _, n := range m.nodes {
		if n.zone == "jkt" && !readers[n.name] {
			leaver = n
		}
	}
	if leaver == nil {
		return nil, fmt.Errorf("all nodes of the zone read the store: %v", readers)
	}
	var fresh *node
	for _, n := range m.nodes {
		if readers[n.name] {
			fresh = n
		}
	}
	fresh.signal(syscall.SIGTERM)
	time.Sleep(4500 * time.Millisecond)
	gone := leaver.worker.leave()
	m.notef("worker %s beside %s is removed from the store and goes on serving; readers %v", leaver.worker.id, leaver.name, readers)
	fresh.await()
	m.notef("%s has ended", fresh.name)
	returned := time.Time{}
	if trouble {
		m.store.goAway()
		time.Sleep(300 * time.Millisecond)
		m.store.returnFromCopy(gone.Add(-time.Second))
		returned = time.Now()
		m.notef("the store is back from a copy")
	}
	if err := fresh.start(); err != nil {
		return nil, err
	}
	restarted[fresh.name] = time.Now()
	time.Sleep(8 * time.Second)
	close(stop)
	time.Sleep(time.Second)
	return lateArrivals(m, leaver.worker.id, gone, returned, restarted), nil
}

// readersIn returns the nodes of a zone that read the store, by their status pages.
func (m *mesh) readersIn(zone string) (map[string]bool, error) {
	out := make(map[string]bool)
	for _, n := range m.nodes {
		var page struct {
			Sections struct {
				Exchange struct {
					Reader bool `json:"reader"`
				} `json:"exchange"`
			} `json:"sections"`
		}
		response, err := http.Get("http://" + n.at(portReady) + "/status")
		if err != nil {
			return nil, err
		}
		err = json.NewDecoder(response.Body).Decode(&page)
		_ = response.Body.Close()
		if err != nil {
			return nil, err
		}
		if n.zone == zone && page.Sections.Exchange.Reader {
			out[n.name] = true
		}
	}
	return out, nil
}
