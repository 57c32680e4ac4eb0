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

// silencer connects a client to a server in memory; silenced connections stay
// open and carry nothing. It is the server's listener.
type silencer struct {
	accepted chan net.Conn
	closed   chan struct{}
	dialled  atomic.Int32
	silent   atomic.Int32
}

func newSilencer() *silencer {
	return &silencer{accepted: make(chan net.Conn), closed: make(chan struct{})}
}

func (s *silencer) Accept() (net.Conn, error) {
	select {
	case c := <-s.accepted:
		return c, nil
	case <-s.closed:
		return nil, net.ErrClosed
	}
}

func (s *silencer) Close() error   { close(s.closed); return nil }
func (s *silencer) Addr() net.Addr { return &net.TCPAddr{} }

func (s *silencer) dial(context.Context, string, string) (net.Conn, error) {
	n := s.dialled.Add(1)
	client, near := net.Pipe()
	far, server := net.Pipe()
	go s.run(far, near, n)
	go s.run(near, far, n)
	s.accepted <- server

	return client, nil
}

func (s *silencer) run(to, from net.Conn, n int32) {
	data := make([]byte, 4096)
	for {
		m, err := from.Read(data)
		if err != nil {
			_ = to.Close()

			return
		}
		if n > s.silent.Load() {
			_, _ = to.Write(data[:m])
		}
	}
}

// Guards against requests going to pooled connections that have gone silent
// while new connections work. Time is that of the bubble, so that the result
// does not depend on the speed of the machine.
func TestSilentConnectionsAreNotReused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const silence, connections = 150 * time.Millisecond, 4
		hold := make(chan struct{})
		s := newSilencer()
		server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/v1/call" {
				<-hold
			}
			_, _ = io.WriteString(w, "{}")
		})}
		go func() { _ = server.Serve(s) }()
		defer func() { _ = server.Close() }()
		c := newClient([]Option{WithSilence(silence)})
		c.pool.connect = s.dial
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
		close(hold)
		for range connections {
			if err := <-done; err != nil {
				t.Fatal(err)
			}
		}
		synctest.Wait()
		if n := s.dialled.Load(); n != connections {
			t.Fatalf("%d connections, want %d", n, connections)
		}
		s.silent.Store(connections)
		time.Sleep(time.Second)
		begun := time.Now()
		if _, err := e.Renew(t.Context(), messenger.RenewRequest{}); !errors.Is(err, errSilent) {
			t.Errorf("renewal on a silent connection: got %v, want %v", err, errSilent)
		}
		if took := time.Since(begun); took != silence {
			t.Errorf("silence was noticed after %s, want %s", took, silence)
		}
		for range connections {
			if _, err := e.Renew(t.Context(), messenger.RenewRequest{}); err != nil {
				t.Errorf("request after the silence: %v", err)
			}
		}
	})
}

// Guards against a silent request that ends while idle connections of the same
// host are still in the pool, from where the next request would take one.
func TestIdleConnectionsAreDroppedBeforeTheRequestEnds(t *testing.T) {
	c := newClient([]Option{WithSilence(time.Nanosecond)})
	c.pool.connect = func(context.Context, string, string) (net.Conn, error) {
		near, _ := net.Pipe()

		return near, nil
	}
	var conns [2]*conn
	for i := range conns {
		dialled, err := c.pool.dial(t.Context(), "tcp", "host")
		if err != nil {
			t.Fatal(err)
		}
		conns[i], _ = dialled.(*conn)
		conns[i].heard.Store(0)
	}
	busy, idle := conns[0], conns[1]
	ended := false
	w := &watch{client: c, host: "host", start: time.Nanosecond, cancel: func(error) {
		if ended = true; c.pool.take(idle) {
			t.Error("the request ended before the idle connection was dropped")
		}
	}}
	c.pool.take(busy)
	w.conn.Store(busy)
	time.Sleep(time.Millisecond)
	if w.check(); !ended {
		t.Error("the request did not end")
	}
}
