package caller

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"time"

	"gitlab.com/greengagewall/greengagewall/internal/domain/modeler"
)

// Bounds of the delay before a retry.
const (
	minRetryDelay = 100 * time.Millisecond
	maxRetryDelay = time.Second
)

// Pool sends each request to a random entry instance, as a load balancer does, and
// retries at the next ones if the request may succeed later.
type Pool struct {
	client  *Client
	entries []netip.AddrPort
}

// NewPool returns a pool over entries; timeout bounds one attempt.
func NewPool(entries []netip.AddrPort, timeout time.Duration) *Pool {
	return &Pool{client: New(timeout), entries: entries}
}

// Result is the result of a request and its retries.
type Result struct {
	// Last is the answer to the last attempt, Answers holds those to all attempts.
	Last    Answer
	Answers []Answer
	// Latency is the time from the first attempt to the last answer.
	Latency time.Duration
	// OutcomesKnown is set when the outcome of every attempt is known.
	OutcomesKnown bool
}

// Send sends a request at most attempts times, first to a random entry instance
// and then to the next one each time.
// It stops when the request is accepted or reported as ran, when it is refused
// without a time after which to retry, and when ctx ends.
func (p *Pool) Send(ctx context.Context, request Request, attempts int) Result {
	result := Result{OutcomesKnown: true}
	started := time.Now()
	first := rand.IntN(len(p.entries))
	for attempt := range attempts {
		a := p.client.Do(ctx, p.entries[(first+attempt)%len(p.entries)], request)
		result.Last, result.Answers = a, append(result.Answers, a)
		if a.Outcome != modeler.OutcomeNotRun && !a.OK() {
			result.OutcomesKnown = false
		}
		refused := a.Status != 0 && a.Outcome == modeler.OutcomeNotRun && a.RetryAfter == 0
		if a.OK() || refused || a.Outcome == modeler.OutcomeRan || ctx.Err() != nil {
			break
		}
		if attempt+1 < attempts {
			sleep(ctx, min(max(a.RetryAfter, minRetryDelay), maxRetryDelay))
		}
	}
	result.Latency = time.Since(started)

	return result
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
