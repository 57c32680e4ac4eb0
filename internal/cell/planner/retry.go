package planner

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"gitlab.com/greengagewall/greengagewall/internal/cell/definer"
)

const (
	// minRetryAfter and maxRetryAfter bound the time after which a refused job may be submitted again.
	minRetryAfter = time.Second
	maxRetryAfter = 10 * time.Second
	// classStep is the time by which callers of a queue return later than those of the next more urgent priority.
	classStep = 500 * time.Millisecond
	// retrySpread is the share of the time to try again by which callers are spread.
	retrySpread = 0.25
)

// retryAfter returns when a refused job may be submitted again, given the time until there
// is room for it. Callers of more urgent queues return first. A part that depends on the id
// of the job keeps those refused at the same time from returning at the same time.
func retryAfter(j *definer.Job, untilRoom time.Duration) time.Duration {
	const longest = maxRetryAfter * 100 / (100 + 100*retrySpread)
	// More priorities than fit between the bounds do not return later than at the end.
	later := min(time.Duration(max(j.Queue.Priority, 0)), maxRetryAfter/classStep) * classStep
	base := min(max(untilRoom, minRetryAfter)+later, longest)
	const steps = 1 << 16
	spread := retrySpread * float64(xxhash.Sum64String(j.ID)%steps) / steps

	return time.Duration(float64(base) * (1 + spread))
}

// reserveToken returns the time until the account's token bucket has a token for one more of
// the callers that were refused, each of whom is given the next one.
func (a *account) reserveToken(now definer.Instant) time.Duration {
	interval := time.Duration(float64(time.Second) / a.weight)
	first := now.Add(time.Duration((1 - a.credit) * float64(interval)))
	last := now.Add(maxRetryAfter)
	a.reservedUntil = min(max(first, a.reservedUntil.Add(interval)), last)

	return a.reservedUntil.Sub(now)
}
