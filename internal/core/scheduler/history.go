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
