package main

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

const (
	// poisonPath ends the path of the request that crashes each worker that runs it.
	poisonPath = "poison"
	// crashedFor is how long a worker is down after a crash.
	crashedFor = 2 * time.Second
	// maxLateRetries is the number of retries that may reach workers later than the stable
	// window after the third crash.
	maxLateRetries = 3
	// crashLimit is the number of crashes after which that counts.
	crashLimit = 3
)

func isPoison(r *http.Request) bool { return strings.HasSuffix(r.URL.Path, poisonPath) }

// startCrashing starts six machines, whose workers crash after the given work at a request
// with poisonPath if trouble is true.
func (m *mesh) startCrashing(trouble bool, after time.Duration) error {
	if err := m.start("jkt", "jkt", "smg", "smg", "sby", "sby"); err != nil {
		return err
	}
	for _, n := range m.nodes {
		n.worker.back = crashedFor
		n.worker.setWork(func(r *http.Request) time.Duration {
			if isPoison(r) {
				return after
			}
			return 20 * time.Millisecond
		}, func(r *http.Request) bool { return trouble && isPoison(r) })
	}
	time.Sleep(5 * time.Second) // until the nodes have been in touch for long
	return nil
}

// poisonKey sends a request that crashes workers again and again, each time as a submission
// of its own with a new Idempotency-Key.
func poisonKey(m *mesh, trouble bool) ([]string, error) {
	if err := m.startCrashing(trouble, 50*time.Millisecond); err != nil {
		return nil, err
	}
	stop := make(chan struct{})
	m.load(m.nodes, stop, 60*time.Millisecond)
	for i := range 25 {
		m.do(m.nodes[i%len(m.nodes)], request{
			method: http.MethodPost, uri: postRoute.Prefix + poisonPath, host: postRoute.Host, deadline: 3 * time.Second,
			header: map[string]string{"Idempotency-Key": "order-" + m.newAttempt()}, body: []byte(`{"unit":"megaphone","hours":4}`),
		})
		time.Sleep(time.Second)
	}
	close(stop)
	return m.lateRetries(), nil
}

const (
	// episodes is how often clients leave early, each time in a span of leavers times
	// leaveInterval, which is within the dose of give_up.
	episodes, leavers = 8, 3
	leaveInterval     = 1500 * time.Millisecond
	episodePause      = 2 * time.Second
)

// poisonLeave sends an idempotent request that crashes workers after 0.5 s again and again.
// Its client leaves after half of the latency objective.
func poisonLeave(m *mesh, trouble bool) ([]string, error) {
	if err := m.startCrashing(trouble, 500*time.Millisecond); err != nil {
		return nil, err
	}
	stop := make(chan struct{})
	m.load(m.nodes, stop, 60*time.Millisecond)
	for i := range episodes * leavers {
		if i > 0 && i%leavers == 0 {
			time.Sleep(episodePause)
		}
		n := m.nodes[i%len(m.nodes)]
		if conn, err := dial(n.outbound()); err == nil {
			time.AfterFunc(time.Duration(readRoute.Target/2)*time.Millisecond, func() { _ = conn.Close() })
			m.record(conn.send(m.newAttempt(), n.name, readRequest(poisonPath)))
		}
		time.Sleep(leaveInterval)
	}
	close(stop)
	return m.lateRetries(), nil
}

// lateRetries returns the runs of the crashing request that began later than the stable window
// after its third crash, if there are too many.
func (m *mesh) lateRetries() []string {
	var reached []run
	for _, r := range m.runs.all() {
		if strings.HasSuffix(r.URI, poisonPath) {
			reached = append(reached, r)
		}
	}
	m.notef("the crashing request has reached workers %d times", len(reached))
	var ends []time.Time
	for _, r := range reached {
		if r.Status == 0 && !r.Dropped && !r.End.IsZero() {
			ends = append(ends, r.End)
		}
	}
	if len(ends) < crashLimit {
		return nil
	}
	third := ends[crashLimit-1]
	var findings []string
	for _, r := range reached {
		if r.Begin.After(third.Add(stableWindow)) {
			findings = append(findings, fmt.Sprintf("BUDGET: attempt %s reaches worker %s %.3f s after the third crash", r.Attempt, r.Worker, r.Begin.Sub(third).Seconds()))
		}
	}
	if len(findings) <= maxLateRetries {
		return nil
	}
	return findings
}
