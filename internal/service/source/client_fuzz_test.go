package source

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"testing"

	"github.com/galenalever/galenalever/internal/model"
)

// answer plays a platform that gives every call the same answer.
type answer struct {
	status     int
	retryAfter string
	body       []byte
}

func (a answer) RoundTrip(r *http.Request) (*http.Response, error) {
	header := http.Header{"Retry-After": {a.retryAfter}}
	body := io.NopCloser(bytes.NewReader(a.body))
	return &http.Response{StatusCode: a.status, Header: header, Body: body, Request: r}, nil
}

// FuzzAnswers reads any answer of the platform as each of its listings. The
// wait that a busy platform asks for stays within its bounds.
func FuzzAnswers(f *testing.F) {
	f.Add(200, "", []byte(`{"revision":3,"keys":[{"key":"root","revision":2,"deleted":true},{}]}`))
	f.Add(200, "", []byte(`{"revision":3,"instances":[{"id":"i","state":"live"},{"state":"?"}]}`))
	f.Add(200, "", []byte(`{"key":"root","revision":18446744073709551615,"value":"teams: {}"}`))
	f.Add(200, "", []byte(`[null]`))
	f.Add(429, "9223372036854775807", []byte{})
	f.Add(503, "-1", []byte("busy"))
	f.Fuzz(func(t *testing.T, status int, retryAfter string, body []byte) {
		caller := &Caller{base: "http://platform", http: &http.Client{Transport: answer{status, retryAfter, body}}}
		client := &Client{caller: caller}
		_, err := client.Keys(t.Context(), 1, 0)
		checkBusy(t, err)
		_, err = client.Instances(t.Context(), 1, 0)
		checkBusy(t, err)
		if v, err := client.Value(t.Context(), model.RootKey); err == nil && v.Key != model.RootKey {
			t.Fatalf("value of %s", v.Key)
		}
	})
}

func checkBusy(t *testing.T, err error) {
	t.Helper()
	var busy *BusyError
	if errors.As(err, &busy) && (busy.RetryAfter < 0 || busy.RetryAfter > maxRetryAfter) {
		t.Fatalf("waits for %s", busy.RetryAfter)
	}
}
