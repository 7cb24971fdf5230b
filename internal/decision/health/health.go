// Package health derives the health of a backend server from the results of its
// health checks. A change of state requires several equal results in a row, so that
// one slow response does not cause it; [Tracker.Observe] lists the exceptions. The
// package does no I/O and reads no clock.
package health

// State is the health of a backend server.
type State uint8

const (
	// Starting means that no health check has succeeded yet.
	Starting State = iota
	// Healthy means that the server accepts requests.
	Healthy
	// Unhealthy means that the server was healthy before and no longer is.
	Unhealthy
)

// String returns the name used in status pages and logs.
func (s State) String() string {
	switch s {
	case Starting:
		return "starting"
	case Healthy:
		return "healthy"
	default:
		return "unhealthy"
	}
}

// Result is the result of one health check.
type Result uint8

const (
	// OK means that the server responded with a success status.
	OK Result = iota
	// Failed means that the server responded with another status or not in time.
	Failed
	// Refused means that the connection was refused or broke, so the server process
	// is no longer running.
	Refused
)

const (
	// riseAfter is the number of consecutive successes after which an unhealthy
	// server is healthy.
	riseAfter = 2
	// fallAfter is the number of consecutive failures after which a healthy server is
	// unhealthy.
	fallAfter = 3
)

// Tracker holds the state of a server and the number of consecutive results that
// contradict it. The zero value is a starting server.
type Tracker struct {
	State  State
	streak int
}

// Observe returns the tracker after one more check. A single refused connection
// makes a healthy server unhealthy, and a single success makes a starting server
// healthy.
func (t Tracker) Observe(r Result) Tracker {
	switch t.State {
	case Healthy:
		return t.observeHealthy(r)
	case Unhealthy:
		return t.observeUnhealthy(r)
	default:
		if r == OK {
			return Tracker{State: Healthy}
		}
		return t
	}
}

func (t Tracker) observeHealthy(r Result) Tracker {
	switch {
	case r == OK:
		return Tracker{State: Healthy}
	case r == Refused || t.streak+1 >= fallAfter:
		return Tracker{State: Unhealthy}
	default:
		return Tracker{State: Healthy, streak: t.streak + 1}
	}
}

func (t Tracker) observeUnhealthy(r Result) Tracker {
	switch {
	case r != OK:
		return Tracker{State: Unhealthy}
	case t.streak+1 >= riseAfter:
		return Tracker{State: Healthy}
	default:
		return Tracker{State: Unhealthy, streak: t.streak + 1}
	}
}
