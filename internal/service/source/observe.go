package source

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/galenalever/galenalever/internal/control"
	"github.com/galenalever/galenalever/internal/kernel"
	"github.com/galenalever/galenalever/internal/model"
	"github.com/galenalever/galenalever/internal/timeline"
)

// largeResponse is the size in bytes from which responses are logged. Smaller ones
// carry only a small configuration, or none.
const largeResponse = 32 << 10

// transferBuckets cover the few seconds that a configuration change may take.
var transferBuckets = tally.DurationBuckets{
	10 * time.Millisecond, 50 * time.Millisecond, 100 * time.Millisecond, 250 * time.Millisecond,
	500 * time.Millisecond, time.Second, 2 * time.Second, 5 * time.Second,
}

// observable is a client of the platform that reports its calls.
type observable interface {
	Observe(observer func(Call))
}

type metrics interface {
	Scope() tally.Scope
}

// callMetrics holds the metrics of calls to the platform.
type callMetrics struct {
	calls, failures, bytes tally.Counter
	transfer               tally.Histogram
}

// observePlatform logs the calls to the platform, and counts them if there is a
// metrics service. It does nothing if the client does not report its calls.
func (s *Service) observePlatform(c *kernel.Context) {
	client, ok := s.config.Platform.(observable)
	if !ok {
		return
	}
	var counters *callMetrics
	if m, err := kernel.Find[metrics](c, control.Metrics); err == nil {
		scope := m.Scope()
		counters = &callMetrics{
			calls:    scope.Counter("platform_calls"),
			failures: scope.Counter("platform_call_failures"),
			bytes:    scope.Counter("platform_received_bytes"),
			transfer: scope.Histogram("platform_answer_duration", transferBuckets),
		}
		s.returns = scope.Counter("platform_returns")
	}
	client.Observe(func(call Call) {
		if counters != nil {
			counters.add(call)
		}
		s.logCall(call)
	})
}

func (m *callMetrics) add(call Call) {
	m.calls.Inc(1)
	m.bytes.Inc(call.Bytes)
	if call.Err != nil {
		m.failures.Inc(1)
	}
	if !call.ResponseStarted.IsZero() {
		m.transfer.RecordDuration(call.Ended.Sub(call.ResponseStarted))
	}
}

// logCall logs a call that failed or whose response is large enough to contain a
// configuration. Other calls are only counted.
func (s *Service) logCall(call Call) {
	failed := call.Err != nil && !errors.Is(call.Err, context.Canceled)
	if !failed && call.Bytes < largeResponse {
		return
	}
	args := []any{"path", call.Path, "bytes", call.Bytes}
	if call.ResponseStarted.IsZero() {
		args = append(args, "waited_ms", call.Ended.Sub(call.Sent).Milliseconds())
	} else {
		args = append(args, "waited_ms", call.ResponseStarted.Sub(call.Sent).Milliseconds(),
			"transfer_ms", call.Ended.Sub(call.ResponseStarted).Milliseconds())
	}
	if failed {
		s.log.Info("call to the platform failed", append(args, "query", call.Query, "error", call.Err)...)
		return
	}
	s.log.Info("large answer of the platform", args...)
}

// logRead logs how long the newly read values of a cut took to parse and how long
// the control loop took to handle the cut. It logs nothing if no value was read.
func (s *Service) logRead(revision model.Revision, decoding, handling time.Duration) {
	if decoding == 0 {
		return
	}
	s.log.Info("configuration read", "revision", revision,
		"decode_ms", decoding.Milliseconds(), "control_loop_ms", handling.Milliseconds())
}

// recordReturn records that the platform has returned from an older copy of its state. The
// revision before is 0 if this node has not listed the instances itself.
func (s *Service) recordReturn(before, listed model.Revision) {
	s.returns.Inc(1)
	s.log.Warn("the platform returned from an older copy; listed everything again", "before", before, "listed", listed)
	s.timeline.Record(timeline.KindPlatformReturned, fmt.Sprintf("listed at %s, known before was %s", listed, before))
}
