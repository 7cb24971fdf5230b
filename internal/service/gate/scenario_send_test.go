package gate_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/galenalever/galenalever/internal/hop"
	"github.com/galenalever/galenalever/internal/model"
)

func (s *scenario) begin(d *datadriven.TestData, n *node) {
	id, path, method, key, timeout := "", "/ok", "GET", "", "5s"
	class, size, incarnation, sendNumber, caller := "short", 0, 0, "", ""
	d.ScanArgs(s.t, "id", &id)
	d.MaybeScanArgs(s.t, "path", &path)
	d.MaybeScanArgs(s.t, "method", &method)
	d.MaybeScanArgs(s.t, "key", &key)
	d.MaybeScanArgs(s.t, "timeout", &timeout)
	d.MaybeScanArgs(s.t, "class", &class)
	d.MaybeScanArgs(s.t, "size", &size)
	d.MaybeScanArgs(s.t, "incarnation", &incarnation)
	d.MaybeScanArgs(s.t, "send", &sendNumber)
	d.MaybeScanArgs(s.t, "caller", &caller)
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
		Origin: model.ServiceName(caller),
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
	s.sends[id+sendNumber] = out
	if d.HasArg("unread") {
		response, err := s.client.Do(r)
		must(err)
		s.t.Cleanup(func() { _ = response.Body.Close() })
		return
	}
	go func() { out.result <- s.do(r, id) }()
}

func (s *scenario) finish(d *datadriven.TestData) string {
	var id, sendNumber string
	d.ScanArgs(s.t, "id", &id)
	d.MaybeScanArgs(s.t, "send", &sendNumber)
	return <-s.sends[id+sendNumber].result + "\n"
}

// do sends a request and formats the result.
func (s *scenario) do(r *http.Request, id string) string {
	response, err := s.client.Do(r)
	if err != nil {
		return "no response"
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	h, ok := hop.DecodeResponse(response.Header)
	if !ok || string(h.ID) != id {
		return "response to another request"
	}
	if err != nil {
		return fmt.Sprintf("%s, aborted after %d bytes", h.Outcome, len(body))
	}
	if h.Outcome != model.OutcomeAnswered {
		return fmt.Sprintf("%s %s (%d)", h.Outcome, h.Reason, response.StatusCode)
	}
	return fmt.Sprintf("answered: %s", body)
}
