package frontend

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"github.com/galenalever/galenalever/internal/hop"
)

// HeaderTimeout is the header in which a caller gives its timeout in
// milliseconds. The route's deadline applies if it is shorter.
const HeaderTimeout = "X-Request-Timeout-Ms"

// HeaderWarmup is the header in which a server's health response gives the milliseconds
// for which it stays cold.
const HeaderWarmup = "X-Warmup-Ms"

// Native implements Headers for the node's own protocol: callers may set
// HeaderTimeout, refusals carry outcome and reason, and servers get and set no
// headers but HeaderWarmup.
type Native struct{}

// Caller implements Headers.
func (Native) Caller(h http.Header) (CallerRequest, error) {
	value := h.Get(HeaderTimeout)
	if value == "" {
		return CallerRequest{}, nil
	}
	timeout, err := ParseMilliseconds(value)
	if err != nil {
		return CallerRequest{}, eris.Wrapf(err, "header %s", HeaderTimeout)
	}
	return CallerRequest{Timeout: timeout}, nil
}

// ParseMilliseconds parses a positive number of milliseconds, below 2^32, with up to 6
// decimals. Signs, exponents and spaces are invalid.
func ParseMilliseconds(text string) (time.Duration, error) {
	const base, bits, decimals = 10, 32, 6
	whole, fraction, hasFraction := strings.Cut(text, ".")
	ms, err := strconv.ParseUint(whole, base, bits)
	var ns uint64
	if err == nil && hasFraction && len(fraction) <= decimals {
		ns, err = strconv.ParseUint(fraction+strings.Repeat("0", decimals-len(fraction)), base, bits)
	}
	if err != nil || len(fraction) > decimals || hasFraction && fraction == "" || ms == 0 && ns == 0 {
		return 0, eris.Errorf("%q is not a positive number of milliseconds", text)
	}
	return time.Duration(ms)*time.Millisecond + time.Duration(ns), nil
}

// Refuse implements Headers.
func (Native) Refuse(h http.Header, r Refusal) {
	h.Set(hop.HeaderOutcome, r.Outcome.String())
	h.Set(hop.HeaderReason, string(r.Reason))
	if r.RetryAfter > 0 {
		seconds := (r.RetryAfter + time.Second - 1) / time.Second
		h.Set("Retry-After", strconv.FormatInt(int64(seconds), 10))
	}
}

// ToServer implements Headers.
func (Native) ToServer(http.Header, ServerRequest) {}

// StatesOrigin implements Headers.
func (Native) StatesOrigin() bool { return false }

// FromServer implements Headers.
func (Native) FromServer(int, http.Header) ServerResponse { return ServerResponse{WithoutID: true} }

// FromHealth implements Headers.
func (Native) FromHealth(h http.Header) (time.Duration, bool) {
	return ParseWarmup(h.Get(HeaderWarmup))
}

// maxWarmupMilliseconds is the longest warm-up that is understood, an hour; a longer one
// counts as that.
const maxWarmupMilliseconds = 3_600_000

// ParseWarmup parses a number of milliseconds that is not negative. It reports false for
// any other text.
func ParseWarmup(text string) (time.Duration, bool) {
	const bits = 64
	n, err := strconv.ParseFloat(text, bits)
	if err != nil || !(n >= 0) {
		return 0, false
	}
	return WarmupFromMilliseconds(n), true
}

// WarmupFromMilliseconds returns the duration of a warm-up, at least 0 and at most an
// hour.
func WarmupFromMilliseconds(n float64) time.Duration {
	return time.Duration(min(max(n, 0), maxWarmupMilliseconds) * float64(time.Millisecond))
}
