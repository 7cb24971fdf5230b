package clock

import (
	"container/heap"
	"sync"
	"time"
)

// Fake is a manually advanced clock for tests. Advance runs the timers in order
// of their due time, those due at the same time in order of creation.
type Fake struct {
	mu      sync.Mutex
	now     time.Time
	nextSeq uint64
	timers  timerHeap
}

// NewFake returns a fake clock whose time is start.
func NewFake(start time.Time) *Fake { return &Fake{now: start} }

// Now implements Clock.
func (f *Fake) Now() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.now
}

// AfterFunc implements Clock.
func (f *Fake) AfterFunc(d time.Duration, fn func()) Timer {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.nextSeq++
	t := &fakeTimer{clock: f, due: f.now.Add(max(d, 0)), seq: f.nextSeq, fn: fn}
	heap.Push(&f.timers, t)
	return t
}

// Advance moves the clock forward by d and runs every timer that falls due,
// including those that the run timers start themselves.
func (f *Fake) Advance(d time.Duration) {
	f.mu.Lock()
	end := f.now.Add(d)
	f.mu.Unlock()
	for f.runNext(end) {
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.now = end
}

// Next returns the due time of the earliest pending timer and whether there is
// one.
func (f *Fake) Next() (time.Time, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.timers) == 0 {
		return time.Time{}, false
	}
	return f.timers[0].due, true
}

// runNext runs the earliest timer that is due by end, and reports whether there was
// one.
func (f *Fake) runNext(end time.Time) bool {
	f.mu.Lock()
	if len(f.timers) == 0 || f.timers[0].due.After(end) {
		f.mu.Unlock()
		return false
	}
	t := heap.Pop(&f.timers).(*fakeTimer)
	f.now = t.due
	f.mu.Unlock()
	t.fn()
	return true
}

type fakeTimer struct {
	clock *Fake
	due   time.Time
	seq   uint64
	fn    func()
	// index is the position in the heap, or -1 once the timer has run or been stopped.
	index int
}

// Stop implements Timer.
func (t *fakeTimer) Stop() bool {
	t.clock.mu.Lock()
	defer t.clock.mu.Unlock()
	if t.index < 0 {
		return false
	}
	heap.Remove(&t.clock.timers, t.index)
	return true
}

type timerHeap []*fakeTimer

func (h timerHeap) Len() int { return len(h) }

func (h timerHeap) Less(i, j int) bool {
	if h[i].due.Equal(h[j].due) {
		return h[i].seq < h[j].seq
	}
	return h[i].due.Before(h[j].due)
}

func (h timerHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

func (h *timerHeap) Push(x any) {
	t := x.(*fakeTimer)
	t.index = len(*h)
	*h = append(*h, t)
}

func (h *timerHeap) Pop() any {
	old := *h
	t := old[len(old)-1]
	*h = old[:len(old)-1]
	t.index = -1
	return t
}
