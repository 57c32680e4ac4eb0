package modeler

import "time"

// SubmitMsg asks the owner of a partition to accept a job. The entry instance has
// checked the key and the queue and has set the class, attempts and deadline.
type SubmitMsg struct {
	Partition PartitionID `json:"partition"`
	Job       Job         `json:"job"`
	// Config is the configuration offset in force at admission.
	Config Offset `json:"config"`
}

// SubmitReply confirms that a job has been appended to the log.
type SubmitReply struct {
	Job JobID `json:"job"`
	// Duplicate is set if the request key has been accepted before.
	Duplicate bool `json:"duplicate,omitempty"`
	// Head is the digest of the team's last record in the partition.
	Head string `json:"head"`
}

// CancelMsg asks for the cancellation of a team's job.
type CancelMsg struct {
	Partition PartitionID `json:"partition"`
	Team      TeamID      `json:"team"`
	Job       JobID       `json:"job"`
}

// CallMsg asks the owner of a partition to route a call to one of its executors.
type CallMsg struct {
	Partition PartitionID `json:"partition"`
	Team      TeamID      `json:"team"`
	Queue     QueueID     `json:"queue"`
	Service   string      `json:"service"`
	Class     Class       `json:"class"`
	// Request identifies the call within the team. Non-idempotent calls with the
	// same ID are executed at most once.
	Request    RequestID     `json:"request"`
	Idempotent bool          `json:"idempotent"`
	Body       []byte        `json:"body"`
	Timeout    time.Duration `json:"timeout"`
	Config     Offset        `json:"config"`
}

// CallReply is an executor's answer to a call.
type CallReply struct {
	Request  RequestID  `json:"request"`
	Answer   []byte     `json:"answer"`
	Endpoint InstanceID `json:"endpoint"`
	// Duplicate is set if the answer is that recorded for an earlier call.
	Duplicate bool `json:"duplicate,omitempty"`
}

// ResolveMsg asks for the outcome of a call whose answer was lost.
type ResolveMsg struct {
	Partition PartitionID `json:"partition"`
	Team      TeamID      `json:"team"`
	Request   RequestID   `json:"request"`
}

// ResolveReply is the outcome of a call.
type ResolveReply struct {
	Request RequestID `json:"request"`
	Outcome Outcome   `json:"outcome"`
	Answer  []byte    `json:"answer,omitempty"`
}

// TaskStatus is the state of one task.
type TaskStatus struct {
	Task     TaskID     `json:"task"`
	State    TaskState  `json:"state"`
	Attempt  int        `json:"attempt"`
	Endpoint InstanceID `json:"endpoint,omitempty"`
	Started  time.Time  `json:"started,omitzero"`
	Ended    time.Time  `json:"ended,omitzero"`
	Cause    string     `json:"cause,omitempty"`
}

// JobStatus is the state of a job and its tasks.
type JobStatus struct {
	Job       Job          `json:"job"`
	Partition PartitionID  `json:"partition"`
	Tasks     []TaskStatus `json:"tasks"`
	// Final is set once all tasks are in a final state.
	Final bool `json:"final"`
}

// Load is the state of a partition that its owner reports to peers in every
// heartbeat.
type Load struct {
	Partition PartitionID `json:"partition"`
	Term      Term        `json:"term"`
	// Ready is set while the owner can start work.
	Ready    bool      `json:"ready"`
	Capacity Resources `json:"capacity"`
	Free     Resources `json:"free"`
	// Largest is the capacity of the largest endpoint.
	Largest Resources `json:"largest"`
	// Queued is the number of queued tasks.
	Queued int `json:"queued"`
	// Usage is the resources of each team's running work.
	Usage map[TeamID]Resources `json:"usage,omitempty"`
	// Idle is the unused part of each team's allotment.
	Idle map[TeamID]Resources `json:"idle,omitempty"`
	// Services counts the free slots by service; the key "" counts executors
	// that run every service.
	Services map[string]int64 `json:"services,omitempty"`
}

// TakeOverMsg asks an instance to claim a partition from a draining owner.
type TakeOverMsg struct {
	Partition PartitionID `json:"partition"`
	// Term is the term of the draining owner according to the stream. The request
	// has no effect once a later term is in the stream.
	Term Term `json:"term"`
}

// TokensMsg asks the owner of a partition to transfer part of a team's idle allotment
// to another partition.
type TokensMsg struct {
	Partition PartitionID `json:"partition"`
	To        PartitionID `json:"to"`
	Team      TeamID      `json:"team"`
	Wanted    Resources   `json:"wanted"`
	// Since is the time at which the job that waits for tokens was accepted. Of two
	// waiting partitions, the one with the older job is served. Otherwise both could
	// keep parts that are only sufficient together.
	Since time.Time `json:"since"`
}
