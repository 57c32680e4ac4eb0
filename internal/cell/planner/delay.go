package planner

import (
	"slices"
	"time"

	"gitlab.com/greengagewall/greengagewall/internal/cell/definer"
)

const (
	// delayWindow is how long the wait of a job counts after its first start.
	delayWindow = 3 * time.Second
	// maxDelaySamples bounds the waits that are kept for a queue.
	maxDelaySamples = 256
)

// jobDelay is the time for which a job has waited for its first start while neither its
// account's limit, a takeover nor its own patience kept it from starting.
type jobDelay struct {
	waited   time.Duration
	lookedAt definer.Instant
	blocked  bool
}

// look adds the time since the last look, unless the job was blocked then. blocked is whether it
// is blocked from now on. A job that an earlier owner accepted has waited since the first look.
func (d *jobDelay) look(j *job, blocked bool, now definer.Instant) {
	switch {
	case d.lookedAt != 0 && !d.blocked:
		d.waited += now.Sub(d.lookedAt)
	case d.lookedAt == 0 && !j.inherited && !blocked:
		d.waited = now.Sub(j.accepted)
	}
	d.lookedAt, d.blocked = now, blocked
}

// delaySample is the wait of a job, less one decision of its policy, at its first start.
type delaySample struct {
	at   definer.Instant
	wait time.Duration
}

// queueDelay holds the waits until the first start that jobs of a queue within the rate of
// their account have seen lately.
type queueDelay struct {
	service string
	// started holds the waits of the jobs that have started, the latest last.
	started []delaySample
	// waiting holds the waits so far of those that have waited for more than excessBacklog and may still be useful.
	waiting []time.Duration
}

// add records the wait of a job that starts.
func (d *queueDelay) add(sample delaySample) {
	if len(d.started) >= maxDelaySamples {
		d.started = slices.Delete(d.started, 0, len(d.started)-maxDelaySamples+1)
	}
	d.started = append(d.started, sample)
}

// typical returns the median of the waits within delayWindow and, if there are any, of the
// jobs that still wait. Jobs that have waited for a short time are left out, since it is not
// known yet how long they will.
func (d *queueDelay) typical(now definer.Instant, stillWaiting bool) time.Duration {
	var waits []time.Duration
	for _, sample := range d.started {
		if now.Sub(sample.at) < delayWindow {
			waits = append(waits, sample.wait)
		}
	}
	if stillWaiting {
		waits = append(waits, d.waiting...)
	}
	if len(waits) == 0 {
		return 0
	}
	slices.Sort(waits)

	return waits[(len(waits)-1)/2]
}

// observeDelays records how long the jobs wait whose steps are ready.
func (ps *pass) observeDelays(steps []*step) {
	p := ps.planner
	for _, q := range p.queues {
		q.delay.waiting = q.delay.waiting[:0]
	}
	for _, s := range steps {
		j := s.job
		if j.begun || j.isStarting() || s.urgency > urgencyLate || j.delay.lookedAt == ps.now {
			continue
		}
		j.delay.look(j, ps.isBlocked(s) || ps.isPatient(s), ps.now)
		d := &p.stats(j.Queue.Name).delay
		d.service = j.Queue.Service
		if wait := p.waitBeyondDecision(j); wait > excessBacklog && !j.delay.blocked {
			d.waiting = append(d.waiting, wait)
		}
	}
}

// isBlocked reports whether something else than the load of the cell keeps s from starting:
// the limit of its account, or a takeover.
func (ps *pass) isBlocked(s *step) bool {
	if s.job.inherited && !ps.takeoverSettled {
		return true
	}
	if s.def.Gang {
		return !ps.withinLimit(s)
	}
	account := ps.planner.account(s.job.Account)

	return !account.withinLimit(s.def.Need, ps.unconfirmed[account])
}

// isStarting reports whether the answer to a start is outstanding. Such a job does not wait
// for room.
func (j *job) isStarting() bool {
	return j.ordered != nil && j.ordered.phase == phaseSent && j.ordered.active()
}

// recordDelay records the wait of a job that has started for the first time, until its run
// was ordered.
func (p *Planner) recordDelay(r *run) {
	s := r.task.step
	j := s.job
	if s.urgency > urgencyLate || j.delay.lookedAt == 0 {
		return
	}
	now := max(r.sentAt, j.delay.lookedAt)
	j.delay.look(j, false, now)
	wait := max(p.waitBeyondDecision(j), 0)
	p.stats(j.Queue.Name).delay.add(delaySample{now, wait})
}

// waitBeyondDecision returns the wait of a job less one decision of its policy.
func (p *Planner) waitBeyondDecision(j *job) time.Duration {
	return j.delay.waited - p.longestDecision(&j.Queue)
}

// longestDecision returns the time of one decision about as many endpoints as a question
// may name.
func (p *Planner) longestDecision(q *definer.Queue) time.Duration {
	if q.Policy == nil {
		return 0
	}

	return q.Policy.Decide + time.Duration(min(len(p.ordered), maxAskedEndpoints))*q.Policy.Each
}
