package gate_test

import (
	"sync/atomic"
	"time"

	"github.com/galenalever/galenalever/internal/clock"
)

// checkInterval is the health interval of the tests. Its timers run in real
// time, all others on the fake clock.
const checkInterval = time.Millisecond

// testClock is a fake clock that can also jump ahead without running timers, as
// a paused process sees it.
type testClock struct {
	fake *clock.Fake
	gap  atomic.Int64
}

func newTestClock() *testClock {
	return &testClock{fake: clock.NewFake(time.Unix(1000, 0))}
}

func (c *testClock) Now() time.Time { return c.fake.Now().Add(time.Duration(c.gap.Load())) }

func (c *testClock) AfterFunc(d time.Duration, f func()) clock.Timer {
	if d == checkInterval {
		return clock.System{}.AfterFunc(d, f)
	}
	return c.fake.AfterFunc(d, f)
}
