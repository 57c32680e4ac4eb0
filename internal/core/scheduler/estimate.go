package scheduler

import (
	"math"
	"time"
)

// defaultRuntime is the assumed run time of jobs that declare none.
const defaultRuntime = 10 * time.Minute

// cautiousDeviations is the number of standard deviations above the mean of an
// estimate that is rarely exceeded.
const cautiousDeviations = 1.5

// Bounds of the factors on declared run times, so that a few outliers cannot make
// an estimate useless.
const (
	minRuntimeFactor = 0.05
	maxRuntimeFactor = 20
)

// updateFactors computes the factors on declared run times from the samples.
func (h *history) updateFactors() {
	// With too few samples, declared run times are assumed to be off by a factor
	// of up to 1.5 in either direction.
	deviation := 0.4
	if h.runtimeSamples >= 5 {
		deviation = math.Sqrt(h.variance)
	}
	h.expectedFactor = min(max(math.Exp(h.mean), minRuntimeFactor), maxRuntimeFactor)
	h.cautiousFactor = min(max(math.Exp(h.mean+cautiousDeviations*deviation), minRuntimeFactor), maxRuntimeFactor)
}

// declaredRuntime returns the declared run time of a task of j in nanoseconds, or
// the default.
func (j *job) declaredRuntime() float64 {
	if j.Runtime <= 0 {
		return float64(defaultRuntime)
	}

	return float64(j.Runtime)
}

// expectedRuntime returns the expected total run time of a task of j.
func (j *job) expectedRuntime() time.Duration {
	return time.Duration(j.declaredRuntime() * j.history.expectedFactor)
}

// cautiousRuntime returns a run time that a task of j rarely exceeds.
func (j *job) cautiousRuntime() time.Duration {
	return time.Duration(j.declaredRuntime() * j.history.cautiousFactor)
}

// remainingRuntime returns the expected remaining run time of a running task.
func (r taskRef) remainingRuntime(now time.Time) time.Duration {
	t := r.task()
	left := r.job.expectedRuntime() - t.progress - now.Sub(t.startedAt)
	if left > 0 {
		return left
	}

	// A task that has exceeded its estimate is expected to need as much time again
	// as it is late, and at least a second.
	return max(-left, time.Second)
}
