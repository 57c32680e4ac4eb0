package scheduler

import (
	"time"

	"gitlab.com/greengagewall/greengagewall/internal/domain/modeler"
)

// endpointHealth tracks the task failures on an endpoint.
type endpointHealth struct {
	// failures counts consecutive failed tasks whose job is not the more likely
	// cause.
	failures int
	// lastFailed is the job of the last failure counted. Further failures of a job
	// without any success are not counted, since the job may be the cause.
	lastFailed modeler.JobID
	// quarantines counts the quarantines since the last success.
	quarantines      int
	quarantinedUntil time.Time
	quarantined      bool
}

const (
	// quarantineThreshold is the number of consecutive failures that put an
	// endpoint into quarantine.
	quarantineThreshold = 3
	// minQuarantine is the duration of the first quarantine. It doubles with each
	// further one, up to maxQuarantine.
	minQuarantine = 10 * time.Second
	maxQuarantine = 10 * time.Minute
	// quarantineDivisor is the inverse of the fraction of the endpoints that may
	// be quarantined at once.
	quarantineDivisor = 10
)

// avoidance is an endpoint where a job's tasks are not started for a while.
type avoidance struct {
	at    int
	until time.Time
	// failures counts the failures and refusals of the job's tasks there.
	failures int
}

const (
	// avoidFailed applies after a failed task. A worker that fails every task
	// always has room and would otherwise use up the attempts of a job.
	avoidFailed = time.Minute
	// avoidRepeated applies from the second failure on the same endpoint.
	avoidRepeated = 15 * time.Minute
	// avoidRefused applies after a refused start. It is short, since the cause of
	// a refusal is usually temporary.
	avoidRefused = 2 * time.Second
	// avoidMaxBlocked ends all avoidance of a job that has been blocked for so
	// long. A shorter time would cost attempts, since in a full cluster a worker
	// that fails every task has room.
	avoidMaxBlocked = 5 * time.Minute
	// maxAvoided bounds the avoided endpoints; a job that fails on more is likely
	// at fault itself.
	maxAvoided = 8
)

// avoids reports whether tasks of j must not start on an endpoint because of
// earlier failures. A job that has been blocked for long avoids none: the avoided
// endpoints may be the only ones that are large enough.
func (j *job) avoids(at int, now time.Time) bool {
	if !j.blockedSince.IsZero() && now.Sub(j.blockedSince) >= avoidMaxBlocked {
		return false
	}
	for _, a := range j.avoided {
		if a.at == at && now.Before(a.until) {
			return true
		}
	}

	return false
}

// avoid makes j avoid an endpoint for the given duration, or longer after repeated
// failures. At most limit endpoints are avoided; a new one replaces the oldest.
func (j *job) avoid(at int, now time.Time, duration time.Duration, limit int) {
	for i := range j.avoided {
		if a := &j.avoided[i]; a.at == at {
			if now.Before(a.until) {
				return
			}
			if duration == avoidFailed && a.failures > 0 {
				duration = avoidRepeated
			}
			a.until, a.failures = now.Add(duration), a.failures+1

			return
		}
	}
	if len(j.avoided) > 0 && len(j.avoided) >= limit {
		j.avoided = j.avoided[1:]
	}
	if limit == 0 {
		return
	}
	j.avoided = append(j.avoided, avoidance{at, now.Add(duration), 1})
}

// avoidLimit returns the maximum number of endpoints that a job avoids: at most half
// of them, so that a job that fails everywhere can still be placed.
func (s *Scheduler) avoidLimit() int { return min(maxAvoided, s.ledger.Count()/2) }

// unhealthyWait is how long a task that may run only once waits for an endpoint
// without recent failures, since it cannot be retried elsewhere.
const unhealthyWait = 10 * time.Second

// awaitsHealthy reports whether a task that may run only once must not start on an
// endpoint because recent tasks failed there.
func (s *Scheduler) awaitsHealthy(j *job, at int, now time.Time) bool {
	h := &s.health[at]

	return j.Once && (h.failures > 0 || h.quarantines > 0) && now.Sub(j.Accepted) < unhealthyWait
}

// updateHealth updates the health of an endpoint after the end of a task there, and
// puts the endpoint into quarantine after repeated failures.
func (s *Scheduler) updateHealth(j *job, at int, m EndedMsg, now time.Time) {
	h := &s.health[at]
	switch m.Result {
	case ResultOK:
		j.succeeded++
		*h = endpointHealth{quarantined: h.quarantined, quarantinedUntil: h.quarantinedUntil}

		return
	case ResultFailed:
		j.avoid(at, now, avoidFailed, s.avoidLimit())
	case ResultRefused:
		j.avoid(at, now, avoidRefused, s.avoidLimit())
	case ResultRequeue, ResultUnknown:
		return
	}
	// A job that failed on several endpoints and succeeded on none is itself the
	// likely cause.
	if j.succeeded == 0 && (len(j.avoided) > 1 || h.lastFailed == j.ID) {
		return
	}
	h.lastFailed = j.ID
	h.failures++
	if s.settings.Quarantine && !h.quarantined && (h.failures >= quarantineThreshold || h.quarantines > 0) && s.quarantined < s.ledger.Count()/quarantineDivisor {
		h.quarantinedUntil = now.Add(min(minQuarantine<<min(h.quarantines, 10), maxQuarantine))
		h.quarantines++
		h.failures, h.lastFailed = 0, ""
		s.setQuarantined(at, true)
	}
}

// setQuarantined starts or ends the quarantine of an endpoint.
func (s *Scheduler) setQuarantined(at int, quarantined bool) {
	h := &s.health[at]
	if h.quarantined == quarantined {
		return
	}
	h.quarantined = quarantined
	if quarantined {
		s.quarantined++
	} else {
		s.quarantined--
	}
	s.stats.Quarantined = s.quarantined
	s.ledger.SetQuarantined(at, quarantined)
}

// endQuarantines ends the quarantines that have expired.
func (s *Scheduler) endQuarantines(now time.Time) {
	if s.quarantined == 0 {
		return
	}
	for at := range s.health {
		if h := &s.health[at]; h.quarantined && !now.Before(h.quarantinedUntil) {
			s.setQuarantined(at, false)
		}
	}
}
