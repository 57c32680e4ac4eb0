package simulator

import (
	"container/heap"

	"gitlab.com/greengagewall/greengagewall/internal/cell/definer"
)

// event is a call at a time. Events of the same time happen in the order in which they
// were added.
type event struct {
	at     definer.Instant
	number int
	call   func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }

func (h eventHeap) Less(a, b int) bool {
	return h[a].at < h[b].at || h[a].at == h[b].at && h[a].number < h[b].number
}

func (h eventHeap) Swap(a, b int) { h[a], h[b] = h[b], h[a] }

// Push implements heap.Interface.
func (h *eventHeap) Push(x any) {
	if e, ok := x.(event); ok {
		*h = append(*h, e)
	}
}

// Pop implements heap.Interface.
func (h *eventHeap) Pop() any {
	last := len(*h) - 1
	e := (*h)[last]
	*h = (*h)[:last]

	return e
}

// eventQueue holds the events to come.
type eventQueue struct {
	heap  eventHeap
	added int
}

func (q *eventQueue) add(at definer.Instant, call func()) {
	q.added++
	heap.Push(&q.heap, event{at: at, number: q.added, call: call})
}

// run plays all events up to the end.
func (q *eventQueue) run(c *cell, end definer.Instant) {
	for len(q.heap) > 0 && q.heap[0].at <= end {
		if next, ok := heap.Pop(&q.heap).(event); ok {
			c.now = next.at
			next.call()
		}
	}
}
