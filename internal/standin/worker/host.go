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
	// Address is where the endpoints listen, each on a port of its own.
	Address netip.Addr
}

// Registrar tells the platform's list about instances.
type Registrar interface {
	Put(ctx context.Context, instances ...modeler.Instance) error
	Remove(ctx context.Context, id modeler.InstanceID) error
}

// served is an endpoint with its server.
type served struct {
	endpoint *Endpoint
	faults   *injector.Injector
	server   *http.Server
	// place counts the endpoints from 0, generation the replacements.
	place, generation int
}

// Host runs endpoints in one process, each on an address of its own.
type Host struct {
	spec      Spec
	registrar Registrar
	ledger    *Ledger
	store     *store

	mu     sync.Mutex
	served map[modeler.InstanceID]*served
	order  []modeler.InstanceID
}

// NewHost returns a host without endpoints.
func NewHost(spec Spec, registrar Registrar) *Host {
	return &Host{
		spec: spec, registrar: registrar, ledger: &Ledger{}, store: newStore(),
		served: make(map[modeler.InstanceID]*served),
	}
}

// Start starts and registers the endpoints.
func (h *Host) Start(ctx context.Context) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	instances := make([]modeler.Instance, 0, h.spec.Count)
	for place := range h.spec.Count {
		s, err := h.open(ctx, place, 0)
		if err != nil {
			return err
		}
		instances = append(instances, s.endpoint.instance)
	}

	return h.registrar.Put(ctx, instances...)
}

// open starts an endpoint on a new address; the caller holds the lock.
func (h *Host) open(ctx context.Context, place, generation int) (*served, error) {
	listener, err := listen(ctx, netip.AddrPortFrom(h.spec.Address, 0))
	if err != nil {
		return nil, err
	}
	address, err := netip.ParseAddrPort(listener.Addr().String())
	if err != nil {
		return nil, err
	}
	id := fmt.Sprintf("%s-%s-%03d", h.spec.Zone, h.spec.Kind, place)
	if generation > 0 {
		id += fmt.Sprintf("-g%d", generation)
	}
	instance := modeler.Instance{
		ID: modeler.InstanceID(id), Kind: h.spec.Kind, Region: h.spec.Region, Zone: h.spec.Zone,
		Rack: fmt.Sprintf("%s-%s-rack-%d", h.spec.Zone, h.spec.Kind, place/rackSize), Address: address,
		Service: h.spec.Service, State: modeler.StateLive,
	}
	s := &served{
		endpoint:   NewEndpoint(instance, h.spec.Capacity, h.spec.Settings, h.ledger, h.store),
		faults:     injector.New(),
		place:      place,
		generation: generation,
	}
	h.served[instance.ID] = s
	h.order = append(h.order, instance.ID)
	s.run(listener)

	return s, nil
}

// run brings the endpoint up and serves it on listener.
func (s *served) run(listener net.Listener) {
	s.faults.Set(injector.Faults{})
	s.endpoint.Up()
	s.server = &http.Server{Handler: newRouter(s.endpoint, s.faults), ReadHeaderTimeout: time.Minute}
	server := s.server
	go func() { _ = server.Serve(listener) }()
}

// die ends the endpoint as a crash does: open connections break.
func (s *served) die() {
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
	s.die()

	return nil
}

// Restart brings a died endpoint back under its id and address.
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

// Replace crashes an endpoint and brings up a new one in its place, with a new
// id and address.
func (h *Host) Replace(ctx context.Context, id modeler.InstanceID) (modeler.Instance, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	s, err := h.find(id)
	if err != nil {
		return modeler.Instance{}, err
	}
	s.die()
	fresh, err := h.open(ctx, s.place, s.generation+1)
	if err != nil {
		return modeler.Instance{}, err
	}
	if err := h.registrar.Remove(ctx, id); err != nil {
		return modeler.Instance{}, err
	}

	return fresh.endpoint.instance, h.registrar.Put(ctx, fresh.endpoint.instance)
}

// Leave makes an endpoint report and be listed as leaving.
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

// Close ends every endpoint without registering that.
func (h *Host) Close() {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, s := range h.served {
		s.die()
	}
}

// Instances returns the endpoints, replaced ones included, in the order in
// which they were started.
func (h *Host) Instances() []modeler.Instance {
	h.mu.Lock()
	defer h.mu.Unlock()
	instances := make([]modeler.Instance, 0, len(h.order))
	for _, id := range h.order {
		instances = append(instances, h.served[id].endpoint.instance)
	}

	return instances
}

func (h *Host) find(id modeler.InstanceID) (*served, error) {
	if s, ok := h.served[id]; ok {
		return s, nil
	}

	return nil, errors.Errorf("no endpoint %q", id)
}

// listen waits shortly for an address that a closed listener still holds.
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
