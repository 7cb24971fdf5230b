package admission

import (
	"container/heap"
	"time"
)

// queue holds waiting requests, earliest deadline first, ties by ticket.
type queue struct{ heap requestHeap }

func (q *queue) len() int       { return len(q.heap) }
func (q *queue) push(r Request) { heap.Push(&q.heap, r) }
func (q *queue) pop() Request   { return heap.Pop(&q.heap).(Request) }
func (q *queue) first() Request { return q.heap[0] }

// remove reports whether the ticket was queued.
func (q *queue) remove(t Ticket) bool {
	for i, r := range q.heap {
		if r.Ticket == t {
			heap.Remove(&q.heap, i)
			return true
		}
	}
	return false
}

// countBefore returns the number of requests that are served before one with
// the given deadline that arrives now.
func (q *queue) countBefore(deadline time.Time) int {
	n := 0
	for _, r := range q.heap {
		if !r.Deadline.After(deadline) {
			n++
		}
	}
	return n
}

type requestHeap []Request

func (h requestHeap) Len() int      { return len(h) }
func (h requestHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *requestHeap) Push(x any)   { *h = append(*h, x.(Request)) }

func (h requestHeap) Less(i, j int) bool {
	if !h[i].Deadline.Equal(h[j].Deadline) {
		return h[i].Deadline.Before(h[j].Deadline)
	}
	return h[i].Ticket < h[j].Ticket
}

func (h *requestHeap) Pop() any {
	old := *h
	r := old[len(old)-1]
	*h = old[:len(old)-1]
	return r
}

// averageWeight is the share of a new sample in the average, as 1/averageWeight.
const averageWeight = 8

// average is an exponentially weighted mean of service times.
type average struct {
	mean  time.Duration
	known bool
}

func (a *average) add(sample time.Duration) {
	if !a.known {
		a.mean, a.known = sample, true
		return
	}
	a.mean += (sample - a.mean) / averageWeight
}

// value returns 0 until there is a sample.
func (a *average) value() time.Duration { return a.mean }
