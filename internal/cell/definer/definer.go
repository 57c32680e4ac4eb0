// Package definer defines the types of a cell, such as queues, accounts, jobs
// and endpoints, and the interfaces through which the instances of a cell reach
// the store, the endpoints and the placement policies of queues.
package definer

import (
	"net/netip"
	"strings"
	"time"

	"gitlab.com/greengagewall/greengagewall/internal/domain/modeler"
)

// Policy describes the external placement policy of a queue.
type Policy struct {
	// Decide is the fixed duration of a decision, and Each is added for each endpoint in the question.
	Decide, Each time.Duration `msgpack:",omitempty"`
	// Validity is how long an admission ticket is valid after the decision.
	Validity time.Duration
}

// Queue holds the settings of the queue that a job was submitted to. It is
// stored with the job, so that the job does not depend on the route, which may
// be removed before the job ends.
type Queue struct {
	Name string
	// Service is the service whose endpoints run the tasks.
	Service string
	// Priority orders queues; 0 is the most urgent.
	Priority int
	// MaxAttempts is the number of failed attempts of a task with which its job fails; 0 means 1.
	MaxAttempts int
	// Stretch and Target define the objective of a job: Stretch times its critical
	// path, plus Target.
	Stretch float64
	Target  time.Duration
	// Policy is the placement policy, or nil when every endpoint is admitted.
	Policy *Policy
}

// Route assigns the requests of a host and a path prefix to a queue.
type Route struct {
	Host, Prefix string
	// Public means that a request needs no key.
	Public bool
	Queue  Queue
}

// Location is where callers reach a queue: the host of its route, followed by the path prefix.
// It identifies a job together with the job's id; the name of a queue may change while jobs
// run.
type Location string

// Prefix returns the path prefix of the location.
func (l Location) Prefix() string { return string(l[max(strings.IndexByte(string(l), '/'), 0):]) }

// Location returns the location of the route.
func (r *Route) Location() Location { return Location(r.Host + r.Prefix) }

// Place is where callers look for a job: a location, and the name of the queue whose route is there now.
type Place struct {
	Queue    string
	Location Location
}

// Account is a client account with its keys, its share and its limit.
type Account struct {
	Name string
	Keys []string
	// Weight is the account's share, and its guaranteed rate in jobs per second.
	Weight float64
	// Limit bounds the resources of the account's running tasks; a zero component means no limit.
	Limit modeler.Resources
}

// Configuration is one version of the published configuration.
type Configuration struct {
	Version  int64
	Routes   []Route
	Accounts []Account
	// BodyLimit is the largest request body in bytes; 0 means the default.
	BodyLimit int64
}

// Step is a set of identical tasks of a job.
type Step struct {
	Count int
	// Need is the resources of one task.
	Need modeler.Resources
	// Estimate is the expected run time of a task.
	Estimate time.Duration `msgpack:",omitempty"`
	// After lists the indexes of the earlier steps that must be done first.
	After []int `msgpack:",omitempty"`
	// Checkpointing tasks resume from their last checkpoint.
	Checkpointing bool `msgpack:",omitempty"`
	// Gang tasks start all at once and run only together.
	Gang bool `msgpack:",omitempty"`
	// SameRack tasks are slow when they run on more than one rack.
	SameRack bool `msgpack:",omitempty"`
	// Requires is a label that the endpoint must have; empty means any endpoint.
	Requires string `msgpack:",omitempty"`
	// DataRack is the label of the rack closest to the data of the tasks.
	DataRack string `msgpack:",omitempty"`
	// PerEndpoint bounds the tasks of the step on one endpoint; 0 means no bound.
	PerEndpoint int `msgpack:",omitempty"`
	// Speculative tasks may have several runs at the same time.
	Speculative bool `msgpack:",omitempty"`
	// LongRunning tasks run until their job is cancelled.
	LongRunning bool `msgpack:",omitempty"`
	// Fills means that the tasks use only processor time that other tasks leave unused.
	Fills bool `msgpack:",omitempty"`
	// MayMiss is how many tasks of a long-running step the system may stop at the same time.
	MayMiss int `msgpack:",omitempty"`
	// TailTarget is the tail response time that a serving task must not exceed; 0
	// means that the tasks do not serve requests.
	TailTarget time.Duration `msgpack:",omitempty"`
	Image      string        `msgpack:",omitempty"`
}

// Job is a submitted job as it is stored.
type Job struct {
	ID      string
	Account string
	Queue   Queue
	// Location is where the job was accepted. It is empty in records of earlier versions.
	Location Location `msgpack:",omitempty"`
	Spec     string
	Steps    []Step
	// Accepted is the wall clock time at which the job was first received.
	Accepted time.Time
	// First, Interval and Repeats define scheduled occurrences. If Repeats is 0, the
	// job has a single occurrence that is due immediately.
	First    time.Time     `msgpack:",omitempty"`
	Interval time.Duration `msgpack:",omitempty"`
	Repeats  int           `msgpack:",omitempty"`
}

// Place returns where the job was accepted.
func (j *Job) Place() Place { return Place{Queue: j.Queue.Name, Location: j.Location} }

// Occurrences returns the number of occurrences of j.
func (j *Job) Occurrences() int { return max(j.Repeats, 1) }

// JobState is the state of a job at the owner of its cell.
type JobState string

// The states of a job.
const (
	JobQueued    JobState = "queued"
	JobRunning   JobState = "running"
	JobCompleted JobState = "completed"
	JobFailed    JobState = "failed"
	JobCancelled JobState = "cancelled"
)

// Final reports whether the state is final: completed, failed or cancelled.
func (s JobState) Final() bool {
	return s == JobCompleted || s == JobFailed || s == JobCancelled
}

// Listing holds the attributes that an endpoint reports in the endpoint list.
type Listing struct {
	ID       string
	Service  string
	Address  netip.AddrPort
	Zone     string
	Capacity modeler.Resources
	Labels   []string
	Draining bool
	// Remaining is the minimum time for which a draining endpoint still runs.
	Remaining time.Duration
	// Born is the Unix time in milliseconds at which the endpoint's process started.
	// It identifies the endpoint's life, which is the time between two restarts.
	Born int64
}

// Label reports whether the endpoint has the label.
func (l *Listing) Label(label string) bool {
	for _, own := range l.Labels {
		if own == label {
			return true
		}
	}

	return false
}

// TaskName identifies a task by its job, occurrence, step and index in the step.
type TaskName struct {
	Job        string
	Occurrence int
	Step       int
	Index      int
}

// End is the way in which a run ended.
type End string

// The ways in which a run ends.
const (
	// EndDone means that the run finished its work.
	EndDone End = "done"
	// EndFailed means that the task failed.
	EndFailed End = "failed"
	// EndStopped means that a stop order ended the run.
	EndStopped End = "stopped"
	// EndLapsed means that the lease of the endpoint expired.
	EndLapsed End = "lapsed"
	// EndBroken means that another member of the gang ended without being done.
	EndBroken End = "broken"
	// EndAlone means that the other members of the gang did not start in time.
	EndAlone End = "alone"
)

// RunningTask is a running task in an endpoint's inventory.
type RunningTask struct {
	Task       TaskName
	Run        int
	Checkpoint string
	// Percent is the progress of the task in percent.
	Percent int
	// Load is the response time of a serving task in milliseconds, or else the processor use in thousandths of a core.
	Load int64
}

// EndedTask is an ended run in an endpoint's inventory. The endpoint lists it
// until it is acknowledged.
type EndedTask struct {
	// Number orders the ends of an endpoint; it starts anew when the endpoint restarts.
	Number     int64
	Task       TaskName
	Run        int
	End        End
	Checkpoint string
}

// Report is an endpoint's answer to a renewal: its clock and its inventory of
// running and ended tasks.
type Report struct {
	// Clock is the time of the endpoint's clock in milliseconds.
	Clock int64
	// Born is the start time of the endpoint's process, as in Listing.
	Born    int64
	Running []RunningTask
	Ended   []EndedTask
	// MoreEnds means that the endpoint may have ends that do not fit in Ended.
	MoreEnds bool
}

// Target is the id and address of an endpoint.
type Target struct {
	ID      string
	Address netip.AddrPort
	Zone    string
}

// StartOrder is the order to an endpoint to run a task. It also extends the
// lease of all runs on the endpoint.
type StartOrder struct {
	Task       TaskName
	Run        int
	Spec       string
	Checkpoint string
	Ticket     string
	// Term is the sender's fencing token; endpoints refuse orders with a lower term than they have seen.
	Term int64
	// Until is the end of the lease by the endpoint's clock, in milliseconds.
	Until int64
}

// StopOrder is the order to an endpoint to stop a run.
type StopOrder struct {
	Task TaskName
	Run  int
	Term int64
}

// RenewOrder renews the lease of all runs on an endpoint and requests its inventory.
type RenewOrder struct {
	Term int64
	// Acknowledged is the number of the last end that the endpoint no longer has to list.
	Acknowledged int64
	// Until is the end of the lease by the endpoint's clock, in milliseconds; 0 does not change the lease.
	Until int64
	// Wait is the maximum time for which the endpoint may delay its answer until a run ends.
	Wait time.Duration
}

// Verdict is the outcome of an order.
type Verdict int

// The outcomes of an order.
const (
	// VerdictUnknown means that there was no clear answer, so that the order may still be carried out.
	VerdictUnknown Verdict = iota
	// VerdictDone means that the order was carried out.
	VerdictDone
	// VerdictFenced means that the endpoint has seen a higher term and refused the order.
	VerdictFenced
	// VerdictRefused means that the order was not and will not be carried out.
	VerdictRefused
	// VerdictInvalidTicket means that the admission ticket was not valid.
	VerdictInvalidTicket
	// VerdictMisdirected means that another endpoint answered at the address.
	VerdictMisdirected
)

// Ticket is a placement policy's admission of a step on an endpoint.
type Ticket struct {
	Endpoint string
	Value    string
}
