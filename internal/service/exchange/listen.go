package exchange

import (
	"errors"
	"net/http"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/go-chi/chi/v5/middleware"

	"github.com/galenalever/galenalever/internal/httpserver"
	"github.com/galenalever/galenalever/internal/occupancy"
	"github.com/galenalever/galenalever/internal/wire"
)

const (
	headerTimeout = 2 * time.Second
	readTimeout   = 10 * time.Second
	// writeTimeout leaves time to send a complete configuration after the longest
	// wait of a poll.
	writeTimeout = maxPollWait + 30*time.Second
	idleTimeout  = 30 * time.Second
	// maxRequestBytes bounds the body of a request; an announcement of many members
	// fits.
	maxRequestBytes = 4 << 20
	// maxHeaderBytes bounds the headers of a request.
	maxHeaderBytes = 4 << 10
)

// serve starts the server for other nodes.
func (s *Service) serve() {
	router := chi.NewRouter()
	router.Use(occupancy.CloseAfterErrors, middleware.Recoverer, middleware.RequestSize(maxRequestBytes), occupancy.ChargeBodies, withoutDate, compressLarge)
	router.Mount("/", wire.NewExchangeServer(s))
	s.server = &http.Server{
		Handler:           router,
		ReadHeaderTimeout: headerTimeout,
		ReadTimeout:       readTimeout,
		WriteTimeout:      writeTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
	httpserver.CloseUnusedOnShutdown(s.server)
	listener := s.account.Guard(s.server, &countingListener{Listener: s.config.Listener, bytes: &s.bytes})
	s.tasks.Go(func() {
		if err := s.server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			s.log.Error("server for other nodes failed", "error", err)
		}
	})
}

// withoutDate omits the Date header, which nodes do not read, to save its bytes.
func withoutDate(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header()["Date"] = nil
		next.ServeHTTP(w, r)
	})
}
