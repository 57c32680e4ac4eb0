package planner

import (
	"time"

	"gitlab.com/greengagewall/greengagewall/internal/cell/definer"
)

const (
	// listLag is how old an entry of the endpoint list may be when it is read.
	listLag = 500 * time.Millisecond
	// leaveMargin is how long before an endpoint leaves its tasks are stopped, so that they save their
	// progress; the ends of those that it takes with it are only certain when their leases have run out.
	leaveMargin = 1200 * time.Millisecond
	// lingerChance is how much longer than announced an endpoint is expected to run for a task that
	// would lose all of its work.
	lingerChance = time.Second
	// hopelessFactor is how many times the time that an endpoint has left a task may
	// need for it to be left running there.
	hopelessFactor = 1.5
	// leastProgress is the progress in percent from which the rest is predicted by it.
	leastProgress = 10
)

// leave notes when a draining endpoint leaves at the earliest.
func (e *endpoint) leave(listing *definer.Listing, now definer.Instant) {
	if !listing.Draining {
		e.leavesAt = 0

		return
	}
	e.leavesAt = now.Add(listing.Remaining - listLag)
}

// evacuate stops tasks on draining endpoints that will not be done before the
// endpoint leaves.
func (p *Planner) evacuate(now definer.Instant) {
	for _, e := range p.ordered {
		if !e.Draining || len(e.runs) == 0 || !e.held {
			continue
		}
		for _, r := range e.runs {
			if r.phase == phaseRunning && r.task != nil && p.doomed(r, now) {
				p.note("task leaves draining endpoint", r.name.Job, "endpoint", e.ID, "step", r.name.Step, "index", r.name.Index,
					"run", r.number, "percent", r.percent, "endpoint leaves in", e.leavesAt.Sub(now))
				p.stop(r)
			}
		}
	}
}

// doomed reports whether a run on a draining endpoint should be stopped now.
func (p *Planner) doomed(r *run, now definer.Instant) bool {
	def := r.task.step.def
	if def.LongRunning {
		return true
	}
	stays := r.endpoint.leavesAt.Sub(now)
	left := p.predict(r, now)
	switch {
	case left < stays:
		return false
	case def.Checkpointing:
		return stays <= leaveMargin
	case stays <= leaveMargin:
		return left > leaveMargin+lingerChance
	default:
		return float64(left) > hopelessFactor*float64(stays)+float64(lingerChance)
	}
}

// predict returns how long a run still takes.
func (p *Planner) predict(r *run, now definer.Instant) time.Duration {
	took := now.Sub(r.sentAt)
	if r.percent >= leastProgress {
		return time.Duration(float64(took) * float64(wholePercent-r.percent) / float64(r.percent))
	}
	s := r.task.step
	expected := float64(s.def.Estimate) * p.stats(s.job.Queue.Name).duration / max(r.endpoint.speed, 0.1)

	return time.Duration(expected) - took
}
