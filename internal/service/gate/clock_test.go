package gate_test

import (
	"sync/atomic"
	"time"

	"github.com/galenalever/galenalever/internal/clock"
	"github.com/galenalever/galenalever/internal/service/gate"
)

// checkInterval is the health check interval of the tests. Health check timers and
// the lame duck timer run in real time, all others on the fake clock.
const checkInterval = time.Millisecond

// testClock is a fake clock that can also jump ahead without running timers, as
// when the process was paused.
type testClock struct {
	fake   *clock.Fake
	offset atomic.Int64
	// healthChecksPaused moves the health check timers to the fake clock.
	healthChecksPaused atomic.Bool
}

func newTestClock() *testClock {
	return &testClock{fake: clock.NewFake(time.Unix(1000, 0))}
}

func (c *testClock) Now() time.Time { return c.fake.Now().Add(time.Duration(c.offset.Load())) }

func (c *testClock) AfterFunc(d time.Duration, f func()) clock.Timer {
	if d == gate.LameDuckPeriod {
		return clock.System{}.AfterFunc(checkInterval, f)
	}
	if d == checkInterval && !c.healthChecksPaused.Load() {
		return clock.System{}.AfterFunc(d, f)
	}
	return c.fake.AfterFunc(d, f)
}
