package ingress_test

import (
	"fmt"
	"strings"
	"testing"
)

// cutCases returns each framing cut at each position by the end of the stream on a route
// without repeats, and at some positions by the other ends and on a route with repeats.
func cutCases(use func(framing) bool) []cutResponse {
	var cases []cutResponse
	for _, f := range framings {
		if !use(f) {
			continue
		}
		for _, size := range []int{40, 1 << 10, 3 << 10, 5 << 10, 70 << 10} {
			c := cutResponse{framing: f, size: size}
			if size > 40 && c.body(1) == "" {
				continue
			}
			for i, cut := range c.positions() {
				for _, end := range []string{"fin", "reset", "silent"} {
					if end == "silent" && i%23 != 0 || end == "reset" && i%3 != 0 {
						continue
					}
					c.cut, c.end, c.read = cut, end, false
					cases = append(cases, c)
					if i%4 == 0 {
						c.read = true
						cases = append(cases, c)
					}
				}
			}
		}
	}
	return cases
}

// checkCut checks that what a caller got for a cut response is not a success unless it is
// one whole response of the server, and does not say that the request has not run.
func checkCut(t *testing.T, c cutResponse, r rawResponse, arrivals int) {
	problem := ""
	complete := c.cut >= len(c.whole("", 1)) && (c.end == "fin" || !c.framing.stream)
	switch {
	case r.invalid != "":
		problem = "no response"
	case arrivals == 0 && (!r.whole || r.status == 502):
		return // written to a kept connection that was about to close
	case c.end != "reset" && complete && (!r.whole || r.status/100 != 2):
		problem = "a whole response was not passed on"
	case !r.whole:
		return // the caller sees that it is incomplete
	case r.status/100 == 2:
		if !isWholeSuccess(c, r, arrivals, complete) {
			problem = "a cut response looks whole"
		}
	case r.status != 502 && r.status != 504:
		problem = "an unexpected status"
	}
	if problem != "" {
		t.Errorf("%s: %s, %d arrivals: %d %v %q", c.path(), problem, arrivals, r.status, r.header, r.body[:min(len(r.body), 100)])
	}
}

// isWholeSuccess reports whether r is a whole response of the server: the first one, if it
// was complete, or one to a repeat. A response without a length that ends is whole, too.
func isWholeSuccess(c cutResponse, r rawResponse, arrivals int, complete bool) bool {
	for arrival := arrivals; arrival > 1; arrival-- {
		if body := c.body(arrival); r.body == body && r.header["x-seal"] == sealOf(body) {
			return true
		}
	}
	body := c.body(1)
	if r.header["x-seal"] != sealOf(body) {
		return false
	}
	if c.framing.stream && c.end == "fin" && c.cut >= c.headLength() {
		return r.body == body[:c.cut-c.headLength()]
	}
	return complete && r.body == body
}

// TestCutResponseIsNeverWhole guards against a server that stops anywhere in its response
// and closes, resets or keeps the connection: a caller must not get a success that looks
// whole.
func TestCutResponseIsNeverWhole(t *testing.T) {
	cases := cutCases(func(framing) bool { return true })
	cases = append(cases, bareNewlineCases()...)
	server := newCutServer(cases)
	m := newRawMesh(t)
	for i := range 2 {
		m.addRealGate(t, fmt.Sprint("gate-", i), startRawServer(t, server.handle).address())
	}
	m.start(0)
	m.publish()
	runCuts(t, m, cases, server.arrived, func(c cutResponse, r rawResponse) {
		arrivals := server.arrived(c.path())
		checkCut(t, c, r, arrivals)
		if !c.read && arrivals > 1 {
			t.Errorf("%s: ran %d times", c.path(), arrivals)
		}
	})
	t.Logf("%d responses", len(cases))
}

// bareNewlineCases returns cuts of a response whose lines end without a carriage return.
func bareNewlineCases() []cutResponse {
	f := framing{name: "bare newlines", write: bareNewlines}
	c := cutResponse{framing: f, size: 40, end: "fin"}
	var cases []cutResponse
	for c.cut = range len(c.whole("", 1)) + 1 {
		cases = append(cases, c)
	}
	return cases
}

// TestCutResponseOfGateIsNeverWhole guards against a gate that dies while it writes a
// response.
func TestCutResponseOfGateIsNeverWhole(t *testing.T) {
	cases := cutCases(func(f framing) bool { return f.name == "length" || strings.HasPrefix(f.name, "chunked") })
	server := newCutServer(cases)
	m := newRawMesh(t)
	for i := range 2 {
		m.addRawMember(fmt.Sprint("gate-", i), startRawServer(t, server.handle).address(), 7)
	}
	m.start(0)
	m.publish()
	runCuts(t, m, cases, server.arrived, func(c cutResponse, r rawResponse) { checkCut(t, c, r, server.arrived(c.path())) })
	t.Logf("%d responses", len(cases))
}
