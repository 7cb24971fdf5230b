package gate_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"runtime"
	"slices"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/galenalever/galenalever/internal/control"
	"github.com/galenalever/galenalever/internal/decision/drain"
	"github.com/galenalever/galenalever/internal/frontend"
	"github.com/galenalever/galenalever/internal/model"
	"github.com/galenalever/galenalever/internal/service/gate"
)

// waitFor yields to other goroutines until the condition holds. If it never holds,
// the test runs into the timeout of go test.
func waitFor(condition func() bool) {
	for !condition() {
		runtime.Gosched()
	}
}

// scenario is the state of one scenario file.
type scenario struct {
	t       *testing.T
	clock   *testClock
	ledger  *ledger
	members *memberList
	nodes   map[string]*node
	sends   map[string]*send
	client  *http.Client
	hidden  []model.Member
	// log holds the commands of a random history and their results.
	log []string
}

// originHeaders is a header protocol whose servers are told the calling service.
type originHeaders struct{ frontend.Native }

func (originHeaders) StatesOrigin() bool { return true }

func (originHeaders) ToServer(h http.Header, r frontend.ServerRequest) {
	h.Set("X-Test-Caller", string(r.Origin))
}

// send is a request in progress.
type send struct {
	// name identifies the request in the ledger.
	name   string
	result chan string
	cancel context.CancelFunc
	upload *io.PipeWriter
}

func newScenario(t *testing.T) *scenario {
	return &scenario{
		t: t, clock: newTestClock(), ledger: &ledger{runs: map[string]int{}},
		members: &memberList{}, nodes: map[string]*node{}, sends: map[string]*send{},
		client: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}, // without reuse, the transport never resends
	}
}

// checkRefusedOnce sends a request to the gate and checks that it is refused as not run, for the
// reason, and has not reached a server.
func (s *scenario) checkRefusedOnce(t *testing.T, n *node, reason model.Reason) {
	t.Helper()
	response, err := n.send(t, "GET", "r1")
	must(err)
	defer response.Body.Close()
	if outcome, _, _ := readOutcome(t, response); outcome != model.OutcomeNotRun {
		t.Errorf("outcome %s", outcome)
	}
	if refused := n.gate.Stats().Refused[reason]; refused != 1 {
		t.Errorf("%d requests were refused as %s", refused, reason)
	}
	if ran := s.ledger.String(); ran != "nothing ran\n" {
		t.Error(ran)
	}
}

// TestScenarios runs the scenario files in testdata with gates and fake backend
// servers that communicate over local connections.
func TestScenarios(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		s := newScenario(t)
		t.Cleanup(s.close)
		datadriven.RunTest(t, path, s.run)
	})
}

func (s *scenario) close() {
	s.client.CloseIdleConnections()
	for _, n := range s.nodes {
		n.close()
	}
}

func (s *scenario) run(t *testing.T, d *datadriven.TestData) string {
	s.t = t
	var name, id, reason string
	var after time.Duration
	var count int
	d.MaybeScanArgs(t, "count", &count)
	d.MaybeScanArgs(t, "node", &name)
	d.MaybeScanArgs(t, "id", &id)
	d.MaybeScanArgs(t, "reason", &reason)
	if d.HasArg("by") {
		var text string
		d.ScanArgs(t, "by", &text)
		after, _ = time.ParseDuration(text)
	}
	n := s.nodes[name]
	switch d.Cmd {
	case "start":
		for _, arg := range d.CmdArgs {
			service := &model.Service{Name: serviceName, Slots: 2, LongSlots: 1, Queue: 4}
			s.nodes[arg.Key] = startNode(arg.Key, s.clock, s.ledger, s.members, service)
		}
	case "state-callers": // servers of the nodes that start next are told the calling service
		s.members.headers = originHeaders{}
	case "no-callers": // they are not told
		s.members.headers = nil
	case "send":
		s.begin(d, n)
		return s.finish(d)
	case "begin": // sends a request and waits until the server has it
		s.begin(d, n)
		<-n.server.signal(n.server.arrived, s.sends[id].name)
	case "queue": // sends a request and waits until the gate has queued it
		queued := n.gate.Stats().Queued
		s.begin(d, n)
		waitFor(func() bool { return n.gate.Stats().Queued > queued })
	case "repeat": // sends a request without waiting
		s.begin(d, n)
	case "send-concurrently":
		return s.sendConcurrently(d, n)
	case "release":
		close(n.server.signal(n.server.releases, id))
	case "cancel":
		s.sends[id].cancel()
	case "upload":
		_, err := s.sends[id].upload.Write([]byte("more"))
		must(err)
	case "upload-end":
		must(s.sends[id].upload.Close())
	case "result":
		return s.finish(d)
	case "advance":
		s.clock.fake.Advance(after)
	case "pause": // the clock jumps ahead without running timers
		s.clock.offset.Add(int64(after))
	case "stale":
		n.watchdog.stale.Store(true)
	case "crash":
		n.server.crash()
		waitFor(func() bool { return !n.backend.Available() })
	case "restart":
		waitFor(func() bool { return !n.backend.Available() })
		n.server.start()
		waitFor(n.backend.Available)
	case "serve-leaving":
		s.members.serveLeaving = after
	case "schedule-leave":
		must(n.kernel.Loop().Post(t.Context(), control.PresenceChanged{Presence: model.PresenceLeaving}))
		waitFor(func() bool { return n.gate.Ready() != nil })
	case "drain": // begins a shutdown that ends after "by"
		end := s.clock.Now().Add(after)
		plan := drain.Plan{End: end, CloseBy: end.Add(200 * time.Millisecond)}
		must(n.kernel.Loop().Post(t.Context(), control.DrainStarted{Plan: plan}))
		must(n.kernel.Loop().Post(t.Context(), control.PresenceChanged{Presence: model.PresenceLeaving}))
		waitFor(func() bool { return n.gate.Ready() != nil })
	case "await-leaving": // waits until the gate refuses requests
		waitFor(func() bool { return n.gate.Stats().Leaving })
	case "leave":
		must(n.kernel.Loop().Post(t.Context(), control.PresenceChanged{Presence: model.PresenceLeaving}))
		waitFor(func() bool { return n.gate.Stats().Leaving })
	case "withdraw": // the platform lists the server as leaving
		n.withdraw(s.members, name)
	case "evacuate": // evacuates exactly one failure domain
		s.cmdEvacuate(d, n)
	case "ready":
		if err := n.gate.Ready(); err != nil {
			return fmt.Sprintln(err)
		}
		return "ready\n"
	case "stop":
		go func() { n.stopped <- n.gate.Stop(context.Background()) }()
	case "stopped":
		return fmt.Sprintln("error:", <-n.stopped)
	case "queued": // waits until this many requests are queued
		var count int
		d.ScanArgs(s.t, "count", &count)
		waitFor(func() bool { return n.gate.Stats().Queued == count })
	case "in-flight": // waits until this many requests hold slots
		waitFor(func() bool { return n.gate.Stats().InFlight == count })
	case "suspects": // waits until the node has records of this many suspects
		waitFor(func() bool { return len(n.gate.Stats().Suspects) == count })
	case "cleared": // waits until the node has cleared a suspect
		waitFor(func() bool {
			return slices.ContainsFunc(n.gate.Stats().Suspects, func(s gate.Suspect) bool { return s.Cleared })
		})
	case "hide-members": // empties the membership of all nodes
		s.hidden = s.members.all()
		for _, m := range s.hidden {
			s.members.remove(string(m.ID))
		}
	case "show-members": // restores the membership and notifies the node
		for _, m := range s.hidden {
			s.members.add(m)
		}
		must(n.kernel.Loop().Post(t.Context(), control.MembersChanged{Changed: s.hidden}))
	case "remembered": // waits until the gate remembers this many requests
		waitFor(func() bool { return n.gate.Stats().Remembered == count })
	case "block-control":
		n.controlBlocked.Store(true)
	case "unblock-control":
		n.controlBlocked.Store(false)
	case "ledger":
		return s.ledger.String()
	case "remove-member": // removes the instance from the membership
		s.members.remove(name)
	case "fail-instance": // ends the node and its server without notice
		_ = n.server.http.Close()
		_ = n.control.Close()
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		_ = n.kernel.Stop(ctx)
	case "stats":
		st := n.gate.Stats()
		return fmt.Sprintf("answered=%d replayed=%d refused=%v in-flight=%d queued=%d suspects=%d\n",
			st.Answered, st.Replayed, st.Refused, st.InFlight, st.Queued, len(st.Suspects))
	default:
		return "unknown command"
	}
	return ""
}
