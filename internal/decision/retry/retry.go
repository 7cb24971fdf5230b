// Package retry decides what follows an attempt: the result is returned to the caller,
// the request is sent to another server, or the same gate is queried again. It also
// defines the budgets that bound retries and hedges.
package retry

import (
	"time"

	"github.com/galenalever/galenalever/internal/model"
)

// Request holds the properties of a request on which a decision depends.
type Request struct {
	// Idempotent states that running the request twice does no harm.
	Idempotent bool
	// Attempts is the largest number of attempts, the first included.
	Attempts int
	// Refusals is the number of further attempts that are allowed while gates
	// refuse the request and fewer than Attempts servers have seen it.
	Refusals int
}

// Progress is the state of a request after an attempt.
type Progress struct {
	// Attempts counts the attempts so far, GateQueries those among them that
	// queried the same gate again.
	Attempts, GateQueries int
	// Busy counts the attempts that a gate refused because no slot was free soon
	// enough.
	Busy int
	// CallsRefused counts the attempts that gates refused because calls of the request
	// would fail; CallsRetryAfter is the longest delay that these gates requested.
	CallsRefused    int
	CallsRetryAfter time.Duration
	// Reached counts the attempts that reached a server, run or not.
	Reached int
	// TimeLeft is the time until the deadline.
	TimeLeft time.Duration
	// Replayable is true if the whole body can be sent again.
	Replayable bool
	// GateKnown is true if the attempt named the gate's incarnation, so that
	// the gate can be queried for the outcome of the request.
	GateKnown bool
	// Overdue is true if the caller can retry and the route's latency objective, or
	// without one the deadline, has passed.
	Overdue bool
	// NoOtherServer is true if every server has been tried.
	NoOtherServer bool
	// LastUnknown is the last result with an unknown outcome: the request may have
	// run. It is nil if there is none.
	LastUnknown *Result
}

// Record updates the progress with the result of an attempt.
func (p *Progress) Record(r Result) {
	if r.Outcome == model.OutcomeUnknown {
		p.LastUnknown = &r
	}
	if r.ReachedServer() {
		p.Reached++
	}
	if r.Reason == model.ReasonBusy {
		p.Busy++
	}
	if r.Reason == model.ReasonCallsRefused {
		p.CallsRefused++
		p.CallsRetryAfter = max(p.CallsRetryAfter, r.RetryAfter)
	}
}

// Result is how an attempt ended.
type Result struct {
	Outcome model.Outcome
	Reason  model.Reason
	// RetryAfter is the delay that the server requested; 0 means none.
	RetryAfter time.Duration
}

// ReachedServer reports whether a server may have seen the request.
func (r Result) ReachedServer() bool {
	return r.Outcome != model.OutcomeNotRun || r.Reason == model.ReasonServerRefused
}

// Action is what follows an attempt.
type Action uint8

const (
	// Finish returns the result to the caller.
	Finish Action = iota
	// SendElsewhere sends the request to a server that has not been tried.
	SendElsewhere
	// SendAgain sends the request to any server, those tried before included.
	SendAgain
	// AskSameGate sends the request with the same ID to the same gate process,
	// which runs it only if it has not seen it, and otherwise replays the response.
	AskSameGate
)

// String returns the name used in logs.
func (a Action) String() string {
	switch a {
	case SendElsewhere:
		return "elsewhere"
	case SendAgain:
		return "again"
	case AskSameGate:
		return "ask-same-gate"
	default:
		return "finish"
	}
}

// Decision is an action and the delay before it. SendElsewhere and SendAgain
// need a token of the retry budget, except after a busy gate.
type Decision struct {
	Action Action
	Delay  time.Duration
}

// maxDelay bounds the delay before an attempt. Instead of a longer delay the request
// finishes, and the response states when to retry.
const maxDelay = 250 * time.Millisecond

// maxGateQueries bounds how often the same gate is queried about one request.
const maxGateQueries = 4

// maxCallsRefused is the number of gates that are asked while they refuse a request
// because of its calls. One server's calls may fail for a reason of its own.
const maxCallsRefused = 2

// Source supplies uniformly distributed random numbers.
type Source interface {
	Uint64() uint64
}

// Decide returns what follows an attempt. It is Finish if the delay would reach the
// deadline or maxDelay.
func Decide(q Request, p Progress, r Result, random Source) Decision {
	d := decide(q, p, r, random)
	if d.Delay >= min(p.TimeLeft, maxDelay) {
		return Decision{Action: Finish}
	}
	return d
}

func decide(q Request, p Progress, r Result, random Source) Decision {
	switch {
	case r.Outcome == model.OutcomeAnswered || r.Reason == model.ReasonCancelled:
		return Decision{Action: Finish}
	case p.GateQueries > 0 || r.Outcome == model.OutcomeUnknown && !q.Idempotent:
		return decideGateQuery(p, r, random)
	case !p.Replayable || attemptsExhausted(q, p, r) || !mayRunElsewhere(r):
		return Decision{Action: Finish}
	case r.Reason == model.ReasonLate && (p.NoOtherServer || p.Overdue):
		return Decision{Action: Finish} // the response states when to retry
	case r.Reason == model.ReasonCallsRefused && (p.NoOtherServer || p.CallsRefused >= maxCallsRefused):
		return Decision{Action: Finish} // the servers call the same service; the response states when to retry
	case r.Reason == model.ReasonBusy && p.NoOtherServer:
		return Decision{Action: SendAgain}
	case r.Reason == model.ReasonBusy:
		return Decision{Action: SendElsewhere}
	case p.NoOtherServer:
		return Decision{Action: SendAgain, Delay: max(r.RetryAfter, backoff(p.Attempts+1, random))}
	default:
		return Decision{Action: SendElsewhere, Delay: backoff(p.Attempts, random)}
	}
}

// decideGateQuery decides whether to query the same gate again.
func decideGateQuery(p Progress, r Result, random Source) Decision {
	if !p.Replayable || !p.GateKnown || p.GateQueries >= maxGateQueries || !gateMayKnowMore(p, r) {
		return Decision{Action: Finish}
	}
	return Decision{Action: AskSameGate, Delay: max(r.RetryAfter, backoff(p.GateQueries+1, random))}
}

// gateMayKnowMore reports whether another query may return more about the request. A
// response of the gate is final, unless its queue had no room for the query.
func gateMayKnowMore(p Progress, r Result) bool {
	switch r.Reason {
	case model.ReasonConnectionLost, model.ReasonUnreachable:
		return true
	case model.ReasonQueueFull:
		return p.GateQueries > 0
	default:
		return false
	}
}

// DefaultRefusals is the usual value of Request.Refusals. It suits a mesh that bounds
// the arrivals at servers, where trying one more gate costs little.
const DefaultRefusals = 4

func attemptsExhausted(q Request, p Progress, r Result) bool {
	allowed := attemptLimit(q, r)
	if p.Reached < allowed {
		allowed += q.Refusals
	}
	return p.Attempts >= allowed
}

// maxSuspectAttempts bounds the attempts of a request that gates refuse as suspect.
const maxSuspectAttempts = 8

// attemptLimit returns the largest number of attempts. A suspect may run at only one
// server, so finding that server takes more attempts.
func attemptLimit(q Request, r Result) int {
	if r.Reason == model.ReasonSuspect {
		return max(q.Attempts, maxSuspectAttempts)
	}
	return q.Attempts
}

// mayRunElsewhere reports whether another server may run the request. That holds for
// requests with an idempotency key too: gates record a key with each other
// before they run it, so a server refuses a key that ran elsewhere.
func mayRunElsewhere(r Result) bool {
	switch r.Reason {
	case model.ReasonQuarantined, model.ReasonTooLarge, model.ReasonDuplicate, model.ReasonDeadline:
		return false
	default:
		return true
	}
}

// FinalResult returns the result to report to the caller. A refusal does not replace
// the unknown outcome of an earlier attempt.
func FinalResult(p Progress, r Result) Result {
	if p.LastUnknown != nil && r.Outcome == model.OutcomeNotRun {
		return *p.LastUnknown
	}
	if r.Reason == model.ReasonCallsRefused {
		r.RetryAfter = max(r.RetryAfter, p.CallsRetryAfter)
	}
	return r
}

const (
	// backoffBase is the longest delay before the second retry; it doubles up to
	// backoffLimit. The first retry is sent at once if another server is left.
	backoffBase  = 5 * time.Millisecond
	backoffLimit = 200 * time.Millisecond
)

// backoff returns a jittered delay after the given number of attempts.
func backoff(attempts int, random Source) time.Duration {
	if attempts <= 1 {
		return 0
	}
	limit := min(backoffBase<<min(attempts-2, 10), backoffLimit)
	const mantissaBits = 53
	unit := float64(random.Uint64()>>(64-mantissaBits)) / (1 << mantissaBits)
	return limit/2 + time.Duration(unit*float64(limit/2))
}
