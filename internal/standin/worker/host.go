package worker

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"gitlab.com/greengagewall/greengagewall/internal/domain/modeler"
	"gitlab.com/greengagewall/greengagewall/internal/standin/injector"
)

// rackSize is the number of endpoints in a rack.
const rackSize = 8

// Spec describes the endpoints of a host.
type Spec struct {
	Kind     modeler.InstanceKind
	Count    int
	Region   string
	Zone     string
	Service  string
	Capacity modeler.Resources
	Settings Settings
	// Address is the IP address of the endpoints; each listens on its own port.
	Address netip.Addr
}

// Registrar registers instances in the platform's list.
type Registrar interface {
	Put(ctx context.Context, instances ...modeler.Instance) error
	Remove(ctx context.Context, id modeler.InstanceID) error
}

// endpointServer is an endpoint with its HTTP server.
type endpointServer struct {
	endpoint *Endpoint
	faults   *injector.Injector
	server   *http.Server
	// index is the number of the endpoint in its host, from 0. generation is the
	// number of replacements before it.
	index, generation int
}

// Host runs endpoints in one process, each on its own address.
type Host struct {
	spec        Spec
	registrar   Registrar
	ledger      *Ledger
	checkpoints *checkpointStore

	mu        sync.Mutex
	endpoints map[modeler.InstanceID]*endpointServer
	order     []modeler.InstanceID
}

// NewHost returns a host without endpoints.
func NewHost(spec Spec, registrar Registrar) *Host {
	return &Host{
		spec: spec, registrar: registrar, ledger: &Ledger{}, checkpoints: newCheckpointStore(),
		endpoints: make(map[modeler.InstanceID]*endpointServer),
	}
}

// Start starts and registers the endpoints.
func (h *Host) Start(ctx context.Context) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	instances := make([]modeler.Instance, 0, h.spec.Count)
	for index := range h.spec.Count {
		s, err := h.open(ctx, index, 0)
		if err != nil {
			return err
		}
		instances = append(instances, s.endpoint.instance)
	}

	return h.registrar.Put(ctx, instances...)
}

// open starts an endpoint on a new address; the caller holds the lock.
func (h *Host) open(ctx context.Context, index, generation int) (*endpointServer, error) {
	listener, err := listen(ctx, netip.AddrPortFrom(h.spec.Address, 0))
	if err != nil {
		return nil, err
	}
	address, err := netip.ParseAddrPort(listener.Addr().String())
	if err != nil {
		return nil, err
	}
	id := fmt.Sprintf("%s-%s-%03d", h.spec.Zone, h.spec.Kind, index)
	if generation > 0 {
		id += fmt.Sprintf("-g%d", generation)
	}
	instance := modeler.Instance{
		ID: modeler.InstanceID(id), Kind: h.spec.Kind, Region: h.spec.Region, Zone: h.spec.Zone,
		Rack: fmt.Sprintf("%s-%s-rack-%d", h.spec.Zone, h.spec.Kind, index/rackSize), Address: address,
		Service: h.spec.Service, State: modeler.StateLive,
	}
	s := &endpointServer{
		endpoint:   NewEndpoint(instance, h.spec.Capacity, h.spec.Settings, h.ledger, h.checkpoints),
		faults:     injector.New(),
		index:      index,
		generation: generation,
	}
	h.endpoints[instance.ID] = s
	h.order = append(h.order, instance.ID)
	s.run(listener)

	return s, nil
}

// run starts the endpoint and serves it on listener.
func (s *endpointServer) run(listener net.Listener) {
	s.faults.Set(injector.Faults{})
	s.endpoint.Up()
	s.server = &http.Server{Handler: newRouter(s.endpoint, s.faults), ReadHeaderTimeout: time.Minute}
	server := s.server
	go func() { _ = server.Serve(listener) }()
}

// crash stops the endpoint and closes its open connections.
func (s *endpointServer) crash() {
	s.endpoint.Down()
	if s.server != nil {
		_ = s.server.Close()
		s.server = nil
	}
}

// Crash crashes an endpoint.
func (h *Host) Crash(id modeler.InstanceID) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	s, err := h.find(id)
	if err != nil {
		return err
	}
	s.crash()

	return nil
}

// Restart starts a crashed endpoint again with the same id and address.
func (h *Host) Restart(ctx context.Context, id modeler.InstanceID) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	s, err := h.find(id)
	if err != nil {
		return err
	}
	if s.server != nil {
		return errors.Errorf("endpoint %s is up", id)
	}
	listener, err := listen(ctx, s.endpoint.instance.Address)
	if err != nil {
		return err
	}
	s.run(listener)

	return h.registrar.Put(ctx, s.endpoint.instance)
}

// Replace crashes an endpoint and starts a new one with the same index and a new
// id and address.
func (h *Host) Replace(ctx context.Context, id modeler.InstanceID) (modeler.Instance, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	s, err := h.find(id)
	if err != nil {
		return modeler.Instance{}, err
	}
	s.crash()
	fresh, err := h.open(ctx, s.index, s.generation+1)
	if err != nil {
		return modeler.Instance{}, err
	}
	if err := h.registrar.Remove(ctx, id); err != nil {
		return modeler.Instance{}, err
	}

	return fresh.endpoint.instance, h.registrar.Put(ctx, fresh.endpoint.instance)
}

// Leave makes an endpoint report that it is leaving and lists it as leaving.
func (h *Host) Leave(ctx context.Context, id modeler.InstanceID) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	s, err := h.find(id)
	if err != nil {
		return err
	}
	s.endpoint.Leave()
	instance := s.endpoint.instance
	instance.State = modeler.StateLeaving

	return h.registrar.Put(ctx, instance)
}

// Close stops every endpoint without updating the list.
func (h *Host) Close() {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, s := range h.endpoints {
		s.crash()
	}
}

// Instances returns the endpoints, replaced ones included, in the order in
// which they were started.
func (h *Host) Instances() []modeler.Instance {
	h.mu.Lock()
	defer h.mu.Unlock()
	instances := make([]modeler.Instance, 0, len(h.order))
	for _, id := range h.order {
		instances = append(instances, h.endpoints[id].endpoint.instance)
	}

	return instances
}

// find returns an endpoint, also a crashed or replaced one; the caller holds the
// lock.
func (h *Host) find(id modeler.InstanceID) (*endpointServer, error) {
	if s, ok := h.endpoints[id]; ok {
		return s, nil
	}

	return nil, errors.Errorf("no endpoint %q", id)
}

// listen opens a listener. It retries for up to a second while the address is
// still in use by a listener that is being closed.
func listen(ctx context.Context, address netip.AddrPort) (net.Listener, error) {
	var config net.ListenConfig
	var err error
	for range 20 {
		var listener net.Listener
		if listener, err = config.Listen(ctx, "tcp", address.String()); err == nil {
			return listener, nil
		}
		if !strings.Contains(err.Error(), "in use") {
			break
		}
		time.Sleep(50 * time.Millisecond)
	}

	return nil, err
}
