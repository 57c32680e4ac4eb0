package scheduler

import (
	"fmt"
	"time"

	"gitlab.com/greengagewall/greengagewall/internal/domain/modeler"
)

// The causes in decision records.
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

// recordCause records for the team why a job waits, once per change of cause.
func (s *Scheduler) recordCause(j *job, event modeler.Event, cause string) {
	if j.lastCause == cause {
		return
	}
	j.lastCause = cause
	s.emit(RecordCmd{Team: j.Team, Queue: j.Queue, Job: j.ID, Event: event, Cause: cause, Detail: s.causeDetail(j, cause)})
}

// causeDetail describes a cause. It discloses nothing about other individual
// teams.
func (s *Scheduler) causeDetail(j *job, cause string) string {
	switch cause {
	case causeLimit:
		return fmt.Sprintf("running %v of at most %v; one task needs %v", j.team.Running, j.team.Allotment, j.Needs)
	case causeShare:
		return fmt.Sprintf("no room, and the team has %.1f%% of the cluster where its share is %.1f%%",
			100*j.team.Running.DominantShare(s.ledger.Total()), 100*j.team.FairShare.DominantShare(s.ledger.Total()))
	case causeCapacity:
		return fmt.Sprintf("no endpoint has room for %v", j.Needs)
	case causeNeverFits:
		return fmt.Sprintf("no endpoint or limit holds %d tasks of %v", j.groupSize(), j.Needs)
	case causeReserved:
		return "capacity is reserved for this job"
	case causeBehind:
		return fmt.Sprintf("behind %d tasks in the partition", s.stats.Queued-len(j.waiting))
	}

	return ""
}

// noRoomCause returns the cause of waiting of a job for which no endpoint has
// room.
func (s *Scheduler) noRoomCause(j *job) string {
	if j.reservation != nil {
		return causeReserved
	}
	if j.lastCause == causeNeverFits && !s.neverFits(j) || j.lastCause == "" || j.lastCause == causeBehind {
		if s.neverFits(j) {
			return causeNeverFits
		}
	}
	if j.lastCause == causeNeverFits {
		return causeNeverFits
	}
	fairShare := j.team.FairShare
	if !fairShare.Zero() && !j.team.Running.Add(j.Needs).Fits(fairShare) && j.band > bandEndangered {
		return causeShare
	}

	return causeCapacity
}

// neverFits reports whether the job could not run even in an empty cluster.
func (s *Scheduler) neverFits(j *job) bool {
	if j.Kind == modeler.WorkGang {
		return s.capacityFor(j, j.Needs) < j.Tasks
	}

	return !s.fitsEmptyEndpoint(j)
}

// recordNewJobs records why new jobs wait that the pass did not reach.
func (s *Scheduler) recordNewJobs(_ time.Time) {
	for _, j := range s.newJobs {
		if j.lastCause != "" || len(j.waiting) == 0 || j.running > 0 || j.cancelled {
			continue
		}
		cause := causeBehind
		if !j.team.Allows(j.Needs) {
			cause = causeLimit
		} else if s.knownUnplaceable(j.size) {
			cause = s.noRoomCause(j)
		}
		s.recordCause(j, modeler.EventQueued, cause)
	}
	clear(s.newJobs)
	s.newJobs = s.newJobs[:0]
}

// recordFailure records that a task has failed and has no attempts left.
func (s *Scheduler) recordFailure(r taskRef, m EndedMsg) {
	t, j := r.task(), r.job
	s.emit(RecordCmd{
		Team: j.Team, Queue: j.Queue, Job: j.ID, Task: FormatTaskID(j.ID, r.index), Event: modeler.EventFailed,
		Cause: causeAttempts, Detail: fmt.Sprintf("%d of %d attempts used, last one: %s", t.attemptsUsed, j.maxAttempts(), m.Cause),
	})
}

// startReason returns the explanation of a start for the team's record.
func (s *Scheduler) startReason(j *job) string {
	switch {
	case j.band == bandUrgent:
		return "urgent class"
	case j.band == bandEndangered:
		return "deadline in danger"
	case j.Kind == modeler.WorkGang:
		return "all tasks have room"
	case !j.Deadline.IsZero():
		return "by deadline within the team's share"
	}

	return "in turn by share"
}
