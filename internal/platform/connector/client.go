// Package connector implements the HTTP/JSON clients of the platform's log,
// instance list and endpoints.
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

// errSilentConnection is the error of a request whose connection has received
// nothing for the silence timeout.
var errSilentConnection = errors.New("connection is silent")

// statusError is the error of a response with a status other than 200.
type statusError struct {
	status int
	body   string
}

func (e *statusError) Error() string {
	return http.StatusText(e.status) + ": " + e.body
}

// client sends JSON requests over pooled connections and closes silent ones.
type client struct {
	settings settings
	pool     *pool
	http     *http.Client
}

func newClient(opts []Option) *client {
	s := newSettings(opts)
	p := newPool(s.dialTimeout)
	transport := &http.Transport{
		DialContext:         p.dial,
		MaxConnsPerHost:     s.maxConns,
		MaxIdleConnsPerHost: s.maxConns,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
	}

	return &client{settings: s, pool: p, http: &http.Client{
		Transport:     transport,
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}}
}

// do sends a request with in as its JSON body and decodes the response into out;
// either may be nil. A request that got no connection fails with
// messenger.ErrUnsent, and a response with a status other than 200 is a
// *statusError. Any other error leaves it open whether the request took effect.
func (c *client) do(ctx context.Context, method string, address netip.AddrPort, path string, in, out any) error {
	if _, ok := ctx.Deadline(); !ok {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, c.settings.requestTimeout)
		defer cancel()
	}
	for range c.settings.maxConns {
		stale, err := c.attempt(ctx, method, address, path, in, out)
		if !stale {
			return err
		}
	}

	return errors.Wrapf(messenger.ErrUnsent, "%s: every pooled connection was closed", address)
}

// attempt sends a request once. It reports stale if net/http selected a connection
// that closeIdle had closed before, on which nothing can have been written.
func (c *client) attempt(
	ctx context.Context, method string, address netip.AddrPort, path string, in, out any,
) (stale bool, err error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	w := &watchdog{client: c, address: address.String(), cancel: cancel}
	defer w.stop()
	req, err := newRequest(w.trace(ctx), method, "http://"+w.address+path, in)
	if err != nil {
		return false, errors.Wrap(messenger.ErrUnsent, err.Error())
	}
	err = c.exchange(req, out)
	switch {
	case err == nil:
		return false, nil
	case w.conn.Load() == nil:
		return w.staleConn, errors.Wrapf(messenger.ErrUnsent, "%s: %v", w.address, err)
	case errors.Is(context.Cause(ctx), errSilentConnection):
		return false, errors.Wrapf(errSilentConnection, "%s %s%s", method, w.address, path)
	}

	return false, errors.Wrapf(err, "%s %s%s", method, w.address, path)
}

// newRequest returns a request with in as its JSON body. It leaves GetBody unset,
// so that net/http never sends a body again after a reused connection has failed.
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

// exchange sends req and decodes the response into out unless out is nil.
func (c *client) exchange(req *http.Request, out any) error {
	resp, err := c.http.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes+1))
	if err != nil {
		return err
	}
	if len(body) > maxResponseBytes {
		return errors.Errorf("answer is over %d bytes", maxResponseBytes)
	}
	if resp.StatusCode != http.StatusOK {
		return &statusError{status: resp.StatusCode, body: string(body[:min(len(body), 200)])}
	}
	if out == nil {
		return nil
	}

	return json.Unmarshal(body, out)
}

// watchdog cancels a request when its connection has received nothing for the
// silence timeout. Informational responses (1xx) of a server that is still
// working count as received.
type watchdog struct {
	client  *client
	address string
	cancel  context.CancelCauseFunc
	conn    atomic.Pointer[conn]
	// staleConn is set if the last selected connection was closed before it was used.
	staleConn bool
	// startedAt is when the request got its connection, on the clock of the pool.
	startedAt time.Duration
	timer     atomic.Pointer[time.Timer]
	stopped   atomic.Bool
}

func (w *watchdog) trace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn:     w.gotConn,
		PutIdleConn: func(error) { w.putIdle() },
		// With this hook net/http does not limit the number of 1xx responses.
		Got1xxResponse: func(int, textproto.MIMEHeader) error { return nil },
	})
}

// gotConn starts watching the connection of the request.
func (w *watchdog) gotConn(info httptrace.GotConnInfo) {
	c, ok := info.Conn.(*conn)
	if !ok {
		return
	}
	if w.staleConn = !w.client.pool.markBusy(c); w.staleConn {
		return
	}
	w.startedAt = w.client.pool.now()
	w.conn.Store(c)
	w.timer.Store(time.AfterFunc(w.client.settings.silenceTimeout, w.checkSilence))
}

// putIdle marks the connection of the request as idle.
func (w *watchdog) putIdle() {
	if c := w.conn.Load(); c != nil {
		w.client.pool.markIdle(c)
	}
}

// checkSilence cancels the request if its connection is silent. Otherwise it
// schedules the next check for the earliest time at which it could be.
func (w *watchdog) checkSilence() {
	c := w.conn.Load()
	if w.stopped.Load() {
		return
	}
	p := w.client.pool
	last := max(w.startedAt, time.Duration(c.lastRead.Load()))
	if left := w.client.settings.silenceTimeout - (p.now() - last); left > 0 {
		w.timer.Store(time.AfterFunc(left, w.checkSilence))

		return
	}
	// The idle connections are closed before the request is cancelled, because its
	// caller may then send another one, which would get a silent connection from the
	// pool.
	p.closeIdle(w.address, last)
	w.cancel(errSilentConnection)
	_ = c.Close()
}

// stop stops the watchdog when the request has ended.
func (w *watchdog) stop() {
	w.stopped.Store(true)
	if t := w.timer.Load(); t != nil {
		t.Stop()
	}
}
