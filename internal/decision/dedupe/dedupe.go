// Package dedupe remembers which requests a gate has run, so that a repeated
// request gets the answer of the first one or is refused, and never runs again.
// It is pure: time is an argument, and the caller serialises the calls.
//
// A repeat of a running request waits for its answer: the usual repeat comes
// from a caller's node whose connection broke, and refusing it would turn an
// answer that is about to exist into an unknown outcome. The waiting repeats of
// one request are bounded; further ones are refused. No repeat is ever refused
// as not run once the first one may have run, because the request did.
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

// RequestKey is the key of a request ID.
func RequestKey(id model.RequestID) Key { return Key{Value: string(id)} }

// IdempotencyKey is the key of a caller's idempotency key on a route.
func IdempotencyKey(route, value string) Key { return Key{Route: "route:" + route, Value: value} }

// Answer is the whole answer to a remembered request.
type Answer struct {
	Status int
	Header map[string][]string
	Body   []byte
}

// size estimates the memory that an answer holds, in bytes.
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

// Bounds limit the memory.
type Bounds struct {
	// Window is how long a finished request is remembered.
	Window time.Duration
	// Entries is the largest number of remembered requests.
	Entries int
	// AnswerBytes bounds the stored answers together.
	AnswerBytes int
	// Waiters bounds the repeats that wait for one running request.
	Waiters int
}

// state is what is known of a remembered request.
type state uint8

const (
	stateRunning state = iota
	stateAnswered
	stateUnknown
	// stateElsewhere means that another gate runs or has run the request.
	stateElsewhere
)

// Entry is one remembered request.
type Entry struct {
	keys        []Key
	fingerprint uint64
	state       state
	answer      *Answer
	finished    time.Time
	waiters     []Waiter
	runner      Runner // for stateElsewhere
	// position is the place in Memory.finished, stored that in Memory.answers.
	position, stored *list.Element
}

// Waiter identifies a repeat that waits for the first request.
type Waiter uint64

// Verdict is the decision on one request.
type Verdict uint8

const (
	// Run means that the request is new; the caller must end it with Answered,
	// Lost or NotRun.
	Run Verdict = iota + 1
	// Wait means that an equal request is running; its end decides.
	Wait
	// Replay means that the stored answer is the answer.
	Replay
	// RefuseNotRun means that the request did not run and no equal one may have.
	RefuseNotRun
	// RefuseUnknown means that an equal request ran or may have run.
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

// Memory holds the remembered requests of one gate.
type Memory struct {
	bounds      Bounds
	byKey       map[Key]*Entry
	entries     int
	finished    *list.List // of *Entry, oldest first
	answers     *list.List // of *Entry with a stored answer, oldest first
	answerBytes int
}

// New returns an empty memory.
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

// Lookup decides on a repeat without remembering a new request. It reports
// false if none of the keys is remembered.
func (m *Memory) Lookup(w Waiter, keys []Key, fingerprint uint64, now time.Time) (Decision, bool) {
	m.expire(now)
	for _, k := range keys {
		if e, ok := m.byKey[k]; ok {
			return m.repeat(e, w, fingerprint), true
		}
	}
	return Decision{}, false
}

// Begin decides on a request and remembers it if it is new. The fingerprint
// tells different requests under one key apart.
func (m *Memory) Begin(w Waiter, keys []Key, fingerprint uint64, now time.Time) Decision {
	if d, ok := m.Lookup(w, keys, fingerprint, now); ok {
		return d
	}
	if !m.makeRoom() {
		return Decision{Verdict: RefuseNotRun, Reason: model.ReasonQueueFull}
	}
	e := &Entry{keys: keys, fingerprint: fingerprint}
	for _, k := range keys {
		m.byKey[k] = e
	}
	m.entries++
	return Decision{Verdict: Run, Entry: e}
}

func (m *Memory) repeat(e *Entry, w Waiter, fingerprint uint64) Decision {
	if e.fingerprint != fingerprint {
		return Decision{Verdict: RefuseUnknown, Reason: model.ReasonDuplicate}
	}
	if e.state != stateRunning {
		return e.decision()
	}
	if len(e.waiters) >= m.bounds.Waiters {
		return Decision{Verdict: RefuseUnknown, Reason: model.ReasonDuplicate}
	}
	e.waiters = append(e.waiters, w)
	return Decision{Verdict: Wait}
}

// decision is the answer to a repeat of a finished request.
func (e *Entry) decision() Decision {
	if e.state == stateAnswered && e.answer != nil {
		return Decision{Verdict: Replay, Answer: e.answer}
	}
	return Decision{Verdict: RefuseUnknown, Reason: model.ReasonDuplicate}
}
