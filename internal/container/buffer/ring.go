// Package buffer provides a bounded queue between goroutines.
package buffer

import (
	"context"
	"sync"
)

// Ring is a bounded first-in first-out queue that is safe for concurrent use. Its
// capacity is fixed, so that a slow consumer makes Push fail instead of increasing
// memory use.
type Ring[T any] struct {
	mu     sync.Mutex
	items  []T
	head   int
	length int
	ready  chan struct{}
	closed bool
}

// NewRing returns a ring for up to capacity items; the minimum capacity is 1.
func NewRing[T any](capacity int) *Ring[T] {
	return &Ring[T]{items: make([]T, max(capacity, 1)), ready: make(chan struct{}, 1)}
}

// Push appends item without blocking. It returns false if the ring is full or
// closed.
func (r *Ring[T]) Push(item T) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed || r.length == len(r.items) {
		return false
	}
	r.items[(r.head+r.length)%len(r.items)] = item
	r.length++
	r.signal()

	return true
}

// TryPop removes and returns the oldest item without blocking. It returns false if
// the ring is empty.
func (r *Ring[T]) TryPop() (T, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var zero T
	if r.length == 0 {
		return zero, false
	}
	item := r.items[r.head]
	r.items[r.head] = zero
	r.head = (r.head + 1) % len(r.items)
	r.length--
	if r.length > 0 || r.closed {
		r.signal()
	}

	return item, true
}

// Pop removes and returns the oldest item. It blocks while the ring is empty, and
// returns false if ctx is done or the ring is closed and empty.
func (r *Ring[T]) Pop(ctx context.Context) (T, bool) {
	for {
		if item, ok := r.TryPop(); ok {
			return item, true
		}
		if r.drained() {
			var zero T

			return zero, false
		}
		select {
		case <-ctx.Done():
			var zero T

			return zero, false
		case <-r.ready:
		}
	}
}

// Ready returns a channel that is signalled when items may be available. The
// receiver then takes them with TryPop.
func (r *Ring[T]) Ready() <-chan struct{} { return r.ready }

// Len returns the number of items in the ring.
func (r *Ring[T]) Len() int {
	r.mu.Lock()
	defer r.mu.Unlock()

	return r.length
}

// Close makes further calls of Push fail. Items in the ring can still be popped.
func (r *Ring[T]) Close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closed = true
	r.signal()
}

// drained reports whether the ring is closed and empty. If so, it also wakes the
// next blocked consumer.
func (r *Ring[T]) drained() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed && r.length == 0 {
		r.signal()

		return true
	}

	return false
}

// signal wakes one consumer. The caller holds mu.
func (r *Ring[T]) signal() {
	select {
	case r.ready <- struct{}{}:
	default:
	}
}
