// Package scheduler decides which task starts where. It is a pure core: a
// message and the current time go in, commands come out; it does no I/O and
// starts no goroutine.
package scheduler

import (
	"time"

	"gitlab.com/greengagewall/greengagewall/internal/domain/modeler"
)

// Msg is an input of the scheduler.
type Msg any

// EndpointMsg adds a worker or changes what is known of it.
type EndpointMsg struct {
	ID       modeler.InstanceID
	Zone     string
	Rack     string
	Capacity modeler.Resources
	// Usable is unset while no session is held or the worker is leaving; no
	// task is started there, and the tasks it runs keep their resources.
	Usable bool
}

// EndpointGoneMsg removes a worker whose task lease has ended. Tasks on it are
// reported one by one through EndedMsg before this.
type EndpointGoneMsg struct {
	ID modeler.InstanceID
}

// TeamMsg sets the share of a team and its present part of the upper limit.
type TeamMsg struct {
	ID        modeler.TeamID
	Share     int64
	Allotment modeler.Resources
}

// JobMsg adds an accepted job, all of whose tasks are queued.
type JobMsg struct {
	Job modeler.Job
}

// AdoptMsg tells that a task of a known job runs on an endpoint although this
// scheduler did not start it.
type AdoptMsg struct {
	Task     modeler.TaskID
	Job      modeler.JobID
	Endpoint modeler.InstanceID
	Attempt  int
	Started  time.Time
}

// StartedMsg tells that the endpoint runs the task.
type StartedMsg struct {
	Task modeler.TaskID
}

// EndedMsg tells that a started task no longer runs.
type EndedMsg struct {
	Task modeler.TaskID
	// Attempt is the start that ended; zero means the present one. The end of
	// an earlier start is ignored, since endpoints repeat their reports.
	Attempt int
	// Result is what became of the task.
	Result Result
	Cause  string
	// PeakUsage is the most that the task was seen to use; zero if unknown.
	PeakUsage modeler.Resources
	// Checkpointed keeps the progress made so far.
	Checkpointed bool
}

// Result tells how a task ended.
type Result string

// The ways in which a task ends. Requeue covers refusals by the endpoint,
// lapsed leases and preemption; it queues the task again unless its attempts
// are used up or it may run only once.
const (
	ResultOK      Result = "ok"
	ResultFailed  Result = "failed"
	ResultRequeue Result = "requeue"
	// ResultRefused is a start that certainly did not happen; it does not use
	// up an attempt.
	ResultRefused Result = "refused"
	// ResultUnknown ends a task that may run only once and may have run.
	ResultUnknown Result = "unknown"
)

// CancelMsg cancels every task of a job that is not final.
type CancelMsg struct {
	Job modeler.JobID
}

// UsageMsg reports what an endpoint's tasks use; it lags.
type UsageMsg struct {
	Endpoint modeler.InstanceID
	Usage    modeler.Resources
}

// DecideMsg asks for a placement pass of at most Budget starts.
type DecideMsg struct {
	Budget int
}

// Command is an output of the scheduler.
type Command any

// StartCmd starts a task on an endpoint. The resources are taken in the
// ledger until an EndedMsg for the task. The starts of an all-at-once job come
// out of one pass together; if one fails, the runner stops the others.
type StartCmd struct {
	Task     modeler.TaskID
	Job      modeler.Job
	Endpoint modeler.InstanceID
	Attempt  int
	// Waited is the time since the task was queued.
	Waited time.Duration
	// Reason explains the choice for the team's record.
	Reason string
}

// StopCmd stops a task; with Checkpoint its progress is kept.
type StopCmd struct {
	Task       modeler.TaskID
	Endpoint   modeler.InstanceID
	Checkpoint bool
	Reason        string
}

// ThrottleCmd throttles a task.
type ThrottleCmd struct {
	Task     modeler.TaskID
	Endpoint modeler.InstanceID
	Reason      string
}

// RecordCmd leaves a record of a decision that starts or stops nothing, such as
// waiting behind a limit, a deadline in danger, or a failed job.
type RecordCmd struct {
	Team   modeler.TeamID
	Queue  modeler.QueueID
	Job    modeler.JobID
	Task   modeler.TaskID
	Event  modeler.Event
	Cause  string
	Detail string
}

// TokensCmd asks for more of a team's upper limit from other partitions.
type TokensCmd struct {
	Team   modeler.TeamID
	Wanted modeler.Resources
	// Since is when the waiting job was accepted.
	Since time.Time
}
