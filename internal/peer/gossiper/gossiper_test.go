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

// settings is a fake configuration.
type settings struct {
	mu     sync.Mutex
	doc    modeler.Document
	offset modeler.Offset
	// confirmed is when the log confirmed the configuration; zero if never.
	confirmed time.Time
}

func (s *settings) InForce() (modeler.Document, modeler.Offset, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()

	return s.doc, s.offset, s.offset >= 0
}

func (s *settings) ConfigAge(now time.Time) (time.Duration, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()

	return now.Sub(s.confirmed), !s.confirmed.IsZero()
}

func (s *settings) Confirm(offset modeler.Offset, age time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if at := time.Now().Add(-age); offset <= s.offset && at.After(s.confirmed) {
		s.confirmed = at
	}
}

func (s *settings) Offer(offset modeler.Offset, doc modeler.Document) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if offset <= s.offset {
		return false
	}
	s.doc, s.offset = doc, offset

	return true
}

// list is a fake of the platform's list.
type list struct {
	mu        sync.Mutex
	instances []modeler.Instance
}

func (l *list) Instances(context.Context) ([]modeler.Instance, error) {
	l.mu.Lock()
	defer l.mu.Unlock()

	return l.instances, nil
}

// node is an entry instance of the test.
type node struct {
	*Gossiper
	settings *settings
	server   *forwarder.Server
	address  netip.AddrPort
	stop     func()
}

func start(t *testing.T, list *list, id modeler.InstanceID, config *settings, address string) *node {
	t.Helper()
	listener, err := net.Listen("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	n := &node{settings: config, address: listener.Addr().(*net.TCPAddr).AddrPort()}
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

func eventually(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for deadline := time.Now().Add(8 * time.Second); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		if holds() {
			return
		}
	}
	t.Fatalf("not within 8s: %s", what)
}

// TestGossiper_Cluster guards against peers that are not found by address,
// configurations that do not spread, freshness that is not passed on, and a
// restarted process that keeps its old id.
func TestGossiper_Cluster(t *testing.T) {
	list := &list{}
	a := start(t, list, "a", &settings{offset: 5, doc: modeler.Document{Cell: "brine"}, confirmed: time.Now()}, "127.0.0.1:0")
	b := start(t, list, "b", &settings{offset: -1}, "127.0.0.1:0")
	c := start(t, list, "c", &settings{offset: 3}, "127.0.0.1:0")
	for _, n := range []*node{b, c} {
		eventually(t, "the configuration of a is pulled", func() bool {
			doc, offset, _ := n.settings.InForce()

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
	start(t, list, "b2", &settings{offset: -1}, address)
	eventually(t, "a learns the new id", func() bool {
		_, found := a.Address("b2")
		_, old := a.Address("b")

		return found && !old
	})
}

// TestGossiper_Majority guards against accepting keys in a minority.
func TestGossiper_Majority(t *testing.T) {
	list := &list{}
	a := start(t, list, "a", &settings{offset: 1}, "127.0.0.1:0")
	b := start(t, list, "b", &settings{offset: 1}, "127.0.0.1:0")
	c := start(t, list, "c", &settings{offset: 1}, "127.0.0.1:0")
	eventually(t, "contact", func() bool { return a.HasMajority(time.Now()) && len(a.Peers()) == 2 })
	b.stop()
	eventually(t, "two of three are a majority", func() bool {
		return a.HasMajority(time.Now()) && c.HasMajority(time.Now())
	})
	c.stop()
	eventually(t, "one of three is none", func() bool { return !a.HasMajority(time.Now()) })
	if _, ok := a.ConfigAge(time.Now()); ok {
		t.Error("fresh without any confirmation")
	}
}

// TestGossiper_OwnPause guards against suspecting every peer after a pause of
// this process, and against never suspecting a peer that is silent.
func TestGossiper_OwnPause(t *testing.T) {
	g := New()
	started := time.Now()
	l := &link{listed: true, peer: modeler.Peer{LastHeartbeat: started}}
	g.links[netip.AddrPort{}] = l
	silence := func(now time.Time) time.Duration {
		g.resume(now)

		return now.Sub(l.peer.LastHeartbeat)
	}
	for after := time.Duration(0); after <= time.Second; after += tick {
		if got := silence(started.Add(after)); got != after {
			t.Fatalf("without a pause: silent for %s after %s", got, after)
		}
	}
	if got := silence(started.Add(11 * time.Second)); got > time.Second+tick {
		t.Errorf("a pause of 10s counts as silence of %s", got)
	}
	g.ticked = time.Now().Add(-5 * time.Second)
	l.peer.LastHeartbeat = g.ticked
	if got := time.Since(g.Peers()[0].LastHeartbeat); got > 2*tick {
		t.Errorf("before the first tick after a pause: silent for %s", got)
	}
}
