// Package gossiper keeps the membership: it polls the platform's list, exchanges
// heartbeats with every other entry instance, and pulls newer configurations.
package gossiper

import (
	"context"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"gitlab.com/greengagewall/greengagewall/internal/container/buffer"
	"gitlab.com/greengagewall/greengagewall/internal/domain/modeler"
	"gitlab.com/greengagewall/greengagewall/internal/peer/forwarder"
	"gitlab.com/greengagewall/greengagewall/internal/platform/messenger"
)

// Config is the configuration that heartbeats describe and pulls replace.
type Config interface {
	modeler.Configuration
	// ConfigAge returns the time since the configuration in force was confirmed
	// by the log; ok is unset if it never was.
	ConfigAge(now time.Time) (age time.Duration, ok bool)
	// Confirm takes over that a peer with the configuration offset in force
	// had it confirmed age ago. It has no effect above the own offset.
	Confirm(offset modeler.Offset, age time.Duration)
	// Offer proposes a configuration of a peer and reports whether it is now
	// in force; a lower offset is ignored.
	Offer(offset modeler.Offset, document modeler.Document) bool
}

// Dialer opens connections to peers.
type Dialer interface {
	Client(address netip.AddrPort) (forwarder.PeerClient, error)
	Disconnect(address netip.AddrPort)
}

const (
	listInterval = time.Second
	beatInterval = 300 * time.Millisecond
	// beatTimeout is below the 1.2 s after which an owner is suspected, so
	// that one lost heartbeat does not delay the next one beyond it.
	beatTimeout = 600 * time.Millisecond
	// contact is the age up to which an answered heartbeat proves contact.
	contact = 2 * time.Second
	// forget is when a peer that is no longer listed is dropped. The list
	// lags, so a peer that still answers is kept.
	forget = 10 * time.Second
	// pullTimeout bounds one transfer of a configuration between regions.
	pullTimeout = 2 * time.Second
	// tailing is the age of the last confirmation up to which an instance is
	// taken to follow the log closely; its reads wait up to 500 ms.
	tailing = time.Second
	// tick is the pace at which this process notices its own pauses, and
	// paused the delay of a tick from which on it counts as one.
	tick   = 100 * time.Millisecond
	paused = 500 * time.Millisecond
	// pullsWaiting bounds the peers waiting to be pulled from; a peer that
	// finds the ring full is tried again at its next heartbeat.
	pullsWaiting = 64
)

// Gossiper implements modeler.Membership, forwarder.Gossip and
// forwarder.Directory. It is safe for concurrent use.
type Gossiper struct {
	self     modeler.Instance
	lister   messenger.Lister
	dialer   Dialer
	config   Config
	loads    func() []modeler.Load
	logger   hclog.Logger
	draining atomic.Bool
	pulls    *buffer.Ring[netip.AddrPort]
	done     chan struct{}
	loops    sync.WaitGroup

	mu        sync.RWMutex
	listRead  bool
	endpoints []modeler.Instance
	links     map[netip.AddrPort]*link
	// ticked is the time of the last tick.
	ticked time.Time
}

// Option configures a Gossiper.
type Option func(*Gossiper)

// WithSelf describes this instance; its peer address must be set.
func WithSelf(self modeler.Instance) Option { return func(g *Gossiper) { g.self = self } }

// WithLister sets the platform's list.
func WithLister(lister messenger.Lister) Option { return func(g *Gossiper) { g.lister = lister } }

// WithDialer sets the connections to peers.
func WithDialer(dialer Dialer) Option { return func(g *Gossiper) { g.dialer = dialer } }

// WithConfig sets the configuration of this instance.
func WithConfig(config Config) Option { return func(g *Gossiper) { g.config = config } }

// WithLoads sets the source of the loads that heartbeats carry.
func WithLoads(loads func() []modeler.Load) Option { return func(g *Gossiper) { g.loads = loads } }

// WithLogger sets the logger; without it nothing is logged.
func WithLogger(logger hclog.Logger) Option { return func(g *Gossiper) { g.logger = logger } }

// New returns a Gossiper; all options but WithLoads and WithLogger are needed.
func New(opts ...Option) *Gossiper {
	g := &Gossiper{
		loads:  func() []modeler.Load { return nil },
		logger: hclog.NewNullLogger(),
		pulls:  buffer.NewRing[netip.AddrPort](pullsWaiting),
		done:   make(chan struct{}),
		links:  map[netip.AddrPort]*link{},
	}
	for _, opt := range opts {
		opt(g)
	}

	return g
}

// Run polls the list and exchanges heartbeats until ctx ends.
func (g *Gossiper) Run(ctx context.Context) {
	defer close(g.done)
	g.resume(time.Now())
	g.loops.Go(func() { g.pullLoop(ctx) })
	g.loops.Go(func() { g.tickLoop(ctx) })
	g.listLoop(ctx)
	g.loops.Wait()
}

// Done is closed when Run has returned.
func (g *Gossiper) Done() <-chan struct{} { return g.done }

// Drain makes heartbeats say that this instance is shutting down.
func (g *Gossiper) Drain() { g.draining.Store(true) }

// Peers implements modeler.Membership. A peer that never answered a heartbeat
// has the id of its list entry and a zero Heard. The time during which this
// process was itself paused is not counted as silence of a peer.
func (g *Gossiper) Peers() []modeler.Peer {
	g.mu.RLock()
	defer g.mu.RUnlock()
	gap := g.gap(time.Now())
	peers := make([]modeler.Peer, 0, len(g.links))
	for _, l := range g.links {
		if !l.listed && l.peer.LastHeartbeat.IsZero() {
			continue
		}
		peer := l.peer
		if !peer.LastHeartbeat.IsZero() {
			peer.LastHeartbeat = peer.LastHeartbeat.Add(gap)
		}
		peers = append(peers, peer)
	}
	sortPeers(peers)

	return peers
}

// Endpoints implements modeler.Membership.
func (g *Gossiper) Endpoints() []modeler.Instance {
	g.mu.RLock()
	defer g.mu.RUnlock()

	return append([]modeler.Instance(nil), g.endpoints...)
}

// Address implements forwarder.Directory.
func (g *Gossiper) Address(id modeler.InstanceID) (netip.AddrPort, bool) {
	g.mu.RLock()
	defer g.mu.RUnlock()
	for address, l := range g.links {
		if l.peer.Instance.ID == id && !l.peer.LastHeartbeat.IsZero() {
			return address, true
		}
	}

	return netip.AddrPort{}, false
}

// ConfigAge returns the time since the configuration in force was confirmed by the
// log, directly or through a peer. ok is unset if it never was.
func (g *Gossiper) ConfigAge(now time.Time) (age time.Duration, ok bool) {
	return g.config.ConfigAge(now)
}

// HasMajority reports whether this instance is in contact with a majority of the
// listed live entry instances, itself included. It is false before the list
// was read for the first time.
func (g *Gossiper) HasMajority(now time.Time) bool {
	g.mu.RLock()
	defer g.mu.RUnlock()
	if !g.listRead {
		return false
	}
	listed, reached := 1, 1
	for _, l := range g.links {
		if !l.listed || l.peer.Instance.State == modeler.StateLeaving {
			continue
		}
		listed++
		if !l.answered.IsZero() && now.Sub(l.answered) < contact {
			reached++
		}
	}

	return 2*reached > listed
}
