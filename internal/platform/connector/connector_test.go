package connector

import (
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

// TestEndpoint_StatusErrors guards against a refusal of an endpoint that is
// reported as an unknown outcome, and against the reverse.
func TestEndpoint_StatusErrors(t *testing.T) {
	for status, want := range map[int]error{
		http.StatusOK: nil, http.StatusConflict: messenger.ErrStaleTerm, http.StatusGone: messenger.ErrSessionExpired,
		http.StatusTooManyRequests: messenger.ErrNoCapacity, http.StatusPreconditionFailed: messenger.ErrVoided,
		http.StatusMisdirectedRequest: messenger.ErrOtherEndpoint,
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

// TestEndpoint_UnsentOnlyWithoutConnection guards against a start that may have
// reached the endpoint but is reported as not sent, so that the task could run
// twice.
func TestEndpoint_UnsentOnlyWithoutConnection(t *testing.T) {
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

// TestEndpoint_NoAutomaticRetry guards against net/http sending a start again when
// a reused connection fails after the request was written.
func TestEndpoint_NoAutomaticRetry(t *testing.T) {
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

// TestEndpoint_LongCallWithProgress guards against cancelling a call that takes
// longer than the silence timeout although the executor shows, by 1xx responses,
// that it is still working.
func TestEndpoint_LongCallWithProgress(t *testing.T) {
	address := serve(t, func(w http.ResponseWriter, _ *http.Request) {
		for range 12 {
			time.Sleep(50 * time.Millisecond)
			w.WriteHeader(http.StatusProcessing)
		}
		_, _ = io.WriteString(w, `{"request":"r"}`)
	})
	e := endpoint(address, WithSilenceTimeout(200*time.Millisecond))
	if _, err := e.Call(t.Context(), messenger.CallRequest{Request: "r"}); err != nil {
		t.Error(err)
	}
}

// TestEndpoint_CallChecksRequest guards against returning the answer to one
// request to the caller of another.
func TestEndpoint_CallChecksRequest(t *testing.T) {
	address := serve(t, func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, `{"request":"other"}`) })
	if _, err := endpoint(address).Call(t.Context(), messenger.CallRequest{Request: "r"}); err == nil {
		t.Error("answer for another request was accepted")
	}
}
