// Package gossiper maintains the membership. It polls the platform's instance
// list, exchanges heartbeats with all other entry instances, and pulls newer
// configurations from them.
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

// Config is the configuration of this instance. Heartbeats carry its offset and
// the time since its last confirmation; pulls replace it.
type Config interface {
	modeler.Configuration
	// ConfigAge returns the time since the log confirmed that the configuration in
	// force is the newest. It reports false if the log never did.
	ConfigAge(now time.Time) (age time.Duration, ok bool)
	// Confirm records that the configuration of a peer, which has the given offset,
	// was confirmed age ago. It has no effect if the offset is above that of this
	// instance.
	Confirm(offset modeler.Offset, age time.Duration)
	// Offer proposes a configuration of a peer and reports whether it has come
	// into force. A lower offset is ignored.
	Offer(offset modeler.Offset, document modeler.Document) bool
}

// Dialer opens connections to peers.
type Dialer interface {
	Client(address netip.AddrPort) (forwarder.PeerClient, error)
	Disconnect(address netip.AddrPort)
}

const (
	listInterval      = time.Second
	heartbeatInterval = 300 * time.Millisecond
	// heartbeatTimeout is below the 1.2 s after which an owner is suspected, so
	// that one lost heartbeat does not delay the next one beyond it.
	heartbeatTimeout = 600 * time.Millisecond
	// contactTimeout is the age up to which an answered heartbeat proves contact
	// with a peer.
	contactTimeout = 2 * time.Second
	// unlistedTimeout is the time without a heartbeat after which a peer that is
	// no longer listed is removed. A peer that still sends heartbeats is kept,
	// because the list lags.
	unlistedTimeout = 10 * time.Second
	// pullTimeout bounds the pull of one configuration between regions.
	pullTimeout = 2 * time.Second
	// maxTailAge is the age of the last confirmation up to which an instance is
	// considered to be at the tail of the log. Its reads of the log wait up to
	// 500 ms.
	maxTailAge = time.Second
	// tickInterval is the interval at which this process checks whether it was
	// paused. A tick that comes later than pauseThreshold after the previous one
	// counts as a pause.
	tickInterval   = 100 * time.Millisecond
	pauseThreshold = 500 * time.Millisecond
	// maxPendingPulls bounds the queue of peers to pull from. A peer for which
	// the queue has no room is queued again after its next heartbeat.
	maxPendingPulls = 64
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
	// lastTick is the time of the last tick.
	lastTick time.Time
}

// Option configures a Gossiper.
type Option func(*Gossiper)

// WithSelf sets the description of this instance; its peer address must be set.
func WithSelf(self modeler.Instance) Option { return func(g *Gossiper) { g.self = self } }

// WithLister sets the client of the platform's instance list.
func WithLister(lister messenger.Lister) Option { return func(g *Gossiper) { g.lister = lister } }

// WithDialer sets the connections to peers.
func WithDialer(dialer Dialer) Option { return func(g *Gossiper) { g.dialer = dialer } }

// WithConfig sets the configuration of this instance.
func WithConfig(config Config) Option { return func(g *Gossiper) { g.config = config } }

// WithLoads sets the source of the loads that heartbeats carry.
func WithLoads(loads func() []modeler.Load) Option { return func(g *Gossiper) { g.loads = loads } }

// WithLogger sets the logger; without it nothing is logged.
func WithLogger(logger hclog.Logger) Option { return func(g *Gossiper) { g.logger = logger } }

// New returns a Gossiper. All options except WithLoads and WithLogger are
// required.
func New(opts ...Option) *Gossiper {
	g := &Gossiper{
		loads:  func() []modeler.Load { return nil },
		logger: hclog.NewNullLogger(),
		pulls:  buffer.NewRing[netip.AddrPort](maxPendingPulls),
		done:   make(chan struct{}),
		links:  map[netip.AddrPort]*link{},
	}
	for _, opt := range opts {
		opt(g)
	}

	return g
}

// Run polls the list and exchanges heartbeats until ctx is done.
func (g *Gossiper) Run(ctx context.Context) {
	defer close(g.done)
	g.adjustForPause(time.Now())
	g.loops.Go(func() { g.pullLoop(ctx) })
	g.loops.Go(func() { g.tickLoop(ctx) })
	g.listLoop(ctx)
	g.loops.Wait()
}

// Done is closed when Run has returned.
func (g *Gossiper) Done() <-chan struct{} { return g.done }

// Drain marks this instance as draining in its heartbeats.
func (g *Gossiper) Drain() { g.draining.Store(true) }

// Peers implements modeler.Membership. A peer that never answered a heartbeat
// has the id of its list entry and a zero LastHeartbeat. Pauses of this process do
// not count as time without a heartbeat.
func (g *Gossiper) Peers() []modeler.Peer {
	g.mu.RLock()
	defer g.mu.RUnlock()
	pause := g.pauseDuration(time.Now())
	peers := make([]modeler.Peer, 0, len(g.links))
	for _, l := range g.links {
		if !l.listed && l.peer.LastHeartbeat.IsZero() {
			continue
		}
		peer := l.peer
		if !peer.LastHeartbeat.IsZero() {
			peer.LastHeartbeat = peer.LastHeartbeat.Add(pause)
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

// ConfigAge returns the time since the log confirmed that the configuration in
// force is the newest, either to this instance or to a peer. It reports false if
// the log never did.
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
		if !l.lastAnswered.IsZero() && now.Sub(l.lastAnswered) < contactTimeout {
			reached++
		}
	}

	return 2*reached > listed
}
