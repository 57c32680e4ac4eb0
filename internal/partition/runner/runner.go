// Package runner does the I/O around one partition: it follows the stream,
// claims the partition when the elector says so, and carries out the commands
// of the owner's pure core. The core and the replayed state are changed by one
// goroutine only.
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
	// tickEvery is the pace of time-driven work and of placement passes.
	tickEvery = 25 * time.Millisecond
	// viewEvery is the pace at which configuration, endpoints and gifts are
	// looked at.
	viewEvery = 200 * time.Millisecond
	// loadEvery is the pace at which the load for heartbeats is computed.
	loadEvery = 100 * time.Millisecond
	// snapshotPause is the time that a snapshot is given to reach the stream.
	snapshotPause = 10 * time.Second
	// maxAsked bounds the requests of callers that wait for the core.
	maxAsked = 4096
	// maxEvents bounds the results and stream records that wait for the core.
	maxEvents = 16384
	// notOwnerRetry is about the time in which a takeover becomes known.
	notOwnerRetry = 500 * time.Millisecond
)

// TokenRequester asks the owner of another partition for part of a team's limit; the
// message names the giver. It is implemented by the peer side.
type TokenRequester interface {
	RequestTokens(ctx context.Context, msg modeler.TokensMsg) error
}

// Settings is what a runner works with. All fields but Tokens, Gifts and
// Violation are required.
type Settings struct {
	Self modeler.Instance
	// Partition gives name and region; its weight is read from the
	// configuration in force.
	Partition     modeler.Partition
	Log           messenger.Log
	Dialer        messenger.Dialer
	Membership    modeler.Membership
	Configuration modeler.Configuration
	// Endpoints returns the endpoints of a partition.
	Endpoints func(partition modeler.PartitionID) []modeler.Instance
	Logger    hclog.Logger
	Clock     func() time.Time
	// NewScheduler makes the decision core of a new owner.
	NewScheduler func() owner.Scheduler
	// Retention is how long the log keeps records. A snapshot is appended
	// every third of it.
	Retention time.Duration
	// Transfers returns the gifts that other partitions have given to this one.
	Transfers func(to modeler.PartitionID) []encoder.Transfer
	Tokens    TokenRequester
	Violation owner.ViolationFunc
}

// event is an input of the loop other than a caller's request.
type event struct {
	// core is the core that a result belongs to; nil for other events.
	core *owner.Core
	msg  owner.Msg
	// page is set for records of the stream.
	page *messenger.Page
}

// Runner runs one partition at this instance, as its owner or as a follower.
type Runner struct {
	set    Settings
	asked  *buffer.Ring[owner.Msg]
	events *buffer.Ring[event]
	append *appender
	follow *follower
	done   chan struct{}

	draining atomic.Bool
	claimNow atomic.Bool
	owning   atomic.Bool
	busy     atomic.Bool
	load     atomic.Pointer[modeler.Load]

	waiting waiting
	// driver carries out commands in place of goroutines; nil but in a Stepper.
	driver Driver

	// mu guards state, which the loop changes and queries read.
	mu    sync.RWMutex
	state *replayer.State

	// The fields below belong to the loop.
	core    *owner.Core
	retired []*owner.Core
	elector elector.Elector
	claim   *claim
	view    view
	// snapshot is the time of the last snapshot in the stream.
	snapshot time.Time
	// asking is when a snapshot was last asked for.
	asking time.Time
	loaded time.Time
	// campaigned is when heartbeats were last looked at.
	campaigned time.Time
	// refreshed is when the successors were last compared with the live peers.
	refreshed time.Time
	tasks     sync.WaitGroup
}

// view is what the loop last saw of configuration and endpoints.
type view struct {
	at        time.Time
	config    modeler.Offset
	ok        bool
	document  modeler.Document
	endpoints []modeler.Instance
}

// New returns a runner; Run starts it.
func New(set Settings) *Runner {
	if set.Clock == nil {
		set.Clock = time.Now
	}
	if set.Retention <= 0 {
		set.Retention = 24 * time.Hour
	}
	r := &Runner{
		set: set, state: replayer.New(set.Partition.Name), done: make(chan struct{}),
		asked:  buffer.NewRing[owner.Msg](maxAsked),
		events: buffer.NewRing[event](maxEvents),
	}
	r.waiting.answers = map[owner.Waiter]chan answer{}
	r.append = newAppender(r)
	r.follow = newFollower(r)

	return r
}

// Done is closed when Run has returned.
func (r *Runner) Done() <-chan struct{} { return r.done }

// Run works until ctx ends and all parts have stopped.
func (r *Runner) Run(ctx context.Context) {
	defer close(r.done)
	go r.append.run(ctx)
	go r.follow.run(ctx)
	r.loop(ctx)
	<-r.append.done
	<-r.follow.done
	r.tasks.Wait()
	r.waiting.fail()
}

// loop is the only goroutine that touches the core and changes the state.
func (r *Runner) loop(ctx context.Context) {
	ticker := time.NewTicker(tickEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.events.Ready():
			if e, ok := r.events.TryPop(); ok {
				r.handle(ctx, e)
			}
		case <-r.asked.Ready():
			if msg, ok := r.asked.TryPop(); ok {
				r.ask(ctx, msg)
			}
		case <-ticker.C:
			r.tick(ctx)
		}
	}
}

// handle takes a result or records of the stream.
func (r *Runner) handle(ctx context.Context, e event) {
	if e.page != nil {
		r.read(ctx, *e.page)

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

// ask passes a caller's request to the core.
func (r *Runner) ask(ctx context.Context, msg owner.Msg) {
	if msg, ok := msg.(owner.AbandonMsg); ok {
		r.giveUp(ctx, msg)

		return
	}
	if r.core != nil {
		r.update(ctx, r.core, msg)

		return
	}
	r.waiting.answer(waiterOf(msg), answer{refusal: r.notOwner()})
}

// giveUp lets the present or an earlier core say what is true of a request
// whose caller stops waiting.
func (r *Runner) giveUp(ctx context.Context, msg owner.AbandonMsg) {
	if r.core != nil {
		r.update(ctx, r.core, msg)
	}
	for _, core := range r.retired {
		r.update(ctx, core, msg)
	}
	r.waiting.answer(msg.Waiter, answer{refusal: modeler.Unknown(modeler.CodeLostAnswer, notOwnerRetry, "the caller stopped waiting")})
}

// notOwner is the refusal of work for a partition that is owned elsewhere.
func (r *Runner) notOwner() *modeler.Refusal {
	return modeler.NotRun(modeler.CodeNotOwner, notOwnerRetry, "this instance does not own partition %s", r.set.Partition.Name)
}

// tick does time-driven work.
func (r *Runner) tick(ctx context.Context) {
	now := r.set.Clock()
	if now.Sub(r.view.at) >= viewEvery {
		r.look(ctx, now)
	}
	if r.core != nil {
		if r.draining.Load() {
			r.update(ctx, r.core, owner.DrainMsg{})
		}
		r.update(ctx, r.core, owner.TickMsg{})
		r.takeSnapshot(ctx, now)
	}
	r.campaign(ctx, now)
	r.retired = keepBusy(r.retired)
	r.publish(now)
}

// keepBusy drops the retired cores that no caller waits for any more.
func keepBusy(cores []*owner.Core) []*owner.Core {
	var kept []*owner.Core
	for _, core := range cores {
		if core.Busy() {
			kept = append(kept, core)
		}
	}

	return kept
}

// publish makes the load of the partition visible to other goroutines.
func (r *Runner) publish(now time.Time) {
	busy := len(r.retired) > 0
	if r.core != nil {
		busy = busy || r.core.Busy()
		if now.Sub(r.loaded) >= loadEvery {
			r.loaded = now
			load := r.core.Load(now)
			r.load.Store(&load)
		}
	} else {
		r.load.Store(nil)
	}
	r.busy.Store(busy)
	r.owning.Store(r.core != nil)
}

// look takes over configuration, endpoints and gifts.
func (r *Runner) look(ctx context.Context, now time.Time) {
	r.view.at = now
	doc, offset, ok := r.set.Configuration.InForce()
	changed := ok && (!r.view.ok || offset > r.view.config)
	if changed {
		r.view.ok, r.view.document, r.view.config = true, doc, offset
	}
	r.view.endpoints = r.set.Endpoints(r.set.Partition.Name)
	if r.core == nil {
		return
	}
	if changed {
		r.update(ctx, r.core, owner.ConfigMsg{Document: r.view.document, Offset: r.view.config})
	}
	r.update(ctx, r.core, owner.EndpointsMsg{Instances: r.view.endpoints})
	r.collectGifts(ctx)
}

// collectGifts shows the core the gifts in the streams of other partitions.
func (r *Runner) collectGifts(ctx context.Context) {
	if r.set.Transfers == nil {
		return
	}
	for _, gift := range r.set.Transfers(r.set.Partition.Name) {
		if r.core != nil {
			r.update(ctx, r.core, owner.TransferMsg{Transfer: gift})
		}
	}
}

// takeSnapshot asks for a snapshot every third of the retention.
func (r *Runner) takeSnapshot(ctx context.Context, now time.Time) {
	if now.Sub(r.snapshot) < r.set.Retention/3 || now.Sub(r.asking) < snapshotPause {
		return
	}
	r.asking = now
	before := now.Add(-r.set.Retention)
	r.mu.Lock()
	r.state.Prune(before)
	r.mu.Unlock()
	r.update(ctx, r.core, owner.SnapshotMsg{PruneBefore: before})
}

// update passes a message to a core and carries out its commands. Without a
// core it does nothing: the update before may have lost the partition.
func (r *Runner) update(ctx context.Context, core *owner.Core, msg owner.Msg) {
	if core == nil {
		return
	}
	for _, cmd := range core.Update(msg, r.set.Clock()) {
		r.carryOut(ctx, core, cmd)
	}
}

// carryOut carries out a command of a core.
func (r *Runner) carryOut(ctx context.Context, core *owner.Core, cmd owner.Command) {
	switch cmd := cmd.(type) {
	case owner.AnswerCmd:
		r.waiting.answer(cmd.Waiter, answer{reply: cmd.Reply, refusal: cmd.Err})
	case owner.AppendCmd:
		if core == r.core {
			r.hand(cmd)
		}
	case owner.SupersededCmd:
		if core == r.core {
			r.set.Logger.Warn("superseded", "partition", r.set.Partition.Name, "endpoint", cmd.Endpoint, "term", core.Term())
			r.lose(ctx, false)
		}
	case owner.ClaimCmd:
		if core == r.core {
			r.raise(ctx, cmd)
		}
	default:
		if r.driver != nil {
			r.driver.Execute(core, cmd)

			return
		}
		r.tasks.Add(1)
		go (&errand{runner: r, core: core, cmd: cmd}).run(ctx)
	}
}

// hand gives a batch to the appender, with a snapshot of the state if asked.
func (r *Runner) hand(cmd owner.AppendCmd) {
	if cmd.Snapshot {
		r.mu.RLock()
		data, err := r.state.Snapshot()
		r.mu.RUnlock()
		if err != nil {
			r.set.Logger.Error("snapshot failed", "partition", r.set.Partition.Name, "error", err)
		} else {
			cmd.Batch.Snapshot = &encoder.Snapshot{State: data}
		}
	}
	r.append.put(cmd.Batch)
}

// push hands an event to the loop and waits while the ring is full.
func (r *Runner) push(ctx context.Context, e event) {
	for !r.events.Push(e) {
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Millisecond):
		}
	}
}
