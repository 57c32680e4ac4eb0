// Package relayer forwards TCP connections and injects network faults into them.
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

// Mode is the way in which a route handles connections.
type Mode string

// The modes of a route.
const (
	// ModePass forwards all data.
	ModePass Mode = ""
	// ModeCut closes open connections and refuses new ones.
	ModeCut Mode = "cut"
	// ModeFreeze accepts connections and delays all data until the mode changes.
	ModeFreeze Mode = "freeze"
	// ModeSilence permanently discards the data of the connections that are open
	// when it is set. New connections forward data.
	ModeSilence Mode = "silence"
)

// Settings are the mode and the delay of a route.
type Settings struct {
	Mode Mode `json:"mode,omitempty"`
	// Delay is added to all data in each direction.
	Delay injector.Duration `json:"delay,omitempty"`
}

// dialTimeout limits the time to connect to the target.
const dialTimeout = 2 * time.Second

// Route listens on one address and forwards its connections to another.
type Route struct {
	listener net.Listener
	target   netip.AddrPort

	mu       sync.Mutex
	settings Settings
	// changed is closed and replaced when the settings change.
	changed chan struct{}
	links   map[*link]struct{}
	closed  bool
	done    chan struct{}
}

// link is a connection to the route and the connection to the target that it is
// forwarded to.
type link struct {
	route   *Route
	in, out net.Conn
	// silenced means that the data of the link is discarded.
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

// Set replaces the settings. It returns an error for an unknown mode.
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

// Close stops the route and closes its connections.
func (r *Route) Close() {
	_ = r.Set(Settings{Mode: ModeCut})
	r.mu.Lock()
	r.closed = true
	r.mu.Unlock()
	_ = r.listener.Close()
	<-r.done
}

// loop forwards connections until the listener is closed.
func (r *Route) loop() {
	defer close(r.done)
	for {
		in, err := r.listener.Accept()
		if err != nil {
			return
		}
		go r.connect(in)
	}
}

// connect connects to the target and forwards data in both directions.
func (r *Route) connect(in net.Conn) {
	if settings, _ := r.currentSettings(); settings.Mode == ModeCut {
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

// currentSettings returns the settings and a channel that is closed when they
// change.
func (r *Route) currentSettings() (Settings, <-chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()

	return r.settings, r.changed
}

// run copies data from one connection to the other until either is closed.
func (l *link) run(from, to net.Conn) {
	defer l.close()
	data := make([]byte, 64<<10)
	for {
		n, err := from.Read(data)
		if n > 0 && l.waitToForward() {
			if _, err := to.Write(data[:n]); err != nil {
				return
			}
		}
		if err != nil {
			// A silenced link stays open even if one side is closed.
			l.keepOpen()

			return
		}
	}
}

// waitToForward waits for the end of a freeze and for the delay. It reports whether
// the data is to be forwarded.
func (l *link) waitToForward() bool {
	for {
		settings, changed := l.route.currentSettings()
		if l.isSilenced() {
			return false
		}
		if settings.Mode != ModeFreeze {
			time.Sleep(time.Duration(settings.Delay))

			return !l.isSilenced()
		}
		<-changed
	}
}

// keepOpen blocks while the route is frozen, or while its mode is ModeSilence and
// the link is silenced.
func (l *link) keepOpen() {
	for {
		settings, changed := l.route.currentSettings()
		if settings.Mode == ModeFreeze || settings.Mode == ModeSilence && l.isSilenced() {
			<-changed

			continue
		}

		return
	}
}

func (l *link) isSilenced() bool {
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
