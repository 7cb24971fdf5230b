// Package dedupe deduplicates requests: it remembers which requests a gate has
// run, so that a repeat gets the response to the first one or is refused, and never
// runs again. It does no I/O and reads no clock; the current time is an argument.
// A Memory is not safe for concurrent use.
//
// A repeat of a running request waits for its response: most repeats come from a
// caller's node whose connection broke, and refusing them would report an unknown
// outcome although the response is about to arrive. The number of repeats that wait
// for one request is bounded; further ones are refused. Once the first request may
// have run, no repeat is refused as not run.
package dedupe

import (
	"container/list"
	"time"

	"github.com/galenalever/galenalever/internal/model"
)

// Key identifies a request: by its request ID (Route is empty) or by a caller's
// idempotency key within a route.
type Key struct {
	Route string
	Value string
}

// RequestKey returns the key of a request ID.
func RequestKey(id model.RequestID) Key { return Key{Value: string(id)} }

// IdempotencyKey returns the key of a caller's idempotency key on a route.
func IdempotencyKey(route, value string) Key { return Key{Route: "route:" + route, Value: value} }

// Answer is the complete stored response to a request.
type Answer struct {
	Status int
	Header map[string][]string
	Body   []byte
}

// size returns the approximate size of an answer in memory, in bytes.
func (a *Answer) size() int {
	n := len(a.Body)
	for name, values := range a.Header {
		n += len(name)
		for _, v := range values {
			n += len(v)
		}
	}
	return n
}

// Bounds limit a Memory.
type Bounds struct {
	// Window is how long a request is remembered after it finished.
	Window time.Duration
	// Entries is the maximum number of remembered requests.
	Entries int
	// AnswerBytes is the maximum total size of the stored answers.
	AnswerBytes int
	// Waiters is the maximum number of repeats that wait for one running request.
	Waiters int
}

// state is the progress of a remembered request.
type state uint8

const (
	stateRunning state = iota
	stateAnswered
	stateUnknown
	// stateElsewhere means that another gate is running or has run the request.
	stateElsewhere
)

// Entry is one remembered request.
type Entry struct {
	keys        []Key
	fingerprint uint64
	state       state
	answer      *Answer
	// finished is when the request finished or, for stateElsewhere, when its record
	// was stored.
	finished time.Time
	waiters  []Waiter
	runner   Runner // for stateElsewhere
	// finishedElement is the element in Memory.finished, answerElement the one in
	// Memory.answers. Each is nil if the entry is not in that list.
	finishedElement, answerElement *list.Element
}

// Waiter identifies a repeat that waits for the first request.
type Waiter uint64

// Verdict is the decision on one request.
type Verdict uint8

const (
	// Run means that the request is new; the caller runs it and then must call
	// Answered, Lost or NotRun.
	Run Verdict = iota + 1
	// Wait means that an equal request is running; the decision follows as a Woken
	// when that one ends.
	Wait
	// Replay means that the caller gets the stored answer.
	Replay
	// RefuseNotRun means that the request did not run, and that no equal one has run
	// or may have run.
	RefuseNotRun
	// RefuseUnknown means that an equal request has run or may have run.
	RefuseUnknown
)

// Decision is the verdict on one request.
type Decision struct {
	Verdict Verdict
	Reason  model.Reason
	Answer  *Answer
	// Entry is set for Run.
	Entry *Entry
}

// Woken is the decision on a repeat that waited.
type Woken struct {
	Waiter   Waiter
	Decision Decision
}

// Memory is the bounded store of the requests that one gate remembers.
type Memory struct {
	bounds      Bounds
	byKey       map[Key]*Entry
	entries     int
	finished    *list.List // of *Entry, oldest first
	answers     *list.List // of *Entry with a stored answer, oldest first
	answerBytes int
}

// New returns an empty Memory.
func New(bounds Bounds) *Memory {
	return &Memory{bounds: bounds, byKey: make(map[Key]*Entry), finished: list.New(), answers: list.New()}
}

// Len returns the number of remembered requests.
func (m *Memory) Len() int { return m.entries }

// Remembers reports whether one of the keys is remembered.
func (m *Memory) Remembers(keys []Key, now time.Time) bool {
	m.expire(now)
	for _, k := range keys {
		if _, ok := m.byKey[k]; ok {
			return true
		}
	}
	return false
}

// Lookup decides on a repeat, which may become a waiter, but does not remember a
// new request. It reports false if none of the keys is remembered.
func (m *Memory) Lookup(w Waiter, keys []Key, fingerprint uint64, now time.Time) (Decision, bool) {
	m.expire(now)
	for _, k := range keys {
		if e, ok := m.byKey[k]; ok {
			return m.repeat(e, w, fingerprint), true
		}
	}
	return Decision{}, false
}

// Begin decides on a request and remembers it if it is new. A repeat with another
// fingerprint is a different request under the same key and is refused.
func (m *Memory) Begin(w Waiter, keys []Key, fingerprint uint64, now time.Time) Decision {
	if d, ok := m.Lookup(w, keys, fingerprint, now); ok {
		return d
	}
	if !m.ensureCapacity() {
		return Decision{Verdict: RefuseNotRun, Reason: model.ReasonQueueFull}
	}
	e := &Entry{keys: keys, fingerprint: fingerprint}
	for _, k := range keys {
		m.byKey[k] = e
	}
	m.entries++
	return Decision{Verdict: Run, Entry: e}
}

// Forecast returns what Lookup would decide. It changes nothing.
func (m *Memory) Forecast(keys []Key, fingerprint uint64, now time.Time) (Decision, bool) {
	for _, k := range keys {
		e, ok := m.byKey[k]
		if ok && (e.finishedElement == nil || now.Sub(e.finished) < m.bounds.Window) {
			return m.decide(e, fingerprint), true
		}
	}
	return Decision{}, false
}

func (m *Memory) repeat(e *Entry, w Waiter, fingerprint uint64) Decision {
	d := m.decide(e, fingerprint)
	if d.Verdict == Wait {
		e.waiters = append(e.waiters, w)
	}
	return d
}

// decide decides on a repeat of a request without making it a waiter.
func (m *Memory) decide(e *Entry, fingerprint uint64) Decision {
	if e.fingerprint != fingerprint {
		return Decision{Verdict: RefuseUnknown, Reason: model.ReasonDuplicate}
	}
	if e.state != stateRunning {
		return e.decision()
	}
	if len(e.waiters) >= m.bounds.Waiters {
		return Decision{Verdict: RefuseUnknown, Reason: model.ReasonDuplicate}
	}
	return Decision{Verdict: Wait}
}

// decision returns the decision on a repeat of a finished request.
func (e *Entry) decision() Decision {
	if e.state == stateAnswered && e.answer != nil {
		return Decision{Verdict: Replay, Answer: e.answer}
	}
	return Decision{Verdict: RefuseUnknown, Reason: model.ReasonDuplicate}
}
