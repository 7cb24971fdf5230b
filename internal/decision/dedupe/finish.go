package dedupe

import (
	"slices"
	"time"

	"github.com/galenalever/galenalever/internal/model"
)

// Answered ends a request that was answered. A nil answer means that it was too
// large to store; repeats are then refused.
func (m *Memory) Answered(e *Entry, answer *Answer, now time.Time) []Woken {
	if answer != nil && answer.size() <= m.bounds.AnswerBytes {
		m.store(e, answer)
	}
	return m.finish(e, stateAnswered, now)
}

// Lost ends a request that may have run but whose response was lost, so that its
// outcome is unknown.
func (m *Memory) Lost(e *Entry, now time.Time) []Woken {
	return m.finish(e, stateUnknown, now)
}

// NotRun forgets a request that was not run, and refuses the waiting repeats as
// not run.
func (m *Memory) NotRun(e *Entry, reason model.Reason) []Woken {
	m.forget(e)
	return e.resolveWaiters(Decision{Verdict: RefuseNotRun, Reason: reason})
}

// StopWaiting removes a repeat that no longer waits.
func (m *Memory) StopWaiting(keys []Key, w Waiter) {
	for _, k := range keys {
		if e, ok := m.byKey[k]; ok {
			e.waiters = slices.DeleteFunc(e.waiters, func(other Waiter) bool { return other == w })
		}
	}
}

func (m *Memory) finish(e *Entry, s state, now time.Time) []Woken {
	e.state, e.finished = s, now
	e.finishedElement = m.finished.PushBack(e)
	return e.resolveWaiters(e.decision())
}

func (e *Entry) resolveWaiters(d Decision) []Woken {
	var out []Woken
	for _, w := range e.waiters {
		out = append(out, Woken{Waiter: w, Decision: d})
	}
	e.waiters = nil
	return out
}

// store keeps an answer and evicts the oldest answers beyond Bounds.AnswerBytes.
// Their requests stay remembered.
func (m *Memory) store(e *Entry, answer *Answer) {
	e.answer = answer
	e.answerElement = m.answers.PushBack(e)
	m.answerBytes += answer.size()
	for m.answerBytes > m.bounds.AnswerBytes {
		m.dropAnswer(m.answers.Front().Value.(*Entry))
	}
}

func (m *Memory) dropAnswer(e *Entry) {
	if e.answer == nil {
		return
	}
	m.answers.Remove(e.answerElement)
	m.answerBytes -= e.answer.size()
	e.answer, e.answerElement = nil, nil
}

// expire forgets the requests that finished longer ago than the window.
func (m *Memory) expire(now time.Time) {
	for front := m.finished.Front(); front != nil; front = m.finished.Front() {
		e := front.Value.(*Entry)
		if now.Sub(e.finished) < m.bounds.Window {
			return
		}
		m.forget(e)
	}
}

// ensureCapacity evicts the request that finished first if the memory is full. It
// reports false if the memory is full of running requests.
func (m *Memory) ensureCapacity() bool {
	if m.entries < m.bounds.Entries {
		return true
	}
	front := m.finished.Front()
	if front == nil {
		return false
	}
	m.forget(front.Value.(*Entry))
	return true
}

func (m *Memory) forget(e *Entry) {
	for _, k := range e.keys {
		delete(m.byKey, k)
	}
	m.entries--
	if e.finishedElement != nil {
		m.finished.Remove(e.finishedElement)
		e.finishedElement = nil
	}
	m.dropAnswer(e)
}
