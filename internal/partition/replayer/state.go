// Package replayer replays a partition's stream into the partition's state.
// Replay is pure: every reader of the same records ends in the same state.
package replayer

import (
	"fmt"
	"time"

	"gitlab.com/greengagewall/greengagewall/internal/codec/encoder"
	"gitlab.com/greengagewall/greengagewall/internal/domain/modeler"
)

// State is the state of a partition as recorded in its stream. It is not safe
// for concurrent use.
type State struct {
	Partition  modeler.PartitionID
	Term       modeler.Term
	Owner      modeler.InstanceID
	Successors []modeler.InstanceID
	// Endpoints lists the endpoints that the claim in force names.
	Endpoints []modeler.Instance
	// LastSeq is the number of the last batch of the current term.
	LastSeq uint64
	// NextOffset is the offset after the last record applied.
	NextOffset modeler.Offset
	// Complete is false while records before the first one read are missing and
	// no snapshot has been read.
	Complete  bool
	Jobs      map[modeler.JobID]*Job
	Requests  map[RequestKey]encoder.RequestChange
	Chains    map[modeler.TeamID]*Chain
	Transfers Transfers
}

// Job is an accepted job with the states of its tasks.
type Job struct {
	Job       modeler.Job `msgpack:"j"`
	Tasks     []Task      `msgpack:"t"`
	Cancelled bool        `msgpack:"c,omitempty"`
	// Open counts the tasks that are not final.
	Open int `msgpack:"o"`
	// Ended is when the last task became final.
	Ended time.Time `msgpack:"e,omitempty"`
}

// Task is the state of one task; its index in Job.Tasks is its number.
type Task struct {
	State    modeler.TaskState  `msgpack:"s"`
	Attempt  int                `msgpack:"a,omitempty"`
	Endpoint modeler.InstanceID `msgpack:"e,omitempty"`
	Started  time.Time          `msgpack:"b,omitempty"`
	Ended    time.Time          `msgpack:"f,omitempty"`
	Cause    string             `msgpack:"c,omitempty"`
}

// RequestKey identifies a non-idempotent request.
type RequestKey struct {
	Team    modeler.TeamID    `msgpack:"m"`
	Request modeler.RequestID `msgpack:"r"`
}

// Chain holds a team's records in this partition, oldest first.
type Chain struct {
	Head    string           `msgpack:"h"`
	Seq     uint64           `msgpack:"s"`
	Records []modeler.Record `msgpack:"r,omitempty"`
	// Broken counts records that did not follow the head when they were read.
	Broken int `msgpack:"b,omitempty"`
}

// Transfers holds the transfers of parts of limits in which the partition
// took part.
type Transfers struct {
	// Sent lists the recent transfers that this partition sent, oldest first.
	Sent []encoder.Transfer `msgpack:"g,omitempty"`
	// LastSent is the Seq of the last transfer sent.
	LastSent uint64 `msgpack:"l,omitempty"`
	// LastReceived is the Seq of the last transfer received from each partition.
	LastReceived map[modeler.PartitionID]uint64 `msgpack:"r,omitempty"`
	// Net is the parts received minus the parts sent, by layout hash and team.
	Net map[uint64]map[modeler.TeamID]modeler.Resources `msgpack:"n,omitempty"`
}

// New returns the state of a stream from which nothing has been read.
func New(partition modeler.PartitionID) *State {
	return &State{
		Partition: partition,
		Complete:  true,
		Jobs:      map[modeler.JobID]*Job{},
		Requests:  map[RequestKey]encoder.RequestChange{},
		Chains:    map[modeler.TeamID]*Chain{},
		Transfers: Transfers{
			LastReceived: map[modeler.PartitionID]uint64{},
			Net:          map[uint64]map[modeler.TeamID]modeler.Resources{},
		},
	}
}

// TaskID returns the ID of a job's task with the given index.
func TaskID(job modeler.JobID, index int) modeler.TaskID {
	return modeler.TaskID(fmt.Sprintf("%s/%d", job, index))
}

// TaskIndex returns the index in the ID of a job's task; ok is false when the
// ID belongs to another job.
func TaskIndex(job modeler.JobID, task modeler.TaskID) (index int, ok bool) {
	if len(task) <= len(job)+1 || string(task[:len(job)]) != string(job) || task[len(job)] != '/' {
		return 0, false
	}
	for _, c := range task[len(job)+1:] {
		if c < '0' || c > '9' || index > 1<<30 {
			return 0, false
		}
		index = index*10 + int(c-'0')
	}

	return index, true
}

// Net returns the parts of a team's limit received minus those sent under a
// partition layout.
func (s *State) Net(layout uint64, team modeler.TeamID) modeler.Resources {
	return s.Transfers.Net[layout][team]
}

// Status returns the state of a job for its team.
func (s *State) Status(id modeler.JobID) (modeler.JobStatus, bool) {
	job, ok := s.Jobs[id]
	if !ok {
		return modeler.JobStatus{}, false
	}
	status := modeler.JobStatus{Job: job.Job, Partition: s.Partition, Final: job.Open == 0}
	for i, task := range job.Tasks {
		status.Tasks = append(status.Tasks, modeler.TaskStatus{
			Task: TaskID(id, i), State: task.State, Attempt: task.Attempt, Endpoint: task.Endpoint,
			Started: task.Started, Ended: task.Ended, Cause: task.Cause,
		})
	}

	return status, true
}

// Records returns a team's records about a job, one of its tasks or a request.
func (s *State) Records(team modeler.TeamID, item string) []modeler.Record {
	chain, ok := s.Chains[team]
	if !ok {
		return nil
	}
	var records []modeler.Record
	for _, record := range chain.Records {
		if string(record.Job) == item || string(record.Task) == item || string(record.Request) == item {
			records = append(records, record)
		}
	}

	return records
}

// Prune drops final jobs, requests and records older than before. The heads of
// the chains stay, so that later records still follow them.
func (s *State) Prune(before time.Time) {
	for id, job := range s.Jobs {
		if job.Open == 0 && job.Ended.Before(before) {
			delete(s.Jobs, id)
		}
	}
	for key, request := range s.Requests {
		if request.Time.Before(before) && request.State != encoder.RequestIntent {
			delete(s.Requests, key)
		}
	}
	for _, chain := range s.Chains {
		old := 0
		for old < len(chain.Records) && chain.Records[old].Time.Before(before) {
			old++
		}
		chain.Records = append([]modeler.Record(nil), chain.Records[old:]...)
	}
}
