// Package starter constructs an entry instance from its settings, runs it and
// shuts it down.
package starter

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"
	"golang.org/x/net/netutil"

	"gitlab.com/greengagewall/greengagewall/internal/config/follower"
	"gitlab.com/greengagewall/greengagewall/internal/domain/modeler"
	"gitlab.com/greengagewall/greengagewall/internal/entry/admitter"
	"gitlab.com/greengagewall/greengagewall/internal/entry/authenticator"
	"gitlab.com/greengagewall/greengagewall/internal/entry/dispatcher"
	"gitlab.com/greengagewall/greengagewall/internal/entry/router"
	"gitlab.com/greengagewall/greengagewall/internal/partition/supervisor"
	"gitlab.com/greengagewall/greengagewall/internal/peer/forwarder"
	"gitlab.com/greengagewall/greengagewall/internal/peer/gossiper"
	"gitlab.com/greengagewall/greengagewall/internal/platform/connector"
	"gitlab.com/greengagewall/greengagewall/internal/report/burner"
)

// Settings are the settings of one process.
type Settings struct {
	// Listen is for callers and operators, Peer for other entry instances.
	Listen, Peer netip.AddrPort
	// Log and List are the platform's services.
	Log, List    netip.AddrPort
	Region, Zone string
	// Prefix begins the instance id.
	Prefix    string
	Version   string
	Retention time.Duration
	Inflight  int
	Hedge     time.Duration
	// Notice is how long the instance reports not ready before it refuses
	// connections, and Drain bounds the whole shutdown after that.
	Notice, Drain time.Duration
}

const (
	headerTimeout = 5 * time.Second
	// readTimeout bounds the reading of a body of up to 1 MiB.
	readTimeout = 30 * time.Second
	idleTimeout = time.Minute
	// writeTimeout is above the longest wait of a query, one minute.
	writeTimeout = 90 * time.Second
	headerLimit  = 64 << 10
	// connections is the bound on callers' connections for each admitted
	// request; idle ones and those that wait for a refusal need a place too.
	connections = 4
)

// lonely is how long a peer may be silent to count as a successor, and how long
// an instance without any successor tries to hand its partitions over.
const lonely = 2 * time.Second

// keepAlive finds callers whose connection has gone silent.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: 2 * time.Second, Interval: time.Second, Count: 3}

// Instance is an entry instance.
type Instance struct {
	settings   Settings
	logger     hclog.Logger
	self       modeler.Instance
	draining   atomic.Bool
	config     *follower.Follower
	pool       *forwarder.Pool
	gossiper   *gossiper.Gossiper
	supervisor *supervisor.Supervisor
	peers      *forwarder.Server
	callers    *http.Server
	listener   net.Listener
	listenPeer net.Listener
	done       chan struct{}
}

// New constructs an instance and binds its addresses.
func New(settings Settings, logger hclog.Logger) (*Instance, error) {
	i := &Instance{settings: settings, logger: logger, done: make(chan struct{})}
	i.self = modeler.Instance{
		// A process never continues a term of its predecessor.
		ID:   modeler.InstanceID(settings.Prefix + "-" + uuid.NewString()[:8]),
		Kind: modeler.KindEntry, Region: settings.Region, Zone: settings.Zone,
		Address: settings.Listen, Peer: settings.Peer, State: modeler.StateLive,
	}
	if err := i.bind(); err != nil {
		return nil, err
	}
	i.construct()

	return i, nil
}

func (i *Instance) bind() error {
	config := net.ListenConfig{KeepAliveConfig: keepAlive}
	listener, err := config.Listen(context.Background(), "tcp", i.settings.Listen.String())
	if err != nil {
		return errors.Wrap(err, "--listen")
	}
	i.listener = netutil.LimitListener(listener, connections*max(i.settings.Inflight, 1))
	if i.listenPeer, err = config.Listen(context.Background(), "tcp", i.settings.Peer.String()); err != nil {
		_ = i.listener.Close()

		return errors.Wrap(err, "--peer")
	}

	return nil
}

// brief returns loads without the usage by team. With 390 teams it makes up
// 29 KB of a heartbeat, and only reports read it, from each instance itself.
func brief(loads []modeler.Load) []modeler.Load {
	short := make([]modeler.Load, 0, len(loads))
	for _, load := range loads {
		load.Usage, load.Idle = nil, nil
		short = append(short, load)
	}

	return short
}

// construct connects the parts.
func (i *Instance) construct() {
	log := connector.NewLog(i.settings.Log)
	i.config = follower.New(follower.WithLog(log), follower.WithLogger(i.logger.Named("config")),
		follower.WithRetention(i.settings.Retention))
	i.pool = forwarder.NewPool()
	i.gossiper = gossiper.New(gossiper.WithSelf(i.self), gossiper.WithLister(connector.NewLister(i.settings.List)),
		gossiper.WithDialer(i.pool), gossiper.WithConfig(i.config), gossiper.WithLogger(i.logger.Named("peers")),
		gossiper.WithLoads(func() []modeler.Load { return brief(i.supervisor.Loads()) }))
	links := &links{}
	i.supervisor = supervisor.New(supervisor.WithSelf(i.self), supervisor.WithLog(log),
		supervisor.WithDialer(connector.NewDialer()), supervisor.WithMembership(i.gossiper),
		supervisor.WithConfiguration(i.config), supervisor.WithLogger(i.logger.Named("partitions")),
		supervisor.WithPeers(links), supervisor.WithRetention(i.settings.Retention))
	links.owners = forwarder.New(forwarder.WithLocal(i.self.ID, i.supervisor), forwarder.WithDirectory(i.gossiper),
		forwarder.WithPool(i.pool), forwarder.WithConfiguration(i.config))
	links.dispatcher = dispatcher.New(dispatcher.WithSelf(i.self), dispatcher.WithOwners(links.owners),
		dispatcher.WithMembership(i.gossiper), dispatcher.WithQueries(i.supervisor),
		dispatcher.WithConfiguration(i.config), dispatcher.WithBudget(admitter.NewBudget()),
		dispatcher.WithHedge(i.settings.Hedge))
	i.peers = forwarder.NewServer(i.supervisor, i.gossiper)
	shares := &shares{config: i.config}
	i.callers = &http.Server{
		Handler: router.New(router.WithSelf(i.self), router.WithQueries(i.supervisor), router.WithMembership(i.gossiper),
			router.WithConfiguration(i.config), router.WithPublisher(i.config), router.WithDispatcher(links.dispatcher),
			router.WithAuthenticator(authenticator.New(i.config, i.gossiper)),
			router.WithAdmitter(admitter.New(admitter.WithMaxInflight(i.settings.Inflight), admitter.WithShares(shares.of))),
			router.WithTally(burner.NewTally(time.Now)), router.WithDraining(i.draining.Load), router.WithLogger(i.logger.Named("callers"))),
		ReadHeaderTimeout: headerTimeout, ReadTimeout: readTimeout, WriteTimeout: writeTimeout,
		IdleTimeout: idleTimeout, MaxHeaderBytes: headerLimit,
		ErrorLog: i.logger.Named("callers").StandardLogger(&hclog.StandardLoggerOptions{ForceLevel: hclog.Debug}),
	}
}

// Done is closed when Run has returned.
func (i *Instance) Done() <-chan struct{} { return i.done }

// Run serves until ctx ends or a listener fails, and then shuts down.
func (i *Instance) Run(ctx context.Context) error {
	defer close(i.done)
	i.logger.Info("entry instance starts", "version", i.settings.Version, "id", i.self.ID,
		"listen", i.settings.Listen, "peer", i.settings.Peer, "region", i.self.Region, "zone", i.self.Zone)
	parts, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	failed := make(chan error, 2)
	go i.runCallers(failed)
	go i.runPeers(failed)
	go i.config.Run(parts)
	go i.gossiper.Run(parts)
	go i.supervisor.Run(parts)
	var err error
	select {
	case <-ctx.Done():
	case err = <-failed:
		i.logger.Error("listener failed", "error", err)
	}
	i.shutDown(ctx, stop)

	return err
}

func (i *Instance) runCallers(failed chan<- error) {
	if err := i.callers.Serve(i.listener); !errors.Is(err, http.ErrServerClosed) {
		failed <- errors.Wrap(err, "serve callers")
	}
}

func (i *Instance) runPeers(failed chan<- error) {
	if err := i.peers.Run(i.listenPeer); err != nil {
		failed <- err
	}
}

// shutDown hands the partitions over while requests are still served, so that
// the load balancer notices and nothing is cut off; then it finishes what is
// open and stops the parts.
func (i *Instance) shutDown(ctx context.Context, stop context.CancelFunc) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), i.settings.Notice+i.settings.Drain)
	defer cancel()
	i.logger.Info("entry instance shuts down", "id", i.self.ID)
	i.draining.Store(true)
	i.gossiper.Drain()
	notice := time.After(i.settings.Notice)
	i.handOver(ctx)
	<-notice
	if err := i.callers.Shutdown(ctx); err != nil {
		i.logger.Warn("requests were cut off", "error", err)
	}
	i.peers.Stop(ctx)
	stop()
	<-i.supervisor.Done()
	<-i.gossiper.Done()
	<-i.config.Done()
	i.pool.Close()
	i.logger.Info("entry instance has stopped", "id", i.self.ID)
}

// handOver hands the partitions over. It gives up when no other entry instance
// has been there to take them for a while, as when all are shut down together.
func (i *Instance) handOver(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go i.watchSuccessors(ctx, cancel)
	i.supervisor.Drain(ctx)
}

// watchSuccessors calls cancel after the time lonely without any successor.
func (i *Instance) watchSuccessors(ctx context.Context, cancel context.CancelFunc) {
	ticker := time.NewTicker(lonely / 10)
	defer ticker.Stop()
	for last := time.Now(); time.Since(last) < lonely; {
		if slices.ContainsFunc(i.gossiper.Peers(), successor) {
			last = time.Now()
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
	cancel()
}

// successor reports whether a peer can take partitions over.
func successor(peer modeler.Peer) bool {
	return !peer.Draining && !peer.LastHeartbeat.IsZero() && time.Since(peer.LastHeartbeat) < lonely
}
