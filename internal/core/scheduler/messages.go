// Package scheduler decides which task starts on which endpoint. It is a pure
// state machine: Update takes a message and the current time and returns
// commands. It performs no I/O and starts no goroutines.
package scheduler

import (
	"time"

	"gitlab.com/greengagewall/greengagewall/internal/domain/modeler"
)

// Msg is an input of the scheduler.
type Msg any

// EndpointMsg adds a worker or updates its attributes.
type EndpointMsg struct {
	ID       modeler.InstanceID
	Zone     string
	Rack     string
	Capacity modeler.Resources
	// Usable is false while there is no session with the worker or the worker is
	// leaving. No task is then started there; the tasks that it runs keep their
	// resources.
	Usable bool
}

// EndpointGoneMsg removes a worker whose task lease has expired. The end of each
// task on it is reported by an EndedMsg beforehand.
type EndpointGoneMsg struct {
	ID modeler.InstanceID
}

// TeamMsg sets the share of a team and its allotment, the part of its limit that
// this partition may use.
type TeamMsg struct {
	ID        modeler.TeamID
	Share     int64
	Allotment modeler.Resources
}

// JobMsg adds an accepted job, all of whose tasks are queued.
type JobMsg struct {
	Job modeler.Job
}

// AdoptMsg reports that a task of a known job runs on an endpoint although this
// scheduler did not start it, as after a takeover.
type AdoptMsg struct {
	Task     modeler.TaskID
	Job      modeler.JobID
	Endpoint modeler.InstanceID
	Attempt  int
	Started  time.Time
}

// StartedMsg confirms that the endpoint runs the task.
type StartedMsg struct {
	Task modeler.TaskID
}

// EndedMsg reports that a started task no longer runs.
type EndedMsg struct {
	Task modeler.TaskID
	// Attempt is the number of the start that ended; zero means the current one.
	// The end of an earlier start is ignored, since endpoints repeat their reports.
	Attempt int
	// Result is how the task ended.
	Result Result
	Cause  string
	// PeakUsage is the highest observed usage of the task; zero if unknown.
	PeakUsage modeler.Resources
	// Checkpointed is set if a checkpoint saved the progress made so far.
	Checkpointed bool
}

// Result is the way in which a task ended.
type Result string

// The results of a task. ResultRequeue covers expired leases and preemption; it
// queues the task again unless its attempts are used up or it may run only once.
const (
	ResultOK      Result = "ok"
	ResultFailed  Result = "failed"
	ResultRequeue Result = "requeue"
	// ResultRefused is a start that definitely did not happen. It does not count
	// as an attempt.
	ResultRefused Result = "refused"
	// ResultUnknown ends a task that may run only once and may have run.
	ResultUnknown Result = "unknown"
)

// CancelMsg cancels every task of a job that is not final.
type CancelMsg struct {
	Job modeler.JobID
}

// UsageMsg reports the resource usage of an endpoint's tasks. Reports lag behind
// starts and ends.
type UsageMsg struct {
	Endpoint modeler.InstanceID
	Usage    modeler.Resources
}

// DecideMsg requests a placement pass of at most Budget starts. A single gang may
// exceed the budget.
type DecideMsg struct {
	Budget int
}

// Command is an output of the scheduler.
type Command any

// StartCmd starts a task on an endpoint. Its resources stay allocated in the
// ledger until an EndedMsg for the task. One pass starts all tasks of a gang; if
// one start fails, the scheduler stops the others.
type StartCmd struct {
	Task     modeler.TaskID
	Job      modeler.Job
	Endpoint modeler.InstanceID
	Attempt  int
	// Waited is the time that the task was queued.
	Waited time.Duration
	// Reason explains the start in the team's decision record.
	Reason string
}

// StopCmd stops a task, after a checkpoint of its progress if Checkpoint is set.
type StopCmd struct {
	Task       modeler.TaskID
	Endpoint   modeler.InstanceID
	Checkpoint bool
	Reason     string
}

// ThrottleCmd throttles a task whose checkpoint takes too long.
type ThrottleCmd struct {
	Task     modeler.TaskID
	Endpoint modeler.InstanceID
	Reason   string
}

// RecordCmd records a decision that starts or stops nothing, such as waiting
// because of a limit, an endangered deadline, or a failed job.
type RecordCmd struct {
	Team   modeler.TeamID
	Queue  modeler.QueueID
	Job    modeler.JobID
	Task   modeler.TaskID
	Event  modeler.Event
	Cause  string
	Detail string
}

// TokensCmd asks other partitions to transfer part of a team's allotment to this
// one.
type TokensCmd struct {
	Team   modeler.TeamID
	Wanted modeler.Resources
	// Since is the time at which the waiting job was accepted.
	Since time.Time
}
