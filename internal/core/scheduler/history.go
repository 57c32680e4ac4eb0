package scheduler

import (
	"math"
	"time"

	"gitlab.com/greengagewall/greengagewall/internal/domain/modeler"
)

// history is what has been learned of a queue from its ended tasks.
type history struct {
	// mean and variance describe the logarithm of the actual over the declared
	// run time.
	mean, variance float64
	samples        int
	// expected and cautious are the factors on declared run times that the mean
	// and the variance give.
	expected, cautious float64
	// millis and memory are the averages of what tasks used over what they
	// declared, from sized samples.
	millis, memory float64
	sized          int
	// kept estimates the probability that a checkpoint succeeds.
	kept float64
}

// learnRate weighs a new sample against the older ones, once there are enough
// for the plain average to be slower.
const learnRate = 0.05

// queueOf returns the history of a queue.
func (s *Scheduler) queueOf(id modeler.QueueID) *history {
	h, known := s.queues[id]
	if !known {
		h = &history{kept: 1}
		h.derive()
		s.queues[id] = h
	}

	return h
}

// learn updates the queue's history from a task that ended.
func (s *Scheduler) learn(r ref, m EndedMsg, now time.Time) {
	t, h := r.task(), r.job.queue
	if t.stage >= stageCheckpoint {
		kept := 0.0
		if m.Checkpointed {
			kept = 1
		}
		h.kept += 0.1 * (kept - h.kept)
	}
	h.measure(r.job.Needs, m.PeakUsage)
	if m.Result != ResultOK || r.job.Runtime <= 0 {
		return
	}
	actual := t.progress + now.Sub(t.started)
	if actual <= 0 {
		return
	}
	error := math.Log(float64(actual) / float64(r.job.Runtime))
	h.samples++
	rate := max(learnRate, 1/float64(h.samples))
	delta := error - h.mean
	h.mean += rate * delta
	h.variance = (1 - rate) * (h.variance + rate*delta*delta)
	h.derive()
}

// measure learns from what a task of the given needs was seen to use.
func (h *history) measure(needs, used modeler.Resources) {
	if used.Millis <= 0 || used.Memory <= 0 || needs.Millis <= 0 || needs.Memory <= 0 {
		return
	}
	h.sized++
	rate := max(learnRate, 1/float64(h.sized))
	h.millis += rate * (float64(used.Millis)/float64(needs.Millis) - h.millis)
	h.memory += rate * (float64(used.Memory)/float64(needs.Memory) - h.memory)
}

const (
	// sizedLeast is the number of tasks from which a queue's use is trusted.
	sizedLeast = 10
	// sizeSteps rounds factors up, so that they rarely change and equal jobs
	// keep equal sizes.
	sizeSteps = 8
	// mostSize bounds the factor on declared sizes.
	mostSize = 4
)

// size returns what an endpoint is charged for a task: what it declares, or
// more where tasks of the queue use more than they declare. Less is never
// charged, because endpoints refuse tasks by their declared sizes.
func (h *history) size(needs modeler.Resources) modeler.Resources {
	if h.sized < sizedLeast {
		return needs
	}
	scale := func(amount int64, factor float64) int64 {
		steps := math.Ceil(min(max(factor, 1), mostSize) * sizeSteps)

		return int64(float64(amount) * steps / sizeSteps)
	}
	needs.Millis, needs.Memory = scale(needs.Millis, h.millis), scale(needs.Memory, h.memory)

	return needs
}
