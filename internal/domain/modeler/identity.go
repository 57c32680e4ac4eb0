package modeler

import "fmt"

// InstanceID identifies an instance. The id of an entry instance is new with
// every process start, so that a restarted process cannot continue an old term.
type InstanceID string

// PartitionID names a partition.
type PartitionID string

// TeamID names a team.
type TeamID string

// QueueID names a queue.
type QueueID string

// JobID identifies a job; it is derived from team and request key.
type JobID string

// TaskID identifies a task of a job.
type TaskID string

// RequestID identifies a call of a team.
type RequestID string

// Offset is a position in a stream of the platform's log.
type Offset int64

// SessionID numbers a session that an endpoint granted to an owner.
type SessionID uint64

// Term orders the owners of a partition: the epoch of a claim record and the
// rank in its list of successors, the claimant having rank 0.
type Term uint64

// rankBits is the width of the rank in a Term.
const rankBits = 8

// NewTerm returns the term of rank in epoch.
func NewTerm(epoch uint64, rank uint8) Term { return Term(epoch<<rankBits | uint64(rank)) }

// Epoch returns the number of the claim that the term belongs to.
func (t Term) Epoch() uint64 { return uint64(t) >> rankBits }

// Rank returns the position in the claim's succession.
func (t Term) Rank() uint8 { return uint8(t & (1<<rankBits - 1)) }

// String formats the term as epoch.rank.
func (t Term) String() string { return fmt.Sprintf("%d.%d", t.Epoch(), t.Rank()) }
