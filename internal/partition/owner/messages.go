package owner

import (
	"time"

	"gitlab.com/greengagewall/greengagewall/internal/codec/encoder"
	"gitlab.com/greengagewall/greengagewall/internal/domain/modeler"
	"gitlab.com/greengagewall/greengagewall/internal/platform/messenger"
)

// Msg is an input of the core.
type Msg any

// Waiter identifies a caller that waits for an answer; zero means no caller.
type Waiter uint64

// TickMsg triggers the work that is due at the current time.
type TickMsg struct{}

// ConfigMsg carries the configuration in force.
type ConfigMsg struct {
	Document modeler.Document
	Offset   modeler.Offset
}

// EndpointsMsg lists the endpoints of the partition.
type EndpointsMsg struct {
	Instances []modeler.Instance
}

// HelloDoneMsg is the result of a HelloCmd.
type HelloDoneMsg struct {
	Endpoint modeler.InstanceID
	Term     modeler.Term
	Sent     time.Time
	Reply    messenger.HelloReply
	Err      error
}

// RenewDoneMsg is the result of a RenewCmd.
type RenewDoneMsg struct {
	Endpoint modeler.InstanceID
	Request  messenger.RenewRequest
	Sent     time.Time
	Reply    messenger.RenewReply
	Err      error
}

// StartDoneMsg is the result of a StartCmd.
type StartDoneMsg struct {
	Endpoint modeler.InstanceID
	Request  messenger.StartRequest
	Err      error
}

// TaskDoneMsg is the result of a TaskCmd.
type TaskDoneMsg struct {
	Endpoint modeler.InstanceID
	Action   Action
	Request  messenger.TaskRequest
	Err      error
}

// CallDoneMsg is the result of a CallCmd.
type CallDoneMsg struct {
	Call   uint64
	Answer []byte
	Err    error
}

// VoidDoneMsg is the result of a VoidCmd.
type VoidDoneMsg struct {
	Endpoint modeler.InstanceID
	Request  messenger.VoidRequest
	Reply    messenger.VoidReply
	Err      error
}

// SubmitMsg is a submission by a waiting caller.
type SubmitMsg struct {
	Waiter Waiter
	modeler.SubmitMsg
}

// CancelMsg is a cancellation by a waiting caller.
type CancelMsg struct {
	Waiter Waiter
	modeler.CancelMsg
}

// CallMsg is a call by a waiting caller.
type CallMsg struct {
	Waiter Waiter
	modeler.CallMsg
}

// ResolveMsg asks for the outcome of a request.
type ResolveMsg struct {
	Waiter Waiter
	modeler.ResolveMsg
}

// RequestTransferMsg asks for part of a team's idle allotment on behalf of
// another partition.
type RequestTransferMsg struct {
	Waiter Waiter
	modeler.TokensMsg
}

// AbandonMsg reports that a caller stops waiting. The core answers it at once
// with the outcome as known at that moment.
type AbandonMsg struct {
	Waiter Waiter
}

// CommittedMsg reports that a batch of this owner and term was read back from
// the stream as valid.
type CommittedMsg struct {
	Seq uint64
}

// PredecessorBatchMsg carries a valid batch of an earlier term that was read
// after this owner had taken its term without the log.
type PredecessorBatchMsg struct {
	Batch encoder.Batch
}

// LogStatusMsg reports whether the last append was answered in time.
type LogStatusMsg struct {
	Down bool
}

// TermMsg moves an owner to the term of its committed claim. Sessions keep the
// term that they were opened under.
type TermMsg struct {
	Term modeler.Term
	// Seq is the number of the last batch written under the term.
	Seq uint64
}

// ClaimMsg makes an owner claim the next epoch while it continues to work. A
// TermMsg follows once the claim is committed.
type ClaimMsg struct {
	Successors []modeler.InstanceID
}

// TransferMsg carries a transfer from the stream of another partition.
type TransferMsg struct {
	Transfer encoder.Transfer
}

// SnapshotMsg requests a snapshot in the stream.
type SnapshotMsg struct {
	// PruneBefore is the time before which final jobs and requests are dropped.
	PruneBefore time.Time
}

// DrainMsg makes the owner refuse new submissions and calls.
type DrainMsg struct{}

// OwnershipLostMsg reports that the partition has another owner. From then on
// the core starts nothing and only answers callers.
type OwnershipLostMsg struct {
	// Void is set when a later term was read from the stream without a gap, so
	// that batches that were not read before it certainly have no effect.
	Void bool
}

// Action is the operation of a TaskCmd.
type Action string

// The actions on a running task.
const (
	ActionStop       Action = "stop"
	ActionCheckpoint Action = "checkpoint"
	ActionThrottle   Action = "throttle"
)

// Command is an output of the core.
type Command any

// HelloCmd opens a session.
type HelloCmd struct {
	Endpoint modeler.Instance
	Request  messenger.HelloRequest
}

// RenewCmd renews a session.
type RenewCmd struct {
	Endpoint modeler.Instance
	Request  messenger.RenewRequest
}

// StartCmd starts a task.
type StartCmd struct {
	Endpoint modeler.Instance
	Request  messenger.StartRequest
}

// TaskCmd stops, checkpoints or throttles a task.
type TaskCmd struct {
	Endpoint modeler.Instance
	Action   Action
	Request  messenger.TaskRequest
}

// CallCmd sends a call to an executor.
type CallCmd struct {
	Endpoint modeler.Instance
	Call     uint64
	Request  messenger.CallRequest
	Timeout  time.Duration
}

// VoidCmd asks an executor to void a request.
type VoidCmd struct {
	Endpoint modeler.Instance
	Request  messenger.VoidRequest
}

// AppendCmd appends a batch. The next AppendCmd follows only after a
// CommittedMsg or a TermMsg.
type AppendCmd struct {
	Batch encoder.Batch
	// Snapshot asks the runner to add a snapshot of the stream's state.
	Snapshot bool
}

// AnswerCmd answers a waiting caller with a reply or a refusal.
type AnswerCmd struct {
	Waiter Waiter
	Reply  any
	Err    *modeler.Refusal
}

// TokensCmd asks other owners for part of a team's limit.
type TokensCmd struct {
	Team   modeler.TeamID
	Wanted modeler.Resources
	// Since is when the waiting job was accepted.
	Since time.Time
}

// SupersededCmd reports that an endpoint has seen a later term while the owner
// has no majority, or that another owner may have held a majority of the
// endpoints. The runner then gives up the partition.
type SupersededCmd struct {
	Endpoint modeler.InstanceID
}

// ClaimCmd requests a claim of the next epoch, because an endpoint has seen a
// later term although the owner has kept its majority, because transfers wait for
// their release, or because the endpoints have changed.
type ClaimCmd struct {
	// Endpoint is empty when unreleased transfers or a changed roster are the
	// reason.
	Endpoint modeler.InstanceID
}
