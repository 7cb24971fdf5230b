package gate_test

import (
	"context"
	"fmt"
	"io"
	"maps"
	"net/http"
	"runtime"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/galenalever/galenalever/internal/control"
	"github.com/galenalever/galenalever/internal/hop"
	"github.com/galenalever/galenalever/internal/model"
	"github.com/galenalever/galenalever/internal/service/gate"
)

// waitFor yields to other goroutines until the condition holds. A condition that
// never holds ends with the time limit of the test run.
func waitFor(condition func() bool) {
	for !condition() {
		runtime.Gosched()
	}
}

// scenario is the state of one script.
type scenario struct {
	t       *testing.T
	clock   *testClock
	ledger  *ledger
	members *memberList
	nodes   map[string]*node
	sends   map[string]*send
	client  *http.Client
	hidden  []model.Member
	// log holds the commands of a random history.
	log []string
}

// send is a request on its way.
type send struct {
	// name is what the server's ledger calls the request.
	name   string
	result chan string
	cancel context.CancelFunc
	upload *io.PipeWriter
}

func newScenario(t *testing.T) *scenario {
	return &scenario{
		t: t, clock: newTestClock(), ledger: &ledger{runs: map[string]int{}},
		members: &memberList{}, nodes: map[string]*node{}, sends: map[string]*send{},
		client: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}, // never replays
	}
}

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
	var to, id, reason string
	var after time.Duration
	var count int
	d.MaybeScanArgs(t, "count", &count)
	d.MaybeScanArgs(t, "node", &to)
	d.MaybeScanArgs(t, "id", &id)
	d.MaybeScanArgs(t, "reason", &reason)
	if d.HasArg("by") {
		var text string
		d.ScanArgs(t, "by", &text)
		after, _ = time.ParseDuration(text)
	}
	n := s.nodes[to]
	switch d.Cmd {
	case "start":
		for _, arg := range d.CmdArgs {
			service := &model.Service{Name: serviceName, Slots: 2, LongSlots: 1, Queue: 4}
			s.nodes[arg.Key] = startNode(arg.Key, s.clock, s.ledger, s.members, service)
		}
	case "send":
		s.begin(d, n)
		return s.finish(d)
	case "begin": // returns when the server has the request
		s.begin(d, n)
		<-n.server.signal(n.server.arrived, s.sends[id].name)
	case "queue": // returns when the request waits in the gate's queue
		queued := n.gate.Stats().Queued
		s.begin(d, n)
		waitFor(func() bool { return n.gate.Stats().Queued > queued })
	case "repeat": // returns when the gate has taken the request
		s.begin(d, n)
	case "storm": // many sends of one request at once
		return s.storm(d, n)
	case "release":
		close(n.server.signal(n.server.held, id))
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
	case "pause": // the clock jumps and no timer runs
		s.clock.gap.Add(int64(after))
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
	case "depart":
		must(n.kernel.Loop().Post(t.Context(), control.PresenceChanged{Presence: model.PresenceLeaving}))
		waitFor(func() bool { return n.gate.Ready() != nil })
	case "left": // returns when the gate refuses requests
		waitFor(func() bool { return n.gate.Stats().Leaving })
	case "leave":
		must(n.kernel.Loop().Post(t.Context(), control.PresenceChanged{Presence: model.PresenceLeaving}))
		waitFor(func() bool { return n.gate.Stats().Leaving })
	case "stop":
		go func() { n.stopped <- n.gate.Stop(context.Background()) }()
	case "stopped":
		return fmt.Sprintln("error:", <-n.stopped)
	case "queued": // returns when so many requests wait
		var count int
		d.ScanArgs(s.t, "count", &count)
		waitFor(func() bool { return n.gate.Stats().Queued == count })
	case "in-flight": // returns when so many requests hold slots
		waitFor(func() bool { return n.gate.Stats().InFlight == count })
	case "suspects": // returns when the node knows so many
		waitFor(func() bool { return len(n.gate.Stats().Suspects) == count })
	case "cleared": // returns when the node trusts a suspect again
		waitFor(func() bool {
			return slices.ContainsFunc(n.gate.Stats().Suspects, func(s gate.Suspect) bool { return s.Cleared })
		})
	case "hide": // the nodes do not know of each other for now
		s.hidden = s.members.all()
		for _, m := range s.hidden {
			s.members.remove(string(m.ID))
		}
	case "show": // the node hears of the hidden ones
		for _, m := range s.hidden {
			s.members.add(m)
		}
		must(n.kernel.Loop().Post(t.Context(), control.MembersChanged{Changed: s.hidden}))
	case "remembers": // returns when the gate remembers so many requests
		waitFor(func() bool { return n.gate.Stats().Remembered == count })
	case "deaf":
		n.deaf.Store(true)
	case "hear":
		n.deaf.Store(false)
	case "ledger":
		return s.ledger.String()
	case "gone": // the other nodes learn that the instance is gone
		s.members.remove(to)
	case "lose": // the instance ends without a word: node and server
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

// storm sends one request many times at once and counts the different answers.
func (s *scenario) storm(d *datadriven.TestData, n *node) string {
	var count int
	d.ScanArgs(s.t, "count", &count)
	for i := range count {
		d.CmdArgs = append(d.CmdArgs, datadriven.CmdArg{Key: "id", Vals: []string{fmt.Sprint("storm-", i)}})
		s.begin(d, n)
		d.CmdArgs = d.CmdArgs[:len(d.CmdArgs)-1]
	}
	answers := make(map[string]bool)
	for i := range count {
		answer := <-s.sends[fmt.Sprint("storm-", i)].result
		answers[answer] = true
	}
	delete(answers, "unknown duplicate (409)") // how many depends on the scheduler
	return strings.Join(slices.Sorted(maps.Keys(answers)), "\n") + "\n"
}

func (s *scenario) begin(d *datadriven.TestData, n *node) {
	id, path, method, key, timeout := "", "/ok", "GET", "", "5s"
	class, size, incarnation, sent := "short", 0, 0, ""
	d.ScanArgs(s.t, "id", &id)
	d.MaybeScanArgs(s.t, "path", &path)
	d.MaybeScanArgs(s.t, "method", &method)
	d.MaybeScanArgs(s.t, "key", &key)
	d.MaybeScanArgs(s.t, "timeout", &timeout)
	d.MaybeScanArgs(s.t, "class", &class)
	d.MaybeScanArgs(s.t, "size", &size)
	d.MaybeScanArgs(s.t, "incarnation", &incarnation)
	d.MaybeScanArgs(s.t, "send", &sent)
	left, err := time.ParseDuration(timeout)
	must(err)
	out := &send{name: id, result: make(chan string, 1)}
	var body io.Reader
	if size > 0 {
		body = strings.NewReader(strings.Repeat("x", size))
	}
	if d.HasArg("stream") {
		body, out.upload = io.Pipe()
	}
	ctx, cancel := context.WithCancel(context.Background())
	out.cancel = cancel
	r, err := http.NewRequestWithContext(ctx, method, "http://"+n.address+path, body)
	must(err)
	request := hop.Request{
		ID: model.RequestID(id), Service: serviceName, Route: "book", Class: model.Class(class),
		Idempotent: method == "GET", Attempt: 1, Timeout: left, Incarnation: model.Incarnation(incarnation),
	}
	if d.HasArg("sent-at") {
		var at string
		d.ScanArgs(s.t, "sent-at", &at)
		request.Sent, err = time.ParseDuration(at)
		must(err)
		request.Sender = 5
	}
	request.Encode(r.Header)
	r.GetBody = nil
	if key != "" {
		r.Header.Set("Idempotency-Key", key)
		out.name = key
	}
	r.Header.Set("X-Test-Id", out.name)
	s.sends[id+sent] = out
	if d.HasArg("unread") {
		response, err := s.client.Do(r)
		must(err)
		s.t.Cleanup(func() { _ = response.Body.Close() })
		return
	}
	go func() { out.result <- s.do(r, id) }()
}

func (s *scenario) finish(d *datadriven.TestData) string {
	var id, sent string
	d.ScanArgs(s.t, "id", &id)
	d.MaybeScanArgs(s.t, "send", &sent)
	return <-s.sends[id+sent].result + "\n"
}

// do sends a request and describes the answer.
func (s *scenario) do(r *http.Request, id string) string {
	response, err := s.client.Do(r)
	if err != nil {
		return "no answer"
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	h, ok := hop.DecodeResponse(response.Header)
	if !ok || string(h.ID) != id {
		return "answer to another request"
	}
	if err != nil {
		return fmt.Sprintf("%s, broken after %d bytes", h.Outcome, len(body))
	}
	if h.Outcome != model.OutcomeAnswered {
		return fmt.Sprintf("%s %s (%d)", h.Outcome, h.Reason, response.StatusCode)
	}
	return fmt.Sprintf("answered: %s", body)
}
