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

// bench drives one platform over HTTP.
type bench struct {
	t       *testing.T
	clock   *clock.Fake
	read    *httptest.Server
	admin   *httptest.Server
	answers chan string
}

func newBench(t *testing.T) *bench {
	fake := clock.NewFake(time.Unix(1000, 0))
	p := platform.New(platform.Config{Limit: 5, Clock: fake})
	b := &bench{
		t:       t,
		clock:   fake,
		read:    httptest.NewServer(p.Handler()),
		admin:   httptest.NewServer(p.AdminHandler()),
		answers: make(chan string, 1),
	}
	t.Cleanup(b.read.Close)
	t.Cleanup(b.admin.Close)
	return b
}

// TestPlatform runs the scenarios in testdata. The commands are HTTP methods
// with a path, "watch" for a call that waits, "answer" for its result, "large"
// for a value of a size, and "advance" for the clock.
func TestPlatform(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		b := newBench(t)
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			return b.run(t, d)
		})
	})
}

func (b *bench) run(t *testing.T, d *datadriven.TestData) string {
	target := ""
	if len(d.CmdArgs) > 0 {
		target = d.CmdArgs[0].String()
	}
	switch d.Cmd {
	case "get":
		return b.call(http.MethodGet, b.read.URL+target, "")
	case "watch":
		go func() { b.answers <- b.call(http.MethodGet, b.read.URL+target, "") }()
		return ""
	case "answer":
		return <-b.answers
	case "admin":
		return b.call(d.CmdArgs[0].Key, b.admin.URL+d.CmdArgs[1].String(), d.Input)
	case "large":
		var bytes int
		d.ScanArgs(t, "bytes", &bytes)
		return b.call(http.MethodPut, b.admin.URL+"/admin/values/large", strings.Repeat("x", bytes))
	case "advance":
		step, err := time.ParseDuration(target)
		if err != nil {
			t.Fatal(err)
		}
		b.clock.Advance(step)
		return ""
	default:
		t.Fatalf("unknown command %q", d.Cmd)
		return ""
	}
}

func (b *bench) call(method, url, body string) string {
	request, err := http.NewRequestWithContext(b.t.Context(), method, url, strings.NewReader(body))
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
		return "answer lost"
	}
	retry := ""
	if after := response.Header.Get("Retry-After"); after != "" {
		retry = " retry-after=" + after
	}
	return fmt.Sprintf("%d%s\n%s", response.StatusCode, retry, content)
}
