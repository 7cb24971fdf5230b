package dedupe

import (
	"slices"
	"time"

	"github.com/galenalever/galenalever/internal/model"
)

// Answered ends a request whose whole answer is known. A nil answer means that
// it was too large to store; repeats are then refused.
func (m *Memory) Answered(e *Entry, answer *Answer, now time.Time) []Woken {
	if answer != nil && answer.size() <= m.bounds.AnswerBytes {
		m.store(e, answer)
	}
	return m.finish(e, stateAnswered, now)
}

// Lost ends a request that may have run and whose answer is not known.
func (m *Memory) Lost(e *Entry, now time.Time) []Woken {
	return m.finish(e, stateUnknown, now)
}

// NotRun forgets a request that was not run. Waiting repeats are refused as not
// run too.
func (m *Memory) NotRun(e *Entry, reason model.Reason) []Woken {
	m.forget(e)
	return e.wake(Decision{Verdict: RefuseNotRun, Reason: reason})
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
	e.position = m.finished.PushBack(e)
	return e.wake(e.decision())
}

func (e *Entry) wake(d Decision) []Woken {
	var out []Woken
	for _, w := range e.waiters {
		out = append(out, Woken{Waiter: w, Decision: d})
	}
	e.waiters = nil
	return out
}

// store keeps an answer and drops the oldest ones beyond the bound. Their
// requests stay remembered.
func (m *Memory) store(e *Entry, answer *Answer) {
	e.answer = answer
	e.stored = m.answers.PushBack(e)
	m.answerBytes += answer.size()
	for m.answerBytes > m.bounds.AnswerBytes {
		m.dropAnswer(m.answers.Front().Value.(*Entry))
	}
}

func (m *Memory) dropAnswer(e *Entry) {
	if e.answer == nil {
		return
	}
	m.answers.Remove(e.stored)
	m.answerBytes -= e.answer.size()
	e.answer, e.stored = nil, nil
}

// expire forgets the requests that finished before the window.
func (m *Memory) expire(now time.Time) {
	for front := m.finished.Front(); front != nil; front = m.finished.Front() {
		e := front.Value.(*Entry)
		if now.Sub(e.finished) < m.bounds.Window {
			return
		}
		m.forget(e)
	}
}

// makeRoom forgets the oldest finished request if the memory is full. It
// reports false if all remembered requests are running.
func (m *Memory) makeRoom() bool {
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
	if e.position != nil {
		m.finished.Remove(e.position)
		e.position = nil
	}
	m.dropAnswer(e)
}
