package connector

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"

	"gitlab.com/greengagewall/greengagewall/internal/domain/modeler"
	"gitlab.com/greengagewall/greengagewall/internal/platform/messenger"
)

func serve(t *testing.T, handler http.HandlerFunc) netip.AddrPort {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)

	return netip.MustParseAddrPort(server.Listener.Addr().String())
}

func endpoint(address netip.AddrPort, opts ...Option) messenger.Endpoint {
	return NewDialer(opts...).Endpoint(modeler.Instance{Address: address})
}

// Guards against a refusal of an endpoint being taken for an unknown outcome,
// or the reverse.
func TestStatusBecomesError(t *testing.T) {
	for status, want := range map[int]error{
		http.StatusOK: nil, http.StatusConflict: messenger.ErrTerm, http.StatusGone: messenger.ErrSession,
		http.StatusTooManyRequests: messenger.ErrCapacity, http.StatusPreconditionFailed: messenger.ErrVoided,
	} {
		address := serve(t, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(status) })
		if err := endpoint(address).Start(t.Context(), messenger.StartRequest{}); !errors.Is(err, want) {
			t.Errorf("status %d: got %v, want %v", status, err, want)
		}
	}
	address := serve(t, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusBadGateway) })
	err := endpoint(address).Start(t.Context(), messenger.StartRequest{})
	if err == nil || errors.Is(err, messenger.ErrUnsent) {
		t.Errorf("status 502: got %v, want an error that leaves the outcome open", err)
	}
}

// Guards against a start that may have reached the endpoint being reported as
// not sent, which would let the task run twice.
func TestUnsentOnlyWithoutConnection(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := netip.MustParseAddrPort(listener.Addr().String())
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			_, _ = c.Read(make([]byte, 1))
			_ = c.Close()
		}
	}()
	err = endpoint(address).Start(t.Context(), messenger.StartRequest{})
	if err == nil || errors.Is(err, messenger.ErrUnsent) {
		t.Errorf("closed by the endpoint: got %v, want an error that leaves the outcome open", err)
	}
	_ = listener.Close()
	err = endpoint(address).Start(t.Context(), messenger.StartRequest{})
	if !errors.Is(err, messenger.ErrUnsent) {
		t.Errorf("refused connection: got %v, want %v", err, messenger.ErrUnsent)
	}
}

// Guards against net/http sending a start again by itself when a reused
// connection breaks after the request was written.
func TestNoAutomaticRetry(t *testing.T) {
	var starts atomic.Int32
	address := serve(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/v1/start" {
			starts.Add(1)
			hijacked, _, err := w.(http.Hijacker).Hijack()
			if err == nil {
				_ = hijacked.Close()
			}

			return
		}
		_, _ = io.WriteString(w, "{}")
	})
	e := endpoint(address)
	if _, err := e.Renew(t.Context(), messenger.RenewRequest{}); err != nil {
		t.Fatal(err)
	}
	if err := e.Start(t.Context(), messenger.StartRequest{}); err == nil {
		t.Error("start on a broken connection succeeded")
	}
	if n := starts.Load(); n != 1 {
		t.Errorf("start was sent %d times, want 1", n)
	}
}

// silencer forwards connections to target; silenced ones stay open and carry
// nothing.
type silencer struct {
	target   string
	accepted atomic.Int32
	silent   atomic.Int32
}

func (s *silencer) loop(listener net.Listener) {
	for {
		c, err := listener.Accept()
		if err != nil {
			return
		}
		n := s.accepted.Add(1)
		out, err := new(net.Dialer).DialContext(context.Background(), "tcp", s.target)
		if err != nil {
			return
		}
		go s.run(out, c, n)
		go s.run(c, out, n)
	}
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
// while new connections work.
func TestSilentConnectionsAreNotReused(t *testing.T) {
	const silence = 150 * time.Millisecond
	hold := make(chan struct{})
	address := serve(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/v1/call" {
			<-hold
		}
		_, _ = io.WriteString(w, "{}")
	})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	s := &silencer{target: address.String()}
	go s.loop(listener)
	e := endpoint(netip.MustParseAddrPort(listener.Addr().String()), WithSilence(silence))
	done := make(chan error, 4)
	for range cap(done) {
		go func() {
			_, err := e.Call(t.Context(), messenger.CallRequest{})
			done <- err
		}()
	}
	for s.accepted.Load() < int32(cap(done)) {
		time.Sleep(time.Millisecond)
	}
	close(hold)
	for range cap(done) {
		if err := <-done; err != nil {
			t.Fatal(err)
		}
	}
	s.silent.Store(s.accepted.Load())
	begun := time.Now()
	if _, err := e.Renew(t.Context(), messenger.RenewRequest{}); !errors.Is(err, errSilent) {
		t.Errorf("renewal on a silent connection: got %v, want %v", err, errSilent)
	}
	if took := time.Since(begun); took > 3*silence {
		t.Errorf("silence was noticed after %s, want about %s", took, silence)
	}
	if _, err := e.Renew(t.Context(), messenger.RenewRequest{}); err != nil {
		t.Errorf("request after the silence: %v", err)
	}
}

// Guards against a call that takes longer than the silence limit being given
// up although the executor shows that it is still working.
func TestLongCallWithProgress(t *testing.T) {
	address := serve(t, func(w http.ResponseWriter, _ *http.Request) {
		for range 12 {
			time.Sleep(50 * time.Millisecond)
			w.WriteHeader(http.StatusProcessing)
		}
		_, _ = io.WriteString(w, `{"request":"r"}`)
	})
	e := endpoint(address, WithSilence(200*time.Millisecond))
	if _, err := e.Call(t.Context(), messenger.CallRequest{Request: "r"}); err != nil {
		t.Error(err)
	}
}

// Guards against the answer to one request being handed to another.
func TestCallRefusesForeignAnswer(t *testing.T) {
	address := serve(t, func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, `{"request":"other"}`) })
	if _, err := endpoint(address).Call(t.Context(), messenger.CallRequest{Request: "r"}); err == nil {
		t.Error("answer for another request was accepted")
	}
}
