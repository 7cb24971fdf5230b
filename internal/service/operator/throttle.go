package operator

import (
	"net/http"

	"github.com/go-chi/chi/v5/middleware"

	"github.com/galenalever/galenalever/internal/status"
)

// throttle bounds the concurrent requests, except for the liveness and readiness pages:
// a node must not look unhealthy because others read its pages slowly.
func throttle(next http.Handler) http.Handler {
	throttled := middleware.Throttle(maxRequests)(next)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == status.PathReady || r.URL.Path == status.PathHealth {
			next.ServeHTTP(w, r)
			return
		}
		throttled.ServeHTTP(w, r)
	})
}
