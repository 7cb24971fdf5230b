package gate

import "net/http"

// ranToEnd reports whether a response with the status shows that the server ran a request to
// its end, so that equal requests are harmless. A faulty server may fail any request, and a
// request can be rejected before it runs.
func ranToEnd(status int) bool {
	switch status {
	case http.StatusNotFound, http.StatusConflict, http.StatusGone, http.StatusPreconditionFailed, http.StatusUnprocessableEntity:
		return true
	default:
		return status < http.StatusBadRequest
	}
}
