package resources

import (
	"log/slog"

	"github.com/uber-go/tally/v4"

	"github.com/galenalever/galenalever/internal/occupancy"
)

// report writes the figures of an account to the metrics and, if connections were closed
// or requests refused, to the log.
type report struct {
	connections, bytes                tally.Gauge
	closed, expired, refused, notKept tally.Counter
	last                              occupancy.Stats
}

func newReport(scope tally.Scope) *report {
	return &report{
		connections: scope.Gauge("connections"), bytes: scope.Gauge("bytes"),
		closed: scope.Counter("closed"), expired: scope.Counter("expired"), refused: scope.Counter("refused"),
		notKept: scope.Counter("not_kept"),
	}
}

func (r *report) update(log *slog.Logger, listener string, now occupancy.Stats) {
	r.connections.Update(float64(now.Connections))
	r.bytes.Update(float64(now.Bytes))
	closed, expired, refused := now.Closed-r.last.Closed, now.Expired-r.last.Expired, now.Refused-r.last.Refused
	r.notKept.Inc(now.NotKept - r.last.NotKept)
	r.last = now
	r.closed.Inc(closed)
	r.expired.Inc(expired)
	r.refused.Inc(refused)
	if closed+refused > 0 {
		log.Warn("connections of slow clients were closed for the sake of others", "listener", listener,
			"closed", closed, "refused", refused, "connections", now.Connections, "max_connections", now.MaxConnections,
			"bytes", now.Bytes, "max_bytes", now.MaxBytes)
	}
}
