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

func withTrace(ctx context.Context, observer *writeObserver) context.Context {
	return httptrace.WithClientTrace(ctx, observer.trace())
}

// newResponse returns the server's response without the hop-by-hop headers and those
// that nodes send each other.
func newResponse(r *http.Response) *call.Response {
	header := endToEndHeaders(r.Header, 0)
	hop.Strip(header)
	return &call.Response{
		Status: r.StatusCode, Header: header, Length: r.ContentLength,
		Body: r.Body, Trailer: r.Trailer,
	}
}

// closingBody calls onClose when it is closed for the first time.
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

// reportingBody reports an attempt to the balancer when the body of its response is
// closed. After a read error the reported outcome is unknown.
type reportingBody struct {
	io.ReadCloser
	ctx    context.Context
	report balance.Report
	done   func(balance.Report)
}

// Read implements io.Reader.
func (b *reportingBody) Read(p []byte) (int, error) {
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
func (b *reportingBody) Close() error {
	err := b.ReadCloser.Close()
	if b.done != nil {
		b.done(b.report)
		b.done = nil
	}
	return err
}
