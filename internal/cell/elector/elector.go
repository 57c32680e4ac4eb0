// Package elector decides which instance owns the cell. The owner is the
// instance with the latest claim in the state table of the store. Claims, like
// all appends to that table, succeed only at the offset that they name, and the
// offset after the claim is the owner's term. An instance claims the cell when
// the owner neither answers heartbeats nor appends to the table, when the owner
// is known to have ended, or when most instances cannot reach it.
package elector

import (
	"context"
	"net/netip"
	"sort"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/vmihailenco/msgpack/v5"

	"gitlab.com/greengagewall/greengagewall/internal/cell/courier"
	"gitlab.com/greengagewall/greengagewall/internal/cell/definer"
	"gitlab.com/greengagewall/greengagewall/internal/cell/forwarder"
	"gitlab.com/greengagewall/greengagewall/internal/cell/leader"
	"gitlab.com/greengagewall/greengagewall/internal/cell/planner"
	"gitlab.com/greengagewall/greengagewall/internal/cell/recorder"
	"gitlab.com/greengagewall/greengagewall/internal/codec/inspector"
)

// Settings identify an instance.
type Settings struct {
	Name    string
	Address netip.AddrPort
	Zone    string
	// Life identifies the process; each process of an instance has a different value.
	Life int64
	// Power is the processor time available to the instance, in processors.
	Power   float64
	Planner planner.Settings
	// Evacuation is the time from an evacuation of a zone until no task is started there; 0 means that zones are not
	// evacuated.
	Evacuation time.Duration
}

// Instance is an entry of the instances table, in which instances register.
type Instance struct {
	Name    string
	Address netip.AddrPort
	Life    int64
	Power   float64
	Zone    string
}

// Ownership identifies the owner of the cell and its term.
type Ownership struct {
	Term    int64
	Address netip.AddrPort
	Name    string
	// Life identifies the process that made the claim; 0 means unknown.
	Life int64
}

// ownerKey is the key of the owner in the instances table; all other keys are instance names.
const ownerKey = "/owner"

// Elector monitors the owner of the cell and claims the cell when the owner fails.
type Elector struct {
	settings  Settings
	store     definer.Store
	endpoints definer.Endpoints
	decoder   definer.Decoder
	pool      *forwarder.Pool
	adviser   definer.Adviser
	courier   *courier.Courier
	// shortQuestions and longQuestions limit the outstanding policy questions when this instance is the owner.
	shortQuestions, longQuestions *budgetLimiter
	logger                        hclog.Logger
	metrics                       *recorder.Metrics
	// storeAge returns the time since the last answer of the store, and storeLatency the latency of its calls.
	storeAge     func() time.Duration
	storeLatency func() time.Duration
	config       atomic.Pointer[definer.Configuration]
	evacuations  atomic.Pointer[definer.Evacuations]

	mu sync.Mutex
	// runCtx is the context of Run and of the owner on this instance.
	runCtx context.Context //nolint:containedctx // A claim may be made by a call, but the ownership outlives the call.
	owner  Ownership
	// changed is closed and replaced when the owner changes.
	changed chan struct{}
	// ownerReached is when the owner last answered a heartbeat or became known.
	ownerReached definer.Instant
	// ownerStoreSeen is when the owner last had an answer of the store, as far as its replies to heartbeats tell.
	ownerStoreSeen definer.Instant
	// ownerLearned is when the owner became known.
	ownerLearned definer.Instant
	peers        map[string]Instance
	// local is the owner if it is this instance.
	local *leader.Leader
	// localEnded is closed when the last ownership of this instance has ended.
	localEnded chan struct{}
	// claiming means that a claim of this instance has no answer of the store yet.
	claiming bool
	// stopping is set by Resign.
	stopping bool
	// noClaimUntil is when this instance may claim the cell again after it lost the quorum of the endpoints.
	noClaimUntil definer.Instant
	// Suspect sends to wake.
	wake chan struct{}
	// questionLoad is the total decision time of the outstanding questions per instance.
	questionLoad map[netip.AddrPort]time.Duration
	// demand is the decision time that the policy questions have needed lately.
	demand demandMeter
	// unanswered is when each instance last failed to answer a question, if it has answered none since.
	unanswered map[netip.AddrPort]definer.Instant
	// lastHeartbeat is when each instance last sent a heartbeat to this one.
	lastHeartbeat map[netip.AddrPort]definer.Instant
	// liveNow is the last result of live, or nil.
	liveNow *liveSet
	done    chan struct{}
}

// New returns an elector; call Run to start it.
func New(settings Settings, store definer.Store, endpoints definer.Endpoints, adviser definer.Adviser, decoder definer.Decoder,
	storeAge, storeLatency func() time.Duration, logger hclog.Logger, metrics *recorder.Metrics,
) *Elector {
	e := &Elector{
		settings: settings, store: store, endpoints: endpoints, decoder: decoder, pool: forwarder.NewPool(),
		adviser: adviser, courier: courier.New(endpoints), logger: logger, metrics: metrics, storeAge: storeAge, storeLatency: storeLatency,
		changed: make(chan struct{}), peers: map[string]Instance{}, wake: make(chan struct{}, 1),
		questionLoad: map[netip.AddrPort]time.Duration{}, unanswered: map[netip.AddrPort]definer.Instant{}, lastHeartbeat: map[netip.AddrPort]definer.Instant{}, done: make(chan struct{}),
	}
	e.shortQuestions = newBudgetLimiter(func() time.Duration { return time.Duration(e.countLive()) * shortBudget })
	e.longQuestions = newBudgetLimiter(func() time.Duration {
		live := time.Duration(e.countLive())

		return live*longBudget + max(live*shortBudget-e.shortQuestions.inUse(), 0)
	})

	return e
}

// Done returns a channel that is closed when Run has returned.
func (e *Elector) Done() <-chan struct{} { return e.done }

// Pool returns the connections to the other instances.
func (e *Elector) Pool() *forwarder.Pool { return e.pool }

// Configure stores a newer configuration and passes it to the owner if it is this instance.
func (e *Elector) Configure(config *definer.Configuration) {
	e.config.Store(config)
	if lead := e.LocalLeader(); lead != nil {
		lead.Configure(config)
	}
}

// Evacuate stores the evacuated zones and passes them to the owner if it is this instance. It is called with sets that
// follow one another.
func (e *Elector) Evacuate(evacuations definer.Evacuations) {
	e.evacuations.Store(&evacuations)
	if lead := e.LocalLeader(); lead != nil {
		lead.Evacuate(evacuations)
	}
}

// passOnEvacuations passes the evacuated zones to an owner that has just become known as that of this instance, which
// Evacuate may have missed.
func (e *Elector) passOnEvacuations(lead *leader.Leader) {
	if evacuations := e.evacuations.Load(); evacuations != nil {
		lead.Evacuate(*evacuations)
	}
}

// Owner returns the known owner and a channel that is closed when it changes.
func (e *Elector) Owner() (Ownership, <-chan struct{}) {
	e.mu.Lock()
	defer e.mu.Unlock()

	return e.owner, e.changed
}

// ownerStoreLimit is how long after an answer of the store to the owner the store is
// likely to serve other instances. It covers the slowest heartbeats.
const ownerStoreLimit = 2500 * time.Millisecond

// OwnerHasStore reports whether the store has answered the owner recently.
func (e *Elector) OwnerHasStore() bool {
	e.mu.Lock()
	defer e.mu.Unlock()

	return definer.Since(e.ownerStoreSeen) < ownerStoreLimit
}

// LocalLeader returns the owner if it is this instance, or nil.
func (e *Elector) LocalLeader() *leader.Leader {
	e.mu.Lock()
	defer e.mu.Unlock()

	return e.local
}

// Register writes this instance to the instances table and retries until that succeeds or ctx ends.
func (e *Elector) Register(ctx context.Context) {
	for ctx.Err() == nil {
		value, err := msgpack.Marshal(Instance{Name: e.settings.Name, Address: e.settings.Address, Life: e.settings.Life, Power: e.settings.Power, Zone: e.settings.Zone})
		if err != nil {
			e.logger.Error("instance not registered", "error", err)

			return
		}
		callCtx, cancel := definer.WithStallTimeout(ctx, tableTimeout)
		_, err = e.store.Append(callCtx, definer.TableInstances, definer.AnyOffset, []definer.Record{{Key: e.settings.Name, Value: value}})
		cancel()
		if err == nil {
			return
		}
		e.logger.Warn("instance not registered", "error", err)
		definer.Sleep(ctx, registerRetryDelay, nil)
	}
}

const (
	// tableTimeout bounds the time without progress of an append to the instances table, and registerRetryDelay is the delay after a failure.
	tableTimeout       = time.Second
	registerRetryDelay = 300 * time.Millisecond
)

// Apply applies a record of the instances table.
func (e *Elector) Apply(record definer.Record) {
	if len(record.Value) == 0 {
		e.mu.Lock()
		delete(e.peers, record.Key)
		e.mu.Unlock()

		return
	}
	if err := inspector.Check(record.Value); err != nil {
		e.logger.Error("unreadable record in the instances table", "key", record.Key, "error", err)

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

// learn records an owner with a higher term and ends the ownership of this
// instance if it is superseded. While a claim of this instance is outstanding, only
// its answer tells whether the instance is the owner.
func (e *Elector) learn(owner Ownership, source string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if owner.Term <= e.owner.Term || e.claiming && owner.Address == e.settings.Address {
		return
	}
	e.logger.Info("owner learned", "owner", owner.Name, "address", owner.Address.String(), "term", owner.Term, "before", e.owner.Term, "source", source)
	e.owner = owner
	e.ownerReached = definer.Now()
	e.ownerLearned = e.ownerReached
	close(e.changed)
	e.changed = make(chan struct{})
	if e.local != nil && owner.Address != e.settings.Address {
		e.local.StepDown()
	}
}

func (e *Elector) peerInstances() []Instance {
	e.mu.Lock()
	defer e.mu.Unlock()
	list := make([]Instance, 0, len(e.peers))
	for _, peer := range e.peers {
		list = append(list, peer)
	}

	return list
}

// peersByPower returns the peers, those with the most processor time first.
func (e *Elector) peersByPower() []Instance {
	peers := e.peerInstances()
	sort.SliceStable(peers, func(a, b int) bool { return peers[a].Power > peers[b].Power })

	return peers
}

// Suspect makes the elector check the owner at once instead of at the next heartbeat.
func (e *Elector) Suspect() {
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

// Resign keeps this instance from claiming the cell again and, if it is the owner,
// hands the cell over to a peer. It returns when the ownership of this instance has
// ended or ctx ends.
func (e *Elector) Resign(ctx context.Context) {
	e.mu.Lock()
	e.stopping = true
	lead, ended := e.local, e.localEnded
	e.mu.Unlock()
	if lead == nil {
		return
	}
	e.handOver(ctx, lead)
	select {
	case <-ended:
	case <-ctx.Done():
	}
}

// handOver ends the ownership of this instance and lets a peer claim the cell,
// trying those with the most processor time first.
func (e *Elector) handOver(ctx context.Context, lead *leader.Leader) {
	end, ok := lead.HandOver(ctx)
	if !ok {
		return
	}
	for _, peer := range e.peersByPower() {
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

// handOverTimeout bounds the call that hands the cell over to another instance.
const handOverTimeout = time.Second
