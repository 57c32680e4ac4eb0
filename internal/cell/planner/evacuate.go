package planner

import (
	"time"

	"gitlab.com/greengagewall/greengagewall/internal/cell/definer"
)

const (
	// listingLag is the maximum age of an entry of the endpoint list when it is read.
	listingLag = 500 * time.Millisecond
	// departureMargin is how long before the departure of an endpoint its tasks are
	// stopped, so that they save their progress. Tasks that are lost with the endpoint
	// can be started again only after their leases have expired.
	departureMargin = 1200 * time.Millisecond
	// expectedOverstay is how much longer than announced an endpoint is expected to
	// run, for the decision about a task that would lose all of its work.
	expectedOverstay = time.Second
	// abandonFactor is the multiple of the time until departure that a task without
	// checkpoints may still need and be left running.
	abandonFactor = 1.5
	// minProgressPercent is the least progress from which the remaining time is extrapolated.
	minProgressPercent = 10
)

// updateDeparture sets departsAt from a listing: for a draining endpoint, the
// earliest time at which it goes away.
func (e *endpoint) updateDeparture(listing *definer.Listing, now definer.Instant) {
	if !listing.Draining {
		e.departsAt = 0

		return
	}
	e.departsAt = now.Add(listing.Remaining - listingLag)
}

// evacuate stops the runs on draining endpoints that mustEvacuate selects.
func (p *Planner) evacuate(now definer.Instant) {
	for _, e := range p.ordered {
		if !e.Draining || len(e.runs) == 0 || !e.acceptedTerm {
			continue
		}
		for _, r := range e.runs {
			if r.phase == phaseRunning && r.task != nil && p.mustEvacuate(r, now) {
				p.note("task leaves draining endpoint", r.name.Job, "endpoint", e.ID, "step", r.name.Step, "index", r.name.Index,
					"run", r.number, "percent", r.percent, "endpoint leaves in", e.departsAt.Sub(now))
				p.stopRun(r)
			}
		}
	}
}

// mustEvacuate reports whether a run on a draining endpoint has to be stopped
// now. Long-running tasks stop at once. Runs that are expected to be done before
// the departure continue. Checkpointing tasks run on until departureMargin before
// it. Others, which would lose all of their work, stop only if they are unlikely
// to be done even with some overstay.
func (p *Planner) mustEvacuate(r *run, now definer.Instant) bool {
	def := r.task.step.def
	if def.LongRunning {
		return true
	}
	untilDeparture := r.endpoint.departsAt.Sub(now)
	remaining := p.remainingTime(r, now)
	switch {
	case remaining < untilDeparture:
		return false
	case def.Checkpointing:
		return untilDeparture <= departureMargin
	case untilDeparture <= departureMargin:
		return remaining > departureMargin+expectedOverstay
	default:
		return float64(remaining) > abandonFactor*float64(untilDeparture)+float64(expectedOverstay)
	}
}
