package forward

import (
	"context"
	"time"

	"github.com/galenalever/galenalever/internal/call"
)

// refusalGrace is how long after the deadline an attempt still waits for its gate. A gate
// states by the deadline whether the request has run; the time covers the way back from
// another failure domain (4.4 ms) and the delays of a busy machine.
const refusalGrace = 50 * time.Millisecond

// attemptContext returns the context of an attempt. It ends with that of the request, but
// after the deadline only when refusalGrace has passed: without the gate's statement a
// request that was refused in time would have an unknown outcome.
func (s *Service) attemptContext(ctx context.Context) context.Context {
	attempt, cancel := context.WithCancelCause(context.WithoutCancel(ctx))
	context.AfterFunc(ctx, func() {
		cause := context.Cause(ctx)
		if cause != call.ErrDeadline {
			cancel(cause)
			return
		}
		s.clock.AfterFunc(refusalGrace, func() { cancel(cause) })
	})
	return attempt
}
