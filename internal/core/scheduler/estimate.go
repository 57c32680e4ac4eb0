package scheduler

import (
	"math"
	"time"
)

// unknownRuntime stands in for the run time of jobs that declare none.
const unknownRuntime = 10 * time.Minute

// hedge is how many standard deviations above the mean an estimate lies that
// must rarely be exceeded.
const hedge = 1.5

// The factors on declared run times are bounded, so that a few odd samples
// cannot make an estimate useless.
const (
	leastFactor = 0.05
	mostFactor  = 20
)

// derive computes the factors on declared run times.
func (h *history) derive() {
	// Before anything is learned, declared run times are taken to be off by a
	// factor of up to 1.5 in either direction.
	deviation := 0.4
	if h.samples >= 5 {
		deviation = math.Sqrt(h.variance)
	}
	h.expected = min(max(math.Exp(h.mean), leastFactor), mostFactor)
	h.cautious = min(max(math.Exp(h.mean+hedge*deviation), leastFactor), mostFactor)
}

// declared returns the declared run time of a task of j, or the substitute.
func (j *job) declared() float64 {
	if j.Runtime <= 0 {
		return float64(unknownRuntime)
	}

	return float64(j.Runtime)
}

// expected returns the expected whole run time of a task of j.
func (j *job) expected() time.Duration { return time.Duration(j.declared() * j.queue.expected) }

// cautious returns a run time that a task of j rarely exceeds.
func (j *job) cautious() time.Duration { return time.Duration(j.declared() * j.queue.cautious) }

// remaining returns how long a running task is expected to go on.
func (r ref) remaining(now time.Time) time.Duration {
	t := r.task()
	left := r.job.expected() - t.progress - now.Sub(t.started)
	if left > 0 {
		return left
	}

	// A task beyond its estimate is expected to need as long again as it is
	// late, and at least a little.
	return max(-left, time.Second)
}
