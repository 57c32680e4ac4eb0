package scheduler

import (
	"fmt"
	"time"

	"github.com/google/btree"

	"gitlab.com/greengagewall/greengagewall/internal/domain/modeler"
)

const (
	// reviewEvery is the time between two reviews of all deadlines.
	reviewEvery = 5 * time.Second
	// reviewMost bounds the jobs of one review, earliest deadline first; later
	// ones are reached as earlier ones end.
	reviewMost = 1000
	// usableRate is the part of the free processor time that dated work is
	// taken to get; the rest is lost to fragments and to work more urgent.
	usableRate = 0.75
	// marginLeast is the least time before its latest start at which a job is
	// raised, since running work has to end or be preempted first.
	marginLeast = 15 * time.Minute
)

// deadlines keeps the jobs with a deadline, earliest first.
type deadlines struct {
	jobs     *btree.BTreeG[*job]
	reviewed time.Time
}

func newDeadlines() deadlines {
	return deadlines{jobs: btree.NewG(treeDegree, func(a, b *job) bool {
		if !a.Deadline.Equal(b.Deadline) {
			return a.Deadline.Before(b.Deadline)
		}

		return a.seq < b.seq
	})}
}

// watch begins to follow a job's deadline.
func (s *Scheduler) watch(j *job, now time.Time) {
	if !s.settings.Deadlines || j.Deadline.IsZero() {
		return
	}
	s.dated.jobs.ReplaceOrInsert(j)
	if finish := now.Add(j.cautious()); finish.After(j.Deadline) {
		s.endanger(j, causeDeadline, finish)
	}
}

// unwatch ends it.
func (s *Scheduler) unwatch(j *job) {
	if !j.Deadline.IsZero() {
		s.dated.jobs.Delete(j)
	}
}

// reviewDeadlines works back from the deadlines: a job must start while all
// work due before it, and its own, can still be finished in time. Jobs that
// reach this latest start are raised above other work of their class.
func (s *Scheduler) reviewDeadlines(now time.Time) {
	if s.dated.jobs.Len() == 0 || now.Sub(s.dated.reviewed) < reviewEvery {
		return
	}
	s.dated.reviewed = now
	whole, free := s.ledger.Total(), s.spareRate()
	var ahead time.Duration
	for _, l := range s.lines {
		l.dated = 0
	}
	pending := make([]*job, 0, 16)
	count := 0
	s.dated.jobs.Ascend(func(j *job) bool {
		count++
		if j.cancelled {
			return true
		}
		work := j.work()
		ahead += time.Duration(float64(work) * j.Needs.DominantShare(whole) / free)
		finish := now.Add(ahead)
		cause := causeCapacity
		if limit := j.Needs.DominantShare(j.team.Allotment); limit > 0 {
			j.line.dated += time.Duration(float64(work) * limit / usableRate)
			if j.line.dated > ahead {
				finish, cause = now.Add(j.line.dated), causeLimit
			}
		}
		if len(j.waiting) > 0 {
			pending = append(pending, j)
			if alone := now.Add(j.cautious()); alone.After(finish) {
				finish, cause = alone, causeDeadline
			}
		}
		if finish.After(j.Deadline) {
			s.endanger(j, cause, finish)
		}
		if margin := max(marginLeast, finish.Sub(now)/3); finish.Add(margin).After(j.Deadline) {
			for _, p := range pending {
				s.raise(p)
			}
			pending = pending[:0]
		}

		return count < reviewMost
	})
}

// work returns the cautious run time that the job's tasks still need, one
// after the other.
func (j *job) work() time.Duration {
	// A running task is taken to be half done, which over a job's tasks is
	// close enough and saves looking at each.
	return time.Duration(len(j.waiting))*j.cautious() + time.Duration(j.running)*j.cautious()/2
}

// spareRate returns the part of the cluster that dated work may count on:
// what services and urgent work do not use now, less a reserve.
func (s *Scheduler) spareRate() float64 {
	return max(0.1, usableRate*(1-s.fixed.DominantShare(s.ledger.Total())))
}

// raise serves a job before other work of its class.
func (s *Scheduler) raise(j *job) {
	if j.band <= bandDanger {
		return
	}
	j.line.remove(j)
	j.band = bandDanger
	s.enqueue(j)
}

// endanger warns a job's team, once, that its deadline is in danger.
func (s *Scheduler) endanger(j *job, cause string, finish time.Time) {
	if j.endangered {
		return
	}
	j.endangered = true
	s.emit(RecordCmd{
		Team: j.Team, Queue: j.Queue, Job: j.ID, Event: modeler.EventEndangered, Cause: cause,
		Detail: fmt.Sprintf("expected to finish by %s at the latest, due %s; run times of the queue are taken as %.2f times those declared",
			finish.UTC().Format(time.RFC3339), j.Deadline.UTC().Format(time.RFC3339), j.queue.cautious),
	})
}
