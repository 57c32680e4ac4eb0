package connector

import (
	"context"
	"net/http"
	"net/netip"
	"net/url"
	"strconv"
	"time"

	"gitlab.com/greengagewall/greengagewall/internal/domain/modeler"
	"gitlab.com/greengagewall/greengagewall/internal/platform/messenger"
)

// Log is the client of the platform's log.
type Log struct {
	client  *client
	address netip.AddrPort
}

// NewLog returns a client of the log at address.
func NewLog(address netip.AddrPort, opts ...Option) messenger.Log {
	return &Log{client: newClient(opts), address: address}
}

// Append implements messenger.Log.
func (l *Log) Append(ctx context.Context, stream string, data []byte) (modeler.Offset, error) {
	var reply messenger.AppendReply
	err := l.client.do(ctx, http.MethodPost, l.address, recordsPath(stream), messenger.AppendRequest{Data: data}, &reply)

	return reply.Offset, err
}

// Read implements messenger.Log. It asks the log to wait for at most half the
// silence timeout, so that the connection of a waiting read never counts as
// silent.
func (l *Log) Read(
	ctx context.Context, stream string, from modeler.Offset, limit int, wait time.Duration,
) (messenger.Page, error) {
	wait = min(wait, l.client.settings.silenceTimeout/2)
	query := url.Values{
		"from": {strconv.FormatInt(int64(from), 10)},
		"max":  {strconv.Itoa(limit)},
		"wait": {wait.String()},
	}
	var page messenger.Page
	err := l.client.do(ctx, http.MethodGet, l.address, recordsPath(stream)+"?"+query.Encode(), nil, &page)

	return page, err
}

// recordsPath returns the path of the records of stream.
func recordsPath(stream string) string { return "/v1/streams/" + url.PathEscape(stream) + "/records" }
