// Package definer holds the types of a cell: its queues, accounts, jobs and
// endpoints, and the interfaces through which its instances reach the store,
// the endpoints and the placement policy of a queue.
package definer

import (
	"net/netip"
	"time"

	"gitlab.com/greengagewall/greengagewall/internal/domain/modeler"
)

// Policy describes the external placement policy of a queue.
type Policy struct {
	// Decide is the fixed time of a decision, and Each is added for each endpoint asked for.
	Decide, Each time.Duration `msgpack:",omitempty"`
	// Validity is how long an admission ticket holds.
	Validity time.Duration
}

// Queue holds what a job keeps of the queue that it was submitted to. It is
// stored with the job, so that a job outlives the route that it came by.
type Queue struct {
	Name    string
	Service string
	// Priority orders queues; 0 is the most urgent.
	Priority int
	// MaxAttempts is how often a task may fail before its job has failed; 0 means once.
	MaxAttempts int
	// Stretch and Target give the objective: Stretch times the chain of work, and Target more.
	Stretch float64
	Target  time.Duration
	Policy  *Policy
}

// Route leads requests of a host and a path prefix to a queue.
type Route struct {
	Host, Prefix string
	// Public means that a request needs no key.
	Public bool
	Queue  Queue
}

// Account is a client account with its keys, its share and its upper limit.
type Account struct {
	Name string
	Keys []string
	// Weight is the account's share, and the rate of jobs a second that it is owed.
	Weight float64
	// Limit bounds what the account may have running; a zero component means no limit.
	Limit modeler.Resources
}

// Configuration is one version of what the operators have published.
type Configuration struct {
	Version  int64
	Routes   []Route
	Accounts []Account
	// BodyLimit is the largest request body in bytes; 0 means the default.
	BodyLimit int64
}

// Step is a set of equal tasks of a job.
type Step struct {
	Count    int
	Need     modeler.Resources
	Estimate time.Duration `msgpack:",omitempty"`
	// After lists the earlier steps that must be done first.
	After []int `msgpack:",omitempty"`
	// Checkpointing tasks resume from their last checkpoint.
	Checkpointing bool `msgpack:",omitempty"`
	// Gang tasks run only together.
	Gang bool `msgpack:",omitempty"`
	// SameRack tasks are slow when they run on more than one rack.
	SameRack bool `msgpack:",omitempty"`
	// Requires is a label that the endpoint must have.
	Requires string `msgpack:",omitempty"`
	// DataRack is the rack near the data.
	DataRack string `msgpack:",omitempty"`
	// PerEndpoint bounds the tasks of the step on one endpoint; 0 means no bound.
	PerEndpoint int `msgpack:",omitempty"`
	// Speculative tasks may run as copies.
	Speculative bool `msgpack:",omitempty"`
	// LongRunning tasks run until their job is cancelled.
	LongRunning bool `msgpack:",omitempty"`
	// Fills means that the step uses processor time that others leave over.
	Fills bool `msgpack:",omitempty"`
	// MayMiss is how many tasks of a long-running step may be away by the system's own doing.
	MayMiss int `msgpack:",omitempty"`
	// TailTarget is the response time that a serving task has to keep.
	TailTarget time.Duration `msgpack:",omitempty"`
	Image      string        `msgpack:",omitempty"`
}

// Job is a submitted job.
type Job struct {
	ID      string
	Account string
	Queue   Queue
	Spec    string
	Steps   []Step
	// Accepted is the wall clock at which the job was first received.
	Accepted time.Time
	// First, Interval and Repeats describe scheduled occurrences; Repeats 0 means a single one at once.
	First    time.Time     `msgpack:",omitempty"`
	Interval time.Duration `msgpack:",omitempty"`
	Repeats  int           `msgpack:",omitempty"`
}

// Occurrences returns how often the steps of j run.
func (j *Job) Occurrences() int { return max(j.Repeats, 1) }

// JobState is the state of a job as its owner sees it.
type JobState string

// The states of a job.
const (
	JobQueued    JobState = "queued"
	JobRunning   JobState = "running"
	JobCompleted JobState = "completed"
	JobFailed    JobState = "failed"
	JobCancelled JobState = "cancelled"
)

// Final reports whether the state is an end state.
func (s JobState) Final() bool {
	return s == JobCompleted || s == JobFailed || s == JobCancelled
}

// Listing is what an endpoint says of itself in the endpoint list.
type Listing struct {
	ID       string
	Service  string
	Address  netip.AddrPort
	Zone     string
	Capacity modeler.Resources
	Labels   []string
	Draining bool
	// Remaining is how long a draining endpoint still runs, at least.
	Remaining time.Duration
	// Born identifies the life of the endpoint: the Unix millisecond of its start.
	Born int64
}

// Label reports whether the endpoint carries the label.
func (l *Listing) Label(label string) bool {
	for _, own := range l.Labels {
		if own == label {
			return true
		}
	}

	return false
}

// TaskName names a task: a job, an occurrence, a step and an index.
type TaskName struct {
	Job        string
	Occurrence int
	Step       int
	Index      int
}

// End says how a run ended.
type End string

// The ways in which a run ends.
const (
	EndDone    End = "done"
	EndFailed  End = "failed"
	EndStopped End = "stopped"
	EndLapsed  End = "lapsed"
	EndBroken  End = "broken"
	EndAlone   End = "alone"
)

// RunningTask is a row of an endpoint's inventory.
type RunningTask struct {
	Task       TaskName
	Run        int
	Checkpoint string
	// Percent is the progress of the task.
	Percent int
	// Load is the response time in milliseconds of a serving task, or the processor time in use in thousandths.
	Load int64
}

// EndedTask is an end that the endpoint lists until it is acknowledged.
type EndedTask struct {
	Number     int64
	Task       TaskName
	Run        int
	End        End
	Checkpoint string
}

// Report is an endpoint's answer to a renewal.
type Report struct {
	// Clock is the endpoint's own clock in milliseconds.
	Clock   int64
	Born    int64
	Running []RunningTask
	Ended   []EndedTask
}

// Target addresses an endpoint.
type Target struct {
	ID      string
	Address netip.AddrPort
	Zone    string
}

// StartOrder tells an endpoint to run a task.
type StartOrder struct {
	Task       TaskName
	Run        int
	Spec       string
	Checkpoint string
	Ticket     string
	// Term is the fencing token of the sender.
	Term int64
	// Until is the end of the lease on the endpoint's clock in milliseconds.
	Until int64
}

// StopOrder tells an endpoint to stop a run.
type StopOrder struct {
	Task TaskName
	Run  int
	Term int64
}

// RenewOrder renews the lease of all that runs on an endpoint and asks for its inventory.
type RenewOrder struct {
	Term int64
	// Acknowledged is the last end that may be forgotten.
	Acknowledged int64
	// Until is the end of the lease on the endpoint's clock; 0 leaves it as it is.
	Until int64
	// Wait is how long the endpoint may wait for an end before it answers.
	Wait time.Duration
}

// Verdict is the outcome of an order.
type Verdict int

// The outcomes of an order.
const (
	// VerdictUnknown means that the order may still be carried out.
	VerdictUnknown Verdict = iota
	// VerdictDone means that the order was carried out.
	VerdictDone
	// VerdictFenced means that the endpoint has seen a higher term.
	VerdictFenced
	// VerdictRefused means that the endpoint did nothing and will do nothing.
	VerdictRefused
	// VerdictInvalidTicket means that the admission ticket was not valid.
	VerdictInvalidTicket
	// VerdictMisdirected means that another endpoint answered at the address.
	VerdictMisdirected
)

// Ticket admits a step on an endpoint.
type Ticket struct {
	Endpoint string
	Value    string
}
