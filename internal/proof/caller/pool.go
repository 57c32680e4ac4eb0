package caller

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"time"

	"gitlab.com/greengagewall/greengagewall/internal/domain/modeler"
)

// The bounds of the pause before a request is sent again.
const (
	shortestPause = 100 * time.Millisecond
	longestPause  = time.Second
)

// Pool sends requests to entry instances at random, as a load balancer does,
// and sends them again when that can help.
type Pool struct {
	client  *Client
	entries []netip.AddrPort
}

// NewPool returns a pool over entries; timeout bounds one attempt.
func NewPool(entries []netip.AddrPort, timeout time.Duration) *Pool {
	return &Pool{client: New(timeout), entries: entries}
}

// Result is what came of a request that may have been sent several times.
type Result struct {
	// Last is the answer to the last attempt, Answers are all.
	Last    Answer
	Answers []Answer
	// Latency is the time from the first attempt to the last answer.
	Latency time.Duration
	// OutcomesKnown is set when the outcome of every attempt is known.
	OutcomesKnown bool
}

// Send sends a request up to tries times. It stops at an answer, and at a
// refusal that says that trying again is no use.
func (p *Pool) Send(ctx context.Context, request Request, tries int) Result {
	result := Result{OutcomesKnown: true}
	begun := time.Now()
	first := rand.IntN(len(p.entries))
	for try := range tries {
		a := p.client.Do(ctx, p.entries[(first+try)%len(p.entries)], request)
		result.Last, result.Answers = a, append(result.Answers, a)
		if a.Outcome != modeler.OutcomeNotRun && !a.OK() {
			result.OutcomesKnown = false
		}
		refused := a.Status != 0 && a.Outcome == modeler.OutcomeNotRun && a.RetryAfter == 0
		if a.OK() || refused || a.Outcome == modeler.OutcomeRan || ctx.Err() != nil {
			break
		}
		if try+1 < tries {
			pause(ctx, min(max(a.RetryAfter, shortestPause), longestPause))
		}
	}
	result.Latency = time.Since(begun)

	return result
}

// pause waits for d or until ctx ends.
func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
