package planner

import (
	"time"

	"gitlab.com/greengagewall/greengagewall/internal/cell/definer"
)

// Refusal says why a job is not admitted and after what time to try again.
type Refusal struct {
	Reason     string
	RetryAfter time.Duration
}

const (
	// excessBacklog is the estimated wait above which jobs beyond their account's rate are refused.
	excessBacklog = 300 * time.Millisecond
	// backlogMargin is the share of lateFactor times the objective that the estimated wait may take up.
	backlogMargin = 0.8
	// minRetryAfter and maxRetryAfter bound the time after which a refused job may be submitted again.
	minRetryAfter = time.Second
	maxRetryAfter = 10 * time.Second
)

// Admit decides whether a job may be accepted; nil means yes. A job beyond its
// account's rate is refused while the estimated wait exceeds excessBacklog. Every
// job is refused when the wait alone would make it too late to be useful.
func (p *Planner) Admit(j *definer.Job, now definer.Instant) *Refusal {
	a := p.account(j.Account)
	wait := p.estimatedWait(j.Queue.Priority, now)
	retryAfter := min(max(wait, minRetryAfter), maxRetryAfter)
	if a.overRate(now) && wait > excessBacklog {
		return &Refusal{Reason: "account is over its rate", RetryAfter: retryAfter}
	}
	if limit := time.Duration(backlogMargin * lateFactor * float64(objective(j))); wait > limit {
		return &Refusal{Reason: "backlog", RetryAfter: retryAfter}
	}

	return nil
}

// estimatedWait returns the time that a job of the priority is expected to wait
// for the backlog ahead of it.
func (p *Planner) estimatedWait(priority int, now definer.Instant) time.Duration {
	work, processors := p.Backlog(priority, now)
	if processors == 0 {
		return p.waitForZones(work, now)
	}

	return time.Duration(work / processors * float64(time.Second))
}

// backlogAge is how long a measured backlog is used. Work that is accepted meanwhile
// is added to it.
const backlogAge = 50 * time.Millisecond

// backlog is the waiting work of the cell.
type backlog struct {
	measuredAt definer.Instant
	// work is the estimated work of the pending tasks in core-seconds, by the priority of their queue.
	work map[int]float64
	// processors is the number of cores of all listed endpoints that are neither draining nor in an evacuated zone and
	// have ever answered.
	processors float64
}

// Backlog returns the estimated work in core-seconds of the pending tasks whose
// queue has the given priority or a more urgent one, and the cores of all
// listed endpoints that are neither draining nor in an evacuated zone and have ever answered. Jobs beyond their
// account's rate are left out.
func (p *Planner) Backlog(priority int, now definer.Instant) (work, processors float64) {
	if p.backlog.work == nil || now.Sub(p.backlog.measuredAt) >= backlogAge {
		p.measureBacklog(now)
	}
	for other, w := range p.backlog.work {
		if other <= priority {
			work += w
		}
	}

	return work, p.backlog.processors
}

func (p *Planner) measureBacklog(now definer.Instant) {
	p.backlog = backlog{measuredAt: now, work: map[int]float64{}}
	for s := range p.readySteps {
		p.backlog.add(s)
	}
	for _, e := range p.ordered {
		if e.listed && !e.Draining && !e.cordoned && !e.neverUsed() {
			p.backlog.processors += float64(e.Capacity.Millis) / millisPerCore
		}
	}
}

// add adds the pending tasks of a step.
func (b *backlog) add(s *step) {
	if s.job.excess {
		return
	}
	b.work[s.job.Queue.Priority] += float64(s.pendingCount) * float64(s.def.Need.Millis) / millisPerCore * s.def.Estimate.Seconds()
}

const millisPerCore = 1000
