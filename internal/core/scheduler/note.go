package scheduler

import (
	"fmt"
	"time"

	"gitlab.com/greengagewall/greengagewall/internal/domain/modeler"
)

// The causes that notes give.
const (
	causeLimit     = "limit"
	causeShare     = "share"
	causeCapacity  = "capacity"
	causeDeadline  = "deadline"
	causeNeverFits = "never-fits"
	causeAttempts  = "attempts"
	causeBehind    = "behind"
	causeReserved  = "reserved"
)

// note tells a job's team why it waits, once for every change of the cause.
func (s *Scheduler) note(j *job, event modeler.Event, cause string) {
	if j.cause == cause {
		return
	}
	j.cause = cause
	s.emit(RecordCmd{Team: j.Team, Queue: j.Queue, Job: j.ID, Event: event, Cause: cause, Detail: s.detail(j, cause)})
}

// detail explains a cause. It says nothing about single other teams.
func (s *Scheduler) detail(j *job, cause string) string {
	switch cause {
	case causeLimit:
		return fmt.Sprintf("running %v of at most %v; one task needs %v", j.team.Running, j.team.Allotment, j.Needs)
	case causeShare:
		return fmt.Sprintf("no room, and the team has %.1f%% of the cluster where its share is %.1f%%",
			100*j.team.Running.DominantShare(s.ledger.Total()), 100*j.team.FairShare.DominantShare(s.ledger.Total()))
	case causeCapacity:
		return fmt.Sprintf("no endpoint has room for %v", j.Needs)
	case causeNeverFits:
		return fmt.Sprintf("no endpoint or limit holds %d tasks of %v", j.width(), j.Needs)
	case causeReserved:
		return "capacity is reserved for this job"
	case causeBehind:
		return fmt.Sprintf("behind %d tasks in the partition", s.stats.Queued-len(j.waiting))
	}

	return ""
}

// roomCause says why a job that fits nowhere now waits.
func (s *Scheduler) roomCause(j *job) string {
	if j.reserved != nil {
		return causeReserved
	}
	if j.cause == causeNeverFits && !s.neverFits(j) || j.cause == "" || j.cause == causeBehind {
		if s.neverFits(j) {
			return causeNeverFits
		}
	}
	if j.cause == causeNeverFits {
		return causeNeverFits
	}
	ideal := j.team.FairShare
	if !ideal.Zero() && !j.team.Running.Add(j.Needs).Fits(ideal) && j.band > bandDanger {
		return causeShare
	}

	return causeCapacity
}

// neverFits reports whether the job could not run even in an empty cluster.
func (s *Scheduler) neverFits(j *job) bool {
	if j.Kind == modeler.WorkGang {
		return s.capacityFor(j, j.Needs) < j.Tasks
	}

	return !s.fits(j)
}

// noteFresh tells the teams of new jobs that no pass has looked at what they
// wait behind.
func (s *Scheduler) noteFresh(_ time.Time) {
	for _, j := range s.fresh {
		if j.cause != "" || len(j.waiting) == 0 || j.running > 0 || j.cancelled {
			continue
		}
		cause := causeBehind
		if !j.team.Allows(j.Needs) {
			cause = causeLimit
		} else if s.isUnfit(j.size) {
			cause = s.roomCause(j)
		}
		s.note(j, modeler.EventQueued, cause)
	}
	clear(s.fresh)
	s.fresh = s.fresh[:0]
}

// noteFailed records that a task has ended for good without success.
func (s *Scheduler) noteFailed(r ref, m EndedMsg) {
	t, j := r.task(), r.job
	s.emit(RecordCmd{
		Team: j.Team, Queue: j.Queue, Job: j.ID, Task: FormatTaskID(j.ID, r.index), Event: modeler.EventFailed,
		Cause: causeAttempts, Detail: fmt.Sprintf("%d of %d attempts used, last one: %s", t.used, j.attempts(), m.Cause),
	})
}

// why explains a start to the team.
func (s *Scheduler) why(j *job) string {
	switch {
	case j.band == bandUrgent:
		return "urgent class"
	case j.band == bandDanger:
		return "deadline in danger"
	case j.Kind == modeler.WorkGang:
		return "all tasks have room"
	case !j.Deadline.IsZero():
		return "by deadline within the team's share"
	}

	return "in turn by share"
}
