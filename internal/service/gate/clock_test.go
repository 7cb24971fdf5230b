package gate_test

import (
	"sync/atomic"
	"time"

	"github.com/galenalever/galenalever/internal/clock"
	"github.com/galenalever/galenalever/internal/service/gate"
)

// checkInterval is the health interval of the tests. Its timers and those of a
// drain run in real time, all others on the fake clock.
const checkInterval = time.Millisecond

// testClock is a fake clock that can also jump ahead without running timers, as
// a paused process sees it.
type testClock struct {
	fake *clock.Fake
	gap  atomic.Int64
	// checksOff holds back the health checks that are due.
	checksOff atomic.Bool
}

func newTestClock() *testClock {
	return &testClock{fake: clock.NewFake(time.Unix(1000, 0))}
}

func (c *testClock) Now() time.Time { return c.fake.Now().Add(time.Duration(c.gap.Load())) }

func (c *testClock) AfterFunc(d time.Duration, f func()) clock.Timer {
	if d == gate.LameDuck {
		return clock.System{}.AfterFunc(checkInterval, f)
	}
	if d == checkInterval && !c.checksOff.Load() {
		return clock.System{}.AfterFunc(d, f)
	}
	return c.fake.AfterFunc(d, f)
}
