package platform_test

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/galenalever/galenalever/internal/clock"
	"github.com/galenalever/galenalever/internal/standin/platform"
)

// fixture drives one platform over HTTP.
type fixture struct {
	t         *testing.T
	clock     *clock.Fake
	read      *httptest.Server
	admin     *httptest.Server
	responses chan string
}

func newFixture(t *testing.T) *fixture {
	fake := clock.NewFake(time.Unix(1000, 0))
	p := platform.New(platform.Config{Limit: 5, Clock: fake})
	f := &fixture{
		t:         t,
		clock:     fake,
		read:      httptest.NewServer(p.Handler()),
		admin:     httptest.NewServer(p.AdminHandler()),
		responses: make(chan string, 1),
	}
	t.Cleanup(f.read.Close)
	t.Cleanup(f.admin.Close)
	return f
}

// TestPlatform runs the scenarios in testdata. "get" calls the API of nodes, and
// "admin" the admin API with the given method. "watch" starts a call that waits, and
// "response" prints its result. "large" publishes a value of a given size in bytes,
// and "advance" moves the clock.
func TestPlatform(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		f := newFixture(t)
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			return f.run(t, d)
		})
	})
}

func (f *fixture) run(t *testing.T, d *datadriven.TestData) string {
	target := ""
	if len(d.CmdArgs) > 0 {
		target = d.CmdArgs[0].String()
	}
	switch d.Cmd {
	case "get":
		return f.call(http.MethodGet, f.read.URL+target, "")
	case "watch":
		go func() { f.responses <- f.call(http.MethodGet, f.read.URL+target, "") }()
		return ""
	case "response":
		return <-f.responses
	case "admin":
		return f.call(d.CmdArgs[0].Key, f.admin.URL+d.CmdArgs[1].String(), d.Input)
	case "large":
		var bytes int
		d.ScanArgs(t, "bytes", &bytes)
		return f.call(http.MethodPut, f.admin.URL+"/admin/values/large", strings.Repeat("x", bytes))
	case "advance":
		duration, err := time.ParseDuration(target)
		if err != nil {
			t.Fatal(err)
		}
		f.clock.Advance(duration)
		return ""
	default:
		t.Fatalf("unknown command %q", d.Cmd)
		return ""
	}
}

func (f *fixture) call(method, url, body string) string {
	request, err := http.NewRequestWithContext(f.t.Context(), method, url, strings.NewReader(body))
	if err != nil {
		return err.Error()
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return "connection lost"
	}
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	if err != nil {
		return "response lost"
	}
	retry := ""
	if after := response.Header.Get("Retry-After"); after != "" {
		retry = " retry-after=" + after
	}
	return fmt.Sprintf("%d%s\n%s", response.StatusCode, retry, content)
}
