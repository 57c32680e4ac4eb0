// Package connector holds the HTTP/JSON clients of the platform: the log, the
// instance list and the endpoints.
package connector

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/netip"
	"net/textproto"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"gitlab.com/greengagewall/greengagewall/internal/platform/messenger"
)

// errSilent ends a request on whose connection nothing came back.
var errSilent = errors.New("connection is silent")

// statusError is an answer with a status other than 200.
type statusError struct {
	status int
	body   string
}

func (e *statusError) Error() string {
	return http.StatusText(e.status) + ": " + e.body
}

// client sends JSON requests over pooled connections.
type client struct {
	settings settings
	pool     *pool
	http     *http.Client
}

func newClient(opts []Option) *client {
	s := newSettings(opts)
	p := newPool(s.dial)
	transport := &http.Transport{
		DialContext:         p.dial,
		MaxConnsPerHost:     s.connections,
		MaxIdleConnsPerHost: s.connections,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
	}

	return &client{settings: s, pool: p, http: &http.Client{
		Transport:     transport,
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}}
}

// do sends in as JSON and decodes the answer into out; nil leaves either out.
// A request that got no connection fails with ErrUnsent.
func (c *client) do(ctx context.Context, method string, address netip.AddrPort, path string, in, out any) error {
	if _, ok := ctx.Deadline(); !ok {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, c.settings.timeout)
		defer cancel()
	}
	for range c.settings.connections {
		dead, err := c.try(ctx, method, address, path, in, out)
		if !dead {
			return err
		}
	}

	return errors.Wrapf(messenger.ErrUnsent, "%s: every pooled connection was closed", address)
}

// try sends a request once. It reports dead when net/http chose a connection
// that dropIdle had closed before, on which nothing can have been written.
func (c *client) try(
	ctx context.Context, method string, address netip.AddrPort, path string, in, out any,
) (dead bool, err error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	w := &watch{client: c, host: address.String(), cancel: cancel}
	defer w.stop()
	req, err := newRequest(w.trace(ctx), method, "http://"+w.host+path, in)
	if err != nil {
		return false, errors.Wrap(messenger.ErrUnsent, err.Error())
	}
	err = c.exchange(req, out)
	switch {
	case err == nil:
		return false, nil
	case w.conn.Load() == nil:
		return w.dead, errors.Wrapf(messenger.ErrUnsent, "%s: %v", w.host, err)
	case errors.Is(context.Cause(ctx), errSilent):
		return false, errors.Wrapf(errSilent, "%s %s%s", method, w.host, path)
	}

	return false, errors.Wrapf(err, "%s %s%s", method, w.host, path)
}

// newRequest leaves GetBody unset, so that net/http never sends a body twice
// when a reused connection breaks.
func newRequest(ctx context.Context, method, url string, in any) (*http.Request, error) {
	if in == nil {
		return http.NewRequestWithContext(ctx, method, url, http.NoBody)
	}
	data, err := json.Marshal(in)
	if err != nil {
		return nil, err
	}
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(data))
	if err != nil {
		return nil, err
	}
	req.GetBody = nil
	req.Header.Set("Content-Type", "application/json")

	return req, nil
}

func (c *client) exchange(req *http.Request, out any) error {
	resp, err := c.http.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswer+1))
	if err != nil {
		return err
	}
	if len(body) > maxAnswer {
		return errors.Errorf("answer is over %d bytes", maxAnswer)
	}
	if resp.StatusCode != http.StatusOK {
		return &statusError{status: resp.StatusCode, body: string(body[:min(len(body), 200)])}
	}
	if out == nil {
		return nil
	}

	return json.Unmarshal(body, out)
}

// watch cancels a request when its connection receives nothing for the silence
// limit. Informational answers (1xx) of a server that is still working count
// as received.
type watch struct {
	client *client
	host   string
	cancel context.CancelCauseFunc
	conn   atomic.Pointer[conn]
	// dead is set while the last connection was closed before it was used.
	dead  bool
	start time.Duration
	timer atomic.Pointer[time.Timer]
	ended atomic.Bool
}

func (w *watch) trace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn:     w.got,
		PutIdleConn: func(error) { w.release() },
		// With this hook net/http does not limit the number of 1xx answers.
		Got1xxResponse: func(int, textproto.MIMEHeader) error { return nil },
	})
}

func (w *watch) got(info httptrace.GotConnInfo) {
	c, ok := info.Conn.(*conn)
	if !ok {
		return
	}
	if w.dead = !w.client.pool.take(c); w.dead {
		return
	}
	w.start = w.client.pool.now()
	w.conn.Store(c)
	w.timer.Store(time.AfterFunc(w.client.settings.silence, w.check))
}

func (w *watch) release() {
	if c := w.conn.Load(); c != nil {
		w.client.pool.release(c)
	}
}

// check cancels the request if the connection is silent, and otherwise looks
// again when it could be.
func (w *watch) check() {
	c := w.conn.Load()
	if w.ended.Load() {
		return
	}
	p := w.client.pool
	last := max(w.start, time.Duration(c.heard.Load()))
	if left := w.client.settings.silence - (p.now() - last); left > 0 {
		w.timer.Store(time.AfterFunc(left, w.check))

		return
	}
	// The idle connections go first: the end of this request lets its caller
	// send another one, which would take a silent connection from the pool.
	p.dropIdle(w.host, last)
	w.cancel(errSilent)
	_ = c.Close()
}

func (w *watch) stop() {
	w.ended.Store(true)
	if t := w.timer.Load(); t != nil {
		t.Stop()
	}
}
