package gate

import (
	"context"
	"errors"
	"net/http"
	"net/url"

	"github.com/galenalever/galenalever/internal/frontend"
	"github.com/galenalever/galenalever/internal/hop"
	"github.com/galenalever/galenalever/internal/model"
)

// mayHaveRun is implemented by the errors of the backend service.
type mayHaveRun interface{ MayHaveRun() bool }

// run sends a call that holds a slot to the server and passes on the answer.
func (s *Service) run(c *call) {
	ctx, cancel := c.context(s.clock)
	defer cancel()
	if r := s.copyKey(ctx, c); r != nil {
		s.endUncopied(c, r)
		return
	}
	if !c.askForBody() {
		s.endNotRun(c, notRun(model.ReasonCancelled))
		return
	}
	c.started = s.clock.Now()
	out, target := outgoing(ctx, c.r), s.target(c)
	s.headers.ToServer(out.Header, frontend.ServerRequest{
		TimeLeft: c.deadline.Sub(s.clock.Now()), Target: target, Origin: c.Origin,
	})
	response, err := s.partners.server.Do(out, c.deadline, c.Idempotent)
	if err != nil {
		s.failed(ctx, c, err)
		return
	}
	defer response.Body.Close()
	s.received(ctx, c, response, target)
}

// received passes on an answer of the server that belongs to the call.
func (s *Service) received(ctx context.Context, c *call, response *http.Response, target model.InstanceID) {
	said := s.headers.FromServer(response.StatusCode, response.Header)
	switch {
	case !said.WithoutID && said.ID != c.ID:
		// The answer to an earlier request; that to this one is not known.
		s.release(c, false)
		s.refuse(c, unknown(model.ReasonBrokenAnswer))
	case said.Misdirected:
		s.log.Info("another server has taken the place of the own one", "request", c.ID, "instance_gone", target)
		s.gone.Store(target)
		s.dropCopies(c)
		s.endNotRun(c, notRun(model.ReasonServerRefused))
	case said.NotRun:
		s.dropCopies(c)
		s.endNotRun(c, notRun(model.ReasonServerRefused))
	default:
		s.relay(ctx, c, response)
	}
}

// outgoing returns the request as the server gets it.
func outgoing(ctx context.Context, r *http.Request) *http.Request {
	header := r.Header.Clone()
	hop.Strip(header)
	stripConnectionHeaders(header)
	header.Del("Expect")
	if _, ok := header["User-Agent"]; !ok {
		header["User-Agent"] = nil // keeps the transport from adding its own
	}
	out := &http.Request{
		Method:        r.Method,
		URL:           &url.URL{Path: r.URL.Path, RawPath: r.URL.RawPath, RawQuery: r.URL.RawQuery},
		Host:          r.Host,
		Header:        header,
		ContentLength: r.ContentLength,
	}
	if r.ContentLength != 0 {
		out.Body = http.MaxBytesReader(nil, r.Body, maxRequestBytes)
	}
	return out.WithContext(ctx)
}

// failed ends a call for which the server gave no answer.
func (s *Service) failed(ctx context.Context, c *call, err error) {
	var attempt mayHaveRun
	if errors.As(err, &attempt) && !attempt.MayHaveRun() {
		s.dropCopies(c)
		s.endNotRun(c, notRun(s.notRunReason(ctx, c)))
		return
	}
	s.refuse(c, unknown(s.lost(ctx, c)))
}

func (s *Service) notRunReason(ctx context.Context, c *call) model.Reason {
	switch {
	case !s.clock.Now().Before(c.deadline):
		return model.ReasonLate
	case ctx.Err() != nil:
		return model.ReasonCancelled
	}
	return model.ReasonBackendDown
}

// giveUp remembers a request whose connection the gate closed, in case that it
// crashes the server or has done so already.
func (s *Service) giveUp(c *call) {
	s.abandoned.add(c.fingerprint, s.clock.Now())
	if !s.partners.server.Available() {
		s.reportAbandoned(context.WithoutCancel(c.r.Context()))
	}
}

// lost finds out why a request that may have run has no whole answer. If its
// server crashed, the gates of the service know the request as a suspect when
// lost returns.
func (s *Service) lost(ctx context.Context, c *call) model.Reason {
	if ctx.Err() != nil {
		s.giveUp(c)
	}
	s.release(c, false)
	switch {
	case errors.Is(context.Cause(ctx), context.DeadlineExceeded):
		return model.ReasonDeadline
	case ctx.Err() != nil:
		return model.ReasonCancelled
	}
	ctx = context.WithoutCancel(ctx)
	if !s.partners.server.Crashed(ctx) {
		return model.ReasonConnectionLost
	}
	s.partners.suspects.Report(ctx, append(s.abandoned.take(s.clock.Now()), c.fingerprint))
	return model.ReasonCrashed
}
