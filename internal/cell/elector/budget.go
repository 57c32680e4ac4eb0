package elector

import (
	"context"
	"slices"
	"sort"
	"sync"
	"time"

	"gitlab.com/greengagewall/greengagewall/internal/cell/definer"
)

const (
	// shortBudget and longBudget are the total decision times of outstanding
	// questions per live instance. The policy answers an instance's questions one
	// at a time, and the budget of short ones must also cover the network round trip.
	// Long questions may also use what short ones leave.
	shortBudget = 200 * time.Millisecond
	longBudget  = 500 * time.Millisecond
	// longestWaitPeriod is the number of grants of which one goes to the operation that has waited longest.
	longestWaitPeriod = 4
)

// budgetLimiter limits the total cost of concurrent operations to a budget, which one
// of them may exceed. Waiters with the lowest priority number are served first, but
// every longestWaitPeriod-th grant goes to the one that has waited longest, so that N
// older waiters delay an operation by at most longestWaitPeriod * (N + 1) grants,
// whatever their priorities.
type budgetLimiter struct {
	// budget returns the limit of the total cost.
	budget func() time.Duration
	mu     sync.Mutex
	used   time.Duration
	// queue holds the waiters in the order of their priorities, and within one, of their arrival.
	queue []*waiter
	// grants counts the grants.
	grants int
}

// waiter is an operation that waits for its share of the budget.
type waiter struct {
	priority int
	cost     time.Duration
	since    definer.Instant
	granted  chan struct{}
}

// acquire waits for a share of the budget, and reports false if ctx ends first.
func (b *budgetLimiter) acquire(ctx context.Context, priority int, cost time.Duration) bool {
	w := &waiter{priority: priority, cost: cost, since: definer.Now(), granted: make(chan struct{}, 1)}
	budget := b.budget()
	b.mu.Lock()
	at := sort.Search(len(b.queue), func(i int) bool { return b.queue[i].priority > priority })
	b.queue = append(b.queue, nil)
	copy(b.queue[at+1:], b.queue[at:])
	b.queue[at] = w
	b.grant(budget)
	b.mu.Unlock()
	select {
	case <-w.granted:
		return true
	default:
	}
	select {
	case <-w.granted:
		return true
	case <-ctx.Done():
	}
	b.mu.Lock()
	for i, other := range b.queue {
		if other == w {
			b.queue = append(b.queue[:i], b.queue[i+1:]...)
			b.mu.Unlock()

			return false
		}
	}
	b.mu.Unlock()
	// The cost was granted just as ctx ended: release it for the next waiter.
	b.release(cost)

	return false
}

// inUse returns the total cost of the operations that are under way.
func (b *budgetLimiter) inUse() time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()

	return b.used
}

// release returns the cost of an operation to the budget.
func (b *budgetLimiter) release(cost time.Duration) {
	budget := b.budget()
	b.mu.Lock()
	defer b.mu.Unlock()
	b.used -= cost
	b.grant(budget)
}

// grant admits waiters while a part of the budget is free. The last one may exceed it,
// since an expensive one would otherwise keep the others waiting beside a free part.
// The caller holds mu.
func (b *budgetLimiter) grant(budget time.Duration) {
	for len(b.queue) > 0 && b.used < budget {
		at := b.next()
		next := b.queue[at]
		b.queue = slices.Delete(b.queue, at, at+1)
		b.used += next.cost
		b.grants++
		next.granted <- struct{}{}
	}
}

// next returns the index of the waiter to serve next. The caller holds mu.
func (b *budgetLimiter) next() int {
	if (b.grants+1)%longestWaitPeriod != 0 {
		return 0
	}
	longest := 0
	for i, w := range b.queue {
		if w.since < b.queue[longest].since {
			longest = i
		}
	}

	return longest
}
