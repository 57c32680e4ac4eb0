package connector

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"

	"gitlab.com/greengagewall/greengagewall/internal/platform/messenger"
)

// pipeListener connects a client to a server by in-memory pipes. It is the
// server's listener. Connections can be silenced: they stay open and carry no
// data.
type pipeListener struct {
	// incoming passes the server's end of each connection to Accept.
	incoming chan net.Conn
	closed   chan struct{}
	// dialed counts the connections; the first silentUpTo of them are silenced.
	dialed     atomic.Int32
	silentUpTo atomic.Int32
}

func newPipeListener() *pipeListener {
	return &pipeListener{incoming: make(chan net.Conn), closed: make(chan struct{})}
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.incoming:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Close() error   { close(l.closed); return nil }
func (l *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

func (l *pipeListener) dial(context.Context, string, string) (net.Conn, error) {
	n := l.dialed.Add(1)
	client, near := net.Pipe()
	far, server := net.Pipe()
	go l.run(far, near, n)
	go l.run(near, far, n)
	l.incoming <- server

	return client, nil
}

// run copies the data of connection n unless it is silenced.
func (l *pipeListener) run(to, from net.Conn, n int32) {
	data := make([]byte, 4096)
	for {
		m, err := from.Read(data)
		if err != nil {
			_ = to.Close()

			return
		}
		if n > l.silentUpTo.Load() {
			_, _ = to.Write(data[:m])
		}
	}
}

// TestClient_SilentConnectionsNotReused guards against sending requests on pooled
// connections that have gone silent while new connections work. It uses the fake
// clock of synctest, so that the result does not depend on the speed of the
// machine.
func TestClient_SilentConnectionsNotReused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const silence, connections = 150 * time.Millisecond, 4
		release := make(chan struct{})
		listener := newPipeListener()
		server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/v1/call" {
				<-release
			}
			_, _ = io.WriteString(w, "{}")
		})}
		go func() { _ = server.Serve(listener) }()
		defer func() { _ = server.Close() }()
		c := newClient([]Option{WithSilenceTimeout(silence)})
		c.pool.dialContext = listener.dial
		defer c.http.CloseIdleConnections()
		e := &Endpoint{client: c, address: netip.MustParseAddrPort("127.0.0.1:1")}
		done := make(chan error, connections)
		for range connections {
			go func() {
				_, err := e.Call(t.Context(), messenger.CallRequest{})
				done <- err
			}()
		}
		synctest.Wait()
		close(release)
		for range connections {
			if err := <-done; err != nil {
				t.Fatal(err)
			}
		}
		synctest.Wait()
		if n := listener.dialed.Load(); n != connections {
			t.Fatalf("%d connections, want %d", n, connections)
		}
		listener.silentUpTo.Store(connections)
		time.Sleep(time.Second)
		started := time.Now()
		if _, err := e.Renew(t.Context(), messenger.RenewRequest{}); !errors.Is(err, errSilentConnection) {
			t.Errorf("renewal on a silent connection: got %v, want %v", err, errSilentConnection)
		}
		if took := time.Since(started); took != silence {
			t.Errorf("silence was detected after %s, want %s", took, silence)
		}
		for range connections {
			if _, err := e.Renew(t.Context(), messenger.RenewRequest{}); err != nil {
				t.Errorf("request after the silence: %v", err)
			}
		}
	})
}

// TestWatchdog_ClosesIdleBeforeCancel guards against ending a request on a silent
// connection while idle connections to the same host are still in the pool, so
// that the next request would get one of them.
func TestWatchdog_ClosesIdleBeforeCancel(t *testing.T) {
	c := newClient([]Option{WithSilenceTimeout(time.Nanosecond)})
	c.pool.dialContext = func(context.Context, string, string) (net.Conn, error) {
		near, _ := net.Pipe()

		return near, nil
	}
	var conns [2]*conn
	for i := range conns {
		dialed, err := c.pool.dial(t.Context(), "tcp", "host")
		if err != nil {
			t.Fatal(err)
		}
		conns[i], _ = dialed.(*conn)
		conns[i].lastRead.Store(0)
	}
	busy, idle := conns[0], conns[1]
	ended := false
	w := &watchdog{client: c, address: "host", startedAt: time.Nanosecond, cancel: func(error) {
		if ended = true; c.pool.markBusy(idle) {
			t.Error("the request ended before the idle connection was closed")
		}
	}}
	c.pool.markBusy(busy)
	w.conn.Store(busy)
	time.Sleep(time.Millisecond)
	if w.checkSilence(); !ended {
		t.Error("the request did not end")
	}
}
