package ingress

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/url"
	"os"
	"strings"
	"time"

	"github.com/galenalever/galenalever/internal/call"
	"github.com/galenalever/galenalever/internal/decision/route"
	"github.com/galenalever/galenalever/internal/hop"
	"github.com/galenalever/galenalever/internal/model"
	"github.com/galenalever/galenalever/internal/occupancy"
)

// serve handles one request of a caller.
func (s *Service) serve(w http.ResponseWriter, r *http.Request) {
	begin := s.clock.Now()
	number := s.lastID.Add(1)
	caller, headerErr := s.config.Headers.Caller(r.Header)
	id := caller.ID
	if id == "" {
		id = s.newRequestID(number)
	}
	w.Header().Set(hop.HeaderRequestID, string(id))
	defer s.inFlight.remove(number)
	match, refused := s.admit(r, s.inFlight.add(number, id, begin), number)
	if refused == nil {
		refused = checkHeader(r, match.Route, headerErr)
	}
	entry := requestLog{id: id, match: match, begin: begin, caller: caller, remoteAddr: r.RemoteAddr, conn: occupancy.Of(r.Context())}
	if refused != nil {
		s.refuse(w, entry, *refused)
		return
	}
	s.inFlight.setRoute(number, match.Route.Name)
	deadline := deadlineOf(caller, match.Route, begin)
	if refused := s.checkTimeLeft(match.Route, deadline, false, match.Destination); refused != nil {
		s.refuse(w, entry, *refused)
		return
	}
	ctx, cancel := s.withDeadline(r.Context(), deadline.Sub(begin))
	defer cancel()
	setWriteDeadline(w, deadline.Sub(begin))
	body, refused := s.readBody(w, r, match.Route, deadline)
	if refused == nil { // the drain may have begun, or its time run out, since the header came
		refused = s.checkTimeLeft(match.Route, deadline, body.Streamed(), match.Destination)
	}
	if refused == nil && chargeHeader(r) != nil {
		refused = notRun(http.StatusServiceUnavailable, reasonFull)
	}
	if refused != nil {
		s.refuse(w, entry, *refused)
		return
	}
	deadline = s.limitToDrain(deadline)
	request := newRequest(r, id, match, body, deadline)
	urgency := s.urgency(caller, match.Route, begin, deadline)
	request.SoftDeadline, request.FinalAttempt = begin.Add(urgency.SoftTimeout), urgency.FinalAttempt
	leaveBodyToForwarder(w, body)
	result := s.forwarder.Forward(ctx, request)
	s.metrics.countAttempts(match.Route, result.Attempts)
	s.reportCall(r, request, result, begin)
	entry.attempts, entry.deadline = result.Attempts, deadline
	if !body.Ended() {
		w.Header().Set("Connection", "close") // the rest of the body is not awaited
	}
	if result.Response == nil {
		s.refuse(w, entry, refusalOf(result, body))
		return
	}
	s.writeResponse(ctx, w, entry, result)
}

// admit returns the route of a request, or the refusal. The number of the request
// selects the destination of a route with several.
func (s *Service) admit(r *http.Request, inFlight int64, number uint64) (route.Match, *refusal) {
	table, rt, refused := s.find(r, inFlight)
	if refused != nil {
		return route.Match{}, refused
	}
	return table.MatchOf(rt, number), nil
}

// find returns the route of a request and its table, or the refusal. The table is nil if
// the node has none or does not accept requests.
func (s *Service) find(r *http.Request, inFlight int64) (*route.Table, *model.Route, *refusal) {
	if s.closing.Load() {
		return nil, nil, notRun(http.StatusServiceUnavailable, model.ReasonLeaving)
	}
	if inFlight > s.config.MaxInFlight {
		return nil, nil, notRun(http.StatusServiceUnavailable, model.ReasonQueueFull)
	}
	table := s.table.Load()
	if table == nil {
		return nil, nil, notRun(http.StatusServiceUnavailable, model.ReasonNotReady)
	}
	if s.watchdog != nil && !s.watchdog.Fresh() {
		return table, nil, notRun(http.StatusServiceUnavailable, model.ReasonStale)
	}
	if !r.ProtoAtLeast(1, 1) {
		// HTTP/1.0 has no chunked encoding, so a caller could not tell the end of a
		// response of unknown length from a broken connection.
		return table, nil, notRun(http.StatusHTTPVersionNotSupported, reasonInvalid)
	}
	if isUpgrade(r) {
		return table, nil, notRun(http.StatusNotImplemented, reasonUpgrade)
	}
	if !validPath(r.URL.Path) || r.Method == http.MethodConnect {
		return table, nil, notRun(http.StatusBadRequest, reasonInvalid)
	}
	host := route.CanonicalHost(r.Host)
	path := sentPath(r.URL)
	result, rt := table.Find(host, path, r.Method)
	switch result {
	case route.NoRoute:
		return table, nil, notRun(http.StatusNotFound, model.ReasonNoRoute)
	case route.MethodNotAllowed:
		refused := notRun(http.StatusMethodNotAllowed, model.ReasonNoRoute)
		refused.allow = strings.Join(table.Methods(host, path), ", ")
		return table, nil, refused
	default:
		return table, rt, nil
	}
}

// sentPath returns the path of a request's URL as the caller sent it. The decoded path
// cannot be matched: in it, an encoded slash looks like one that separates segments.
func sentPath(u *url.URL) string {
	if u.RawPath != "" {
		return u.RawPath
	}
	return u.EscapedPath()
}

// isUpgrade reports whether the caller asks to switch to the WebSocket protocol,
// which is not supported. Such a request is refused, since the caller could not read
// a response in plain HTTP.
func isUpgrade(r *http.Request) bool {
	return strings.EqualFold(r.Header.Get("Upgrade"), "websocket")
}

// validPath reports whether a path begins with a slash and has no dot segments. A
// backend server could resolve dot segments to a path of another route.
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

// writeGrace is the time that a caller has after the deadline to read the rest of
// the response.
const writeGrace = 5 * time.Second

func setWriteDeadline(w http.ResponseWriter, timeout time.Duration) {
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(timeout + writeGrace))
}

// newRequest returns the routed request without the headers that only nodes may set. The
// forward service removes the hop-by-hop headers.
func newRequest(
	r *http.Request, id model.RequestID, match route.Match, body *call.Body, deadline time.Time,
) *call.Request {
	hop.Strip(r.Header)
	addForwardedFor(r)
	return &call.Request{
		ID: id, Route: match.Route, Destination: match.Destination, Priority: match.Route.Priority,
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

// readBody returns the body of a request, bounded by the size that its route allows and
// by the deadline. A small body is read into memory, any other one while it is forwarded.
func (s *Service) readBody(
	w http.ResponseWriter, r *http.Request, rt *model.Route, deadline time.Time,
) (*call.Body, *refusal) {
	if refused := checkLength(r, rt); refused != nil {
		return nil, refused
	}
	release, err := chargeBody(r)
	if err != nil {
		return nil, notRun(http.StatusServiceUnavailable, reasonFull)
	}
	var source io.Reader = r.Body
	if r.ContentLength != 0 {
		if rt.MaxBody > 0 {
			// Without the writer, which it would use while the response is being written.
			source = http.MaxBytesReader(nil, r.Body, rt.MaxBody)
		}
		reader := &deadlineReader{
			Reader: source, conn: http.NewResponseController(w), nodeEnded: s.ended,
			deadline: time.Now().Add(deadline.Sub(s.clock.Now())),
		}
		defer context.AfterFunc(s.ended, reader.endRead)()
		source = reader
	}
	body, err := call.ReadBody(source, r.ContentLength)
	release(body)
	switch {
	case err == nil:
		return body, nil
	case call.IsTooLarge(err):
		w.Header().Set("Connection", "close") // the rest of the body is not awaited
		return nil, notRun(http.StatusRequestEntityTooLarge, model.ReasonTooLarge)
	case errors.Is(err, occupancy.ErrFull):
		return nil, notRun(http.StatusServiceUnavailable, reasonFull)
	case errors.Is(err, os.ErrDeadlineExceeded):
		return nil, notRun(http.StatusRequestTimeout, reasonSlow)
	default:
		return nil, notRun(http.StatusBadRequest, reasonInvalid)
	}
}

// leaveBodyToForwarder prevents http.Server from reading the rest of a streamed body itself
// before it writes the response's header: the forwarder may still be copying the body to a
// server that has responded early. The writer supports it unless it is that of a test.
func leaveBodyToForwarder(w http.ResponseWriter, body *call.Body) {
	if body.Streamed() {
		_ = http.NewResponseController(w).EnableFullDuplex()
	}
}

// deadlineReader reads a caller's body. Each read must end within bodyIdleTimeout
// and before the deadline, which is in system time as the deadlines of connections are.
type deadlineReader struct {
	io.Reader
	conn     *http.ResponseController
	deadline time.Time
	// nodeEnded ends when the node must have responded to all requests.
	nodeEnded context.Context
}

// endRead makes the current read fail.
func (t *deadlineReader) endRead() { _ = t.conn.SetReadDeadline(time.Now()) }

// Read implements io.Reader.
func (t *deadlineReader) Read(p []byte) (int, error) {
	limit := time.Now().Add(bodyIdleTimeout)
	if t.deadline.Before(limit) {
		limit = t.deadline
	}
	_ = t.conn.SetReadDeadline(limit)
	if t.nodeEnded.Err() != nil {
		t.endRead()
	}
	n, err := t.Reader.Read(p)
	if errors.Is(err, io.EOF) {
		_ = t.conn.SetReadDeadline(time.Time{})
	}
	return n, err
}
