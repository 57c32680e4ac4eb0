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
	err := l.client.do(ctx, http.MethodPost, l.address, path(stream), messenger.AppendRequest{Data: data}, &reply)

	return reply.Offset, err
}

// Read implements messenger.Log. It asks the log to wait at most half the
// silence limit, so that a waiting read is never taken for a silent
// connection.
func (l *Log) Read(
	ctx context.Context, stream string, from modeler.Offset, limit int, wait time.Duration,
) (messenger.Page, error) {
	wait = min(wait, l.client.settings.silence/2)
	query := url.Values{
		"from": {strconv.FormatInt(int64(from), 10)},
		"max":  {strconv.Itoa(limit)},
		"wait": {wait.String()},
	}
	var page messenger.Page
	err := l.client.do(ctx, http.MethodGet, l.address, path(stream)+"?"+query.Encode(), nil, &page)

	return page, err
}

func path(stream string) string { return "/v1/streams/" + url.PathEscape(stream) + "/records" }
