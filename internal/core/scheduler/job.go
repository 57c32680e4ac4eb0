package scheduler

import (
	"strconv"
	"strings"
	"time"

	"gitlab.com/greengagewall/greengagewall/internal/core/sharer"
	"gitlab.com/greengagewall/greengagewall/internal/domain/modeler"
)

// FormatTaskID returns the ID of the task of a job with the given zero-based
// index.
func FormatTaskID(job modeler.JobID, index int) modeler.TaskID {
	return modeler.TaskID(string(job) + "/" + strconv.Itoa(index))
}

// ParseTaskID splits a task ID into the job ID and the task's index. It reports
// false if the ID is malformed.
func ParseTaskID(id modeler.TaskID) (modeler.JobID, int, bool) {
	slash := strings.LastIndexByte(string(id), '/')
	if slash < 0 {
		return "", 0, false
	}
	index, err := strconv.Atoi(string(id[slash+1:]))
	if err != nil || index < 0 {
		return "", 0, false
	}

	return modeler.JobID(id[:slash]), index, true
}

// task is the state of one task of a job.
type task struct {
	state modeler.TaskState
	// starts counts all starts, including those that did not count as attempts.
	starts int
	// attemptsUsed counts the starts that count as attempts.
	attemptsUsed int
	// at is the position of the endpoint, -1 if there is none; index is the
	// task's index in Scheduler.tasksAt[at].
	at, index int
	charged   modeler.Resources
	queuedAt  time.Time
	startedAt time.Time
	// progress is the run time saved by checkpoints.
	progress time.Duration
	// stopRequestedAt is the time of the request to stop the task; stage is how
	// far that request has been escalated.
	stopRequestedAt time.Time
	stage           stage
	preemptions     int
}

// stage is the escalation stage of a task's preemption.
type stage int

const (
	stageNone stage = iota
	stageCheckpoint
	stageThrottle
	stageStop
)

// job is the state of an accepted job that has unfinished tasks.
type job struct {
	modeler.Job
	// seq orders jobs by arrival.
	seq       uint64
	team      *sharer.Team
	teamQueue *teamQueue
	history   *history
	policy    policy
	tasks     []task
	// waiting lists the indexes of the queued tasks, the next to start first.
	waiting []int
	running int
	// size is the amount charged to an endpoint for each task.
	size       modeler.Resources
	unfinished int
	band       band
	cancelled  bool
	// avoided lists the endpoints where tasks of the job recently failed or were
	// refused.
	avoided []avoidance
	// succeeded counts the tasks that succeeded.
	succeeded int
	// lastCause is the cause of waiting that was last recorded for the team.
	lastCause string
	// blockedSince is the time since which the job has found no room; zero if it
	// is not blocked.
	blockedSince time.Time
	// endangered is set once the team has been warned about the deadline.
	endangered bool
	// retryAt is the earliest time at which a gang that found no room is planned
	// again.
	retryAt time.Time
	// reservationSearchedAt is the time of the last search for a reservation;
	// preemptionSearchedAt is that of the last unsuccessful search for victims or,
	// for a gang, of any.
	reservationSearchedAt, preemptionSearchedAt time.Time
	// inBlocked is set while the job is in the scheduler's list of blocked jobs.
	inBlocked bool
	// reservation is the job's reservation; nil if it has none.
	reservation *reservation
}

// taskRef identifies a task.
type taskRef struct {
	job   *job
	index int
}

// task returns the task that r identifies.
func (r taskRef) task() *task { return &r.job.tasks[r.index] }

// maxAttempts returns the maximum number of attempts of a task of the job.
func (j *job) maxAttempts() int {
	if j.Once {
		return 1
	}
	if j.Attempts > 0 {
		return j.Attempts
	}

	return defaultAttempts
}

// precedesDeadlines reports whether the job does not yield to work with a
// deadline: urgent work and services.
func (j *job) precedesDeadlines() bool { return j.band == bandUrgent || j.Kind == modeler.WorkService }

// groupSize returns the number of tasks that must be placed together.
func (j *job) groupSize() int {
	if j.Kind == modeler.WorkGang {
		return len(j.waiting)
	}

	return 1
}

// arrivedBefore reports whether j precedes o by arrival, with services first.
func (j *job) arrivedBefore(o *job) bool {
	if a, b := j.Kind == modeler.WorkService, o.Kind == modeler.WorkService; a != b {
		return a
	}

	return j.seq < o.seq
}

// dueBefore reports whether j precedes o by deadline, with services first and
// jobs without a deadline last.
func (j *job) dueBefore(o *job) bool {
	if a, b := j.Kind == modeler.WorkService, o.Kind == modeler.WorkService; a != b {
		return a
	}
	if !j.Deadline.Equal(o.Deadline) {
		if j.Deadline.IsZero() || o.Deadline.IsZero() {
			return o.Deadline.IsZero()
		}

		return j.Deadline.Before(o.Deadline)
	}

	return j.seq < o.seq
}
