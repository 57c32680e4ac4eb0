package planner

import (
	"slices"
	"time"

	"gitlab.com/greengagewall/greengagewall/internal/cell/definer"
)

// Failures keep work away from an endpoint only for the sake of another one: a task
// leaves the endpoint on which it failed to the others, and an endpoint in quarantine
// leaves them all of its work. Where no other endpoint may run a task, whatever the
// reason, it goes back to the only one.

const (
	// maxAvoidTime is how long a task whose run failed waits for room on another endpoint.
	maxAvoidTime = time.Second
	// maxSoleQuarantine is how long a quarantine holds back tasks that no other endpoint may run.
	maxSoleQuarantine = 2 * time.Second
)

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

// beginQuarantine keeps work away from e after failures, each time for longer. Further
// failures do not prolong the time for which tasks that no other endpoint may run wait.
func (e *endpoint) beginQuarantine(now definer.Instant) {
	if !e.inQuarantine(now) || now.Sub(e.quarantinedAt) >= maxSoleQuarantine {
		e.quarantinedAt = now
	}
	e.quarantine = min(max(e.quarantine*2, minQuarantine), maxQuarantine)
	e.quarantinedUntil = now.Add(e.quarantine)
}

// inQuarantine reports whether e gets no work that another endpoint may run.
func (e *endpoint) inQuarantine(now definer.Instant) bool { return now < e.quarantinedUntil }

// soleUsable reports whether tasks that no other endpoint may run can be started on e
// although it is in quarantine.
func (e *endpoint) soleUsable(now definer.Instant, freshness time.Duration) bool {
	return e.inQuarantine(now) && now.Sub(e.quarantinedAt) >= maxSoleQuarantine && e.reachable(now, freshness)
}

// poolFor returns the endpoints on which tasks of s may be started, those with the most
// free processors first: the usable ones and, if these can't hold the tasks even when
// they are empty, also those in quarantine.
func (ps *pass) poolFor(s *step) []*endpoint {
	if !ps.needsQuarantined(s) {
		return ps.usable
	}
	if ps.all == nil {
		ps.all = slices.Concat(ps.usable, ps.quarantined)
		sortByRoom(ps.all)
	}

	return ps.all
}

// needsQuarantined reports whether the usable endpoints won't have room for the tasks of s,
// and endpoints in quarantine might.
func (ps *pass) needsQuarantined(s *step) bool {
	return len(ps.quarantined) > 0 && !s.fitsOn(ps.usable)
}

// fitsOn reports whether the endpoints can hold one more task of s, or all of a gang, when
// they are empty. The tasks of a long-running step don't end.
func (s *step) fitsOn(endpoints []*endpoint) bool {
	count := 1
	if s.def.Gang {
		count = s.tasksLeft
	}
	for _, e := range endpoints {
		if !s.eligible(e) || s.def.LongRunning && !s.belowEndpointLimit(e) {
			continue
		}
		if count -= tasksFitting(s, e.Capacity, s.def.PerEndpoint); count <= 0 {
			return true
		}
	}

	return false
}
