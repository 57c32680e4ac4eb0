package scheduler

import (
	"time"

	"gitlab.com/greengagewall/greengagewall/internal/domain/modeler"
)

const (
	// reclaimAfter is how long a team below its share waits for lent capacity
	// to come back by itself; with a checkpoint, the escalation and a pass it
	// leaves time to spare in the 30 s of the requirement.
	reclaimAfter = 10 * time.Second
	// reclaimJobs bounds the jobs of one team that a review makes room for.
	reclaimJobs = 8
	// reclaimMost bounds the tasks that room is made for in one chore, so that
	// it stays short.
	reclaimMost = 4
	// reclaimChores is the number of chores in a round that reclaim.
	reclaimChores = 10
)

// reclaim takes lent capacity back: for teams that have been below their share
// with work waiting, it preempts batch work of teams above theirs.
func (s *Scheduler) reclaim(now time.Time) {
	if !s.settings.Reclaim {
		return
	}
	total := s.ledger.Total()
	teams := s.shares.Teams()
	s.promises = reclaimMost
	// A round of chores comes past every team once.
	for range (len(teams) + reclaimChores - 1) / reclaimChores {
		if s.promises <= 0 {
			return
		}
		s.reclaimCursor = (s.reclaimCursor + 1) % len(teams)
		team := teams[s.reclaimCursor]
		l := s.lines[team.ID]
		missing := team.FairShare.DominantShare(total) - team.Running.DominantShare(total)
		if l == nil || team.Queued.Zero() || missing <= 0 {
			if l != nil {
				l.below = time.Time{}
			}

			continue
		}
		if l.below.IsZero() {
			l.below = now
		}
		if now.Sub(l.below) >= reclaimAfter {
			s.reclaimFor(l, missing, now)
		}
	}
}

// reclaimFor makes room for the first jobs of a team, up to the missing part
// of the cluster.
func (s *Scheduler) reclaimFor(l *line, missing float64, now time.Time) {
	total := s.ledger.Total()
	for b := bandDanger; b < bands; b++ {
		s.heads = l.head(b, reclaimJobs, s.heads[:0])
		for _, j := range s.heads {
			each := j.Needs.DominantShare(total)
			copies := int(missing / max(each, 1e-9))
			if s.promises <= 0 {
				return
			}
			if copies < j.width() || j.cause == causeNeverFits {
				continue
			}
			missing -= each * float64(min(copies, len(j.waiting)))
			pending := make(map[*line]modeler.Resources)
			s.preempt(claim{
				job: j, most: copies, pending: pending, may: s.lent(j, pending), why: "preempted because its team is above its share",
			}, now)
		}
	}
}

// lent returns a function that reports whether a task runs on capacity lent to
// its team: without it, the team still has its share.
func (s *Scheduler) lent(j *job, pending map[*line]modeler.Resources) func(r ref) bool {
	total := s.ledger.Total()

	return func(r ref) bool {
		team := r.job.team
		if team == j.team || r.job.band < bandStandard {
			return false
		}
		left := team.Running.Sub(r.job.line.leaving).Sub(pending[r.job.line]).Sub(r.job.Needs)

		return left.DominantShare(total) >= team.FairShare.DominantShare(total)
	}
}
