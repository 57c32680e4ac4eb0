package modeler

import "fmt"

// InstanceID identifies an instance. An entry instance gets a new ID at every process
// start, so that a restarted process cannot continue an old term.
type InstanceID string

// PartitionID names a partition.
type PartitionID string

// TeamID names a team.
type TeamID string

// QueueID names a queue.
type QueueID string

// JobID identifies a job. It is derived from the team and the request key.
type JobID string

// TaskID identifies a task of a job.
type TaskID string

// RequestID identifies a call of a team.
type RequestID string

// Offset is the position of a record in a stream of the platform's log.
type Offset int64

// SessionID identifies a session that an endpoint has granted to an owner.
type SessionID uint64

// Term is the fencing token of a partition's owner. It combines the epoch of a claim
// record with the owner's rank in its list of successors; the claimant has rank 0.
// Terms order the owners of a partition.
type Term uint64

// rankBits is the width of the rank in a Term.
const rankBits = 8

// NewTerm returns the term with the given epoch and rank.
func NewTerm(epoch uint64, rank uint8) Term { return Term(epoch<<rankBits | uint64(rank)) }

// Epoch returns the number of the claim to which the term belongs.
func (t Term) Epoch() uint64 { return uint64(t) >> rankBits }

// Rank returns the position in the claim's list of successors.
func (t Term) Rank() uint8 { return uint8(t & (1<<rankBits - 1)) }

// String formats the term as epoch.rank.
func (t Term) String() string { return fmt.Sprintf("%d.%d", t.Epoch(), t.Rank()) }
