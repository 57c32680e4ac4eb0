package admitter

import "sync"

const (
	// retryRatio is the ratio of retries to first attempts, so that retries add at
	// most a tenth to the load of a failing partition.
	retryRatio = 0.1
	// retryBurst is the capacity of the token bucket. It covers the calls in flight
	// at one owner when the owner fails.
	retryBurst = 50
)

// Budget limits retries to a tenth of the first attempts by a token bucket. It is
// safe for concurrent use.
type Budget struct {
	mu     sync.Mutex
	tokens float64
}

// NewBudget returns a budget with a full token bucket.
func NewBudget() *Budget { return &Budget{tokens: retryBurst} }

// Earn adds tokens for a first attempt.
func (b *Budget) Earn() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.tokens+retryRatio, retryBurst)
}

// Spend takes a token for a retry. It reports false if there is none.
func (b *Budget) Spend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--

	return true
}
