package modeler

import "time"

// Event is the kind of a decision record.
type Event string

// The kinds of decision records.
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

// Record is a record of one decision about a team's work. It is chained by digest to
// the team's previous record in the same partition.
type Record struct {
	// Seq counts the team's records in this partition from 1.
	Seq       uint64      `json:"seq" msgpack:"n"`
	Time      time.Time   `json:"time" msgpack:"t"`
	Partition PartitionID `json:"partition" msgpack:"p"`
	Team      TeamID      `json:"team" msgpack:"m"`
	Queue     QueueID     `json:"queue,omitempty" msgpack:"q,omitempty"`
	Job       JobID       `json:"job,omitempty" msgpack:"j,omitempty"`
	Task      TaskID      `json:"task,omitempty" msgpack:"k,omitempty"`
	// Request is set in records of calls.
	Request RequestID `json:"request,omitempty" msgpack:"u,omitempty"`
	Event   Event     `json:"event" msgpack:"e"`
	// Cause is a short code such as "limit", "share", "capacity" or "deadline".
	Cause string `json:"cause,omitempty" msgpack:"c,omitempty"`
	// Detail is a human-readable description.
	Detail   string     `json:"detail,omitempty" msgpack:"d,omitempty"`
	Endpoint InstanceID `json:"endpoint,omitempty" msgpack:"w,omitempty"`
	// Config is the configuration offset in force at the decision.
	Config Offset `json:"config" msgpack:"o"`
	// Term is the term that the record was written under. It is later than that of
	// the decision if another owner wrote the record.
	Term Term `json:"term" msgpack:"r"`
	// Previous is the digest of the previous record and Digest that of this one, both
	// SHA-256 in lower-case hexadecimal.
	Previous string `json:"previous" msgpack:"v"`
	Digest   string `json:"digest" msgpack:"g"`
}
