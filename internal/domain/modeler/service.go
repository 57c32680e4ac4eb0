package modeler

import (
	"context"
	"time"
)

// Commands are the operations that the owner of a partition performs for other parts
// of the process and for peers. Errors are of type *Refusal.
type Commands interface {
	Submit(ctx context.Context, msg SubmitMsg) (SubmitReply, error)
	Cancel(ctx context.Context, msg CancelMsg) error
	Call(ctx context.Context, msg CallMsg) (CallReply, error)
	Resolve(ctx context.Context, msg ResolveMsg) (ResolveReply, error)
	// TransferTokens transfers part of a team's idle allotment to another partition.
	TransferTokens(ctx context.Context, msg TokensMsg) error
	// TakeOver makes this instance claim a partition from a draining owner.
	TakeOver(ctx context.Context, msg TakeOverMsg) error
}

// Queries are answered from the streams that this instance follows. They work on
// every instance, regardless of the owner of the partition.
type Queries interface {
	// Job returns the state of a team's job.
	Job(team TeamID, job JobID) (JobStatus, bool)
	// Records returns the decision records of a team's job or request, oldest first.
	Records(team TeamID, item string) []Record
	// Export returns all retained decision records of a team by partition, oldest
	// first.
	Export(team TeamID) map[PartitionID][]Record
	// Loads returns the load of each partition that this instance owns.
	Loads() []Load
	// Ownership returns the ownership of every partition according to its stream.
	Ownership() []Ownership
}

// Ownership is the owner of a partition and its successors.
type Ownership struct {
	Partition  PartitionID  `json:"partition"`
	Owner      InstanceID   `json:"owner"`
	Term       Term         `json:"term"`
	Successors []InstanceID `json:"successors,omitempty"`
	// Next is the offset up to which this instance has read the stream.
	Next Offset `json:"next"`
}

// Peer is the state of another entry instance according to its heartbeats.
type Peer struct {
	Instance Instance `json:"instance"`
	// LastHeartbeat is the time of the last heartbeat; zero if there was none.
	LastHeartbeat time.Time `json:"heard,omitzero"`
	Draining      bool      `json:"draining,omitempty"`
	// Config is the configuration offset in force at the peer.
	Config Offset `json:"config"`
	Loads  []Load `json:"loads,omitempty"`
}

// Membership is the current view of the other entry instances and of the platform's
// instance list. Implementations are safe for concurrent use.
type Membership interface {
	// Peers returns every other entry instance that is listed or has sent a
	// heartbeat.
	Peers() []Peer
	// Endpoints returns the workers and executors of the platform's instance list.
	Endpoints() []Instance
}

// Configuration is the configuration in force at this instance.
type Configuration interface {
	// InForce returns the document in force and its offset. It returns false for ok
	// if there is none yet.
	InForce() (doc Document, offset Offset, ok bool)
}
