package planner

import (
	"time"

	"gitlab.com/greengagewall/greengagewall/internal/cell/definer"
)

const (
	// StopRetryWindow is how long the caller repeats a stop that is not answered.
	StopRetryWindow = 7 * time.Second
	// stopReissueDelay is the time after which an unanswered stop is emitted again.
	stopReissueDelay = StopRetryWindow + 2*time.Second
	// stopResendDelay is the time after which an answered stop is emitted again if the run is still listed.
	stopResendDelay = 2 * time.Second
)

// stopRun emits a stop for a run unless one was emitted before.
func (p *Planner) stopRun(r *run) {
	if r.phase == phaseStopping || r.phase == phaseStopped {
		return
	}
	r.phase, r.stopSentAt = phaseStopping, p.now
	p.emit(StopCmd{Target: r.endpoint.target(), Order: definer.StopOrder{Task: r.name, Run: r.number}})
}

// StartAnswered processes the outcome of a start order.
func (p *Planner) StartAnswered(id string, order definer.StartOrder, verdict definer.Verdict, now definer.Instant) {
	p.now = now
	e := p.endpoints[id]
	if e == nil {
		return
	}
	r := e.runs[runKey{order.Task, order.Run}]
	if r == nil || r.phase != phaseSent && r.phase != phaseStopping {
		return
	}
	switch verdict {
	case definer.VerdictDone:
		if r.phase == phaseSent {
			r.phase, r.progressedAt, r.beganAt = phaseRunning, now, now
		}
		r.answeredAt, r.confirmed = now, true
		p.runBegun(r, now)
	case definer.VerdictUnknown:
		e.recordUnansweredStart(r, now)
		if r.phase == phaseSent {
			p.note("start not answered", r.name.Job, "endpoint", e.ID, "step", r.name.Step, "index", r.name.Index, "run", r.number)
			p.pauseStarts(e, now)
			p.stopRun(r)
			if r.task != nil && r.task.step.def.Gang {
				// The other members would wait for this one.
				p.stopGang(r.task.step)
			}
		}
	case definer.VerdictInvalidTicket:
		r.task.step.admission.expireTicket(e)
		p.startRefused(r)
	case definer.VerdictFenced, definer.VerdictRefused, definer.VerdictMisdirected:
		p.note("start refused", r.name.Job, "endpoint", e.ID, "step", r.name.Step, "index", r.name.Index, "run", r.number, "verdict", int(verdict))
		p.pauseStarts(e, now)
		p.startRefused(r)
	}
}

// pauseStarts prevents starts for startFailurePause on an endpoint that did not
// accept a start.
func (p *Planner) pauseStarts(e *endpoint, now definer.Instant) {
	e.pausedUntil = now.Add(startFailurePause)
}

// startFailurePause is how long an endpoint gets no work after it did not accept a start.
const startFailurePause = 800 * time.Millisecond

// startRefused ends a run whose start was refused.
func (p *Planner) startRefused(r *run) {
	p.presumeOver(r, overRefused)
	p.release(r)
	p.requeue(r, "")
}

// StopAnswered processes the acceptance of a stop order. The run is over once an
// inventory that was requested later does not list it.
func (p *Planner) StopAnswered(id string, order definer.StopOrder, now definer.Instant) {
	e := p.endpoints[id]
	if e == nil {
		return
	}
	r := e.runs[runKey{order.Task, order.Run}]
	if r == nil || r.phase != phaseStopping {
		return
	}
	r.phase, r.answeredAt = phaseStopped, now
	if !r.confirmed {
		p.emit(InventoryCmd{Endpoint: id})
	}
}
