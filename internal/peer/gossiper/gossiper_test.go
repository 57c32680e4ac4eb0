package gossiper

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"testing"
	"time"

	"gitlab.com/greengagewall/greengagewall/internal/domain/modeler"
	"gitlab.com/greengagewall/greengagewall/internal/peer/forwarder"
)

// fakeConfig is a fake configuration.
type fakeConfig struct {
	mu     sync.Mutex
	doc    modeler.Document
	offset modeler.Offset
	// confirmed is when the log confirmed the configuration; zero if never.
	confirmed time.Time
}

func (c *fakeConfig) InForce() (modeler.Document, modeler.Offset, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()

	return c.doc, c.offset, c.offset >= 0
}

func (c *fakeConfig) ConfigAge(now time.Time) (time.Duration, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()

	return now.Sub(c.confirmed), !c.confirmed.IsZero()
}

func (c *fakeConfig) Confirm(offset modeler.Offset, age time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if at := time.Now().Add(-age); offset <= c.offset && at.After(c.confirmed) {
		c.confirmed = at
	}
}

func (c *fakeConfig) Offer(offset modeler.Offset, doc modeler.Document) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if offset <= c.offset {
		return false
	}
	c.doc, c.offset = doc, offset

	return true
}

// fakeList is a fake of the platform's instance list.
type fakeList struct {
	mu        sync.Mutex
	instances []modeler.Instance
}

func (l *fakeList) Instances(context.Context) ([]modeler.Instance, error) {
	l.mu.Lock()
	defer l.mu.Unlock()

	return l.instances, nil
}

// node is a test entry instance.
type node struct {
	*Gossiper
	config  *fakeConfig
	server  *forwarder.Server
	address netip.AddrPort
	stop    func()
}

// start starts an entry instance and adds it to the list.
func start(t *testing.T, list *fakeList, id modeler.InstanceID, config *fakeConfig, address string) *node {
	t.Helper()
	listener, err := net.Listen("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	n := &node{config: config, address: listener.Addr().(*net.TCPAddr).AddrPort()}
	pool := forwarder.NewPool()
	n.Gossiper = New(WithSelf(modeler.Instance{ID: id, Peer: n.address}), WithLister(list), WithDialer(pool), WithConfig(config),
		WithLoads(func() []modeler.Load { return []modeler.Load{{Partition: modeler.PartitionID(id), Ready: true}} }))
	n.server = forwarder.NewServer(nil, n.Gossiper)
	ctx, cancel := context.WithCancel(context.Background())
	go func() { _ = n.server.Run(listener) }()
	go n.Run(ctx)
	n.stop = sync.OnceFunc(func() {
		cancel()
		<-n.Done()
		pool.Close()
		n.server.Stop(ctx)
		<-n.server.Done()
	})
	t.Cleanup(n.stop)
	list.mu.Lock()
	defer list.mu.Unlock()
	list.instances = append(list.instances, modeler.Instance{
		ID: "listed-" + id, Kind: modeler.KindEntry, Peer: n.address, State: modeler.StateLive,
	})

	return n
}

// eventually fails the test if condition is not met within 8 s.
func eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(8 * time.Second); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		if condition() {
			return
		}
	}
	t.Fatalf("not within 8s: %s", what)
}

// TestGossiper_Cluster guards against peers whose address is not found,
// configurations and confirmations that are not passed on, and a restarted
// process that keeps its old id.
func TestGossiper_Cluster(t *testing.T) {
	list := &fakeList{}
	a := start(t, list, "a", &fakeConfig{offset: 5, doc: modeler.Document{Cell: "brine"}, confirmed: time.Now()}, "127.0.0.1:0")
	b := start(t, list, "b", &fakeConfig{offset: -1}, "127.0.0.1:0")
	c := start(t, list, "c", &fakeConfig{offset: 3}, "127.0.0.1:0")
	for _, n := range []*node{b, c} {
		eventually(t, "the configuration of a is pulled", func() bool {
			doc, offset, _ := n.config.InForce()

			return offset == 5 && doc.Cell == "brine"
		})
		eventually(t, "the confirmation of a is passed on", func() bool {
			age, ok := n.ConfigAge(time.Now())

			return ok && age >= 0 && age < 10*time.Second && n.HasMajority(time.Now())
		})
	}
	eventually(t, "b finds the address of a", func() bool {
		address, ok := b.Address("a")

		return ok && address == a.address
	})
	b.Drain()
	eventually(t, "a sees the state of b", func() bool {
		for _, peer := range a.Peers() {
			if peer.Instance.ID == "b" && peer.Draining && len(peer.Loads) == 1 && peer.Loads[0].Partition == "b" {
				return true
			}
		}

		return false
	})
	address := b.address.String()
	b.stop()
	start(t, list, "b2", &fakeConfig{offset: -1}, address)
	eventually(t, "a finds the new id", func() bool {
		_, found := a.Address("b2")
		_, old := a.Address("b")

		return found && !old
	})
}

// TestGossiper_Majority guards against an instance in a minority that accepts
// keys.
func TestGossiper_Majority(t *testing.T) {
	list := &fakeList{}
	a := start(t, list, "a", &fakeConfig{offset: 1}, "127.0.0.1:0")
	b := start(t, list, "b", &fakeConfig{offset: 1}, "127.0.0.1:0")
	c := start(t, list, "c", &fakeConfig{offset: 1}, "127.0.0.1:0")
	eventually(t, "a is in contact with b and c", func() bool { return a.HasMajority(time.Now()) && len(a.Peers()) == 2 })
	b.stop()
	eventually(t, "two of three are a majority", func() bool {
		return a.HasMajority(time.Now()) && c.HasMajority(time.Now())
	})
	c.stop()
	eventually(t, "one of three is no majority", func() bool { return !a.HasMajority(time.Now()) })
	if _, ok := a.ConfigAge(time.Now()); ok {
		t.Error("configuration counts as confirmed without any confirmation")
	}
}

// TestGossiper_OwnPause guards against suspecting all peers after a pause of this
// process, and against never suspecting a peer without heartbeats.
func TestGossiper_OwnPause(t *testing.T) {
	g := New()
	started := time.Now()
	l := &link{listed: true, peer: modeler.Peer{LastHeartbeat: started}}
	g.links[netip.AddrPort{}] = l
	sinceHeartbeat := func(now time.Time) time.Duration {
		g.adjustForPause(now)

		return now.Sub(l.peer.LastHeartbeat)
	}
	for after := time.Duration(0); after <= time.Second; after += tickInterval {
		if got := sinceHeartbeat(started.Add(after)); got != after {
			t.Fatalf("without a pause: no heartbeat for %s after %s", got, after)
		}
	}
	if got := sinceHeartbeat(started.Add(11 * time.Second)); got > time.Second+tickInterval {
		t.Errorf("a pause of 10s counts as %s without a heartbeat", got)
	}
	g.lastTick = time.Now().Add(-5 * time.Second)
	l.peer.LastHeartbeat = g.lastTick
	if got := time.Since(g.Peers()[0].LastHeartbeat); got > 2*tickInterval {
		t.Errorf("before the first tick after a pause: no heartbeat for %s", got)
	}
}
