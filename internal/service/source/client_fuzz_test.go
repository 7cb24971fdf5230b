package source

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"testing"

	"github.com/galenalever/galenalever/internal/model"
)

// fixedResponse is an http.RoundTripper that returns the same response to every call.
type fixedResponse struct {
	status     int
	retryAfter string
	body       []byte
}

func (f fixedResponse) RoundTrip(r *http.Request) (*http.Response, error) {
	header := http.Header{"Retry-After": {f.retryAfter}}
	body := io.NopCloser(bytes.NewReader(f.body))
	return &http.Response{StatusCode: f.status, Header: header, Body: body, Request: r}, nil
}

// FuzzResponses decodes arbitrary platform responses with every call of the client. No
// response may crash the client, and the Retry-After of a busy platform must stay
// between 0 and maxRetryAfter.
func FuzzResponses(f *testing.F) {
	f.Add(200, "", []byte(`{"revision":3,"keys":[{"key":"root","revision":2,"deleted":true},{}]}`))
	f.Add(200, "", []byte(`{"revision":3,"instances":[{"id":"i","state":"live"},{"state":"?"}]}`))
	f.Add(200, "", []byte(`{"key":"root","revision":18446744073709551615,"value":"teams: {}"}`))
	f.Add(200, "", []byte(`[null]`))
	f.Add(429, "9223372036854775807", []byte{})
	f.Add(503, "-1", []byte("busy"))
	f.Fuzz(func(t *testing.T, status int, retryAfter string, body []byte) {
		caller := &Caller{base: "http://platform", http: &http.Client{Transport: fixedResponse{status, retryAfter, body}}}
		client := &Client{caller: caller}
		_, err := client.Keys(t.Context(), 1, 0)
		checkBusy(t, err)
		_, err = client.Instances(t.Context(), 1, 0)
		checkBusy(t, err)
		if v, err := client.Value(t.Context(), model.RootKey); err == nil && v.Key != model.RootKey {
			t.Fatalf("value has key %s, want the requested key", v.Key)
		}
	})
}

func checkBusy(t *testing.T, err error) {
	t.Helper()
	var busy *BusyError
	if errors.As(err, &busy) && (busy.RetryAfter < 0 || busy.RetryAfter > maxRetryAfter) {
		t.Fatalf("RetryAfter is %s, outside its limits", busy.RetryAfter)
	}
}
