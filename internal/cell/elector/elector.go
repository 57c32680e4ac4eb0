// Package elector decides which instance owns the cell. The owner is the
// instance whose claim stands in the state table of the store: claims, like
// all appends to that table, name the offset at which they must land, and the
// offset of the claim is the owner's term. An instance claims when the owner
// has been silent, both to it and in the table.
package elector

import (
	"context"
	"net/netip"
	"sort"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"

	"gitlab.com/greengagewall/greengagewall/internal/cell/courier"
	"gitlab.com/greengagewall/greengagewall/internal/cell/definer"
	"gitlab.com/greengagewall/greengagewall/internal/cell/forwarder"
	"gitlab.com/greengagewall/greengagewall/internal/cell/journaler"
	"gitlab.com/greengagewall/greengagewall/internal/cell/leader"
	"gitlab.com/greengagewall/greengagewall/internal/cell/planner"
	"gitlab.com/greengagewall/greengagewall/internal/cell/recorder"
)

// Settings identify an instance.
type Settings struct {
	Name    string
	Address netip.AddrPort
	Zone    string
	// Life distinguishes the processes of an instance.
	Life int64
	// Power is the instance's processor time, in processors.
	Power   float64
	Planner planner.Settings
}

// Instance is an entry of the instances table.
type Instance struct {
	Name    string
	Address netip.AddrPort
	Life    int64
	Power   float64
	Zone    string
}

// Ownership names the owner of the cell.
type Ownership struct {
	Term    int64
	Address netip.AddrPort
	Name    string
}

// ownerKey is the key of the owner in the instances table; the others are names of instances.
const ownerKey = "/owner"

// Elector keeps track of the owner and becomes it when it has to.
type Elector struct {
	settings  Settings
	store     definer.Store
	endpoints definer.Endpoints
	decoder   definer.Decoder
	pool      *forwarder.Pool
	adviser   definer.Adviser
	courier   *courier.Courier
	// short and long bound the questions that this instance gives to all instances as the owner.
	short, long gate
	logger      hclog.Logger
	metrics     *recorder.Metrics
	// storeAge tells how long ago this instance heard of the store, and storeTrip how long a call takes.
	storeAge  func() time.Duration
	storeTrip func() time.Duration
	config    atomic.Pointer[definer.Configuration]

	mu sync.Mutex
	// base is the context of Run, in which an owner on this instance works.
	base      context.Context //nolint:containedctx // A claim may come with a call, but outlives it.
	owner     Ownership
	changed   chan struct{}
	reachedAt definer.Instant
	peers     map[string]Instance
	lead      *leader.Leader
	stopping  bool
	// barredUntil keeps this instance from claiming again after it had to give the cell up.
	barredUntil definer.Instant
	wake        chan struct{}
	loads       map[netip.AddrPort]time.Duration
	// seen is when each instance last sent a heartbeat to this one.
	seen map[netip.AddrPort]definer.Instant
	done chan struct{}
}

// New returns an elector; Run makes it work.
func New(settings Settings, store definer.Store, endpoints definer.Endpoints, adviser definer.Adviser, decoder definer.Decoder,
	storeAge, storeTrip func() time.Duration, logger hclog.Logger, metrics *recorder.Metrics,
) *Elector {
	e := &Elector{
		settings: settings, store: store, endpoints: endpoints, decoder: decoder, pool: forwarder.NewPool(),
		adviser: adviser, courier: courier.New(endpoints), logger: logger, metrics: metrics, storeAge: storeAge, storeTrip: storeTrip,
		changed: make(chan struct{}), peers: map[string]Instance{}, wake: make(chan struct{}, 1),
		loads: map[netip.AddrPort]time.Duration{}, seen: map[netip.AddrPort]definer.Instant{}, done: make(chan struct{}),
	}
	e.short.budget = func() time.Duration { return time.Duration(e.live()) * shortBudget }
	e.long.budget = func() time.Duration { return time.Duration(e.live()) * longBudget }

	return e
}

// Done is closed when Run has returned.
func (e *Elector) Done() <-chan struct{} { return e.done }

// Pool returns the connections to the other instances.
func (e *Elector) Pool() *forwarder.Pool { return e.pool }

// Configure hands a newer configuration to the owner on this instance.
func (e *Elector) Configure(config *definer.Configuration) {
	e.config.Store(config)
	if lead := e.LocalLeader(); lead != nil {
		lead.Configure(config)
	}
}

// Owner returns the owner, and a channel that is closed when it changes.
func (e *Elector) Owner() (Ownership, <-chan struct{}) {
	e.mu.Lock()
	defer e.mu.Unlock()

	return e.owner, e.changed
}

// LocalLeader returns the owner when it is this instance.
func (e *Elector) LocalLeader() *leader.Leader {
	e.mu.Lock()
	defer e.mu.Unlock()

	return e.lead
}

// Register writes this instance to the instances table.
func (e *Elector) Register(ctx context.Context) {
	for ctx.Err() == nil {
		value, err := msgpack.Marshal(Instance{Name: e.settings.Name, Address: e.settings.Address, Life: e.settings.Life, Power: e.settings.Power, Zone: e.settings.Zone})
		if err != nil {
			e.logger.Error("instance not registered", "error", err)

			return
		}
		callCtx, cancel := context.WithTimeout(ctx, tableTimeout)
		_, err = e.store.Append(callCtx, definer.TableInstances, definer.AnyOffset, []definer.Record{{Key: e.settings.Name, Value: value}})
		cancel()
		if err == nil {
			return
		}
		e.logger.Warn("instance not registered", "error", err)
		definer.Sleep(ctx, registerPause, nil)
	}
}

const (
	// tableTimeout bounds an append to the instances table, and registerPause the pause after a failure.
	tableTimeout  = time.Second
	registerPause = 300 * time.Millisecond
)

// Apply takes a record of the instances table.
func (e *Elector) Apply(record definer.Record) {
	if len(record.Value) == 0 {
		e.mu.Lock()
		delete(e.peers, record.Key)
		e.mu.Unlock()

		return
	}
	if record.Key == ownerKey {
		var owner Ownership
		if err := msgpack.Unmarshal(record.Value, &owner); err != nil {
			e.logger.Error("unreadable owner", "error", err)

			return
		}
		e.learn(owner, "table")

		return
	}
	var instance Instance
	if err := msgpack.Unmarshal(record.Value, &instance); err != nil {
		e.logger.Error("unreadable instance", "key", record.Key, "error", err)

		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if instance.Name != e.settings.Name {
		e.peers[record.Key] = instance
	}
}

// learn takes note of an owner with a higher term.
func (e *Elector) learn(owner Ownership, source string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if owner.Term <= e.owner.Term {
		return
	}
	e.logger.Info("owner learned", "owner", owner.Name, "address", owner.Address.String(), "term", owner.Term, "before", e.owner.Term, "source", source)
	e.owner = owner
	e.reachedAt = definer.Now()
	close(e.changed)
	e.changed = make(chan struct{})
	if e.lead != nil && owner.Address != e.settings.Address {
		e.lead.StepDown()
	}
}

func (e *Elector) instances() []Instance {
	e.mu.Lock()
	defer e.mu.Unlock()
	list := make([]Instance, 0, len(e.peers))
	for _, peer := range e.peers {
		list = append(list, peer)
	}

	return list
}

// Suspect makes the elector look after the owner at once.
func (e *Elector) Suspect() {
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

// Resign gives the cell to another instance before this one ends.
func (e *Elector) Resign(ctx context.Context) {
	e.mu.Lock()
	e.stopping = true
	lead := e.lead
	e.mu.Unlock()
	if lead == nil {
		return
	}
	end, ok := lead.HandOver(ctx)
	if !ok {
		return
	}
	peers := e.instances()
	sort.SliceStable(peers, func(a, b int) bool { return peers[a].Power > peers[b].Power })
	for _, peer := range peers {
		callCtx, cancel := context.WithTimeout(ctx, handOverTimeout)
		reply, err := forwarder.Call[forwarder.Handover, forwarder.Reply](callCtx, e.pool, peer.Address, "TakeOver", &forwarder.Handover{End: end})
		cancel()
		if err == nil && reply.Outcome == forwarder.OutcomeDone {
			e.logger.Info("cell handed over", "to", peer.Name)

			return
		}
		e.logger.Warn("cell not handed over", "to", peer.Name, "error", err)
	}
}

// handOverTimeout bounds the call that gives the cell to another instance.
const handOverTimeout = time.Second

// takeOver claims the cell at an offset and, when that lands, runs it.
func (e *Elector) takeOver(ctx context.Context, end int64, why string) bool {
	if e.config.Load() == nil {
		return false
	}
	claim := journaler.Claim{Name: e.settings.Name, Address: e.settings.Address.String(), Life: e.settings.Life, Beat: int64(definer.Now())}
	callCtx, cancel := context.WithTimeout(ctx, claimTimeout)
	reply, err := leader.Append(callCtx, e.store, end, []definer.Record{journaler.EncodeClaim(claim)})
	cancel()
	if err != nil || !reply.Appended {
		e.logger.Info("claim lost", "at", end, "end", reply.End, "error", err)

		return false
	}
	term := end + 1
	fleet := courier.NewClient(e.endpoints, e.pool, e.courierFor, e.logger, e.metrics)
	lead := leader.New(leader.Settings{Planner: e.settings.Planner, Claim: claim, Term: term, End: end + 1},
		e.store, fleet, e, e.decoder, e.config.Load(), e.logger.Named("owner"), e.metrics)
	e.logger.Info("cell claimed", "term", term, "why", why)
	e.metrics.Count("claims")
	e.mu.Lock()
	e.lead = lead
	e.mu.Unlock()
	owner := Ownership{Term: term, Address: e.settings.Address, Name: e.settings.Name}
	e.learn(owner, "claim")
	e.mu.Lock()
	base := e.base
	e.mu.Unlock()
	go e.run(base, lead, fleet, owner)

	return true
}

// claimTimeout bounds a claim.
const claimTimeout = 3 * time.Second

// run runs the cell until the ownership ends.
func (e *Elector) run(ctx context.Context, lead *leader.Leader, fleet *courier.Client, owner Ownership) {
	go e.announceLoop(ctx, lead, owner)
	fleetCtx, stopFleet := context.WithCancel(ctx)
	go fleet.Run(fleetCtx)
	err := lead.Run(ctx)
	stopFleet()
	e.mu.Lock()
	e.lead = nil
	if errors.Is(err, leader.ErrNoQuorum) {
		e.barredUntil = definer.Now().Add(barredFor)
	}
	e.reachedAt = 0
	e.mu.Unlock()
	e.logger.Warn("ownership ended", "term", owner.Term, "why", err, "unstored", len(lead.UnstoredProgress()))
	e.Suspect()
	if len(lead.UnstoredProgress()) > 0 {
		e.bequeath(ctx, owner.Term, lead.UnstoredProgress())
	}
}

const (
	// bequeathFor is how long an earlier owner tries to pass on what it could not store; tasks of endpoints
	// that do not answer start again no sooner than their lease runs out.
	bequeathFor = 5 * time.Second
	// bequeathPause is the pause between two attempts, and bequeathTimeout bounds one.
	bequeathPause   = 200 * time.Millisecond
	bequeathTimeout = time.Second
)

// bequeath passes progress that could not be stored to the next owner, which
// would otherwise repeat tasks whose endpoints are gone.
func (e *Elector) bequeath(ctx context.Context, term int64, snapshots []planner.Snapshot) {
	for until := definer.Now().Add(bequeathFor); definer.Now() < until && ctx.Err() == nil; definer.Sleep(ctx, bequeathPause, nil) {
		owner, _ := e.Owner()
		if owner.Term <= term {
			continue
		}
		legacy := &forwarder.UnstoredProgress{Term: term, Snapshots: snapshots}
		callCtx, cancel := context.WithTimeout(ctx, bequeathTimeout)
		reply, err := forwarder.Call[forwarder.UnstoredProgress, forwarder.Reply](callCtx, e.pool, owner.Address, "Inherit", legacy)
		cancel()
		if err == nil && reply.Outcome == forwarder.OutcomeDone {
			return
		}
		e.logger.Warn("progress not passed on", "to", owner.Name, "jobs", len(snapshots), "error", err)
	}
	e.logger.Error("progress lost", "term", term, "jobs", len(snapshots))
}

// barredFor is how long an instance that most endpoints do not answer leaves the cell to others.
const barredFor = 5 * time.Second

// announceLoop tells the other instances who the owner is.
func (e *Elector) announceLoop(ctx context.Context, lead *leader.Leader, owner Ownership) {
	value, err := msgpack.Marshal(owner)
	if err != nil {
		e.logger.Error("owner not announced", "error", err)

		return
	}
	var group sync.WaitGroup
	for _, peer := range e.instances() {
		group.Add(1)
		go func() {
			defer group.Done()
			e.exchange(ctx, peer.Address, true)
		}()
	}
	for ctx.Err() == nil {
		callCtx, cancel := context.WithTimeout(ctx, tableTimeout)
		_, err := e.store.Append(callCtx, definer.TableInstances, definer.AnyOffset, []definer.Record{{Key: ownerKey, Value: value}})
		cancel()
		if err == nil {
			break
		}
		select {
		case <-lead.Done():
			return
		case <-time.After(registerPause):
		}
	}
	group.Wait()
}
