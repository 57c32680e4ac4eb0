package definer

import (
	"context"
	"time"
)

// Table is a table of the store: a log whose newest record of each key is kept.
type Table string

// The tables of a cell.
const (
	// TableState holds the jobs and the claims of ownership; only the owner writes to it.
	TableState Table = "state"
	// TableInstances holds the addresses of the instances and who is the owner.
	TableInstances Table = "instances"
	// TableOperator holds what the operators write; the product only reads it.
	TableOperator Table = "operator"
	// TableEndpoints holds the endpoint list; the product only reads it.
	TableEndpoints Table = "endpoints"
)

// Record is a record of a table. A record without a value drops its key.
type Record struct {
	Key   string
	Value []byte
}

// AnyOffset appends without a condition on the offset.
const AnyOffset int64 = -1

// AppendReply is the outcome of an append.
type AppendReply struct {
	// Appended is false when the table did not end at the expected offset.
	Appended bool
	// End is the offset after the last record.
	End int64
}

// Page is a part of the newest records of a table.
type Page struct {
	Records []Record
	// More means that further keys follow the last one.
	More bool
	// End is the offset after the last record of the table.
	End int64
}

// Tail is what follows an offset of a table.
type Tail struct {
	Records []Record
	// Next is the offset after the records, and End the offset after the last record of the table.
	Next, End int64
	// Truncated means that the records at the offset are no longer kept.
	Truncated bool
}

// Store is the platform's store. An error of Append means that the append may
// have landed or may still land.
type Store interface {
	Append(ctx context.Context, table Table, at int64, records []Record) (AppendReply, error)
	Newest(ctx context.Context, table Table, after string) (Page, error)
	Read(ctx context.Context, table Table, from int64, limit int, wait time.Duration) (Tail, error)
}

// Endpoints sends orders to endpoints.
type Endpoints interface {
	Start(ctx context.Context, target Target, order StartOrder) (Verdict, error)
	Stop(ctx context.Context, target Target, order StopOrder) (Verdict, error)
	Renew(ctx context.Context, target Target, order RenewOrder) (Report, Verdict, error)
}

// Adviser asks a queue's placement policy which endpoints may run a step.
type Adviser interface {
	Advise(ctx context.Context, job string, occurrence, step int, endpoints []string) ([]Ticket, error)
}

// RefusedError says that the store refused a call without doing anything.
type RefusedError struct{ Reason string }

// Error implements error.
func (e *RefusedError) Error() string { return "store refused the call: " + e.Reason }

// Decoder reads what others write to the store.
type Decoder interface {
	// Endpoint reads an entry of the endpoint list.
	Endpoint(record Record) (Listing, error)
	// Configuration reads a record of the operators; it returns nil for one that holds no configuration.
	Configuration(record Record) (*Configuration, error)
}
