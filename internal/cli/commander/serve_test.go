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

// TestServe_ProcessUsage guards against /debug/vars without the processor usage
// of an instance, and against a panic on a second start in one process.
func TestServe_ProcessUsage(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	var out bytes.Buffer
	for range 2 {
		serve := ServeCmd{
			Listen: address(freeAddress(t)), Peer: reachableAddress(freeAddress(t)), Log: reachableAddress(freeAddress(t)), List: reachableAddress(freeAddress(t)),
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

// freeAddress returns a loopback address whose port was free when it was probed.
func freeAddress(t *testing.T) netip.AddrPort {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()

	return listener.Addr().(*net.TCPAddr).AddrPort()
}
