package admitter

import "sync"

const (
	// retryFraction is the fraction of first attempts that may be retried, so
	// that retries add at most a tenth to the load of a failing partition.
	retryFraction = 0.1
	// retryBurst is how many retries can be saved up; it covers the calls in
	// flight at one owner when it dies.
	retryBurst = 50
)

// Budget limits retries to a tenth of the first attempts. It is safe for
// concurrent use.
type Budget struct {
	mu     sync.Mutex
	tokens float64
}

// NewBudget returns a budget that is saved up in full.
func NewBudget() *Budget { return &Budget{tokens: retryBurst} }

// Earn counts a first attempt.
func (b *Budget) Earn() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.tokens+retryFraction, retryBurst)
}

// Spend reports whether a retry is within the budget, and counts it.
func (b *Budget) Spend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--

	return true
}
