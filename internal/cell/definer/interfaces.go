package definer

import (
	"context"
	"time"
)

// Table is a table of the store: a compacted log, which keeps the newest record of each key.
type Table string

// The tables of a cell.
const (
	// TableState holds the jobs and the ownership claims; only the owner writes to it.
	TableState Table = "state"
	// TableInstances holds the addresses of the instances and the current owner.
	TableInstances Table = "instances"
	// TableOperator holds the records of the operators; it is read-only for the instances.
	TableOperator Table = "operator"
	// TableEndpoints holds the endpoint list; it is read-only for the instances.
	TableEndpoints Table = "endpoints"
)

// Record is a record of a table. A record without a value deletes its key.
type Record struct {
	Key   string
	Value []byte
}

// keyLengthSize is the size of the length of a key in a record, in bytes.
const keyLengthSize = 1

// Size returns the size of the record in the store, in bytes.
func (r *Record) Size() int { return keyLengthSize + len(r.Key) + len(r.Value) }

// AnyOffset is the offset for an unconditional append.
const AnyOffset int64 = -1

// AppendReply is the outcome of an append.
type AppendReply struct {
	// Appended is false if nothing was appended because the table did not end at the expected offset.
	Appended bool
	// End is the offset after the last record.
	End int64
}

// Page is a page of the newest records of a table, one for each key.
type Page struct {
	Records []Record
	// More means that further keys follow the last one.
	More bool
	// End is the offset after the last record of the table.
	End int64
}

// Tail holds the records that follow an offset of a table.
type Tail struct {
	Records []Record
	// Next is the offset after Records, and End the offset after the last record of the table.
	Next, End int64
	// Truncated means that the records at the offset have been deleted from the log.
	Truncated bool
}

// Store is the platform's store. An error of Append other than a RefusedError
// leaves the outcome open: the records may have been appended or may still be.
// Newest returns the records with keys that follow after. Read returns records
// from an offset on, at most limit kilobytes, and waits for new ones up to wait.
// All of them call Progressed while data is transferred.
type Store interface {
	Append(ctx context.Context, table Table, at int64, records []Record) (AppendReply, error)
	Newest(ctx context.Context, table Table, after string) (Page, error)
	Read(ctx context.Context, table Table, from int64, limit int, wait time.Duration) (Tail, error)
}

// Endpoints sends orders to endpoints. An error describes why an order was not
// answered as expected; the verdict is valid also with an error.
type Endpoints interface {
	Start(ctx context.Context, target Target, order StartOrder) (Verdict, error)
	Stop(ctx context.Context, target Target, order StopOrder) (Verdict, error)
	Renew(ctx context.Context, target Target, order RenewOrder) (Report, Verdict, error)
}

// Adviser asks a queue's placement policy which of the endpoints may run a step.
// It returns a ticket for each endpoint that the policy admits.
type Adviser interface {
	Advise(ctx context.Context, job string, occurrence, step int, endpoints []string) ([]Ticket, error)
}

// RefusedError means that the store refused a call without any effect.
type RefusedError struct{ Reason string }

// Error implements error.
func (e *RefusedError) Error() string { return "store refused the call: " + e.Reason }

// Decoder decodes the records that other systems write to the store.
type Decoder interface {
	// Endpoint decodes an entry of the endpoint list.
	Endpoint(record Record) (Listing, error)
	// Configuration decodes a record of the operators. It returns nil if the record holds no configuration.
	Configuration(record Record) (*Configuration, error)
	// Evacuation decodes a record of the operators that evacuates a zone. It returns the zone and whether the record
	// evacuates it or withdraws the evacuation; the zone is empty if the record is about no zone.
	Evacuation(record Record) (zone string, evacuated bool)
}
