package hop_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/galenalever/galenalever/internal/hop"
	"github.com/galenalever/galenalever/internal/model"
)

// FuzzDecodeRequest checks that accepted headers contain no negative duration and
// are the same after encoding and decoding again.
func FuzzDecodeRequest(f *testing.F) {
	f.Add("i=id&s=t%2Fs&c=short&a=1&l=1000&n=7&h=9")
	f.Add("i=id&s=t%2Fs&c=&a=0&l=9223372036854775807&n=9223372036854775807&h=0")
	f.Add("i=id&s=t%2Fs&c=long&a=-1&l=1e3&n=%2B5&h=+1")
	f.Add("i=id&i=other&s=t%2Fs&w=9223372036854&u=1&d=2")
	f.Add("i=%zz&s=;")
	f.Add("")
	f.Fuzz(func(t *testing.T, text string) {
		h := http.Header{}
		h.Set(hop.HeaderRequest, text)
		request, ok := hop.DecodeRequest(h)
		if !ok {
			return
		}
		if request.ID == "" || request.Service == "" || request.Timeout < 0 || request.MaxQueueWait < 0 || request.Attempt < 0 {
			t.Fatalf("%+v was accepted", request)
		}
		reencoded := http.Header{}
		request.Encode(reencoded)
		if decoded, ok := hop.DecodeRequest(reencoded); !ok || decoded != request {
			t.Fatalf("%+v became %+v", request, decoded)
		}
	})
}

// FuzzDecodeResponse checks the same for the headers of responses.
func FuzzDecodeResponse(f *testing.F) {
	f.Add("i=id&o=not-run&e=queue-full&r=250&f=6&u=6&s=6&n=7")
	f.Add("i=id&o=answered&r=9223372036854775807&f=-1&n=9223372036854775807")
	f.Add("i=id&o=nonsense&e=%3F&r=x&s=1.5&w=10&q=3")
	f.Fuzz(func(t *testing.T, text string) {
		h := http.Header{}
		h.Set(hop.HeaderResponse, text)
		response, ok := hop.DecodeResponse(h)
		if !ok {
			return
		}
		if response.ID == "" || response.RetryAfter < 0 || response.Load.Slots < 0 || response.Load.Wait < 0 || response.Waited < 0 {
			t.Fatalf("%+v was accepted", response)
		}
		reencoded := http.Header{}
		response.Encode(reencoded)
		if decoded, ok := hop.DecodeResponse(reencoded); !ok || decoded != response {
			t.Fatalf("%+v became %+v", response, decoded)
		}
	})
}

// TestDecodeRequestWithAbsentFields checks that absent fields are read as zeros,
// because zeros are not sent, and that a malformed number or a missing ID or
// service rejects the request.
func TestDecodeRequestWithAbsentFields(t *testing.T) {
	for text, want := range map[string]bool{"i=1&s=t%2Fs": true, "i=1&s=t%2Fs&l=x": false, "i=1": false, "s=t%2Fs": false} {
		if _, ok := hop.DecodeRequest(http.Header{hop.HeaderRequest: {text}}); ok != want {
			t.Errorf("%s: accepted %t, want %t", text, ok, want)
		}
	}
}

// TestRequestRoundTrip checks that a request is the same after encoding and
// decoding, and that Strip removes the headers of this package and no others.
func TestRequestRoundTrip(t *testing.T) {
	want := hop.Request{
		ID: "1", Service: "t/s", Route: "r", Class: model.ClassLong, Idempotent: true,
		Attempt: 2, Timeout: 1500 * time.Microsecond, MaxQueueWait: 5 * time.Millisecond, Incarnation: 7, Time: 9,
	}
	h := http.Header{}
	want.Encode(h)
	if got, ok := hop.DecodeRequest(h); !ok || got != want {
		t.Errorf("got %+v, want %+v", got, want)
	}
	h.Set("Other", "kept")
	hop.Strip(h)
	if len(h) != 1 {
		t.Errorf("headers after Strip: %v", h)
	}
}
