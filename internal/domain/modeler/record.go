package modeler

import "time"

// Event names a decision on a piece of work.
type Event string

// The decisions that leave a record.
const (
	EventAdmitted     Event = "admitted"
	EventRefused      Event = "refused"
	EventQueued       Event = "queued"
	EventPlaced       Event = "placed"
	EventStarted      Event = "started"
	EventLapsed       Event = "lapsed"
	EventStopped      Event = "stopped"
	EventCheckpointed Event = "checkpointed"
	EventThrottled    Event = "throttled"
	EventFinished     Event = "finished"
	EventFailed       Event = "failed"
	EventCancelled    Event = "cancelled"
	EventEndangered   Event = "endangered"
	EventLate         Event = "late"
	EventAdopted      Event = "adopted"
	EventUnknown      Event = "unknown"
	EventVoided       Event = "voided"
)

// Record is one decision on a piece of work of a team, chained to the team's
// previous record in the same partition.
type Record struct {
	// Seq counts the team's records in this partition from 1.
	Seq       uint64      `json:"seq" msgpack:"n"`
	Time      time.Time   `json:"time" msgpack:"t"`
	Partition PartitionID `json:"partition" msgpack:"p"`
	Team      TeamID      `json:"team" msgpack:"m"`
	Queue     QueueID     `json:"queue,omitempty" msgpack:"q,omitempty"`
	Job       JobID       `json:"job,omitempty" msgpack:"j,omitempty"`
	Task      TaskID      `json:"task,omitempty" msgpack:"k,omitempty"`
	// Request is set in records about a call.
	Request RequestID `json:"request,omitempty" msgpack:"u,omitempty"`
	Event   Event     `json:"event" msgpack:"e"`
	// Cause is a short code such as "limit", "share", "capacity" or "deadline".
	Cause string `json:"cause,omitempty" msgpack:"c,omitempty"`
	// Detail is for people.
	Detail   string     `json:"detail,omitempty" msgpack:"d,omitempty"`
	Endpoint InstanceID `json:"endpoint,omitempty" msgpack:"w,omitempty"`
	// Config is the configuration offset that the decision was made under.
	Config Offset `json:"config" msgpack:"o"`
	Term   Term   `json:"term" msgpack:"r"`
	// Previous and Digest are SHA-256 digests in lower-case hexadecimal.
	Previous string `json:"previous" msgpack:"v"`
	Digest   string `json:"digest" msgpack:"g"`
}
