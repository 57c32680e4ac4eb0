package relayer

import (
	"io"
	"net"
	"net/netip"
	"testing"
	"time"
)

// echoRoute returns a route to a server that echoes all data.
func echoRoute(t *testing.T) *Route {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go func() { _, _ = io.Copy(c, c) }()
		}
	}()
	route, err := Listen(t.Context(), netip.MustParseAddrPort("127.0.0.1:0"), netip.MustParseAddrPort(listener.Addr().String()))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		route.Close()
		_ = listener.Close()
	})

	return route
}

// echoes reports whether a byte is echoed within 100 ms.
func echoes(c net.Conn) bool {
	_ = c.SetDeadline(time.Now().Add(100 * time.Millisecond))
	if _, err := c.Write([]byte("x")); err != nil {
		return false
	}
	n, _ := c.Read(make([]byte, 1))

	return n == 1
}

func dial(t *testing.T, route *Route) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", route.Address().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })

	return c
}

// TestModes guards against a mode that has no effect. A chaos run with such a mode
// would pass without testing the fault.
func TestModes(t *testing.T) {
	route := echoRoute(t)
	for _, c := range []struct {
		mode                                    Mode
		openEchoes, newEchoes, echoesAfterReset bool
	}{
		{ModePass, true, true, true},
		{ModeSilence, false, true, false},
		{ModeFreeze, false, false, true},
		{ModeCut, false, false, false},
	} {
		open := dial(t, route)
		if !echoes(open) {
			t.Fatalf("%q: route does not forward before the mode is set", c.mode)
		}
		if err := route.Set(Settings{Mode: c.mode}); err != nil {
			t.Fatal(err)
		}
		if got := echoes(open); got != c.openEchoes {
			t.Errorf("%q: open connection echoes: %v, want %v", c.mode, got, c.openEchoes)
		}
		if got := echoes(dial(t, route)); got != c.newEchoes {
			t.Errorf("%q: new connection echoes: %v, want %v", c.mode, got, c.newEchoes)
		}
		if err := route.Set(Settings{}); err != nil {
			t.Fatal(err)
		}
		if got := echoes(open); got != c.echoesAfterReset {
			t.Errorf("%q: open connection echoes after the reset: %v, want %v", c.mode, got, c.echoesAfterReset)
		}
	}
}
