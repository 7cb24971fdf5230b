package hop_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/galenalever/galenalever/internal/hop"
	"github.com/galenalever/galenalever/internal/model"
)

// FuzzDecodeRequest checks that headers that are taken hold no negative time
// and come out the same after another encoding.
func FuzzDecodeRequest(f *testing.F) {
	f.Add("id", "t/s", "short", "1", "1000", "7", "9")
	f.Add("id", "t/s", "", "0", "9223372036854775807", "9223372036854775807", "0")
	f.Add("id", "t/s", "long", "-1", "1e3", "+5", " 1")
	f.Add("", "", "", "", "", "", "")
	f.Fuzz(func(t *testing.T, id, service, class, attempt, timeout, incarnation, now string) {
		h := http.Header{}
		for name, value := range map[string]string{
			hop.HeaderRequestID: id, hop.HeaderService: service, hop.HeaderClass: class, hop.HeaderAttempt: attempt,
			hop.HeaderTimeout: timeout, hop.HeaderIncarnation: incarnation, hop.HeaderTime: now,
		} {
			h.Set(name, value)
		}
		request, ok := hop.DecodeRequest(h)
		if !ok {
			return
		}
		if request.ID == "" || request.Service == "" || request.Timeout < 0 || request.Attempt < 0 {
			t.Fatalf("%+v was taken", request)
		}
		again := http.Header{}
		request.Encode(again)
		if decoded, ok := hop.DecodeRequest(again); !ok || decoded != request {
			t.Fatalf("%+v became %+v", request, decoded)
		}
	})
}

// FuzzDecodeResponse checks the same of the headers of answers.
func FuzzDecodeResponse(f *testing.F) {
	f.Add("id", "not-run", "queue-full", "250", "6", "7")
	f.Add("id", "answered", "", "9223372036854775807", "-1", "9223372036854775807")
	f.Add("id", "nonsense", "?", "x", "1.5", "")
	f.Fuzz(func(t *testing.T, id, outcome, reason, retryAfter, load, incarnation string) {
		h := http.Header{}
		for name, value := range map[string]string{
			hop.HeaderRequestID: id, hop.HeaderOutcome: outcome, hop.HeaderReason: reason, hop.HeaderRetryAfter: retryAfter,
			hop.HeaderInFlight: load, hop.HeaderQueued: load, hop.HeaderSlots: load, hop.HeaderIncarnation: incarnation,
		} {
			h.Set(name, value)
		}
		response, ok := hop.DecodeResponse(h)
		if !ok {
			return
		}
		if response.ID == "" || response.RetryAfter < 0 || response.Load.Slots < 0 {
			t.Fatalf("%+v was taken", response)
		}
		again := http.Header{}
		response.Encode(again)
		if decoded, ok := hop.DecodeResponse(again); !ok || decoded != response {
			t.Fatalf("%+v became %+v", response, decoded)
		}
	})
}

func TestRequestRoundTrip(t *testing.T) {
	want := hop.Request{
		ID: "1", Service: "t/s", Route: "r", Class: model.ClassLong, Idempotent: true,
		Attempt: 2, Timeout: 1500 * time.Microsecond, Incarnation: 7, Time: 9,
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
