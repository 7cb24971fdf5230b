package gate

import (
	"context"
	"errors"
	"net/http"
	"net/url"

	"github.com/galenalever/galenalever/internal/decision/responsematch"
	"github.com/galenalever/galenalever/internal/frontend"
	"github.com/galenalever/galenalever/internal/hop"
	"github.com/galenalever/galenalever/internal/httpclient"
	"github.com/galenalever/galenalever/internal/model"
)

// exchangeError is implemented by the errors of the backend service.
type exchangeError interface {
	// MayHaveRun reports whether any byte of the request was written.
	MayHaveRun() bool
	// ForeignResponse reports whether the response was not accepted as the one to the
	// request.
	ForeignResponse() bool
}

// run sends a call that holds a slot to the server and relays the response.
func (s *Service) run(c *call) {
	ctx, cancel := s.runContext(c)
	defer cancel()
	if r := s.replicateKey(ctx, c); r != nil {
		s.endUnreplicated(c, r)
		return
	}
	if !c.sendContinue() {
		s.endNotRun(c, notRun(s.reasonOfMissingBody(c)))
		return
	}
	if s.suspectElsewhere(c) {
		s.dropReplicas(c)
		s.endNotRun(c, notRun(model.ReasonSuspect))
		return
	}
	if r := s.checkServerListing(); r != nil { // the listing changed after the call got its slot
		s.dropReplicas(c)
		s.endNotRun(c, r)
		return
	}
	c.leaveBodyToServer()
	c.started = s.clock.Now()
	s.markSent(c)
	out, target := newServerRequest(ctx, c.r), s.target(c)
	s.headers.ToServer(out.Header, frontend.ServerRequest{
		TimeLeft: c.deadline.Sub(s.clock.Now()), Target: target, Origin: c.Origin,
	})
	response, err := s.deps.server.Do(out, c.deadline, c.Idempotent, func(exchange responsematch.Exchange, r *http.Response) bool {
		return exchange.Accept(c.ID, s.matchOf(r))
	})
	if err != nil {
		s.handleError(ctx, c, err)
		return
	}
	defer response.Body.Close()
	s.handleResponse(ctx, c, response, target)
}

// runContext returns the context in which the request runs on the server: that of the
// call, which also ends with the node if it would outlast it.
func (s *Service) runContext(c *call) (context.Context, context.CancelFunc) {
	parent, cancelParent := c.context(s.clock)
	ctx, cancel := context.WithCancelCause(parent)
	stop := context.AfterFunc(s.ended, func() {
		if s.outlastsDrain(c) {
			cancel(errLeaving)
		}
	})
	return ctx, func() {
		stop()
		cancel(nil)
		cancelParent()
	}
}

// handleResponse relays the server's response to the call, or its refusal.
func (s *Service) handleResponse(ctx context.Context, c *call, response *http.Response, target model.InstanceID) {
	result := s.headers.FromServer(response.StatusCode, response.Header)
	switch {
	case result.Misdirected:
		s.log.Info("backend server was replaced by another instance", "request", c.ID, "instance_gone", target)
		s.recordGone(target)
		s.markUncounted(c)
		s.dropReplicas(c)
		s.endNotRun(c, notRun(model.ReasonServerRefused))
	case result.NotRun:
		s.dropReplicas(c)
		s.endNotRun(c, notRun(model.ReasonServerRefused))
	default:
		s.reportRun(c, response.StatusCode)
		s.relay(ctx, c, response)
	}
}

func newServerRequest(ctx context.Context, r *http.Request) *http.Request {
	header := r.Header.Clone()
	hop.Strip(header)
	stripHopByHopHeaders(header)
	header.Del("Expect")
	if _, ok := header["User-Agent"]; !ok {
		header["User-Agent"] = nil // prevents the transport from adding its own
	}
	target := &url.URL{
		Path: r.URL.Path, RawPath: r.URL.RawPath, RawQuery: r.URL.RawQuery, ForceQuery: r.URL.ForceQuery,
	}
	httpclient.KeepTarget(target)
	out := &http.Request{
		Method:        r.Method,
		URL:           target,
		Host:          r.Host,
		Header:        header,
		ContentLength: r.ContentLength,
	}
	if r.ContentLength != 0 {
		out.Body = http.MaxBytesReader(nil, r.Body, maxRequestBytes)
	}
	return out.WithContext(ctx)
}

// handleError ends a call for which the server gave no response.
func (s *Service) handleError(ctx context.Context, c *call, err error) {
	var failed exchangeError
	known := errors.As(err, &failed)
	switch {
	case known && !failed.MayHaveRun():
		s.markUncounted(c)
		s.dropReplicas(c)
		s.endNotRun(c, notRun(s.notRunReason(ctx, c)))
	case known && failed.ForeignResponse():
		s.release(c, false)
		s.refuse(c, unknown(model.ReasonBrokenAnswer))
	default:
		if ctx.Err() == nil {
			c.w.WriteHeader(hop.StatusServerLost)
		}
		reason := s.handleLost(ctx, c)
		if reason == model.ReasonDeadline {
			s.reportRun(c, http.StatusGatewayTimeout)
		}
		s.refuse(c, unknown(reason))
	}
}

// notRunReason returns the reason why no byte of a request reached the server.
func (s *Service) notRunReason(ctx context.Context, c *call) model.Reason {
	switch {
	case !s.clock.Now().Before(c.deadline):
		return model.ReasonLate
	case errors.Is(context.Cause(ctx), errLeaving):
		return model.ReasonLeaving
	case ctx.Err() != nil:
		return model.ReasonCancelled
	}
	return model.ReasonBackendDown
}

// recordAbandoned remembers a request whose connection the gate closed, as it may
// still crash the server. If the server is already down, the request is reported as
// a suspect immediately, since watchServer reports only when the state changes.
func (s *Service) recordAbandoned(c *call) {
	s.abandoned.add(c.fingerprint, s.clock.Now())
	if !s.deps.server.Available() {
		s.reportAbandoned(context.WithoutCancel(c.r.Context()))
	}
}

// handleLost returns the reason why a request that may have run has no complete
// response. If the server crashed, it reports the request as a suspect to the gates
// of the service before it returns.
func (s *Service) handleLost(ctx context.Context, c *call) model.Reason {
	if ctx.Err() != nil {
		s.recordAbandoned(c)
	}
	s.release(c, false)
	switch {
	case errors.Is(context.Cause(ctx), context.DeadlineExceeded):
		return model.ReasonDeadline
	case errors.Is(context.Cause(ctx), errLeaving):
		return model.ReasonLeaving
	case ctx.Err() != nil:
		return model.ReasonCancelled
	}
	ctx = context.WithoutCancel(ctx)
	if !s.deps.server.Crashed(ctx) {
		return model.ReasonConnectionLost
	}
	now := s.clock.Now()
	if c.exclusive() {
		s.deps.suspects.ReportAlone(ctx, c.fingerprint, s.abandoned.take(now, abandonedBesideSuspect))
	} else {
		s.deps.suspects.Report(ctx, append(s.abandoned.take(now, abandonedWindow), c.fingerprint))
	}
	return model.ReasonCrashed
}
