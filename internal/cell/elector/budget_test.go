package elector

import (
	"context"
	"testing"
	"time"

	"gitlab.com/greengagewall/greengagewall/internal/cell/definer"
)

const (
	// testCost is the cost of the operations of a test.
	testCost = 100 * time.Millisecond
	// leastUrgent is the priority of the least urgent queue.
	leastUrgent = 3
)

// newLimiter returns a limiter with a budget.
func newLimiter(budget time.Duration) *budgetLimiter {
	return newBudgetLimiter(func() time.Duration { return budget })
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
}

// run waits for the budget.
func (a *acquisition) run(ctx context.Context) {
	a.limiter.acquire(ctx, asker{}, a.priority, testCost)
}

// wait starts an operation that has to wait.
func (b *budgetLimiter) wait(ctx context.Context, t *testing.T, priority int) {
	t.Helper()
	before := b.waiting()
	a := &acquisition{limiter: b, priority: priority}
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
	b.acquire(ctx, asker{}, 0, testCost)
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
		b.release(&waiter{charged: testCost})
		b.wait(ctx, t, 0)
	}
}

// TestUrgentGoFirst guards against urgent questions that wait behind less urgent ones.
func TestUrgentGoFirst(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	b := newLimiter(testCost)
	b.acquire(ctx, asker{}, 0, testCost)
	for range longestWaitPeriod {
		b.wait(ctx, t, leastUrgent)
	}
	b.wait(ctx, t, 0)
	b.release(&waiter{charged: testCost})
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
	b.acquire(ctx, asker{}, 0, testCost)
	if b.acquire(ctx, asker{}, 0, 2*testCost) == nil {
		t.Fatal("an operation waits although half of the budget is free")
	}
	b.wait(ctx, t, 0)
	b.release(&waiter{charged: testCost})
	if b.waiting() == 0 {
		t.Error("an operation is served although the whole budget is in use")
	}
	b.release(&waiter{charged: 2 * testCost})
	if b.waiting() > 0 {
		t.Error("an operation waits although the budget is free")
	}
}

// TestWaitOfEarlierTryCounts guards against a question that waits in vain again and again,
// because each time it ends its next try is behind all others.
func TestWaitOfEarlierTryCounts(t *testing.T) {
	b := newLimiter(testCost)
	b.acquire(context.Background(), asker{}, 0, testCost)
	first := asker{job: "first"}
	short, cancel := context.WithTimeout(context.Background(), time.Millisecond)
	defer cancel()
	if b.acquire(short, first, leastUrgent, testCost) != nil {
		t.Fatal("granted beyond the budget")
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	b.wait(ctx, t, leastUrgent)
	granted := make(chan *waiter, 1)
	go func() { granted <- b.acquire(ctx, first, leastUrgent, testCost) }()
	for b.waiting() < 2 {
		time.Sleep(time.Millisecond)
	}
	b.release(&waiter{charged: testCost})
	select {
	case <-granted:
	case <-time.After(time.Second):
		t.Fatal("the operation that began to wait first is not served first")
	}
	if len(b.places) > 0 {
		t.Error("a place is kept after the grant")
	}
}

// TestPlacesAreForgotten guards against places that are kept for steps that have gone.
func TestPlacesAreForgotten(t *testing.T) {
	b := newLimiter(testCost)
	now := definer.Now()
	b.keepPlace(asker{job: "gone"}, now, now)
	b.keepPlace(asker{job: "last"}, now, now.Add(2*placeTime))
	if len(b.places) != 1 {
		t.Errorf("%d places are kept, want 1", len(b.places))
	}
}

// TestSilentQueueHoldsNoBudget guards against a policy that does not answer the questions
// of a queue and keeps those of other queues waiting.
func TestSilentQueueHoldsNoBudget(t *testing.T) {
	const questions = 5
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	b := newLimiter(2 * testCost)
	ask := func(queue string) *waiter {
		short, cancel := context.WithTimeout(ctx, 10*time.Millisecond)
		defer cancel()

		return b.acquire(short, asker{queue: queue}, 0, testCost)
	}
	first := ask("silent")
	b.recordOutcome(first, false)
	b.release(first)
	b.failing["silent"] = definer.Now().Add(-silentTime)
	probe := ask("silent")
	for range questions {
		if ask("silent") != nil {
			t.Fatal("a silent queue has two operations under way")
		}
	}
	for range 2 {
		if ask("other") == nil {
			t.Error("another queue waits beside a silent one")
		}
	}
	b.release(probe)
	probe = ask("silent")
	if probe == nil {
		t.Fatal("a silent queue has no operation under way")
	}
	b.recordOutcome(probe, true)
	b.release(probe)
	if b.used != 2*testCost {
		t.Errorf("%v are in use, want those of the other queue", b.used)
	}
	if ask("silent") != nil {
		t.Error("a queue that succeeded again is served beside the budget")
	}
}

// TestBusyQueueKeepsItsBudget guards against a queue that has one operation at a time
// because some of them fail while others succeed.
func TestBusyQueueKeepsItsBudget(t *testing.T) {
	b := newLimiter(3 * testCost)
	for _, succeeded := range []bool{true, false, false} {
		w := b.acquire(context.Background(), asker{queue: "busy"}, 0, testCost)
		b.recordOutcome(w, succeeded)
		b.release(w)
	}
	for n := range 3 {
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Millisecond)
		if b.acquire(ctx, asker{queue: "busy", step: n}, 0, testCost) == nil {
			t.Errorf("operation %d waits beside a free budget", n)
		}
		cancel()
	}
}

// TestRemainingBudgetCountsWaiters guards against questions that are made larger although
// others wait for their turn, and against a silent policy whose questions count.
func TestRemainingBudgetCountsWaiters(t *testing.T) {
	b := newLimiter(testCost)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	const budget = 5 * testCost
	if left := b.remaining(budget); left != budget {
		t.Errorf("unused: %v remains, want %v", left, budget)
	}
	b.acquire(ctx, asker{queue: "a"}, 0, testCost)
	b.wait(ctx, t, 0)
	if left, want := b.remaining(budget), budget-2*testCost; left != want {
		t.Errorf("one under way, one waits: %v remains, want %v", left, want)
	}
	b.failing[""] = definer.Now().Add(-silentTime)
	if left, want := b.remaining(budget), budget-testCost; left != want {
		t.Errorf("the one that waits is of a silent queue: %v remains, want %v", left, want)
	}
}

// TestFailingQueueComesAfterOthers guards against a queue whose policy does not answer and
// whose urgent questions keep those of other queues waiting.
func TestFailingQueueComesAfterOthers(t *testing.T) {
	b := newLimiter(testCost)
	first := b.acquire(context.Background(), asker{queue: "failing"}, 0, testCost)
	b.recordOutcome(first, false)
	order := make(chan string, 2)
	for _, w := range []struct {
		queue    string
		priority int
	}{{"failing", 0}, {"other", leastUrgent}} {
		before := b.waiting()
		a := &orderedAcquisition{limiter: b, queue: w.queue, priority: w.priority, order: order}
		go a.run()
		for b.waiting() == before {
			time.Sleep(time.Millisecond)
		}
	}
	b.release(first)
	if got := <-order; got != "other" {
		t.Errorf("queue %q is served first, want the other one", got)
	}
	if got := <-order; got != "failing" {
		t.Errorf("queue %q is served next, want the failing one", got)
	}
}

// orderedAcquisition is an operation that tells when it is served, and ends.
type orderedAcquisition struct {
	limiter  *budgetLimiter
	queue    string
	priority int
	order    chan string
}

func (a *orderedAcquisition) run() {
	w := a.limiter.acquire(context.Background(), asker{queue: a.queue}, a.priority, testCost)
	a.order <- a.queue
	a.limiter.release(w)
}
