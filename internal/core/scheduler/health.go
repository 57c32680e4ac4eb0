package scheduler

import (
	"time"

	"gitlab.com/greengagewall/greengagewall/internal/domain/modeler"
)

// health is what is known of an endpoint's failures.
type health struct {
	// failures counts the tasks that failed in a row and for which the job is
	// not the likelier cause.
	failures int
	// last is the last job that failed here; several failures of a job without
	// a success say no more than one.
	last modeler.JobID
	// periods counts the quarantines without a success in between.
	periods int
	until   time.Time
	held    bool
}

const (
	// failuresToHold is how many failures in a row close an endpoint.
	failuresToHold = 3
	// holdFirst is the length of the first quarantine; it doubles.
	holdFirst = 10 * time.Second
	holdMost  = 10 * time.Minute
	// heldPart is the inverse of the part of the endpoints that may be
	// quarantined at once.
	heldPart = 10
)

// avoidance is an endpoint that a job keeps away from for a while.
type avoidance struct {
	at    int
	until time.Time
	// times counts the failures of the job there.
	times int
}

const (
	// avoidFailed keeps the tasks of a job away from an endpoint where one of
	// them failed, so that a worker that fails everything, and so always has
	// room, does not use up their attempts.
	avoidFailed = time.Minute
	// avoidLonger applies from the second failure on the same endpoint on.
	avoidLonger = 15 * time.Minute
	// avoidRefused is short, since a refusal tells of a state that passes.
	avoidRefused = 2 * time.Second
	// avoidUntilBlocked ends all avoidance of a job that has waited for room so
	// long. On a full cluster a worker that fails everything has room, so that a
	// short time costs attempts.
	avoidUntilBlocked = 5 * time.Minute
	// maxAvoided bounds the list; a job that fails in more places is at fault.
	maxAvoided = 8
)

// avoids reports whether tasks of j keep away from an endpoint. A job that has
// waited long for room takes any: the endpoints that it avoids may be the only
// ones that are large enough for it.
func (j *job) avoids(at int, now time.Time) bool {
	if !j.blocked.IsZero() && now.Sub(j.blocked) >= avoidUntilBlocked {
		return false
	}
	for _, a := range j.avoided {
		if a.at == at && now.Before(a.until) {
			return true
		}
	}

	return false
}

// avoid keeps the tasks of j away from an endpoint for a while, and for longer
// after repeated failures. It keeps away from most endpoints at a time.
func (j *job) avoid(at int, now time.Time, pause time.Duration, most int) {
	for i := range j.avoided {
		if a := &j.avoided[i]; a.at == at {
			if now.Before(a.until) {
				return
			}
			if pause == avoidFailed && a.times > 0 {
				pause = avoidLonger
			}
			a.until, a.times = now.Add(pause), a.times+1

			return
		}
	}
	if len(j.avoided) > 0 && len(j.avoided) >= most {
		j.avoided = j.avoided[1:]
	}
	if most == 0 {
		return
	}
	j.avoided = append(j.avoided, avoidance{at, now.Add(pause), 1})
}

// mostAvoided returns how many endpoints a job may keep away from: half of
// them, so that a job that fails everywhere is not left without any.
func (s *Scheduler) mostAvoided() int { return min(maxAvoided, s.ledger.Count()/2) }

// suspectFor is how long a task that may run only once waits for an endpoint
// without recent failures; it cannot be tried again elsewhere.
const suspectFor = 10 * time.Second

// suspects reports whether a task that may run only once keeps away from an
// endpoint because its last tasks failed.
func (s *Scheduler) suspects(j *job, at int, now time.Time) bool {
	h := &s.health[at]

	return j.Once && (h.failures > 0 || h.periods > 0) && now.Sub(j.Accepted) < suspectFor
}

// judge updates the health of an endpoint from a task that ended there.
func (s *Scheduler) judge(j *job, at int, m EndedMsg, now time.Time) {
	h := &s.health[at]
	switch m.Result {
	case ResultOK:
		j.succeeded++
		*h = health{held: h.held, until: h.until}

		return
	case ResultFailed:
		j.avoid(at, now, avoidFailed, s.mostAvoided())
	case ResultRefused:
		j.avoid(at, now, avoidRefused, s.mostAvoided())
	case ResultRequeue, ResultUnknown:
		return
	}
	// A job that failed in several places and succeeded in none is the likely
	// cause itself.
	if j.succeeded == 0 && (len(j.avoided) > 1 || h.last == j.ID) {
		return
	}
	h.last = j.ID
	h.failures++
	if s.settings.Quarantine && !h.held && (h.failures >= failuresToHold || h.periods > 0) && s.held < s.ledger.Count()/heldPart {
		h.until = now.Add(min(holdFirst<<min(h.periods, 10), holdMost))
		h.periods++
		h.failures, h.last = 0, ""
		s.setHeld(at, true)
	}
}

// setHeld opens or closes an endpoint.
func (s *Scheduler) setHeld(at int, held bool) {
	h := &s.health[at]
	if h.held == held {
		return
	}
	h.held = held
	if held {
		s.held++
	} else {
		s.held--
	}
	s.stats.Quarantined = s.held
	s.ledger.SetQuarantined(at, held)
}

// heal opens endpoints whose quarantine is over.
func (s *Scheduler) heal(now time.Time) {
	if s.held == 0 {
		return
	}
	for at := range s.health {
		if h := &s.health[at]; h.held && !now.Before(h.until) {
			s.setHeld(at, false)
		}
	}
}
