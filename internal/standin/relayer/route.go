// Package relayer forwards TCP connections and can disturb them.
package relayer

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/pkg/errors"

	"gitlab.com/greengagewall/greengagewall/internal/standin/injector"
)

// Mode tells what a route does with connections.
type Mode string

// The modes of a route.
const (
	// ModePass forwards.
	ModePass Mode = ""
	// ModeCut closes open connections and refuses new ones.
	ModeCut Mode = "cut"
	// ModeFreeze accepts connections and holds all data until the mode changes.
	ModeFreeze Mode = "freeze"
	// ModeSilence makes the connections that are open when it is set silent
	// for ever; new connections work.
	ModeSilence Mode = "silence"
)

// Settings are the disturbances of a route.
type Settings struct {
	Mode Mode `json:"mode,omitempty"`
	// Delay is added to everything in each direction.
	Delay injector.Duration `json:"delay,omitempty"`
}

// dialTimeout bounds the opening of the connection to the target.
const dialTimeout = 2 * time.Second

// Route forwards the connections to one address to another.
type Route struct {
	listener net.Listener
	target   netip.AddrPort

	mu       sync.Mutex
	settings Settings
	changed  chan struct{}
	links    map[*link]struct{}
	closed   bool
	done     chan struct{}
}

// link is a pair of joined connections.
type link struct {
	route    *Route
	in, out  net.Conn
	silenced bool
}

// Listen starts a route from listen, whose port may be 0, to target.
func Listen(ctx context.Context, listen, target netip.AddrPort) (*Route, error) {
	var config net.ListenConfig
	listener, err := config.Listen(ctx, "tcp", listen.String())
	if err != nil {
		return nil, err
	}
	r := &Route{
		listener: listener, target: target, changed: make(chan struct{}),
		links: make(map[*link]struct{}), done: make(chan struct{}),
	}
	go r.loop()

	return r, nil
}

// Address returns the address that the route listens on.
func (r *Route) Address() netip.AddrPort {
	address, _ := netip.ParseAddrPort(r.listener.Addr().String())

	return address
}

// Set replaces the settings.
func (r *Route) Set(settings Settings) error {
	switch settings.Mode {
	case ModePass, ModeCut, ModeFreeze, ModeSilence:
	default:
		return errors.Errorf("unknown mode %q", settings.Mode)
	}
	r.mu.Lock()
	r.settings = settings
	close(r.changed)
	r.changed = make(chan struct{})
	var cut []*link
	for l := range r.links {
		switch settings.Mode {
		case ModeCut:
			cut = append(cut, l)
		case ModeSilence:
			l.silenced = true
		case ModePass, ModeFreeze:
		}
	}
	r.mu.Unlock()
	for _, l := range cut {
		l.close()
	}

	return nil
}

// Close ends the route and its connections.
func (r *Route) Close() {
	_ = r.Set(Settings{Mode: ModeCut})
	r.mu.Lock()
	r.closed = true
	r.mu.Unlock()
	_ = r.listener.Close()
	<-r.done
}

func (r *Route) loop() {
	defer close(r.done)
	for {
		in, err := r.listener.Accept()
		if err != nil {
			return
		}
		go r.join(in)
	}
}

func (r *Route) join(in net.Conn) {
	if settings, _ := r.now(); settings.Mode == ModeCut {
		_ = in.Close()

		return
	}
	out, err := net.DialTimeout("tcp", r.target.String(), dialTimeout) //nolint:noctx // bounded by the timeout
	if err != nil {
		_ = in.Close()

		return
	}
	l := &link{route: r, in: in, out: out}
	r.mu.Lock()
	refused := r.closed || r.settings.Mode == ModeCut
	if !refused {
		r.links[l] = struct{}{}
	}
	r.mu.Unlock()
	if refused {
		l.close()

		return
	}
	go l.run(in, out)
	go l.run(out, in)
}

func (r *Route) now() (Settings, <-chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()

	return r.settings, r.changed
}

// run copies from one connection to the other until either ends.
func (l *link) run(from, to net.Conn) {
	defer l.close()
	data := make([]byte, 64<<10)
	for {
		n, err := from.Read(data)
		if n > 0 && l.pass() {
			if _, err := to.Write(data[:n]); err != nil {
				return
			}
		}
		if err != nil {
			// A silent connection stays open even when one side is closed.
			l.hold()

			return
		}
	}
}

// pass waits as the settings say and reports whether data goes through.
func (l *link) pass() bool {
	for {
		settings, changed := l.route.now()
		if l.silent() {
			return false
		}
		if settings.Mode != ModeFreeze {
			time.Sleep(time.Duration(settings.Delay))

			return !l.silent()
		}
		<-changed
	}
}

// hold keeps a silent or frozen link open until the settings change.
func (l *link) hold() {
	for {
		settings, changed := l.route.now()
		if settings.Mode == ModeFreeze || settings.Mode == ModeSilence && l.silent() {
			<-changed

			continue
		}

		return
	}
}

func (l *link) silent() bool {
	l.route.mu.Lock()
	defer l.route.mu.Unlock()

	return l.silenced
}

func (l *link) close() {
	l.route.mu.Lock()
	delete(l.route.links, l)
	l.route.mu.Unlock()
	_ = l.in.Close()
	_ = l.out.Close()
}
