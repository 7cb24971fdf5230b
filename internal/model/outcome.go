package model

// Outcome is what is known about the execution of a request.
type Outcome uint8

const (
	// OutcomeUnknown means the request may or may not have run.
	OutcomeUnknown Outcome = iota
	// OutcomeAnswered means a backend server responded.
	OutcomeAnswered
	// OutcomeNotRun means the request has not run, so a retry is safe: no byte of it
	// reached a backend server, or the server states that it did not run it.
	OutcomeNotRun
)

// String returns the name used in headers, logs and metrics.
func (o Outcome) String() string {
	switch o {
	case OutcomeAnswered:
		return "answered"
	case OutcomeNotRun:
		return "not-run"
	default:
		return "unknown"
	}
}

// ParseOutcome is the inverse of String. Unrecognised names are unknown.
func ParseOutcome(name string) Outcome {
	switch name {
	case "answered":
		return OutcomeAnswered
	case "not-run":
		return OutcomeNotRun
	default:
		return OutcomeUnknown
	}
}

// Reason is the reason why a request was refused or its outcome is unknown.
type Reason string

// The reasons of outcomes other than answered.
const (
	ReasonNoRoute          Reason = "no-route"          // no route matches host, path and method
	ReasonNoServer         Reason = "no-server"         // no present and healthy server of the service
	ReasonNotReady         Reason = "not-ready"         // the node has no configuration yet
	ReasonStale            Reason = "stale"             // the process was paused and must synchronise first
	ReasonLeaving          Reason = "leaving"           // the server is draining
	ReasonBackendDown      Reason = "backend-down"      // the server refuses connections or fails its health check
	ReasonQueueFull        Reason = "queue-full"        // the gate's queue has no room
	ReasonBusy             Reason = "busy"              // no slot will be free within the time that the caller's node waits
	ReasonServerRefused    Reason = "server-refused"    // the server states that it did not run the request
	ReasonBrokenAnswer     Reason = "broken-answer"     // the server's response is incomplete or belongs to another request
	ReasonLate             Reason = "late"              // the deadline has passed, or the wait in the queue is too long for it or the latency objective
	ReasonCallsRefused     Reason = "calls-refused"     // calls that the request would make while it runs are refused or late now
	ReasonOverloaded       Reason = "overloaded"        // the caller's node refuses a share of the requests, because gates refuse most of them
	ReasonEvacuated        Reason = "evacuated"         // the server's failure domain is evacuated
	ReasonSuspect          Reason = "suspect"           // the request may have crashed a server and may only run elsewhere
	ReasonQuarantined      Reason = "quarantined"       // the request crashed servers and is refused for a time
	ReasonWrongIncarnation Reason = "wrong-incarnation" // the node was restarted since the caller's node last saw it
	ReasonDuplicate        Reason = "duplicate"         // a request with the same idempotency key is running, or its response is no longer stored
	ReasonTooLarge         Reason = "too-large"         // the request exceeds a size limit
	ReasonUnreachable      Reason = "unreachable"       // no connection to the server's node
	ReasonConnectionLost   Reason = "connection-lost"   // the connection broke after the first byte
	ReasonDeadline         Reason = "deadline"          // no response within the deadline
	ReasonCrashed          Reason = "crashed"           // the server crashed while the request ran
	ReasonCancelled        Reason = "cancelled"         // the caller disconnected
)
