// Package starter constructs, runs and shuts down an entry instance.
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
	// Listen is the address for callers and operators, Peer that for other entry
	// instances.
	Listen, Peer netip.AddrPort
	// Log and List are the addresses of the platform's log and instance list.
	Log, List    netip.AddrPort
	Region, Zone string
	// Prefix is the beginning of the instance id.
	Prefix    string
	Version   string
	Retention time.Duration
	Inflight  int
	Hedge     time.Duration
	// Notice is how long the instance reports that it is not ready before it refuses
	// connections. Drain bounds the rest of the shutdown.
	Notice, Drain time.Duration
}

const (
	headerTimeout = 5 * time.Second
	// readTimeout covers a body of up to 1 MiB.
	readTimeout = 30 * time.Second
	idleTimeout = time.Minute
	// writeTimeout exceeds the longest wait of a query, one minute.
	writeTimeout = 90 * time.Second
	headerLimit  = 64 << 10
	// connsPerRequest is the limit on callers' connections for each request that may
	// be in flight. It leaves room for idle connections and for requests that are
	// about to be refused.
	connsPerRequest = 4
)

// successorTimeout is the age of the last heartbeat up to which a peer counts as a
// possible successor. It is also how long an instance without any successor keeps
// trying to hand over its partitions.
const successorTimeout = 2 * time.Second

// keepAlive detects callers whose connection no longer responds.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: 2 * time.Second, Interval: time.Second, Count: 3}

// Instance is an entry instance. It runs once.
type Instance struct {
	settings       Settings
	logger         hclog.Logger
	self           modeler.Instance
	draining       atomic.Bool
	config         *follower.Follower
	pool           *forwarder.Pool
	gossiper       *gossiper.Gossiper
	supervisor     *supervisor.Supervisor
	peers          *forwarder.Server
	callers        *http.Server
	callerListener net.Listener
	peerListener   net.Listener
	done           chan struct{}
}

// New constructs an instance and binds its addresses. An error names the flag of
// the address that could not be bound.
func New(settings Settings, logger hclog.Logger) (*Instance, error) {
	i := &Instance{settings: settings, logger: logger, done: make(chan struct{})}
	i.self = modeler.Instance{
		// The id is unique for each process, so that no process continues a term of
		// its predecessor.
		ID:   modeler.InstanceID(settings.Prefix + "-" + uuid.NewString()[:8]),
		Kind: modeler.KindEntry, Region: settings.Region, Zone: settings.Zone,
		Address: settings.Listen, Peer: settings.Peer, State: modeler.StateLive,
	}
	if err := i.bind(); err != nil {
		return nil, err
	}
	i.buildComponents()

	return i, nil
}

func (i *Instance) bind() error {
	config := net.ListenConfig{KeepAliveConfig: keepAlive}
	listener, err := config.Listen(context.Background(), "tcp", i.settings.Listen.String())
	if err != nil {
		return errors.Wrap(err, "--listen")
	}
	i.callerListener = netutil.LimitListener(listener, connsPerRequest*max(i.settings.Inflight, 1))
	if i.peerListener, err = config.Listen(context.Background(), "tcp", i.settings.Peer.String()); err != nil {
		_ = i.callerListener.Close()

		return errors.Wrap(err, "--peer")
	}

	return nil
}

// withoutTeamUsage returns loads without the usage by team. With 390 teams the
// usage would add 29 KB to a heartbeat, and only reports read it, directly from
// each instance.
func withoutTeamUsage(loads []modeler.Load) []modeler.Load {
	brief := make([]modeler.Load, 0, len(loads))
	for _, load := range loads {
		load.Usage, load.Idle = nil, nil
		brief = append(brief, load)
	}

	return brief
}

// buildComponents constructs the components and connects them.
func (i *Instance) buildComponents() {
	log := connector.NewLog(i.settings.Log)
	i.config = follower.New(follower.WithLog(log), follower.WithLogger(i.logger.Named("config")),
		follower.WithRetention(i.settings.Retention))
	i.pool = forwarder.NewPool()
	i.gossiper = gossiper.New(gossiper.WithSelf(i.self), gossiper.WithLister(connector.NewLister(i.settings.List)),
		gossiper.WithDialer(i.pool), gossiper.WithConfig(i.config), gossiper.WithLogger(i.logger.Named("peers")),
		gossiper.WithLoads(func() []modeler.Load { return withoutTeamUsage(i.supervisor.Loads()) }))
	links := &peerLinks{}
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
			router.WithAdmitter(admitter.New(admitter.WithMaxInflight(i.settings.Inflight), admitter.WithShares(shares.share))),
			router.WithTally(burner.NewTally(time.Now)), router.WithDraining(i.draining.Load), router.WithLogger(i.logger.Named("callers"))),
		ReadHeaderTimeout: headerTimeout, ReadTimeout: readTimeout, WriteTimeout: writeTimeout,
		IdleTimeout: idleTimeout, MaxHeaderBytes: headerLimit,
		ErrorLog: i.logger.Named("callers").StandardLogger(&hclog.StandardLoggerOptions{ForceLevel: hclog.Debug}),
	}
}

// Done is closed when Run has returned.
func (i *Instance) Done() <-chan struct{} { return i.done }

// Run serves until ctx ends or a listener fails, and then shuts down. It returns
// the error of the listener, if any.
func (i *Instance) Run(ctx context.Context) error {
	defer close(i.done)
	i.logger.Info("entry instance starts", "version", i.settings.Version, "id", i.self.ID,
		"listen", i.settings.Listen, "peer", i.settings.Peer, "region", i.self.Region, "zone", i.self.Zone)
	componentsCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	errs := make(chan error, 2)
	go i.runCallers(errs)
	go i.runPeers(errs)
	go i.config.Run(componentsCtx)
	go i.gossiper.Run(componentsCtx)
	go i.supervisor.Run(componentsCtx)
	var err error
	select {
	case <-ctx.Done():
	case err = <-errs:
		i.logger.Error("listener failed", "error", err)
	}
	i.shutDown(ctx, stop)

	return err
}

func (i *Instance) runCallers(errs chan<- error) {
	if err := i.callers.Serve(i.callerListener); !errors.Is(err, http.ErrServerClosed) {
		errs <- errors.Wrap(err, "serve callers")
	}
}

func (i *Instance) runPeers(errs chan<- error) {
	if err := i.peers.Run(i.peerListener); err != nil {
		errs <- err
	}
}

// shutDown hands over the partitions while requests are still served, so that the
// load balancer can redirect callers and no request is cut off. Then it completes
// the requests in progress and stops the components.
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
		i.logger.Warn("requests were cut off at the end of the shutdown", "error", err)
	}
	i.peers.Stop(ctx)
	stop()
	<-i.supervisor.Done()
	<-i.gossiper.Done()
	<-i.config.Done()
	i.pool.Close()
	i.logger.Info("entry instance has stopped", "id", i.self.ID)
}

// handOver hands over the partitions. It stops trying if no other entry instance can
// take them for successorTimeout, as when all instances are shut down together.
func (i *Instance) handOver(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go i.watchSuccessors(ctx, cancel)
	i.supervisor.Drain(ctx)
}

// watchSuccessors calls cancel once there has been no successor for
// successorTimeout.
func (i *Instance) watchSuccessors(ctx context.Context, cancel context.CancelFunc) {
	ticker := time.NewTicker(successorTimeout / 10)
	defer ticker.Stop()
	for last := time.Now(); time.Since(last) < successorTimeout; {
		if slices.ContainsFunc(i.gossiper.Peers(), isSuccessor) {
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

// isSuccessor reports whether a peer can take over partitions.
func isSuccessor(peer modeler.Peer) bool {
	return !peer.Draining && !peer.LastHeartbeat.IsZero() && time.Since(peer.LastHeartbeat) < successorTimeout
}
