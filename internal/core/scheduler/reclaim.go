package scheduler

import (
	"time"

	"gitlab.com/greengagewall/greengagewall/internal/domain/modeler"
)

const (
	// reclaimAfter is how long a team below its fair share waits for tasks of other
	// teams to end by themselves. Together with a checkpoint, its escalation and a
	// pass it stays within the required 30 s.
	reclaimAfter = 10 * time.Second
	// maxReclaimJobs bounds the jobs of one team and band considered per step.
	maxReclaimJobs = 8
	// maxReclaimsPerStep bounds the tasks for which one maintenance step preempts
	// others, so that the step stays short.
	maxReclaimsPerStep = 4
	// reclaimSteps is the number of maintenance steps of a round that reclaim.
	reclaimSteps = 10
)

// reclaim preempts batch work of teams above their fair share for teams that have
// been below theirs, with work queued, for reclaimAfter.
func (s *Scheduler) reclaim(now time.Time) {
	if !s.settings.Reclaim {
		return
	}
	total := s.ledger.Total()
	teams := s.shares.Teams()
	s.preemptionBudget = maxReclaimsPerStep
	// A round of maintenance steps visits every team once.
	for range (len(teams) + reclaimSteps - 1) / reclaimSteps {
		if s.preemptionBudget <= 0 {
			return
		}
		s.reclaimCursor = (s.reclaimCursor + 1) % len(teams)
		team := teams[s.reclaimCursor]
		q := s.teamQueues[team.ID]
		missing := team.FairShare.DominantShare(total) - team.Running.DominantShare(total)
		if q == nil || team.Queued.Zero() || missing <= 0 {
			if q != nil {
				q.belowShareSince = time.Time{}
			}

			continue
		}
		if q.belowShareSince.IsZero() {
			q.belowShareSince = now
		}
		if now.Sub(q.belowShareSince) >= reclaimAfter {
			s.reclaimFor(q, missing, now)
		}
	}
}

// reclaimFor preempts for the first jobs of a team, up to the missing fraction of
// the cluster.
func (s *Scheduler) reclaimFor(q *teamQueue, missing float64, now time.Time) {
	total := s.ledger.Total()
	for b := bandEndangered; b < bands; b++ {
		s.heads = q.head(b, maxReclaimJobs, s.heads[:0])
		for _, j := range s.heads {
			perTask := j.Needs.DominantShare(total)
			copies := int(missing / max(perTask, 1e-9))
			if s.preemptionBudget <= 0 {
				return
			}
			if copies < j.groupSize() || j.lastCause == causeNeverFits {
				continue
			}
			missing -= perTask * float64(min(copies, len(j.waiting)))
			pending := make(map[*teamQueue]modeler.Resources)
			s.preempt(preemptionRequest{
				job: j, limit: copies, pending: pending, eligible: s.onLentCapacity(j, pending), reason: "preempted because its team is above its share",
			}, now)
		}
	}
}

// onLentCapacity returns a function that reports whether a task runs on capacity
// beyond its team's fair share, so that the team keeps its share without it.
func (s *Scheduler) onLentCapacity(j *job, pending map[*teamQueue]modeler.Resources) func(r taskRef) bool {
	total := s.ledger.Total()

	return func(r taskRef) bool {
		team := r.job.team
		if team == j.team || r.job.band < bandStandard {
			return false
		}
		left := team.Running.Sub(r.job.teamQueue.stopping).Sub(pending[r.job.teamQueue]).Sub(r.job.Needs)

		return left.DominantShare(total) >= team.FairShare.DominantShare(total)
	}
}
