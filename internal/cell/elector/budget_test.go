package elector

import (
	"context"
	"testing"
	"time"
)

const (
	// testCost is the cost of the operations of a test.
	testCost = 100 * time.Millisecond
	// leastUrgent is the priority of the least urgent queue.
	leastUrgent = 3
)

// newLimiter returns a limiter with a budget.
func newLimiter(budget time.Duration) *budgetLimiter {
	return &budgetLimiter{budget: func() time.Duration { return budget }}
}

// waiting returns the number of operations that wait.
func (b *budgetLimiter) waiting() int {
	b.mu.Lock()
	defer b.mu.Unlock()

	return len(b.queue)
}

// waitingAt returns the number of operations of a priority that wait.
func (b *budgetLimiter) waitingAt(priority int) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	count := 0
	for _, w := range b.queue {
		if w.priority == priority {
			count++
		}
	}

	return count
}

// acquisition is an operation of a test.
type acquisition struct {
	limiter  *budgetLimiter
	priority int
	cost     time.Duration
}

// run waits for the budget.
func (a *acquisition) run(ctx context.Context) { a.limiter.acquire(ctx, a.priority, a.cost) }

// wait starts an operation that has to wait.
func (b *budgetLimiter) wait(ctx context.Context, t *testing.T, priority int) {
	t.Helper()
	before := b.waiting()
	a := &acquisition{limiter: b, priority: priority, cost: testCost}
	go a.run(ctx)
	for b.waiting() == before {
		time.Sleep(time.Millisecond)
	}
}

// TestLeastUrgentIsServedBesideUrgent guards against questions of less urgent queues
// that never get a share of the budget while urgent ones keep coming.
func TestLeastUrgentIsServedBesideUrgent(t *testing.T) {
	const urgent, lessUrgent = 5, 3
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	b := newLimiter(testCost)
	b.acquire(ctx, 0, testCost)
	for range lessUrgent {
		b.wait(ctx, t, leastUrgent)
	}
	for range urgent {
		b.wait(ctx, t, 0)
	}
	for grants := 0; b.waitingAt(leastUrgent) > 0; grants++ {
		if limit := longestWaitPeriod * (urgent + lessUrgent); grants == limit {
			t.Fatalf("less urgent operations still wait after %d grants", limit)
		}
		b.release(testCost)
		b.wait(ctx, t, 0)
	}
}

// TestUrgentGoFirst guards against urgent questions that wait behind less urgent ones.
func TestUrgentGoFirst(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	b := newLimiter(testCost)
	b.acquire(ctx, 0, testCost)
	for range longestWaitPeriod {
		b.wait(ctx, t, leastUrgent)
	}
	b.wait(ctx, t, 0)
	b.release(testCost)
	if b.waitingAt(0) > 0 {
		t.Error("the urgent operation is not served first")
	}
}

// TestExpensiveDoesNotBlockFreeBudget guards against an expensive question at the head
// that keeps the others waiting while a part of the budget is free.
func TestExpensiveDoesNotBlockFreeBudget(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	b := newLimiter(2 * testCost)
	b.acquire(ctx, 0, testCost)
	if !b.acquire(ctx, 0, 2*testCost) {
		t.Fatal("an operation waits although half of the budget is free")
	}
	b.wait(ctx, t, 0)
	b.release(testCost)
	if b.waiting() == 0 {
		t.Error("an operation is served although the whole budget is in use")
	}
	b.release(2 * testCost)
	if b.waiting() > 0 {
		t.Error("an operation waits although the budget is free")
	}
}
