package forward

import (
	"bytes"
	"io"

	"github.com/galenalever/galenalever/internal/decision/retry"
	"github.com/galenalever/galenalever/internal/model"
)

// bufferResponse reads up to responseBufferLimit bytes of the response's body in
// advance. If reading fails, the outcome is unknown.
func bufferResponse(r result) result {
	if r.response == nil {
		return r
	}
	var head bytes.Buffer
	_, err := io.Copy(&head, io.LimitReader(r.response.Body, responseBufferLimit))
	if err != nil {
		_ = r.response.Body.Close()
		return result{Result: retry.Result{Reason: model.ReasonConnectionLost}, report: r.report}
	}
	r.response.Body = &prefixedBody{Reader: io.MultiReader(&head, r.response.Body), Closer: r.response.Body}
	return r
}

// prefixedBody is a body whose first bytes have been buffered.
type prefixedBody struct {
	io.Reader
	io.Closer
}
