package ingress_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"

	"github.com/cockroachdb/datadriven"
)

// cmdLedger prints the lines that the gates recorded since the last ledger command, or
// with "count" their number.
func (m *mesh) cmdLedger(d *datadriven.TestData) string {
	lines := m.script.takeLedger()
	if d.HasArg("count") {
		return strconv.Itoa(len(lines))
	}
	slices.Sort(lines)
	return strings.Join(lines, "\n")
}

// cmdSeen waits until the gates have recorded count lines that contain the text "what".
func (m *mesh) cmdSeen(d *datadriven.TestData) string {
	substring := stringArg(m, d, "what", "")
	for range intArg(m, d, "count", 1) {
		for !strings.Contains(<-m.script.recorded, substring) {
		}
	}
	return ""
}

// cmdRepeat repeats a call. The line of input is the script line for the first attempt
// of each call. It returns the result of the last one.
func (m *mesh) cmdRepeat(d *datadriven.TestData) string {
	var result string
	line := d.Input
	d.Input = ""
	for range intArg(m, d, "times", 1) {
		m.script.set([]string{line})
		result = m.call(d)
	}
	return result
}

// cmdRaw sends bytes that no client library would send, and then closes the write
// side of the connection unless the argument "open" is given. With "abort" it closes
// the connection without reading a response.
func (m *mesh) cmdRaw(d *datadriven.TestData) string {
	conn, err := net.Dial("tcp", strings.TrimPrefix(m.url, "http://"))
	if err != nil {
		m.t.Fatal(err)
	}
	defer conn.Close()
	input, filler, _ := strings.Cut(d.Input, "@") // @n stands for n bytes
	size, _ := strconv.Atoi(filler)
	input = strings.ReplaceAll(input, "\n", "\r\n") + strings.Repeat("x", size)
	_, _ = io.WriteString(conn, input+"\r\n\r\n")
	if d.HasArg("abort") {
		return ""
	}
	if !d.HasArg("open") {
		_ = conn.(*net.TCPConn).CloseWrite()
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return "no response: " + cause(err)
	}
	defer response.Body.Close()
	return describe(response)
}

// cmdStop begins the shutdown of the node and waits until its listener is closed.
func (m *mesh) cmdStop(*datadriven.TestData) string {
	m.stopped = make(chan error, 1)
	go func() { m.stopped <- m.kernel.Stop(context.Background()) }()
	<-m.listener.closed
	return ""
}

func (m *mesh) cmdWatchdog(d *datadriven.TestData) string {
	m.watchdog.stale.Store(d.HasArg("stale"))
	return ""
}

// call makes a call and waits until no attempt is outstanding, so that the next
// choice of a server does not depend on a race.
func (m *mesh) call(d *datadriven.TestData) string {
	defer m.awaitAttempts()
	return m.do(m.newRequest(context.Background(), d))
}

// finish waits for the background call with the ID and returns what its caller saw.
func (m *mesh) finish(id string) string {
	defer m.awaitAttempts()
	defer delete(m.calls, id)
	return <-m.calls[id]
}

func (m *mesh) awaitAttempts() {
	if len(m.calls) == 0 {
		m.balancer.outstanding.Wait()
	}
}

// newRequest returns a caller's request as a command describes it.
func (m *mesh) newRequest(ctx context.Context, d *datadriven.TestData) *http.Request {
	size := intArg(m, d, "body", 0)
	var body io.Reader = http.NoBody
	if size > 0 {
		body = strings.NewReader(strings.Repeat("x", size))
	}
	if d.HasArg("chunked") {
		body = struct{ io.Reader }{body}
	}
	r, err := http.NewRequestWithContext(ctx, stringArg(m, d, "method", "GET"), m.url+stringArg(m, d, "path", "/"), body)
	if err != nil {
		m.t.Fatal(err)
	}
	if n := intArg(m, d, "header-bytes", 0); n > 0 {
		r.Header.Set("X-Large", strings.Repeat("x", n))
	}
	r.Header["User-Agent"] = nil
	for line := range strings.Lines(d.Input) {
		name, value, _ := strings.Cut(strings.TrimSpace(line), ": ")
		r.Header.Add(name, value)
	}
	return r
}

// do sends a caller's request and describes the response.
func (m *mesh) do(r *http.Request) string {
	response, err := m.client.Do(r)
	if err != nil {
		return "no response: " + cause(err)
	}
	defer response.Body.Close()
	return describe(response)
}

func describe(response *http.Response) string {
	var b strings.Builder
	b.WriteString(strconv.Itoa(response.StatusCode))
	for _, name := range []string{"Galena-Outcome", "Galena-Reason", "Retry-After", "Allow", "Galena-Secret"} {
		if value := response.Header.Get(name); value != "" {
			fmt.Fprintf(&b, " %s=%s", strings.ToLower(name), value)
		}
	}
	body, err := io.ReadAll(response.Body)
	if len(body) > largeResponseHalf/2 && err == nil {
		fmt.Fprintf(&b, "\n%d bytes", len(body))
	} else if response.StatusCode == http.StatusOK && len(body) <= largeResponseHalf/2 {
		fmt.Fprintf(&b, "\n%s", body)
	}
	if err != nil {
		fmt.Fprintf(&b, "\nbroken: %s", cause(err))
	}
	return b.String()
}

// cause returns the innermost message of an error, which contains no addresses.
func cause(err error) string {
	message := err.Error()
	return message[strings.LastIndex(message, ": ")+1:]
}
