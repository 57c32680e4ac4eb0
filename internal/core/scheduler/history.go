package scheduler

import (
	"math"
	"time"

	"gitlab.com/greengagewall/greengagewall/internal/domain/modeler"
)

// history holds statistics of the ended tasks of a queue.
type history struct {
	// mean and variance are those of the logarithm of the ratio of actual to
	// declared run time, over runtimeSamples samples.
	mean, variance float64
	runtimeSamples int
	// expectedFactor and cautiousFactor are the factors on declared run times that
	// follow from mean and variance.
	expectedFactor, cautiousFactor float64
	// millisRatio and memoryRatio are the averages of the ratio of used to declared
	// resources, over usageSamples samples.
	millisRatio, memoryRatio float64
	usageSamples             int
	// checkpointRate is the estimated probability that a checkpoint succeeds.
	checkpointRate float64
}

// minLearningRate is the least weight of a new sample. It turns the plain average
// into an exponential moving average once there are enough samples.
const minLearningRate = 0.05

// historyOf returns the history of a queue.
func (s *Scheduler) historyOf(id modeler.QueueID) *history {
	h, known := s.histories[id]
	if !known {
		h = &history{checkpointRate: 1}
		h.updateFactors()
		s.histories[id] = h
	}

	return h
}

// learn updates the history of the queue after the end of a task.
func (s *Scheduler) learn(r taskRef, m EndedMsg, now time.Time) {
	t, h := r.task(), r.job.history
	if t.stage >= stageCheckpoint {
		success := 0.0
		if m.Checkpointed {
			success = 1
		}
		h.checkpointRate += 0.1 * (success - h.checkpointRate)
	}
	h.learnUsage(r.job.Needs, m.PeakUsage)
	if m.Result != ResultOK || r.job.Runtime <= 0 {
		return
	}
	actual := t.progress + now.Sub(t.startedAt)
	if actual <= 0 {
		return
	}
	logRatio := math.Log(float64(actual) / float64(r.job.Runtime))
	h.runtimeSamples++
	rate := max(minLearningRate, 1/float64(h.runtimeSamples))
	delta := logRatio - h.mean
	h.mean += rate * delta
	h.variance = (1 - rate) * (h.variance + rate*delta*delta)
	h.updateFactors()
}

// learnUsage adds the observed usage of a task with the given needs.
func (h *history) learnUsage(needs, used modeler.Resources) {
	if used.Millis <= 0 || used.Memory <= 0 || needs.Millis <= 0 || needs.Memory <= 0 {
		return
	}
	h.usageSamples++
	rate := max(minLearningRate, 1/float64(h.usageSamples))
	h.millisRatio += rate * (float64(used.Millis)/float64(needs.Millis) - h.millisRatio)
	h.memoryRatio += rate * (float64(used.Memory)/float64(needs.Memory) - h.memoryRatio)
}

const (
	// minUsageSamples is the number of samples required before the observed usage
	// of a queue affects charges.
	minUsageSamples = 10
	// sizeFactorSteps is the number of steps per unit to which factors are rounded
	// up, so that they rarely change and equal jobs keep equal sizes.
	sizeFactorSteps = 8
	// maxSizeFactor bounds the factor on declared sizes.
	maxSizeFactor = 4
)

// chargedSize returns the amount charged for a task: its declared needs, or more if
// tasks of the queue use more than they declare. It never charges less, because
// endpoints refuse tasks by their declared needs.
func (h *history) chargedSize(needs modeler.Resources) modeler.Resources {
	if h.usageSamples < minUsageSamples {
		return needs
	}
	scale := func(amount int64, factor float64) int64 {
		steps := math.Ceil(min(max(factor, 1), maxSizeFactor) * sizeFactorSteps)

		return int64(float64(amount) * steps / sizeFactorSteps)
	}
	needs.Millis, needs.Memory = scale(needs.Millis, h.millisRatio), scale(needs.Memory, h.memoryRatio)

	return needs
}
