package scheduler

import (
	"strconv"
	"strings"
	"time"

	"gitlab.com/greengagewall/greengagewall/internal/core/sharer"
	"gitlab.com/greengagewall/greengagewall/internal/domain/modeler"
)

// FormatTaskID returns the id of the task with the given index, from 0, of a job.
func FormatTaskID(job modeler.JobID, index int) modeler.TaskID {
	return modeler.TaskID(string(job) + "/" + strconv.Itoa(index))
}

// ParseTaskID splits a task id into the job and the task's index.
func ParseTaskID(id modeler.TaskID) (modeler.JobID, int, bool) {
	cut := strings.LastIndexByte(string(id), '/')
	if cut < 0 {
		return "", 0, false
	}
	index, err := strconv.Atoi(string(id[cut+1:]))
	if err != nil || index < 0 {
		return "", 0, false
	}

	return modeler.JobID(id[:cut]), index, true
}

// task is the state of one task of a job.
type task struct {
	state modeler.TaskState
	// starts counts the starts, including those that were refunded.
	starts int
	// used counts the starts that count against the job's attempts.
	used int
	// at is the position of the endpoint; slot is the task's place in the
	// list of tasks there.
	at, slot int
	charged  modeler.Resources
	queued   time.Time
	started  time.Time
	// progress is the run time that checkpoints have kept.
	progress time.Duration
	// stopped is when the task was told to stop; stage counts how far the
	// order has been escalated.
	stopped time.Time
	stage   stage
	// preempted counts the preemptions of the task.
	preempted int
}

// stage is how far the preemption of a task has gone.
type stage int

const (
	stageNone stage = iota
	stageCheckpoint
	stageThrottle
	stageStop
)

// job is the state of an accepted job that is not final.
type job struct {
	modeler.Job
	// seq orders jobs by arrival.
	seq   uint64
	team  *sharer.Team
	line  *line
	queue *history
	kind  policy
	tasks []task
	// waiting lists the indexes of the queued tasks, next one first.
	waiting []int
	running int
	// size is what an endpoint is charged for a task.
	size      modeler.Resources
	live      int
	band      band
	cancelled bool
	// avoided lists the endpoints where tasks of the job failed lately.
	avoided []avoidance
	// succeeded counts the tasks that ended well.
	succeeded int
	// cause is the last one that the team was told.
	cause string
	// blocked is since when the job has been waiting for room, zero if not.
	blocked time.Time
	// endangered is set once the team was warned of the deadline.
	endangered bool
	// retry is when an all-at-once job that found no room is tried again.
	retry time.Time
	// sought is when a reservation was last looked for, and claimed when room
	// was last looked for among running tasks in vain.
	sought, claimed time.Time
	// listed is set while the job is in the scheduler's list of blocked jobs.
	listed bool
	// reserved is the reservation held for the job.
	reserved *reservation
}

// ref identifies a task.
type ref struct {
	job   *job
	index int
}

// task returns the task that r identifies.
func (r ref) task() *task { return &r.job.tasks[r.index] }

// attempts returns how often a task of the job may be started.
func (j *job) attempts() int {
	if j.Once {
		return 1
	}
	if j.Attempts > 0 {
		return j.Attempts
	}

	return defaultAttempts
}

// fixed reports whether the job's tasks are not made to wait for dated work.
func (j *job) fixed() bool { return j.band == bandUrgent || j.Kind == modeler.WorkService }

// width returns how many tasks must be placed together.
func (j *job) width() int {
	if j.Kind == modeler.WorkGang {
		return len(j.waiting)
	}

	return 1
}

// came orders the jobs of a team by arrival, services first.
func (j *job) came(o *job) bool {
	if a, b := j.Kind == modeler.WorkService, o.Kind == modeler.WorkService; a != b {
		return a
	}

	return j.seq < o.seq
}

// due orders the jobs of a team by deadline, services first.
func (j *job) due(o *job) bool {
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
