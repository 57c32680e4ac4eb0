// Package buffer provides the bounded ring that joins the goroutines of a
// process.
package buffer

import (
	"context"
	"sync"
)

// Ring is a bounded first-in first-out queue, safe for concurrent use. It
// holds a fixed number of items, so that a slow consumer is seen by producers
// instead of growing memory.
type Ring[T any] struct {
	mu     sync.Mutex
	items  []T
	head   int
	length int
	ready  chan struct{}
	closed bool
}

// NewRing returns a ring that holds up to capacity items, at least one.
func NewRing[T any](capacity int) *Ring[T] {
	return &Ring[T]{items: make([]T, max(capacity, 1)), ready: make(chan struct{}, 1)}
}

// Push appends item and reports whether there was room; it never blocks.
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

// TryPop removes the oldest item without blocking.
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

// Pop removes the oldest item and blocks until there is one. It reports false
// when ctx ends, or when the ring is closed and empty.
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

// Ready is signalled when items may be available; drain with TryPop.
func (r *Ring[T]) Ready() <-chan struct{} { return r.ready }

// Len returns the number of items held.
func (r *Ring[T]) Len() int {
	r.mu.Lock()
	defer r.mu.Unlock()

	return r.length
}

// Close refuses further pushes; items already held can still be popped.
func (r *Ring[T]) Close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closed = true
	r.signal()
}

// drained reports whether the ring is closed and empty, and passes the wake-up
// on to the next blocked consumer.
func (r *Ring[T]) drained() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed && r.length == 0 {
		r.signal()

		return true
	}

	return false
}

// signal wakes one consumer; the caller holds the lock.
func (r *Ring[T]) signal() {
	select {
	case r.ready <- struct{}{}:
	default:
	}
}
