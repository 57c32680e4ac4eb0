// Package encoder defines the records of greengagewall's streams and encodes them
// as MessagePack (https://github.com/msgpack/msgpack/blob/master/spec.md).
package encoder

import (
	"time"

	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"

	"gitlab.com/greengagewall/greengagewall/internal/domain/modeler"
)

// Batch is a record of a partition's stream, appended by the partition's owner.
type Batch struct {
	Term   modeler.Term       `msgpack:"t"`
	Author modeler.InstanceID `msgpack:"a"`
	// Seq numbers the batches of a term from 1. Readers drop a batch whose Seq is
	// not above the last one of the term, so that an append can be repeated after
	// its answer was lost.
	Seq       uint64           `msgpack:"s"`
	Claim     *Claim           `msgpack:"c,omitempty"`
	Jobs      []modeler.Job    `msgpack:"j,omitempty"`
	Tasks     []TaskChange     `msgpack:"k,omitempty"`
	Requests  []RequestChange  `msgpack:"q,omitempty"`
	Cancels   []modeler.JobID  `msgpack:"x,omitempty"`
	Transfers []Transfer       `msgpack:"g,omitempty"`
	Records   []modeler.Record `msgpack:"r,omitempty"`
	Snapshot  *Snapshot        `msgpack:"z,omitempty"`
}

// Claim starts the epoch of the batch's term. The instance Successors[k-1] has rank
// k in that epoch.
type Claim struct {
	Successors []modeler.InstanceID `msgpack:"u,omitempty"`
	// Endpoints lists all endpoints that may run work of the partition. The owner
	// starts work on no others, so that a later owner knows every endpoint at which
	// it must raise the term even if its own list of instances is out of date.
	Endpoints []modeler.Instance `msgpack:"e,omitempty"`
}

// TaskChange sets the state of a task.
type TaskChange struct {
	Job      modeler.JobID      `msgpack:"j"`
	Task     modeler.TaskID     `msgpack:"k"`
	State    modeler.TaskState  `msgpack:"s"`
	Attempt  int                `msgpack:"a,omitempty"`
	Endpoint modeler.InstanceID `msgpack:"e,omitempty"`
	Time     time.Time          `msgpack:"t"`
	Cause    string             `msgpack:"c,omitempty"`
}

// RequestState is the state of a non-idempotent request.
type RequestState string

// The states of a request. The owner commits RequestIntent to the log before it
// sends the request.
const (
	RequestIntent  RequestState = "intent"
	RequestRan     RequestState = "ran"
	RequestUnknown RequestState = "unknown"
	RequestVoided  RequestState = "voided"
)

// RequestChange sets the state of a non-idempotent request.
type RequestChange struct {
	Team     modeler.TeamID     `msgpack:"m"`
	Queue    modeler.QueueID    `msgpack:"q,omitempty"`
	Request  modeler.RequestID  `msgpack:"r"`
	State    RequestState       `msgpack:"s"`
	Endpoint modeler.InstanceID `msgpack:"e,omitempty"`
	Answer   []byte             `msgpack:"a,omitempty"`
	Time     time.Time          `msgpack:"t"`
}

// Transfer moves part of a team's upper limit to another partition. The
// sending partition appends it to its own stream after reducing its allotment,
// and again with Released set once no successor can take over without having
// read it. The receiving partition then appends a copy with Received set to its
// own stream.
type Transfer struct {
	// Seq numbers the transfers of the sending partition from 1.
	Seq  uint64              `msgpack:"i"`
	From modeler.PartitionID `msgpack:"f"`
	To   modeler.PartitionID `msgpack:"o"`
	Team modeler.TeamID      `msgpack:"m"`
	// Parts is the amount of each resource in parts of the limit, as defined by
	// package limiter.
	Parts modeler.Resources `msgpack:"n"`
	// LayoutHash identifies the partitions and weights that Parts refers to; see
	// package limiter.
	LayoutHash uint64 `msgpack:"h"`
	Released   bool   `msgpack:"l,omitempty"`
	Received   bool   `msgpack:"v,omitempty"`
}

// Snapshot is the complete state of a partition. A reader can start from it after
// older records have expired.
type Snapshot struct {
	// State is encoded by package replayer.
	State []byte `msgpack:"s"`
}

// Publication is a record of the stream "config".
type Publication struct {
	// Parent is the offset of the document that this one is based on, or -1 for the
	// first document.
	Parent modeler.Offset `msgpack:"p"`
	// Document is the whole document. It is omitted if Patch is set.
	Document modeler.Document `msgpack:"d,omitempty"`
	// Patch is the encoded patch of package patcher from the parent to this document.
	// At full size, a change of one key takes 385 bytes as a patch and 176,296 bytes
	// as a whole document.
	Patch []byte `msgpack:"x,omitempty"`
	// Operator is the name of the publishing operator, for the audit trail.
	Operator string    `msgpack:"o,omitempty"`
	Time     time.Time `msgpack:"t"`
	// Original is -1 for a new document. If this record repeats a document whose
	// record is about to expire, it is the offset at which that document was accepted.
	Original modeler.Offset `msgpack:"i"`
}

// Marshal returns the encoding of value.
func Marshal(value any) ([]byte, error) {
	data, err := msgpack.Marshal(value)

	return data, errors.Wrapf(err, "encode %T", value)
}

// Unmarshal decodes data into value.
func Unmarshal(data []byte, value any) error {
	return errors.Wrapf(msgpack.Unmarshal(data, value), "decode %T", value)
}
