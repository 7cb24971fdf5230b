package quarantine

import "net/http"

// RanToEnd reports whether a response with the status shows that a server ran a request to
// its end, so that equal requests are harmless. A faulty server may fail any request, and a
// request can be rejected before it runs.
func RanToEnd(status int) bool {
	switch status {
	case http.StatusNotFound, http.StatusConflict, http.StatusGone, http.StatusPreconditionFailed, http.StatusUnprocessableEntity:
		return true
	default:
		return status < http.StatusBadRequest
	}
}
