package modeler

import "time"

// WorkKind is a kind of work. Each kind has its own placement policy.
type WorkKind string

// The kinds of work.
const (
	WorkService WorkKind = "service"
	WorkBatch   WorkKind = "batch"
	WorkGang    WorkKind = "all-at-once"
)

// Class is the urgency of work.
type Class string

// The classes of work, most urgent first.
const (
	ClassUrgent   Class = "urgent"
	ClassStandard Class = "standard"
	ClassDeferred Class = "deferred"
)

// Job is an accepted job.
type Job struct {
	ID      JobID    `json:"id" msgpack:"i"`
	Team    TeamID   `json:"team" msgpack:"t"`
	Queue   QueueID  `json:"queue" msgpack:"q"`
	Request string   `json:"request,omitempty" msgpack:"r,omitempty"`
	Kind    WorkKind `json:"kind" msgpack:"k"`
	Class   Class    `json:"class" msgpack:"c"`
	// Tasks is the number of equal tasks.
	Tasks int `json:"tasks" msgpack:"n"`
	// Needs is the declared resource usage of one task.
	Needs Resources `json:"needs" msgpack:"d"`
	// Runtime is the declared run time of one task. It may be inaccurate.
	Runtime time.Duration `json:"runtime,omitempty" msgpack:"u,omitempty"`
	// Deadline is the time by which the job must finish; zero means none.
	Deadline time.Time `json:"deadline,omitzero" msgpack:"l,omitempty"`
	// Once forbids a second execution of any task.
	Once bool `json:"once,omitempty" msgpack:"o,omitempty"`
	// Attempts bounds how often a task may be started.
	Attempts int `json:"attempts,omitempty" msgpack:"x,omitempty"`
	// SameRack requires all tasks to run in one rack.
	SameRack bool `json:"rack,omitempty" msgpack:"w,omitempty"`
	// Command is opaque to the scheduler and passed to the worker.
	Command  []string  `json:"command,omitempty" msgpack:"m,omitempty"`
	Accepted time.Time `json:"accepted" msgpack:"a"`
}

// TaskState is the state of a task.
type TaskState string

// The states of a task.
const (
	TaskQueued    TaskState = "queued"
	TaskStarting  TaskState = "starting"
	TaskRunning   TaskState = "running"
	TaskFinished  TaskState = "finished"
	TaskFailed    TaskState = "failed"
	TaskCancelled TaskState = "cancelled"
	// TaskUnknown is the state of a task that may or may not have run.
	TaskUnknown TaskState = "unknown"
)

// Final reports whether the state cannot change any more.
func (s TaskState) Final() bool {
	switch s {
	case TaskFinished, TaskFailed, TaskCancelled, TaskUnknown:
		return true
	case TaskQueued, TaskStarting, TaskRunning:
		return false
	}

	return false
}

// Outcome states whether refused work ran.
type Outcome string

// The outcomes of refused or resolved work.
const (
	OutcomeNotRun  Outcome = "not run"
	OutcomeRan     Outcome = "ran"
	OutcomeUnknown Outcome = "unknown"
)
