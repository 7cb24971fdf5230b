package httpclient_test

import (
	"bufio"
	"bytes"
	"net/http"
	"net/url"
	"strings"
	"testing"

	"github.com/galenalever/galenalever/internal/httpclient"
)

// resend returns the target of a request that is received and sent again; ok is false if
// the target can't be received.
func resend(t *testing.T, target string) (sent string, ok bool) {
	t.Helper()
	r, err := http.ReadRequest(bufio.NewReader(strings.NewReader("GET " + target + " HTTP/1.1\r\nHost: shop.example\r\n\r\n")))
	if err != nil || r.RequestURI != target || !strings.HasPrefix(target, "/") || r.Host != "shop.example" {
		return "", false
	}
	u := *r.URL
	u.Scheme, u.Host = "http", "127.0.0.1:1"
	httpclient.KeepTarget(&u)
	var wire bytes.Buffer
	if err := (&http.Request{Method: http.MethodGet, URL: &u, Host: r.Host}).Write(&wire); err != nil {
		t.Fatalf("target %q: %v", target, err)
	}
	return strings.Split(wire.String(), " ")[1], true
}

// TestTargetIsKept guards against targets that reach a server in another form than the
// client sent.
func TestTargetIsKept(t *testing.T) {
	for _, target := range []string{
		"/a/x", "/a/x?", "/a/x??", "/a/x|y", "/a/x|y?", "/a/%7Cx", "/a/x%2Fy", `/a/"x"`, "/a/<x>", "/a/{x}^`", "/a/x#y", "/a/x?q=|#%zz",
		"/a/\u00fc", "/a/\xff", "/a//x", "//a/x", "/a/x;y=1,2", "/a/x?a=1&a=2&", "/a/%e4%E4", "/*", "/a:b/c|",
	} {
		if got, ok := resend(t, target); !ok || got != target {
			t.Errorf("target %q is sent as %q (received: %t)", target, got, ok)
		}
	}
}

// FuzzTargetIsKept is TestTargetIsKept with random targets.
func FuzzTargetIsKept(f *testing.F) {
	for _, target := range []string{"/a/x?", "/a/x|y", "/%2f|", "/?", "/#"} {
		f.Add(target)
	}
	f.Fuzz(func(t *testing.T, target string) {
		if strings.ContainsAny(target, " \r\n") {
			t.Skip("no target")
		}
		got, ok := resend(t, target)
		if ok && got != target && !strings.HasPrefix(target, "//") {
			t.Errorf("target %q is sent as %q", target, got)
		}
		if _, err := url.ParseRequestURI(got); ok && err != nil {
			t.Errorf("target %q is sent as %q, which can't be received: %v", target, got, err)
		}
	})
}
