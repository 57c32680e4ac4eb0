package commander

import (
	"bytes"
	"context"
	"expvar"
	"net"
	"net/netip"
	"testing"
	"time"
)

// TestServe_Cost guards against measures without the processor use of an
// instance, and against a second start in one process that panics.
func TestServe_Cost(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	var out bytes.Buffer
	for range 2 {
		serve := ServeCmd{
			Listen: address(free(t)), Peer: concrete(free(t)), Log: concrete(free(t)), List: concrete(free(t)),
			Region: "costa", Zone: "costa-a", IDPrefix: "entry", Retention: time.Hour, Inflight: 1,
			Drain: time.Second, LogLevel: "error", LogFormat: "text",
		}
		if code, err := serve.Run(ctx, Env{Err: &out}); code != codeOK || err != nil {
			t.Fatalf("exit code %d: %v\n%s", code, err, out.String())
		}
	}
	if expvar.Get("process") == nil {
		t.Error("/debug/vars has no process")
	}
}

// free returns an address that was free a moment ago.
func free(t *testing.T) netip.AddrPort {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()

	return listener.Addr().(*net.TCPAddr).AddrPort()
}
