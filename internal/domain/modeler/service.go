package modeler

import (
	"context"
	"time"
)

// Commands are what the owner of a partition does for other parts of the
// process and for peers. Errors are of type *Refusal.
type Commands interface {
	Submit(ctx context.Context, msg SubmitMsg) (SubmitReply, error)
	Cancel(ctx context.Context, msg CancelMsg) error
	Call(ctx context.Context, msg CallMsg) (CallReply, error)
	Resolve(ctx context.Context, msg ResolveMsg) (ResolveReply, error)
	// GiveTokens hands part of a team's idle allotment to another partition.
	GiveTokens(ctx context.Context, msg TokensMsg) error
	// TakeOver makes this instance claim a partition from a draining owner.
	TakeOver(ctx context.Context, partition PartitionID) error
}

// Queries answer from the streams that this instance follows; they work on
// every instance, whoever owns the partition.
type Queries interface {
	// Job returns the state of a team's job.
	Job(team TeamID, job JobID) (JobStatus, bool)
	// Records returns the records of a team's job or request, oldest first.
	Records(team TeamID, item string) []Record
	// Export returns every retained record of a team by partition, oldest
	// first.
	Export(team TeamID) map[PartitionID][]Record
	// Loads describes the partitions that this instance owns.
	Loads() []Load
	// Ownership describes every partition as its stream has it.
	Ownership() []Ownership
}

// Ownership tells who owns a partition.
type Ownership struct {
	Partition  PartitionID  `json:"partition"`
	Owner      InstanceID   `json:"owner"`
	Term       Term         `json:"term"`
	Successors []InstanceID `json:"successors,omitempty"`
	// Next is the offset up to which this instance has read the stream.
	Next Offset `json:"next"`
}

// Peer is another entry instance as the heartbeats show it.
type Peer struct {
	Instance Instance `json:"instance"`
	// LastHeartbeat is the time of the last heartbeat; zero if there was none.
	LastHeartbeat    time.Time `json:"heard,omitzero"`
	Draining bool      `json:"draining,omitempty"`
	// Config is the configuration offset in force at the peer.
	Config Offset `json:"config"`
	Loads  []Load `json:"loads,omitempty"`
}

// Membership is the present view of the other entry instances and of the
// platform's list. Implementations are safe for concurrent use.
type Membership interface {
	// Peers returns every other entry instance that is listed or was heard.
	Peers() []Peer
	// Endpoints returns the workers and executors of the platform's list.
	Endpoints() []Instance
}

// Configuration is the configuration in force at this instance.
type Configuration interface {
	// InForce returns the document in force and its offset; ok is unset before
	// the first one.
	InForce() (doc Document, offset Offset, ok bool)
}
