package elector

import (
	"context"
	"maps"
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
	// silentTime is the time without a success after a failure from which a queue counts as silent. The questions of
	// a busy policy fail now and then, because they wait for one another.
	silentTime = 3 * time.Second
	// placeTime is how long the place of a waiter that gave up is kept for its next try.
	placeTime = 30 * time.Second
)

// asker identifies the step that asks, and the queue of its job.
type asker struct {
	queue, job       string
	occurrence, step int
}

// place tells since when an asker has waited that gave up at a time.
type place struct{ since, left definer.Instant }

// budgetLimiter limits the total cost of concurrent operations to a budget, which one
// of them may exceed. Waiters with the lowest priority number are served first, but
// every longestWaitPeriod-th grant goes to the one that has waited longest, so that N
// older waiters delay an operation by at most longestWaitPeriod * (N + 1) grants,
// whatever their priorities. The other grants go to queues of jobs of which none has
// failed since the last success, if any of them wait.
//
// A queue of jobs none of whose operations has succeeded for silentTime has one under way
// at a time, beside the budget, until one succeeds: a policy that does not answer neither
// holds the budget nor gets more than one question.
type budgetLimiter struct {
	// budget returns the limit of the total cost.
	budget func() time.Duration
	mu     sync.Mutex
	used   time.Duration
	// queue holds the waiters in the order of their priorities, and within one, of their arrival.
	queue []*waiter
	// grants counts the grants.
	grants int
	// places holds the askers that gave up and have not been served since, and placesChecked is when those that
	// did not try again were last removed.
	places        map[asker]place
	placesChecked definer.Instant
	// out counts the operations under way per queue of jobs, and failing holds when an operation of a queue first
	// failed after the last success.
	out     map[string]int
	failing map[string]definer.Instant
}

// waiter is an operation that waits for its share of the budget.
type waiter struct {
	asker    asker
	priority int
	// cost is the part of the budget that the operation needs, and charged the part that it got.
	cost, charged time.Duration
	since         definer.Instant
	granted       chan struct{}
}

func newBudgetLimiter(budget func() time.Duration) *budgetLimiter {
	return &budgetLimiter{budget: budget, places: map[asker]place{}, out: map[string]int{}, failing: map[string]definer.Instant{}}
}

// acquire waits for a share of the budget, and returns nil if ctx ends first. The wait
// of earlier tries of the same asker counts.
func (b *budgetLimiter) acquire(ctx context.Context, from asker, priority int, cost time.Duration) *waiter {
	w := &waiter{asker: from, priority: priority, cost: cost, since: definer.Now(), granted: make(chan struct{}, 1)}
	budget := b.budget()
	b.mu.Lock()
	if kept, ok := b.places[from]; ok {
		w.since = kept.since
	}
	b.queue = slices.Insert(b.queue, sort.Search(len(b.queue), func(i int) bool { return w.before(b.queue[i]) }), w)
	b.grant(budget)
	b.mu.Unlock()
	select {
	case <-w.granted:
		return w
	case <-ctx.Done():
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	i := slices.Index(b.queue, w)
	if i < 0 {
		// Granted just as ctx ended.
		return w
	}
	b.queue = slices.Delete(b.queue, i, i+1)
	b.keepPlace(from, w.since, definer.Now())

	return nil
}

// before reports whether w comes before o in the order of the queue.
func (w *waiter) before(o *waiter) bool {
	return w.priority < o.priority || w.priority == o.priority && w.since < o.since
}

// keepPlace records that an asker gave up now, and removes the places of those that did
// so placeTime ago and have not tried again. The caller holds mu.
func (b *budgetLimiter) keepPlace(from asker, since, now definer.Instant) {
	b.places[from] = place{since: since, left: now}
	if now.Sub(b.placesChecked) < placeTime {
		return
	}
	b.placesChecked = now
	maps.DeleteFunc(b.places, func(_ asker, p place) bool { return now.Sub(p.left) >= placeTime })
}

// inUse returns the total cost of the operations that are under way.
func (b *budgetLimiter) inUse() time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()

	return b.used
}

// remaining returns what is left of a budget beside the operations that are under way and
// those that wait. It is negative if these exceed it.
func (b *budgetLimiter) remaining(budget time.Duration) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	free := budget - b.used
	for _, w := range b.queue {
		if !b.isSilent(w.asker.queue) {
			free -= w.cost
		}
	}

	return free
}

// recordOutcome records whether an operation succeeded.
func (b *budgetLimiter) recordOutcome(w *waiter, succeeded bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if succeeded {
		delete(b.failing, w.asker.queue)
	} else if _, failing := b.failing[w.asker.queue]; !failing {
		b.failing[w.asker.queue] = definer.Now()
	}
}

// isFailing reports whether an operation of a queue has failed since the last success.
// The caller holds mu.
func (b *budgetLimiter) isFailing(queue string) bool {
	_, failing := b.failing[queue]

	return failing
}

// isSilent reports whether a queue counts as one whose policy does not answer. The
// caller holds mu.
func (b *budgetLimiter) isSilent(queue string) bool {
	since, failing := b.failing[queue]

	return failing && definer.Since(since) >= silentTime
}

// release returns the cost of an operation to the budget.
func (b *budgetLimiter) release(w *waiter) {
	budget := b.budget()
	b.mu.Lock()
	defer b.mu.Unlock()
	b.used -= w.charged
	if b.out[w.asker.queue]--; b.out[w.asker.queue] <= 0 {
		delete(b.out, w.asker.queue)
	}
	b.grant(budget)
}

// grant admits waiters while a part of the budget is free. The last one may exceed it,
// since an expensive one would otherwise keep the others waiting beside a free part.
// The caller holds mu.
func (b *budgetLimiter) grant(budget time.Duration) {
	for at := b.next(budget); at >= 0; at = b.next(budget) {
		next := b.queue[at]
		b.queue = slices.Delete(b.queue, at, at+1)
		if !b.isSilent(next.asker.queue) {
			next.charged = next.cost
		}
		b.used += next.charged
		b.out[next.asker.queue]++
		b.grants++
		delete(b.places, next.asker)
		next.granted <- struct{}{}
	}
}

// next returns the index of the waiter to serve next, or -1. The caller holds mu.
func (b *budgetLimiter) next(budget time.Duration) int {
	if b.used >= budget && len(b.failing) == 0 {
		return -1
	}
	byWait := (b.grants+1)%longestWaitPeriod == 0
	best := -1
	for i, w := range b.queue {
		switch {
		case !b.admits(w, budget):
		case byWait:
			if best < 0 || w.since < b.queue[best].since {
				best = i
			}
		case !b.isFailing(w.asker.queue):
			return i
		case best < 0:
			best = i
		}
	}

	return best
}

// admits reports whether an operation may begin now. The caller holds mu.
func (b *budgetLimiter) admits(w *waiter, budget time.Duration) bool {
	if b.isSilent(w.asker.queue) {
		return b.out[w.asker.queue] == 0
	}

	return b.used < budget
}
