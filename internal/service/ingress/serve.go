package ingress

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/galenalever/galenalever/internal/call"
	"github.com/galenalever/galenalever/internal/decision/route"
	"github.com/galenalever/galenalever/internal/hop"
	"github.com/galenalever/galenalever/internal/model"
)

// serve handles one request of a caller.
func (s *Service) serve(w http.ResponseWriter, r *http.Request) {
	begin := s.clock.Now()
	number := s.lastID.Add(1)
	caller, headerFault := s.config.Headers.Caller(r.Header)
	id := caller.ID
	if id == "" {
		id = s.idOf(number)
	}
	w.Header().Set(hop.HeaderRequestID, string(id))
	defer s.inFlight.Add(-1)
	match, refused := s.admit(r, s.inFlight.Add(1), number)
	if refused == nil && headerFault != nil {
		refused = notRun(http.StatusBadRequest, reasonInvalid)
	}
	entry := requestLog{id: id, match: match, begin: begin, caller: caller, from: r.RemoteAddr}
	if refused != nil {
		s.refuse(w, entry, *refused)
		return
	}
	deadline := deadlineOf(caller, match.Route, begin)
	ctx, cancel := s.withDeadline(r.Context(), deadline.Sub(begin))
	defer cancel()
	limitWrites(w, deadline.Sub(begin))
	body, refused := s.readBody(w, r, match.Route, deadline)
	if refused != nil {
		s.refuse(w, entry, *refused)
		return
	}
	request := newRequest(r, id, match, body, deadline)
	urgency := s.urgency(caller, match.Route, begin, deadline)
	request.SoftDeadline, request.FinalAttempt = begin.Add(urgency.SoftTimeout), urgency.FinalAttempt
	answer := s.forwarder.Forward(ctx, request)
	s.metrics.countAttempts(match.Route, answer.Attempts)
	entry.attempts = answer.Attempts
	if answer.Response == nil {
		s.refuse(w, entry, refusalOf(answer, body))
		return
	}
	s.pass(w, entry, answer)
}

// admit finds the route of a request, or the reason to refuse it.
func (s *Service) admit(r *http.Request, inFlight int64, number uint64) (route.Match, *refusal) {
	if inFlight > s.config.MaxInFlight {
		return route.Match{}, notRun(http.StatusServiceUnavailable, model.ReasonQueueFull)
	}
	table := s.table.Load()
	if table == nil {
		return route.Match{}, notRun(http.StatusServiceUnavailable, model.ReasonNotReady)
	}
	if s.watchdog != nil && !s.watchdog.Fresh() {
		return route.Match{}, notRun(http.StatusServiceUnavailable, model.ReasonStale)
	}
	if !r.ProtoAtLeast(1, 1) {
		// The end of an answer of unknown length could not be told from a cut.
		return route.Match{}, notRun(http.StatusHTTPVersionNotSupported, reasonInvalid)
	}
	if isUpgrade(r) {
		return route.Match{}, notRun(http.StatusNotImplemented, reasonUpgrade)
	}
	if !validPath(r.URL.Path) || r.Method == http.MethodConnect {
		return route.Match{}, notRun(http.StatusBadRequest, reasonInvalid)
	}
	host := route.CanonicalHost(r.Host)
	match := table.Lookup(host, r.URL.Path, r.Method, number)
	switch match.Result {
	case route.NoRoute:
		return match, notRun(http.StatusNotFound, model.ReasonNoRoute)
	case route.MethodNotAllowed:
		refused := notRun(http.StatusMethodNotAllowed, model.ReasonNoRoute)
		refused.allow = strings.Join(table.Methods(host, r.URL.Path), ", ")
		return match, refused
	default:
		return match, nil
	}
}

// isUpgrade reports whether the caller asks for another protocol. Such a
// request is refused rather than answered in a way its caller cannot read.
func isUpgrade(r *http.Request) bool {
	return strings.EqualFold(r.Header.Get("Upgrade"), "websocket")
}

// validPath reports whether a path begins with a slash and has no dot segments,
// which a backend server could resolve to a path of another route.
func validPath(path string) bool {
	if !strings.HasPrefix(path, "/") {
		return false
	}
	for rest := path; ; {
		i := strings.Index(rest, "/.")
		if i < 0 {
			return true
		}
		rest = strings.TrimPrefix(rest[i+2:], ".")
		if rest == "" || rest[0] == '/' {
			return false
		}
	}
}

// withDeadline returns a context that ends after d with call.ErrDeadline.
func (s *Service) withDeadline(parent context.Context, d time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(parent)
	timer := s.clock.AfterFunc(d, func() { cancel(call.ErrDeadline) })
	return ctx, func() {
		timer.Stop()
		cancel(nil)
	}
}

// writeGrace is the time after the deadline in which a caller must have taken
// the answer.
const writeGrace = 5 * time.Second

// limitWrites bounds the time in which the caller takes the answer.
func limitWrites(w http.ResponseWriter, timeout time.Duration) {
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(timeout + writeGrace))
}

// newRequest returns the routed request. The headers of the caller's connection
// are dropped by the service that forwards it.
func newRequest(
	r *http.Request, id model.RequestID, match route.Match, body *call.Body, deadline time.Time,
) *call.Request {
	hop.Strip(r.Header)
	addForwardedFor(r)
	return &call.Request{
		ID: id, Route: match.Route, Destination: match.Destination,
		Method: r.Method, URL: r.URL, Host: r.Host, Header: r.Header, Body: body,
		IdempotencyKey: r.Header.Get(headerIdempotencyKey), Deadline: deadline,
	}
}

const (
	headerForwardedFor   = "X-Forwarded-For"
	headerIdempotencyKey = "Idempotency-Key"
)

func addForwardedFor(r *http.Request) {
	host, _, err := net.SplitHostPort(r.RemoteAddr)
	if err != nil {
		return
	}
	if prior := r.Header.Values(headerForwardedFor); len(prior) > 0 {
		host = strings.Join(prior, ", ") + ", " + host
	}
	r.Header.Set(headerForwardedFor, host)
}

// readBody makes the body of a request ready for forwarding, within the limits
// of its route.
func (s *Service) readBody(
	w http.ResponseWriter, r *http.Request, rt *model.Route, deadline time.Time,
) (*call.Body, *refusal) {
	if rt.MaxBody > 0 && r.ContentLength > rt.MaxBody {
		return nil, notRun(http.StatusRequestEntityTooLarge, model.ReasonTooLarge)
	}
	var source io.Reader = r.Body
	if r.ContentLength != 0 {
		if rt.MaxBody > 0 {
			source = http.MaxBytesReader(w, r.Body, rt.MaxBody)
		}
		source = &timedReader{
			Reader: source, conn: http.NewResponseController(w),
			end: time.Now().Add(deadline.Sub(s.clock.Now())),
		}
	}
	body, err := call.ReadBody(source, r.ContentLength)
	switch {
	case err == nil:
		return body, nil
	case call.IsTooLarge(err):
		return nil, notRun(http.StatusRequestEntityTooLarge, model.ReasonTooLarge)
	case errors.Is(err, os.ErrDeadlineExceeded):
		return nil, notRun(http.StatusRequestTimeout, reasonSlow)
	default:
		return nil, notRun(http.StatusBadRequest, reasonInvalid)
	}
}

// timedReader reads a caller's body and bounds the wait for each piece. Network
// deadlines are in system time.
type timedReader struct {
	io.Reader
	conn *http.ResponseController
	end  time.Time
}

// Read implements io.Reader.
func (t *timedReader) Read(p []byte) (int, error) {
	limit := time.Now().Add(bodyIdleTimeout)
	if t.end.Before(limit) {
		limit = t.end
	}
	_ = t.conn.SetReadDeadline(limit)
	n, err := t.Reader.Read(p)
	if errors.Is(err, io.EOF) {
		_ = t.conn.SetReadDeadline(time.Time{})
	}
	return n, err
}
