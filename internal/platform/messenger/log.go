// Package messenger defines the interfaces to the platform and the message types
// of its HTTP/JSON protocols.
package messenger

import (
	"context"
	"time"

	"gitlab.com/greengagewall/greengagewall/internal/domain/modeler"
)

// LogRecord is a record of a stream of the log.
type LogRecord struct {
	Offset modeler.Offset `json:"offset"`
	Time   time.Time      `json:"time"`
	Data   []byte         `json:"data"`
}

// Page is the response to a read.
type Page struct {
	// First is the oldest retained offset of the stream.
	First modeler.Offset `json:"first"`
	// Next is the offset after the last record in the stream.
	Next    modeler.Offset `json:"next"`
	Records []LogRecord    `json:"records"`
}

// AppendRequest is the body of POST /v1/streams/{stream}/records.
type AppendRequest struct {
	Data []byte `json:"data"`
}

// AppendReply is the response to an AppendRequest.
type AppendReply struct {
	Offset modeler.Offset `json:"offset"`
}

// Log is the platform's append-only log service.
type Log interface {
	// Append appends data to stream and returns its offset. After an error the
	// record may nevertheless be in the stream.
	Append(ctx context.Context, stream string, data []byte) (modeler.Offset, error)
	// Read returns up to limit records, starting at offset from. It waits up to wait
	// for the first one. If from is below the oldest retained offset, it reads from
	// that offset.
	Read(ctx context.Context, stream string, from modeler.Offset, limit int, wait time.Duration) (Page, error)
}

// Lister is the platform's instance list, which lags behind the real state.
type Lister interface {
	Instances(ctx context.Context) ([]modeler.Instance, error)
}
