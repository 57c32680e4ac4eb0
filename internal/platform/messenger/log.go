// Package messenger defines the interfaces through which greengagewall meets
// the platform, and the wire types of the platform's HTTP/JSON protocols.
package messenger

import (
	"context"
	"time"

	"gitlab.com/greengagewall/greengagewall/internal/domain/modeler"
)

// LogRecord is a record of a stream.
type LogRecord struct {
	Offset modeler.Offset `json:"offset"`
	Time   time.Time      `json:"time"`
	Data   []byte         `json:"data"`
}

// Page is an answer to a read.
type Page struct {
	// First is the oldest retained offset of the stream.
	First modeler.Offset `json:"first"`
	// Next is the offset after the last record of the stream.
	Next    modeler.Offset `json:"next"`
	Records []LogRecord    `json:"records"`
}

// AppendRequest is the body of POST /v1/streams/{stream}/records.
type AppendRequest struct {
	Data []byte `json:"data"`
}

// AppendReply answers an AppendRequest.
type AppendReply struct {
	Offset modeler.Offset `json:"offset"`
}

// Log is the platform's append-only log service.
type Log interface {
	// Append adds data to stream and returns its offset. After an error the
	// record may be in the stream all the same.
	Append(ctx context.Context, stream string, data []byte) (modeler.Offset, error)
	// Read returns up to limit records from offset from on; it waits up to
	// wait for the first one. A from below the oldest retained offset reads
	// from that one.
	Read(ctx context.Context, stream string, from modeler.Offset, limit int, wait time.Duration) (Page, error)
}

// Lister is the platform's lagging list of instances.
type Lister interface {
	Instances(ctx context.Context) ([]modeler.Instance, error)
}
