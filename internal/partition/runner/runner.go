// Package runner performs the I/O of one partition. It follows the stream, claims
// the partition when the elector calls for it, and executes the commands of the
// owner's core, which does no I/O. A single goroutine changes the core and the
// replayed state.
package runner

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"gitlab.com/greengagewall/greengagewall/internal/codec/encoder"
	"gitlab.com/greengagewall/greengagewall/internal/container/buffer"
	"gitlab.com/greengagewall/greengagewall/internal/domain/modeler"
	"gitlab.com/greengagewall/greengagewall/internal/partition/elector"
	"gitlab.com/greengagewall/greengagewall/internal/partition/owner"
	"gitlab.com/greengagewall/greengagewall/internal/partition/replayer"
	"gitlab.com/greengagewall/greengagewall/internal/platform/messenger"
)

const (
	// tickInterval is the interval of time-driven work and of placement passes.
	tickInterval = 25 * time.Millisecond
	// viewInterval is the interval at which configuration, endpoints and token
	// transfers are read.
	viewInterval = 200 * time.Millisecond
	// loadInterval is the interval at which the load for heartbeats is computed.
	loadInterval = 100 * time.Millisecond
	// snapshotRetryInterval is the time after which a snapshot that has not
	// reached the stream is requested again.
	snapshotRetryInterval = 10 * time.Second
	// maxRequests bounds the queue of callers' requests to the core.
	maxRequests = 4096
	// maxEvents bounds the queue of results and stream records.
	maxEvents = 16384
	// notOwnerRetryAfter is the retry delay advised to callers. A takeover
	// becomes known in about this time.
	notOwnerRetryAfter = 500 * time.Millisecond
)

// TokenRequester asks the owner of another partition for part of a team's limit.
// The message names the partition that is asked. The connection to peers
// implements it.
type TokenRequester interface {
	RequestTokens(ctx context.Context, msg modeler.TokensMsg) error
}

// Settings configures a runner. Tokens, Transfers and Violation are optional. The
// default of Clock is time.Now and that of Retention is 24 h. All other fields are
// required.
type Settings struct {
	Self modeler.Instance
	// Partition identifies the partition by name and region. Its weight is read
	// from the configuration in force.
	Partition     modeler.Partition
	Log           messenger.Log
	Dialer        messenger.Dialer
	Membership    modeler.Membership
	Configuration modeler.Configuration
	// Endpoints returns the endpoints of a partition.
	Endpoints func(partition modeler.PartitionID) []modeler.Instance
	Logger    hclog.Logger
	Clock     func() time.Time
	// NewScheduler returns the scheduler of a new owner.
	NewScheduler func() owner.Scheduler
	// Retention is the time for which the log keeps records. A snapshot is
	// appended after each third of it.
	Retention time.Duration
	// Transfers returns the token transfers of other partitions to this one.
	Transfers func(to modeler.PartitionID) []encoder.Transfer
	Tokens    TokenRequester
	Violation owner.ViolationFunc
}

// event is an input of the event loop other than a caller's request.
type event struct {
	// core is the core that a result belongs to. It is nil for other events.
	core *owner.Core
	msg  owner.Msg
	// page is set for records of the stream.
	page *messenger.Page
}

// Runner runs one partition at this instance, as its owner or as a follower.
type Runner struct {
	settings Settings
	requests *buffer.Ring[owner.Msg]
	events   *buffer.Ring[event]
	appender *appender
	follower *follower
	done     chan struct{}

	draining atomic.Bool
	// takeOverTerm is the term whose owner has asked this instance to take over;
	// zero if none has.
	takeOverTerm atomic.Uint64
	owning       atomic.Bool
	busy         atomic.Bool
	load         atomic.Pointer[modeler.Load]

	waiters waiters
	// driver executes commands instead of goroutines. It is nil outside a Stepper.
	driver Driver

	// mu guards state, which the event loop changes and queries read.
	mu    sync.RWMutex
	state *replayer.State

	// Only the event loop uses the fields below.
	core    *owner.Core
	retired []*owner.Core
	elector elector.Elector
	claim   *pendingClaim
	view    view
	// lastSnapshot is the time of the last snapshot in the stream.
	lastSnapshot time.Time
	// lastSnapshotRequest is when a snapshot was last requested.
	lastSnapshotRequest time.Time
	// lastLoad is when the load was last computed.
	lastLoad time.Time
	// lastCampaign is when heartbeats were last checked.
	lastCampaign time.Time
	// lastSuccessorCheck is when the successors were last compared with the live peers.
	lastSuccessorCheck time.Time
	// remoteCommands waits for the running remote commands.
	remoteCommands sync.WaitGroup
}

// view is the configuration and the endpoints as the event loop last read them.
type view struct {
	refreshedAt time.Time
	offset      modeler.Offset
	hasConfig   bool
	document    modeler.Document
	endpoints   []modeler.Instance
}

// New returns a runner that Run starts.
func New(settings Settings) *Runner {
	if settings.Clock == nil {
		settings.Clock = time.Now
	}
	if settings.Retention <= 0 {
		settings.Retention = 24 * time.Hour
	}
	r := &Runner{
		settings: settings, state: replayer.New(settings.Partition.Name), done: make(chan struct{}),
		requests: buffer.NewRing[owner.Msg](maxRequests),
		events:   buffer.NewRing[event](maxEvents),
	}
	r.waiters.answers = map[owner.Waiter]chan answer{}
	r.appender = newAppender(r)
	r.follower = newFollower(r)

	return r
}

// Done is closed when Run has returned.
func (r *Runner) Done() <-chan struct{} { return r.done }

// Run runs the partition until ctx is done and all goroutines have stopped.
func (r *Runner) Run(ctx context.Context) {
	defer close(r.done)
	go r.appender.run(ctx)
	go r.follower.run(ctx)
	r.loop(ctx)
	<-r.appender.done
	<-r.follower.done
	r.remoteCommands.Wait()
	r.waiters.failAll()
}

// loop is the event loop. Its goroutine is the only one that uses the core and
// changes the state.
func (r *Runner) loop(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.events.Ready():
			if e, ok := r.events.TryPop(); ok {
				r.handleEvent(ctx, e)
			}
		case <-r.requests.Ready():
			if msg, ok := r.requests.TryPop(); ok {
				r.handleRequest(ctx, msg)
			}
		case <-ticker.C:
			r.tick(ctx)
		}
	}
}

// handleEvent handles the result of a command or records of the stream.
func (r *Runner) handleEvent(ctx context.Context, e event) {
	if e.page != nil {
		r.applyPage(ctx, *e.page)

		return
	}
	core := e.core
	if core == nil {
		core = r.core
	}
	if core != nil {
		r.update(ctx, core, e.msg)
	}
}

// handleRequest passes a caller's request to the core and refuses it if this
// instance does not own the partition.
func (r *Runner) handleRequest(ctx context.Context, msg owner.Msg) {
	if msg, ok := msg.(owner.AbandonMsg); ok {
		r.handleAbandon(ctx, msg)

		return
	}
	if r.core != nil {
		r.update(ctx, r.core, msg)

		return
	}
	r.waiters.answer(waiterOf(msg), answer{refusal: r.notOwnerRefusal()})
}

// handleAbandon answers a request whose caller stops waiting. The current or a
// retired core that knows the request answers with its outcome.
func (r *Runner) handleAbandon(ctx context.Context, msg owner.AbandonMsg) {
	if r.core != nil {
		r.update(ctx, r.core, msg)
	}
	for _, core := range r.retired {
		r.update(ctx, core, msg)
	}
	r.waiters.answer(msg.Waiter, answer{refusal: modeler.Unknown(modeler.CodeLostAnswer, notOwnerRetryAfter, "the caller stopped waiting")})
}

// notOwnerRefusal returns the refusal of a request for a partition that this
// instance does not own.
func (r *Runner) notOwnerRefusal() *modeler.Refusal {
	return modeler.NotRun(modeler.CodeNotOwner, notOwnerRetryAfter, "this instance does not own partition %s", r.settings.Partition.Name)
}

// tick performs time-driven work.
func (r *Runner) tick(ctx context.Context) {
	now := r.settings.Clock()
	if now.Sub(r.view.refreshedAt) >= viewInterval {
		r.refreshView(ctx, now)
	}
	if r.core != nil {
		if r.draining.Load() {
			r.update(ctx, r.core, owner.DrainMsg{})
		}
		r.update(ctx, r.core, owner.TickMsg{})
		r.requestSnapshot(ctx, now)
	}
	r.campaign(ctx, now)
	r.retired = busyCores(r.retired)
	r.publishLoad(now)
}

// busyCores returns the cores that callers are still waiting for.
func busyCores(cores []*owner.Core) []*owner.Core {
	var kept []*owner.Core
	for _, core := range cores {
		if core.Busy() {
			kept = append(kept, core)
		}
	}

	return kept
}

// publishLoad publishes the load of the partition to other goroutines.
func (r *Runner) publishLoad(now time.Time) {
	busy := len(r.retired) > 0
	if r.core != nil {
		busy = busy || r.core.Busy()
		if now.Sub(r.lastLoad) >= loadInterval {
			r.lastLoad = now
			load := r.core.Load(now)
			r.load.Store(&load)
		}
	} else {
		r.load.Store(nil)
	}
	r.busy.Store(busy)
	r.owning.Store(r.core != nil)
}

// refreshView reads configuration, endpoints and token transfers and passes them
// to the core.
func (r *Runner) refreshView(ctx context.Context, now time.Time) {
	r.view.refreshedAt = now
	doc, offset, ok := r.settings.Configuration.InForce()
	changed := ok && (!r.view.hasConfig || offset > r.view.offset)
	if changed {
		r.view.hasConfig, r.view.document, r.view.offset = true, doc, offset
	}
	r.view.endpoints = r.settings.Endpoints(r.settings.Partition.Name)
	if r.core == nil {
		return
	}
	if changed {
		r.update(ctx, r.core, owner.ConfigMsg{Document: r.view.document, Offset: r.view.offset})
	}
	r.update(ctx, r.core, owner.EndpointsMsg{Instances: r.view.endpoints})
	r.collectTransfers(ctx)
}

// collectTransfers passes the token transfers in the streams of other partitions
// to the core.
func (r *Runner) collectTransfers(ctx context.Context) {
	if r.settings.Transfers == nil {
		return
	}
	for _, transfer := range r.settings.Transfers(r.settings.Partition.Name) {
		if r.core != nil {
			r.update(ctx, r.core, owner.TransferMsg{Transfer: transfer})
		}
	}
}

// requestSnapshot makes the core append a snapshot after each third of the
// retention.
func (r *Runner) requestSnapshot(ctx context.Context, now time.Time) {
	if now.Sub(r.lastSnapshot) < r.settings.Retention/3 || now.Sub(r.lastSnapshotRequest) < snapshotRetryInterval {
		return
	}
	r.lastSnapshotRequest = now
	before := now.Add(-r.settings.Retention)
	r.mu.Lock()
	r.state.Prune(before)
	r.mu.Unlock()
	r.update(ctx, r.core, owner.SnapshotMsg{PruneBefore: before})
}

// update passes a message to a core and executes its commands. It does nothing
// if core is nil, because the previous update may have ended the ownership.
func (r *Runner) update(ctx context.Context, core *owner.Core, msg owner.Msg) {
	if core == nil {
		return
	}
	for _, cmd := range core.Update(msg, r.settings.Clock()) {
		r.execute(ctx, core, cmd)
	}
}

// execute executes a command of a core.
func (r *Runner) execute(ctx context.Context, core *owner.Core, cmd owner.Command) {
	switch cmd := cmd.(type) {
	case owner.AnswerCmd:
		r.waiters.answer(cmd.Waiter, answer{reply: cmd.Reply, refusal: cmd.Err})
	case owner.AppendCmd:
		if core == r.core {
			r.appendBatch(cmd)
		}
	case owner.SupersededCmd:
		if core == r.core {
			r.settings.Logger.Warn("superseded", "partition", r.settings.Partition.Name, "endpoint", cmd.Endpoint, "term", core.Term())
			r.loseOwnership(ctx, false)
		}
	case owner.ClaimCmd:
		if core == r.core {
			r.claimNextEpoch(ctx, cmd)
		}
	default:
		if r.driver != nil {
			r.driver.Execute(core, cmd)

			return
		}
		r.remoteCommands.Add(1)
		go (&remoteCommand{runner: r, core: core, cmd: cmd}).run(ctx)
	}
}

// appendBatch passes a batch to the appender, with a snapshot of the state if the
// command requests one.
func (r *Runner) appendBatch(cmd owner.AppendCmd) {
	if cmd.Snapshot {
		r.mu.RLock()
		data, err := r.state.Snapshot()
		r.mu.RUnlock()
		if err != nil {
			r.settings.Logger.Error("snapshot failed", "partition", r.settings.Partition.Name, "error", err)
		} else {
			cmd.Batch.Snapshot = &encoder.Snapshot{State: data}
		}
	}
	r.appender.enqueue(cmd.Batch)
}

// pushEvent queues an event for the event loop and waits while the ring is full.
func (r *Runner) pushEvent(ctx context.Context, e event) {
	for !r.events.Push(e) {
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Millisecond):
		}
	}
}
