// Package disrupter runs entry instances of a cell as real processes against
// stand-ins of the users' platform, injects faults from outside and checks the
// guarantees of the cell from what callers and endpoints observe.
package disrupter

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"gitlab.com/greengagewall/greengagewall/internal/domain/modeler"
	"gitlab.com/greengagewall/greengagewall/internal/proof/launcher"
	"gitlab.com/greengagewall/greengagewall/internal/standin/executor"
	"gitlab.com/greengagewall/greengagewall/internal/standin/relayer"
	"gitlab.com/greengagewall/greengagewall/internal/standin/storer"
)

// Bounds and sizes that the processes and endpoints are configured with.
const (
	leaseMax           = 6 * time.Second
	gangWait           = 3 * time.Second
	revokeBound        = 5 * time.Second
	cancelBound        = 3 * time.Second
	gracePeriod        = 6 * time.Second
	frontPort          = 8183
	readyPort          = 8184
	peerPort           = 7420
	endpointMillis     = 16000
	endpointMemory     = 64 << 30
	entryMemoryMB      = 512
	accountLimitMillis = 60000
	headerTimeout      = 5 * time.Second
)

// entry is an entry instance; route leads from it to the store, policyRoute to the
// placement policies, and file is its settings file.
type entry struct {
	name        string
	ip          netip.Addr
	route       *relayer.Route
	policyRoute *relayer.Route
	file        string

	mu      sync.Mutex
	process *launcher.Process
}

// host is an endpoint with the route through which entry instances reach it.
type host struct {
	endpoint *executor.Endpoint
	route    *relayer.Route
	zone     string
	label    string

	mu       sync.Mutex
	draining bool
	removed  bool
	// heartbeats counts the entries that the endpoint has written to the list.
	heartbeats int
}

// cluster holds all parts of a run: the store, the endpoints, the entry instances
// and the ledger that checks them.
type cluster struct {
	settings  Settings
	store     *storer.Store
	ledger    *executor.Ledger
	executors *executor.Host
	zones     *zoneWatcher
	launcher  *launcher.Launcher
	entries   []*entry
	servers   []*http.Server

	mu      sync.Mutex
	hosts   []*host
	version int64
	// revokedAt is when the spare key was withdrawn; zero while it is valid.
	revokedAt time.Time
}

// The account, its keys and the route of a run; spareKey may be withdrawn.
const (
	accountName = "forecasts"
	mainKey     = "k-main"
	spareKey    = "k-spare"
	hostName    = "cell.example"
	serviceName = "service"
	prefix      = "/q/"
)

func newCluster(ctx context.Context, settings Settings, random func() float64) (*cluster, error) {
	c := &cluster{settings: settings, store: storer.New(random), launcher: launcher.New(settings.Dir)}
	c.ledger = executor.NewLedger(settings.limits(), cancelBound)
	c.executors = executor.NewHost(c.ledger, settings.Mix.lease(), gangWait)
	c.zones = newZoneWatcher(c.ledger)
	c.executors.SetOnStart(func(endpoint, task string) { c.zones.checkStart(endpoint, task, time.Now()) })
	c.publishConfig(false)
	for n := range settings.Endpoints {
		if err := c.addHost(ctx, n); err != nil {
			return nil, err
		}
	}
	for n := range settings.Entries {
		if err := c.addEntry(ctx, n); err != nil {
			return nil, err
		}
	}

	return c, nil
}

// listen serves a handler on a loopback port.
func (c *cluster) listen(ctx context.Context, handler http.Handler) (netip.AddrPort, error) {
	var config net.ListenConfig
	listener, err := config.Listen(ctx, "tcp4", "127.0.0.1:0")
	if err != nil {
		return netip.AddrPort{}, errors.Wrap(err, "listen")
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout}
	c.servers = append(c.servers, server)
	go func() { _ = server.Serve(listener) }()

	return netip.MustParseAddrPort(listener.Addr().String()), nil
}

// loopback is a loopback address with a port chosen by the kernel.
var loopback = netip.MustParseAddrPort("127.0.0.1:0")

// addHost starts an endpoint with a route that leads to it and lists it.
func (c *cluster) addHost(ctx context.Context, number int) error {
	zone := zoneOf(number)
	endpoint := c.executors.Add(fmt.Sprintf("i-%03d", number), modeler.Resources{Millis: endpointMillis, Memory: endpointMemory})
	c.zones.addEndpoint(endpoint.ID, zone)
	address, err := c.listen(ctx, endpoint.Router())
	if err != nil {
		return err
	}
	route, err := relayer.Listen(ctx, loopback, address)
	if err != nil {
		return err
	}
	h := &host{endpoint: endpoint, route: route, zone: zone, label: labelCommon}
	c.mu.Lock()
	if !slices.ContainsFunc(c.hosts, (*host).isSole) {
		h.label = labelSole
	}
	c.hosts = append(c.hosts, h)
	c.mu.Unlock()
	c.publishEndpoint(h)

	return nil
}

// The kinds of endpoints: one of those that stay has labelSole, which some jobs require.
const (
	labelCommon = "common"
	labelSole   = "sole"
)

// isSole reports whether h is the endpoint with labelSole.
func (h *host) isSole() bool { return h.label == labelSole && h.available() }

func zoneOf(number int) string { return zoneNames[number%len(zoneNames)] }

// publishEndpoint writes the attributes that an endpoint reports to the list, or
// removes the endpoint from the list.
func (c *cluster) publishEndpoint(h *host) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.removed {
		c.store.Put(storer.TopicEndpoints, h.endpoint.ID, nil)

		return
	}
	h.heartbeats++
	state := map[string]any{
		"service": serviceName, "address": h.route.Address().String(), "zone": h.zone, "version": "1", "slots": 8, "state": "ready",
		"sequence": h.heartbeats, "born": h.endpoint.Born().UnixMilli(), "labels": []string{h.label, "r1-1"},
		"capacity": map[string]any{"cpu": endpointMillis, "mem-mb": endpointMemory >> 20, "gpu": 0},
	}
	if h.draining {
		state["state"], state["remaining-ms"] = "draining", drainDuration.Milliseconds()
	}
	c.store.Put(storer.TopicEndpoints, h.endpoint.ID, encode(state))
}

func encode(value any) []byte {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err) // Maps of plain values can always be encoded.
	}

	return data
}

// publishConfig publishes a new version of the configuration. The spare key is
// left out if revoke is set or it was withdrawn before.
func (c *cluster) publishConfig(revoke bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.version += 3
	keys := []string{mainKey, spareKey}
	if revoke || !c.revokedAt.IsZero() {
		keys = keys[:1]
	}
	c.store.Put(storer.TopicOperators, "config", encode(map[string]any{
		"version": c.version,
		"routes": append([]map[string]any{{
			"name": "queue", "host": hostName, "path-prefix": prefix, "service": serviceName, "priority": 1,
			"max-attempts": maxAttempts, "stretch": 3, "target-latency-ms": 60000,
		}}, c.settings.policyRoutes()...),
		"tenants": append([]map[string]any{{
			"name": accountName, "api-keys": keys, "weight": 1000, "cap": map[string]any{"cpu": accountLimitMillis},
		}}, c.settings.policyTenants()...),
	}))
	if revoke && c.revokedAt.IsZero() {
		c.revokedAt = time.Now()
	}
}

// settingsFormat is the format of the settings file of an entry instance.
const settingsFormat = `node-name = %q
ip = %q
zone = %q
advice = %q
internal-ports = [%d, %d]
[listen]
front = "%s:%d"
ready = "%s:%d"
[limits]
cpu-share = 1.0
cores = 1
memory-mb = %d
link-mbps = 1000.0
[bounds]
hold-max-ms = %d
revoke-ms = %d
evacuate-ms = %d
grace-s = %d
[platform]
address = %q
`

// addEntry starts an entry instance with a separate route to the store.
func (c *cluster) addEntry(ctx context.Context, number int) error {
	name := fmt.Sprintf("entry-%d", number)
	store, err := c.listen(ctx, c.store.Router(name))
	if err != nil {
		return err
	}
	route, err := relayer.Listen(ctx, loopback, store)
	if err != nil {
		return err
	}
	// The policies tell calling machines apart, so each instance has an address of its own for them.
	policies, err := c.listen(ctx, c.executors.PolicyRouter())
	if err != nil {
		return err
	}
	policyRoute, err := relayer.Listen(ctx, loopback, policies)
	if err != nil {
		return err
	}
	// The address depends on the process id, so that concurrent runs use separate
	// networks in the loopback range.
	pid := os.Getpid()
	ip := netip.AddrFrom4([4]byte{127, byte(1 + pid>>8%100), byte(pid), byte(1 + number)})
	e := &entry{name: name, ip: ip, route: route, policyRoute: policyRoute, file: filepath.Join(c.settings.Dir, name+".toml")}
	text := fmt.Sprintf(settingsFormat, e.name, ip, zoneOf(number), policyRoute.Address(), peerPort, peerPort+1, ip, frontPort, ip, readyPort,
		entryMemoryMB, c.settings.Mix.lease().Milliseconds(), revokeBound.Milliseconds(), evacuateBound.Milliseconds(), int(gracePeriod.Seconds()), route.Address())
	if err := os.WriteFile(e.file, []byte(text), 0o600); err != nil {
		return errors.Wrap(err, "write settings")
	}
	c.entries = append(c.entries, e)

	return c.startProcess(e)
}

// startProcess starts the process of an entry instance.
func (c *cluster) startProcess(e *entry) error {
	process, err := c.launcher.StartWithEnv(e.name, []string{"GREENGAGEWALL_SETTINGS=" + e.file}, c.settings.Binary)
	if err != nil {
		return err
	}
	e.mu.Lock()
	e.process = process
	e.mu.Unlock()

	return nil
}

// currentProcess returns the process of an entry instance started last.
func (e *entry) currentProcess() *launcher.Process {
	e.mu.Lock()
	defer e.mu.Unlock()

	return e.process
}

// close stops all processes, routes and servers.
func (c *cluster) close() {
	c.launcher.Close()
	for _, e := range c.entries {
		e.route.Close()
		e.policyRoute.Close()
	}
	c.mu.Lock()
	hosts := c.hosts
	c.mu.Unlock()
	for _, h := range hosts {
		h.route.Close()
	}
	for _, server := range c.servers {
		// The run is over, so open connections need no graceful shutdown.
		_ = server.Close()
	}
}
