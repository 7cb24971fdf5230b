// Package health decides from single checks whether a backend server is
// healthy. It takes several equal results to change the state, so that one slow
// answer does not. It is pure.
package health

// State is the health of a backend server.
type State uint8

const (
	// Starting means that no check has succeeded yet.
	Starting State = iota
	// Healthy means that the server takes requests.
	Healthy
	// Unhealthy means that the server was healthy and is not now.
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

// Result is the outcome of one check.
type Result uint8

const (
	// OK means that the server answered that it is healthy.
	OK Result = iota
	// Failed means that it answered otherwise or not in time.
	Failed
	// Refused means that nothing listens or the connection broke, so the server
	// process is gone.
	Refused
)

const (
	// riseAfter is the number of successes that make a server healthy again.
	riseAfter = 2
	// fallAfter is the number of failures that make a server unhealthy.
	fallAfter = 3
)

// Tracker is the state with the run of results that may change it. The zero
// value is a starting server.
type Tracker struct {
	State State
	run   int
}

// Observe returns the tracker after one more check. A refused connection is
// conclusive, and so is the first success of a starting server.
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
	case r == Refused || t.run+1 >= fallAfter:
		return Tracker{State: Unhealthy}
	default:
		return Tracker{State: Healthy, run: t.run + 1}
	}
}

func (t Tracker) observeUnhealthy(r Result) Tracker {
	switch {
	case r != OK:
		return Tracker{State: Unhealthy}
	case t.run+1 >= riseAfter:
		return Tracker{State: Healthy}
	default:
		return Tracker{State: Unhealthy, run: t.run + 1}
	}
}
