package chaos_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/galenalever/galenalever/internal/hop"
	"github.com/galenalever/galenalever/internal/model"
	"github.com/galenalever/galenalever/internal/standin/backend"
	"github.com/galenalever/galenalever/internal/standin/mesh"
)

const (
	// sendersPerNode is the number of clients at each node that send one request again
	// and again.
	sendersPerNode = 2
	// crashRecoveryTime is the time after a crash from which the crashed servers, which
	// are back after crashRestartTime, serve all requests again.
	crashRecoveryTime = 3 * time.Second
	// afterCrashTime is the time for which requests are sent after a crash.
	afterCrashTime = 6 * time.Second
)

const (
	// crashingRoundPause is the time between two rounds in which all nodes get the
	// crashing request at once.
	crashingRoundPause = 300 * time.Millisecond
	// stableTime is the time after the third crash from which a crashing request may
	// reach only maxLateCrashes further servers.
	stableTime     = 3 * time.Second
	maxLateCrashes = 3
)

// repeatedSend is the result of one send of a request that clients repeat.
type repeatedSend struct {
	name   string
	at     time.Time
	result string
}

// TestServerCrashDeniesNoRequest guards against harmless requests that nodes refused for
// minutes because they had been running at servers which crashed: one server, several
// at once, and beside a request that crashes servers. Clients repeat equal reads and
// equal bids.
func TestServerCrashDeniesNoRequest(t *testing.T) {
	if testing.Short() {
		t.Skip("starts 14 processes")
	}
	bin := buildDaemon(t)
	tests := map[string]struct {
		crashes  int // of each service
		crashing bool
	}{
		"one server":                 {crashes: 1},
		"several servers":            {crashes: 3},
		"beside a crashing request":  {crashes: 2, crashing: true},
		"crashing request and reads": {crashing: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			m := startEgypt(t, bin)
			ctx, stop := context.WithCancel(t.Context())
			sends := startSenders(ctx, t, m)
			time.Sleep(2 * time.Second)
			crash := time.Now()
			crashServers(m, "catalogue/catalogue", test.crashes)
			crashServers(m, "bidding/bidding", test.crashes)
			for i := 0; test.crashing && time.Since(crash) < crashRecoveryTime; i++ {
				sendCrashingRequest(t, m.Callers()[i%len(m.Nodes)], http.MethodGet, "/lots/?id=crashing", "")
				time.Sleep(crashingPause)
			}
			time.Sleep(time.Until(crash.Add(afterCrashTime)))
			stop()
			checkRepeatedSends(t, sends(), crash)
			if limit := 2*test.crashes + maxCrashes; countCrashes(m) > limit {
				t.Errorf("%d crashes, want at most %d", countCrashes(m), limit)
			}
		})
	}
}

// crashServers crashes the first servers of a service at once.
func crashServers(m *mesh.Mesh, service string, count int) {
	for _, n := range m.Nodes {
		if n.Service == service && count > 0 {
			n.Backend.Crash()
			count--
		}
	}
}

func countCrashes(m *mesh.Mesh) int {
	crashes := 0
	for _, n := range m.Nodes {
		crashes += n.Backend.Crashes()
	}
	return crashes
}

// startSenders starts clients at all nodes that repeat one read and one bid. The returned
// function waits for them after the end of the context and returns the results.
func startSenders(ctx context.Context, t *testing.T, m *mesh.Mesh) func() []repeatedSend {
	var mu sync.Mutex
	var sends []repeatedSend
	var group sync.WaitGroup
	send := func(name, method, address, target, body string) {
		client := &http.Client{Transport: &http.Transport{}, Timeout: meshTimeout}
		defer client.CloseIdleConnections()
		for number := 0; ctx.Err() == nil; number++ {
			at := time.Now()
			result := sendRepeated(client, method, "http://"+address+target, body, fmt.Sprintf("%s-%s-%d", name, address, number))
			mu.Lock()
			sends = append(sends, repeatedSend{name: name, at: at, result: result})
			mu.Unlock()
		}
	}
	for _, address := range m.Callers() {
		for range sendersPerNode {
			group.Go(func() { send("read", http.MethodGet, address, "/lots/popular?run=100ms", "") })
		}
		group.Go(func() { send("bid", http.MethodPost, address, "/bids/new?run=100ms", `{"lot":1}`) })
	}
	return func() []repeatedSend {
		group.Wait()
		t.Logf("%d sends", len(sends))
		return sends
	}
}

// sendRepeated sends a request and returns the outcome and the reason, or the error.
func sendRepeated(client *http.Client, method, url, body, id string) string {
	request, err := http.NewRequest(method, url, bytes.NewReader([]byte(body)))
	if err != nil {
		return err.Error()
	}
	request.Host = crashHost
	request.Header.Set(backend.HeaderLedgerID, id)
	response, err := client.Do(request)
	if err != nil {
		return err.Error()
	}
	defer response.Body.Close()
	_, _ = io.Copy(io.Discard, response.Body) // only the headers matter
	return strings.TrimSpace(response.Header.Get(hop.HeaderOutcome) + " " + response.Header.Get(hop.HeaderReason))
}

// checkRepeatedSends checks that no request was refused for what happened to others, and
// that all were answered once the crashed servers were back.
func checkRepeatedSends(t *testing.T, sends []repeatedSend, crash time.Time) {
	t.Helper()
	counts := map[string]int{}
	for _, s := range sends {
		late := s.at.Sub(crash) > crashRecoveryTime
		counts[fmt.Sprintf("%s %s, after the recovery: %t", s.name, s.result, late)]++
		quarantined := strings.HasSuffix(s.result, string(model.ReasonQuarantined))
		if quarantined || late && s.result != model.OutcomeAnswered.String() {
			t.Errorf("%s sent %v after the crash: %s", s.name, s.at.Sub(crash).Round(time.Millisecond), s.result)
		}
	}
	t.Log(counts)
}

// TestCrashingRequestSentToAllNodesAtOnce guards against a request that goes on crashing
// servers because several run it at the same time, none of them alone.
func TestCrashingRequestSentToAllNodesAtOnce(t *testing.T) {
	if testing.Short() {
		t.Skip("starts 14 processes")
	}
	m := startEgypt(t, buildDaemon(t))
	ctx, stop := context.WithCancel(t.Context())
	sends := startSenders(ctx, t, m)
	time.Sleep(time.Second)
	var thirdCrash time.Time
	crashesThen := 0 // when stableTime had passed since the third crash
	var rounds sync.WaitGroup
	for begin := time.Now(); time.Since(begin) < 2*stableTime+crashRecoveryTime; time.Sleep(crashingRoundPause) {
		switch crashes := countCrashes(m); {
		case thirdCrash.IsZero() && crashes >= 3:
			thirdCrash = time.Now()
		case !thirdCrash.IsZero() && crashesThen == 0 && time.Since(thirdCrash) >= stableTime:
			crashesThen = crashes
		}
		for _, address := range m.Callers() {
			rounds.Go(func() { sendCrashingRequest(t, address, http.MethodGet, "/lots/?id=crashing", "") })
		}
	}
	rounds.Wait()
	stop()
	checkRepeatedSends(t, sends(), time.Now())
	crashes := countCrashes(m)
	if late := crashes - crashesThen; !thirdCrash.IsZero() && late > maxLateCrashes {
		t.Errorf("%d crashes, %d of them later than %v after the third", crashes, late, stableTime)
	}
	t.Logf("%d crashes, %d by %v after the third", crashes, crashesThen, stableTime)
}
