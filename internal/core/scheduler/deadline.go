package scheduler

import (
	"fmt"
	"time"

	"github.com/google/btree"

	"gitlab.com/greengagewall/greengagewall/internal/domain/modeler"
)

const (
	// reviewInterval is the time between two reviews of the deadlines.
	reviewInterval = 5 * time.Second
	// maxReviewedJobs bounds the jobs of one review, earliest deadline first. Later
	// ones are reviewed as earlier ones end.
	maxReviewedJobs = 1000
	// usableFraction is the assumed fraction of the free processor time available
	// to work with deadlines. The rest is lost to fragmentation and more urgent
	// work.
	usableFraction = 0.75
	// minMargin is the minimum time before its latest start at which a job is
	// promoted, since running work has to end or be preempted first.
	minMargin = 15 * time.Minute
)

// deadlineIndex orders the jobs with a deadline, earliest first.
type deadlineIndex struct {
	jobs       *btree.BTreeG[*job]
	reviewedAt time.Time
}

func newDeadlineIndex() deadlineIndex {
	return deadlineIndex{jobs: btree.NewG(btreeDegree, func(a, b *job) bool {
		if !a.Deadline.Equal(b.Deadline) {
			return a.Deadline.Before(b.Deadline)
		}

		return a.seq < b.seq
	})}
}

// watchDeadline adds a job with a deadline to the index and warns its team if the
// deadline is already endangered.
func (s *Scheduler) watchDeadline(j *job, now time.Time) {
	if !s.settings.Deadlines || j.Deadline.IsZero() {
		return
	}
	s.deadlines.jobs.ReplaceOrInsert(j)
	if finish := now.Add(j.cautiousRuntime()); finish.After(j.Deadline) {
		s.warnDeadline(j, causeDeadline, finish)
	}
}

// unwatchDeadline removes a job from the index.
func (s *Scheduler) unwatchDeadline(j *job) {
	if !j.Deadline.IsZero() {
		s.deadlines.jobs.Delete(j)
	}
}

// reviewDeadlines promotes jobs that approach their latest start: the last time at which
// all work with earlier deadlines and the job itself can still finish in time. It
// warns the teams of jobs that are expected to miss their deadline.
func (s *Scheduler) reviewDeadlines(now time.Time) {
	if s.deadlines.jobs.Len() == 0 || now.Sub(s.deadlines.reviewedAt) < reviewInterval {
		return
	}
	s.deadlines.reviewedAt = now
	total, spare := s.ledger.Total(), s.spareFraction()
	var workAhead time.Duration
	for _, q := range s.teamQueues {
		q.deadlineWork = 0
	}
	pending := make([]*job, 0, 16)
	count := 0
	s.deadlines.jobs.Ascend(func(j *job) bool {
		count++
		if j.cancelled {
			return true
		}
		work := j.remainingWork()
		workAhead += time.Duration(float64(work) * j.Needs.DominantShare(total) / spare)
		finish := now.Add(workAhead)
		cause := causeCapacity
		if limit := j.Needs.DominantShare(j.team.Allotment); limit > 0 {
			j.teamQueue.deadlineWork += time.Duration(float64(work) * limit / usableFraction)
			if j.teamQueue.deadlineWork > workAhead {
				finish, cause = now.Add(j.teamQueue.deadlineWork), causeLimit
			}
		}
		if len(j.waiting) > 0 {
			pending = append(pending, j)
			if aloneFinish := now.Add(j.cautiousRuntime()); aloneFinish.After(finish) {
				finish, cause = aloneFinish, causeDeadline
			}
		}
		if finish.After(j.Deadline) {
			s.warnDeadline(j, cause, finish)
		}
		if margin := max(minMargin, finish.Sub(now)/3); finish.Add(margin).After(j.Deadline) {
			for _, p := range pending {
				s.promote(p)
			}
			pending = pending[:0]
		}

		return count < maxReviewedJobs
	})
}

// remainingWork returns the sum of the cautious run times that the job's tasks still
// need.
func (j *job) remainingWork() time.Duration {
	// Running tasks are assumed to be half done, which is accurate enough over the
	// tasks of a job and avoids visiting each.
	return time.Duration(len(j.waiting))*j.cautiousRuntime() + time.Duration(j.running)*j.cautiousRuntime()/2
}

// spareFraction returns the fraction of the cluster available to work with
// deadlines: what services and urgent work do not use, less a reserve.
func (s *Scheduler) spareFraction() float64 {
	return max(0.1, usableFraction*(1-s.usageBeforeDeadlines.DominantShare(s.ledger.Total())))
}

// promote moves a job to the endangered band.
func (s *Scheduler) promote(j *job) {
	if j.band <= bandEndangered {
		return
	}
	j.teamQueue.remove(j)
	j.band = bandEndangered
	s.enqueue(j)
}

// warnDeadline records once for the team of a job that its deadline is endangered.
func (s *Scheduler) warnDeadline(j *job, cause string, finish time.Time) {
	if j.endangered {
		return
	}
	j.endangered = true
	s.emit(RecordCmd{
		Team: j.Team, Queue: j.Queue, Job: j.ID, Event: modeler.EventEndangered, Cause: cause,
		Detail: fmt.Sprintf("expected to finish by %s at the latest, due %s; run times of the queue are taken as %.2f times those declared",
			finish.UTC().Format(time.RFC3339), j.Deadline.UTC().Format(time.RFC3339), j.history.cautiousFactor),
	})
}
