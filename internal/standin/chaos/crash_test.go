package chaos_test

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/galenalever/galenalever/internal/hop"
	"github.com/galenalever/galenalever/internal/model"
	"github.com/galenalever/galenalever/internal/standin/backend"
	"github.com/galenalever/galenalever/internal/standin/load"
	"github.com/galenalever/galenalever/internal/standin/mesh"
	"github.com/galenalever/galenalever/internal/timeline"
)

const (
	// crashingSends is how often the request that crashes servers is sent.
	crashingSends = 120
	// crashingPause is the time between two of these sends.
	crashingPause = 50 * time.Millisecond
	// mostCrashes is the number of servers that one request may fell.
	mostCrashes = 2
	// crashRestart is how long a crashed server is away.
	crashRestart = 500 * time.Millisecond
	// meshTimeout bounds the start of the mesh and the stop of each node.
	meshTimeout = 30 * time.Second
	// crashHost is the host of all routes of the deployment.
	crashHost = "lelang.example"
)

// TestCrashingRequestFellsAtMostTwoServers sends a request that crashes each
// server that runs it again and again, through the nodes in turn, while other
// requests flow. Crashed servers come back, so the limit is one of the product.
func TestCrashingRequestFellsAtMostTwoServers(t *testing.T) {
	if testing.Short() {
		t.Skip("starts 14 processes")
	}
	bin := buildDaemon(t)
	crashing := map[string]struct {
		method, path string
		body         string
	}{
		"read": {method: http.MethodGet, path: "/lots?id=crashing"},
		"bid":  {method: http.MethodPost, path: "/bids?id=crashing", body: "a bid"},
	}
	for name, c := range crashing {
		t.Run(name, func(t *testing.T) {
			m := startEgypt(t, bin)
			generator := load.NewGenerator(load.Config{
				Workloads: []load.Workload{readShape(), bidShape()},
				Callers:   m.Callers, MaxSends: 3, Prefix: "crash", Seed: 1,
			})
			loadCtx, stopLoad := context.WithCancel(t.Context())
			loadEnded := make(chan struct{})
			go func() {
				defer close(loadEnded)
				generator.Run(loadCtx)
			}()
			reasons := make(map[string]int)
			for i := range crashingSends {
				reasons[sendCrashing(t, m.Callers()[i%len(m.Nodes)], c.method, c.path, c.body)]++
				time.Sleep(crashingPause)
			}
			last := sendCrashing(t, m.Callers()[0], c.method, c.path, c.body)
			stopLoad()
			<-loadEnded
			checkCrashes(t, m, generator, reasons, last)
		})
	}
}

// startEgypt starts the Egyptian deployment and waits until it serves.
func startEgypt(t *testing.T, bin string) *mesh.Mesh {
	t.Helper()
	m, err := mesh.New(mesh.Config{
		Deployment:  mesh.Egypt(),
		Program:     bin + "/galenaleverd",
		Latency:     5 * time.Millisecond,
		RestartTime: crashRestart,
		Seed:        1,
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := m.Close(meshTimeout); err != nil {
			t.Error(err)
		}
	})
	if err := m.PublishAll(); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(t.Context(), meshTimeout)
	defer cancel()
	if err := m.Start(ctx); err != nil {
		t.Fatal(err)
	}
	if _, err := mesh.NewObserver(m).Await(ctx, m.AllReady()); err != nil {
		t.Fatal(err)
	}
	return m
}

// readShape and bidShape are the requests of others.
func readShape() load.Workload {
	return load.Workload{Name: "read", Method: "GET", Host: crashHost, Path: "/lots", Idempotent: true, Rate: 40}
}

func bidShape() load.Workload {
	return load.Workload{Name: "bid", Method: "POST", Host: crashHost, Path: "/bids", HasIdempotencyKey: true, Rate: 30, BodyBytes: 200}
}

// sendCrashing sends the request once and returns outcome and reason.
func sendCrashing(t *testing.T, callers, method, target, body string) string {
	t.Helper()
	url := "http://" + callers + target
	request, err := http.NewRequestWithContext(t.Context(), method, url, bytes.NewReader([]byte(body)))
	if err != nil {
		t.Fatal(err)
	}
	request.Host = crashHost
	request.Header.Set(backend.HeaderLedgerID, "crashing")
	request.Header.Set(backend.HeaderCrash, "yes")
	transport := &http.Transport{DisableKeepAlives: true}
	response, err := (&http.Client{Transport: transport, Timeout: meshTimeout}).Do(request)
	if err != nil {
		return err.Error()
	}
	defer response.Body.Close()
	_, _ = io.Copy(io.Discard, response.Body) // only the headers count
	return response.Header.Get(hop.HeaderOutcome) + " " + response.Header.Get(hop.HeaderReason)
}

// checkCrashes checks the servers, the answers to others and the time line.
func checkCrashes(t *testing.T, m *mesh.Mesh, g *load.Generator, reasons map[string]int, last string) {
	t.Helper()
	crashes := 0
	for _, n := range m.Nodes {
		crashes += n.Backend.Crashes()
	}
	if crashes == 0 || crashes > mostCrashes {
		t.Errorf("%d crashes, want 1 to %d", crashes, mostCrashes)
	}
	if want := model.OutcomeUnknown.String() + " " + string(model.ReasonQuarantined); last != want {
		t.Errorf("the last send ended as %q, want %q", last, want)
	}
	quarantined := 0
	for _, event := range mesh.NewObserver(m).Events(t.Context()) {
		if event.Kind == timeline.KindRequestQuarantined {
			quarantined++
		}
	}
	if quarantined == 0 {
		t.Error("no node reports the quarantine")
	}
	records := g.Records()
	for _, violation := range load.Violations(records, m.Ledger) {
		t.Error(violation)
	}
	counts := load.CountResults(records)
	for _, record := range records {
		if record.Workload.Idempotent && record.Last().Result != load.ResultAnswered {
			t.Errorf("not answered: %s", record)
		}
	}
	t.Logf("crashes %d, quarantine events %d, sends %v, other requests %d: %v\n%s",
		crashes, quarantined, reasons, len(records), counts, strings.Join(load.Summary(records), "\n"))
}
