package planner

import (
	"slices"
	"time"

	"gitlab.com/greengagewall/greengagewall/internal/cell/definer"
)

// Failures keep a task away from an endpoint only for the sake of another one. Where no
// other endpoint may run it, whatever the reason, it goes back to the only one.

// maxAvoidTime is how long a task whose run failed waits for room on another endpoint.
const maxAvoidTime = time.Second

// avoidance says on which endpoint the last run of a task failed or stood still.
type avoidance struct {
	endpoint *endpoint
	// life is the endpoint's life then; a new life has not failed.
	life  int64
	since definer.Instant
	// noted means that a note says that the task waits.
	noted bool
}

// avoidEndpoint makes t prefer other endpoints to the one on which its run has failed.
func (t *task) avoidEndpoint(e *endpoint, now definer.Instant) {
	t.avoid = avoidance{endpoint: e, life: e.life, since: now}
}

// avoids reports whether the last run of t failed on e.
func (t *task) avoids(e *endpoint) bool { return t.avoid.endpoint == e && t.avoid.life == e.life }

// mustAvoid reports whether t has to wait for another endpoint than e, on which its
// last run failed: another one may run it, and t has not waited for maxAvoidTime.
func (ps *pass) mustAvoid(t *task, e *endpoint) bool {
	if ps.now.Sub(t.avoid.since) >= maxAvoidTime || !ps.hasOtherCandidate(t.step, e) {
		return false
	}
	if !t.avoid.noted {
		t.avoid.noted = true
		ps.planner.note("task avoids endpoint", t.step.job.ID, "endpoint", e.ID, "step", t.step.index, "index", t.index)
	}

	return true
}

// hasOtherCandidate reports whether a usable endpoint other than e may run tasks of s,
// regardless of its current load.
func (ps *pass) hasOtherCandidate(s *step, e *endpoint) bool {
	need := s.need()

	return slices.ContainsFunc(ps.usable, func(other *endpoint) bool {
		return other != e && need.Fits(other.Capacity) && s.eligible(other)
	})
}
