package launcher

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"strconv"
	"sync"
	"time"

	"github.com/pkg/errors"

	"gitlab.com/greengagewall/greengagewall/internal/domain/modeler"
	"gitlab.com/greengagewall/greengagewall/internal/standin/lister"
	"gitlab.com/greengagewall/greengagewall/internal/standin/relayer"
)

// loopback is the address on which all processes listen.
var loopback = netip.AddrFrom4([4]byte{127, 0, 0, 1})

// Settings describe a cluster.
type Settings struct {
	// Binary is the path of the product, Standin that of the stand-ins.
	Binary, Standin string
	Regions         []string
	// Entries, Workers and Executors are counts in each region.
	Entries, Workers, Executors int
	Cores, Memory, Accelerators int64
	// ServiceTime is the duration of a call.
	ServiceTime time.Duration
	// Relay inserts a relay between each entry instance and the log, its peers
	// and the endpoints.
	Relay bool
}

// WorkerCapacity returns the capacity of a worker.
func (s Settings) WorkerCapacity() modeler.Resources {
	return modeler.Resources{Millis: s.Cores * 1000, Memory: s.Memory << 30, Accelerators: s.Accelerators}
}

// Entry is an entry instance, whose process may be started several times.
type Entry struct {
	Name         string
	Region, Zone string
	Listen, Peer netip.AddrPort
	// logAddress and listAddress are the addresses that it is configured with.
	logAddress, listAddress netip.AddrPort
	mu                      sync.Mutex
	process                 *Process
}

// Process returns the current process.
func (e *Entry) Process() *Process {
	e.mu.Lock()
	defer e.mu.Unlock()

	return e.process
}

// Host is a stand-in process that serves endpoints of one kind.
type Host struct {
	Region  string
	Kind    modeler.InstanceKind
	Control netip.AddrPort
	// Endpoints lists the endpoints that the host started with. Callers update it
	// when they replace an endpoint.
	Endpoints []modeler.Instance
}

// Cluster is a set of stand-ins for the platform's services with entry
// instances.
type Cluster struct {
	Launcher *Launcher
	Settings Settings
	Log      netip.AddrPort
	List     netip.AddrPort
	Relay    netip.AddrPort
	Entries  []*Entry
	Hosts    []*Host
}

// Start starts the stand-ins, then the entry instances.
func Start(ctx context.Context, launcher *Launcher, settings Settings) (*Cluster, error) {
	c := &Cluster{Launcher: launcher, Settings: settings}
	for _, step := range []func(context.Context) error{c.startPlatform, c.startHosts, c.startEntries} {
		if err := step(ctx); err != nil {
			return nil, err
		}
	}

	return c, nil
}

func (c *Cluster) startStandin(ctx context.Context, name string, args ...string) (netip.AddrPort, error) {
	args = append(args, "--listen", netip.AddrPortFrom(loopback, 0).String())
	p, err := c.Launcher.Start(name, c.Settings.Standin, args...)
	if err != nil {
		return netip.AddrPort{}, err
	}

	return p.Address(ctx)
}

func (c *Cluster) startPlatform(ctx context.Context) error {
	var err error
	if c.Log, err = c.startStandin(ctx, "log", "log"); err != nil {
		return err
	}
	if c.List, err = c.startStandin(ctx, "list", "list"); err != nil {
		return err
	}
	if c.Settings.Relay {
		c.Relay, err = c.startStandin(ctx, "relay", "relay")
	}

	return err
}

func (c *Cluster) startHosts(ctx context.Context) error {
	for _, region := range c.Settings.Regions {
		if err := c.startHost(ctx, region, modeler.KindWorker, c.Settings.Workers); err != nil {
			return err
		}
		if err := c.startHost(ctx, region, modeler.KindExecutor, c.Settings.Executors); err != nil {
			return err
		}
	}

	return nil
}

func (c *Cluster) startHost(ctx context.Context, region string, kind modeler.InstanceKind, count int) error {
	s := c.Settings
	args := []string{
		"workers", "--list", c.List.String(), "--kind", string(kind), "--count", strconv.Itoa(count),
		"--region", region, "--zone", region + "-a", "--cores", strconv.FormatInt(s.Cores, 10),
		"--memory", strconv.FormatInt(s.Memory, 10), "--accelerators", strconv.FormatInt(s.Accelerators, 10),
		"--service-time", s.ServiceTime.String(),
	}
	control, err := c.startStandin(ctx, region+"-"+string(kind)+"s", args...)
	if err != nil {
		return err
	}
	host := &Host{Region: region, Kind: kind, Control: control}
	if err := Get(ctx, control, "/control/endpoints", &host.Endpoints); err != nil {
		return err
	}
	c.Hosts = append(c.Hosts, host)

	return nil
}

func (c *Cluster) startEntries(ctx context.Context) error {
	zones := []string{"a", "b"}
	instances := make([]modeler.Instance, 0, len(c.Settings.Regions)*c.Settings.Entries)
	for _, region := range c.Settings.Regions {
		for n := range c.Settings.Entries {
			entry, err := c.newEntry(ctx, region, region+"-"+zones[n%len(zones)], n)
			if err != nil {
				return err
			}
			c.Entries = append(c.Entries, entry)
			instances = append(instances, modeler.Instance{
				ID: modeler.InstanceID(entry.Name), Kind: modeler.KindEntry, Region: region, Zone: entry.Zone,
				Address: entry.Listen, Peer: entry.Peer, State: modeler.StateLive,
			})
		}
	}
	if err := lister.NewClient(c.List).Put(ctx, instances...); err != nil {
		return err
	}
	for _, entry := range c.Entries {
		if c.Relay.IsValid() {
			if err := c.relayConnections(ctx, entry); err != nil {
				return err
			}
		}
		if err := c.StartEntry(entry); err != nil {
			return err
		}
	}

	return nil
}

func (c *Cluster) newEntry(ctx context.Context, region, zone string, n int) (*Entry, error) {
	entry := &Entry{Name: fmt.Sprintf("%s-entry-%d", region, n), Region: region, Zone: zone, logAddress: c.Log, listAddress: c.List}
	for _, address := range []*netip.AddrPort{&entry.Listen, &entry.Peer} {
		var err error
		if *address, err = freeAddress(ctx); err != nil {
			return nil, err
		}
	}

	return entry, nil
}

// relayConnections adds relay routes for the connections of an entry instance to
// the log, its peers and the endpoints. The routes are used by this instance
// only and have its name in theirs. It reads the list without a relay, from a
// view that shows the addresses of the routes.
func (c *Cluster) relayConnections(ctx context.Context, entry *Entry) error {
	rewrite := make(map[netip.AddrPort]netip.AddrPort)
	add := func(kind, name string, target netip.AddrPort) error {
		address, err := c.addRoute(ctx, RouteName(entry.Name, kind, name), target)
		rewrite[target] = address

		return err
	}
	for _, other := range c.Entries {
		if other == entry {
			continue
		}
		if err := add("peer", other.Name, other.Peer); err != nil {
			return err
		}
	}
	for _, host := range c.Hosts {
		for _, endpoint := range host.Endpoints {
			if err := add("endpoint", string(endpoint.ID), endpoint.Address); err != nil {
				return err
			}
		}
	}
	var reply lister.ViewReply
	if err := Post(ctx, c.List, "/control/views", lister.ViewRequest{Rewrite: rewrite}, &reply); err != nil {
		return err
	}
	entry.listAddress = reply.Address
	var err error
	entry.logAddress, err = c.addRoute(ctx, RouteName(entry.Name, "log", ""), c.Log)

	return err
}

// RouteName returns the name of the route from an entry instance to a log, peer
// or endpoint. The name "*" stands for all targets of the kind.
func RouteName(entry, kind, name string) string { return entry + ":" + kind + ":" + name }

// addRoute adds a route to target at the relay and returns its address.
func (c *Cluster) addRoute(ctx context.Context, name string, target netip.AddrPort) (netip.AddrPort, error) {
	var reply relayer.AddReply
	msg := relayer.AddRequest{Name: name, Listen: netip.AddrPortFrom(loopback, 0), Target: target}
	err := Post(ctx, c.Relay, "/control/routes", msg, &reply)

	return reply.Address, err
}

// StartEntry starts an entry instance. It returns an error if the instance is
// running.
func (c *Cluster) StartEntry(entry *Entry) error {
	entry.mu.Lock()
	defer entry.mu.Unlock()
	if entry.process != nil && entry.process.Alive() {
		return errors.Errorf("%s runs already", entry.Name)
	}
	process, err := c.Launcher.Start(entry.Name, c.Settings.Binary, "serve",
		"--listen", entry.Listen.String(), "--peer", entry.Peer.String(), "--region", entry.Region,
		"--zone", entry.Zone, "--log", entry.logAddress.String(), "--list", entry.listAddress.String())
	entry.process = process

	return err
}

// Ports of entry instances are below the ephemeral range, from which the kernel
// assigns ports to the many listeners and connections of the stand-ins.
const (
	minPort         = 10_000
	maxPort         = 30_000
	maxPortAttempts = 100
)

// freeAddress returns a loopback address whose port was free when it was probed.
func freeAddress(ctx context.Context) (netip.AddrPort, error) {
	var config net.ListenConfig
	var err error
	for range maxPortAttempts {
		address := netip.AddrPortFrom(loopback, uint16(minPort+rand.IntN(maxPort-minPort)))
		var listener net.Listener
		if listener, err = config.Listen(ctx, "tcp", address.String()); err == nil {
			return address, listener.Close()
		}
	}

	return netip.AddrPort{}, err
}
