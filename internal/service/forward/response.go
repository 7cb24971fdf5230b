package forward

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptrace"

	"github.com/galenalever/galenalever/internal/call"
	"github.com/galenalever/galenalever/internal/decision/balance"
	"github.com/galenalever/galenalever/internal/hop"
	"github.com/galenalever/galenalever/internal/model"
)

func traced(ctx context.Context, o *writeObserver) context.Context {
	return httptrace.WithClientTrace(ctx, o.trace())
}

// newResponse hands on the server's answer.
func newResponse(r *http.Response) *call.Response {
	header := endToEnd(r.Header, 0)
	hop.Strip(header)
	return &call.Response{
		Status: r.StatusCode, Header: header, Length: r.ContentLength,
		Body: r.Body, Trailer: r.Trailer,
	}
}

// closingBody runs a function once when it is closed.
type closingBody struct {
	io.ReadCloser
	onClose func()
}

// Close implements io.Closer.
func (b *closingBody) Close() error {
	err := b.ReadCloser.Close()
	if b.onClose != nil {
		b.onClose()
		b.onClose = nil
	}
	return err
}

// reportedBody reports the end of an attempt when the body of its answer is
// closed. A read error makes the outcome unknown.
type reportedBody struct {
	io.ReadCloser
	ctx    context.Context
	report balance.Report
	done   func(balance.Report)
}

// Read implements io.Reader.
func (b *reportedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != nil && !errors.Is(err, io.EOF) {
		b.report.Outcome = model.OutcomeUnknown
		b.report.Reason = model.ReasonConnectionLost
		if b.ctx.Err() != nil {
			b.report.Reason = model.ReasonCancelled
		}
	}
	return n, err
}

// Close implements io.Closer.
func (b *reportedBody) Close() error {
	err := b.ReadCloser.Close()
	if b.done != nil {
		b.done(b.report)
		b.done = nil
	}
	return err
}
