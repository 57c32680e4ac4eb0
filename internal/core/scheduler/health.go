package scheduler

import (
	"time"

	"gitlab.com/greengagewall/greengagewall/internal/domain/modeler"
)

// health is what is known of an endpoint's failures.
type health struct {
	// failures counts the tasks that failed in a row, each of a job that has
	// not failed elsewhere.
	failures int
	// last is the last job that failed here; several failures of one job say
	// more about the job than about the endpoint.
	last modeler.JobID
	// periods counts the quarantines without a success in between.
	periods int
	until   time.Time
	held    bool
}

const (
	// failuresToHold is how many different jobs must fail in a row.
	failuresToHold = 3
	// holdFirst is the length of the first quarantine; it doubles.
	holdFirst = 10 * time.Second
	holdMost  = 10 * time.Minute
	// heldPart is the inverse of the part of the endpoints that may be
	// quarantined at once.
	heldPart = 10
)

// judge updates the health of an endpoint from a task that ended there.
func (s *Scheduler) judge(r ref, at int, m EndedMsg, now time.Time) {
	if !s.settings.Quarantine {
		return
	}
	h := &s.health[at]
	switch m.Result {
	case ResultOK:
		*h = health{held: h.held, until: h.until}

		return
	case ResultFailed, ResultRefused:
	case ResultRequeue, ResultUnknown:
		return
	}
	if t := r.task(); t.avoid >= 0 && t.avoid != at {
		// The task failed elsewhere too, so the task is the likely cause.
		return
	}
	if h.last == r.job.ID {
		return
	}
	h.last = r.job.ID
	h.failures++
	if !h.held && (h.failures >= failuresToHold || h.periods > 0) && s.held < s.ledger.Count()/heldPart {
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
	s.ledger.Hold(at, held)
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
