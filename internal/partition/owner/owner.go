// Package owner implements the state of an owned partition as a pure core: it
// takes a message and the current time and returns commands. It manages the
// endpoint sessions, the rule that work starts only with fresh renewals of a
// majority of the endpoints, the waiting times after a takeover, running tasks,
// calls, and the batches written to the partition's stream. It does no I/O and
// starts no goroutine.
package owner

import (
	"maps"
	"slices"
	"time"

	"gitlab.com/greengagewall/greengagewall/internal/codec/encoder"
	"gitlab.com/greengagewall/greengagewall/internal/core/scheduler"
	"gitlab.com/greengagewall/greengagewall/internal/domain/modeler"
	"gitlab.com/greengagewall/greengagewall/internal/partition/replayer"
)

// The time bounds of the ownership protocol.
const (
	// MaxRenewalAge (Lc) is the maximum age of a renewal that counts for the
	// majority.
	MaxRenewalAge = time.Second
	// SessionTTL (Ls) is how long a session lasts at the endpoint without
	// renewal.
	SessionTTL = time.Second
	// TaskLeaseTTL (Lt) is how long a task runs at an endpoint without renewal.
	TaskLeaseTTL = 6 * time.Second
	// renewInterval leaves room for two lost renewals within MaxRenewalAge.
	renewInterval = 300 * time.Millisecond
	// helloInterval separates the attempts at an endpoint that does not answer.
	helloInterval = time.Second
	// leaseMargin covers the rate difference of two clocks and the timer of the
	// endpoint.
	leaseMargin = 500 * time.Millisecond
	// maxStartsPerPass limits the starts of one placement pass.
	maxStartsPerPass = 256
)

// Scheduler decides which tasks start and stop; the owner feeds it and carries
// out its commands.
type Scheduler interface {
	Update(msg scheduler.Msg, now time.Time) []scheduler.Command
}

// ViolationFunc is called when an action was refused because it would have
// violated an invariant.
type ViolationFunc func(invariant, detail string)

// Core is the state of an owned partition. It is not safe for concurrent use.
type Core struct {
	self        modeler.InstanceID
	partition   modeler.PartitionID
	term        modeler.Term
	scheduler   Scheduler
	onViolation ViolationFunc
	logTimeout  time.Duration

	document modeler.Document
	config   modeler.Offset

	endpoints map[modeler.InstanceID]*endpoint
	jobs      map[modeler.JobID]*job
	tasks     map[modeler.TaskID]*task
	// submissions holds the pending writes of jobs that are not yet committed.
	submissions map[modeler.JobID]*pendingWrite
	teams       map[modeler.TeamID]*team
	requests    map[replayer.RequestKey]*request
	// queuedTasks counts the tasks that are at no endpoint and not final.
	queuedTasks     int
	calls           map[uint64]*pendingCall
	callQueue       []*pendingCall
	lastCall        uint64
	pendingResolves map[replayer.RequestKey][]Waiter
	transfers       replayer.Transfers
	// unreleased lists the transfers of this partition that the receiver must not
	// use yet, in order of their numbers.
	unreleased []*unreleasedTransfer
	// lastClaimRequest is when a claim was last requested to release transfers or
	// to add endpoints to the roster.
	lastClaimRequest time.Time
	// rosters holds the endpoints of the claim in force, after those of earlier
	// claims whose successors no majority refuses yet.
	rosters []roster
	// pendingRoster holds the endpoints of the claim that is not yet committed; nil
	// if there is none.
	pendingRoster []*endpoint
	journal       journal

	// majorityAt is the first time at which this owner held sessions of a
	// majority of the endpoints; zero before.
	majorityAt time.Time
	// lastReady is when the owner last held fresh renewals of a majority.
	lastReady time.Time
	// laterTermSince is when an endpoint first refused the current term because
	// it has seen a later one; laterTermEndpoint is the last endpoint that did.
	laterTermSince    time.Time
	laterTermEndpoint modeler.InstanceID
	// takeoverComplete is set once no endpoint can run work that this owner
	// does not know of.
	takeoverComplete bool
	// holdingJobs is set while jobs are held back although the takeover is
	// complete.
	holdingJobs bool
	teamsDirty  bool
	draining    bool
	retired     bool

	now      time.Time
	commands []Command
	// pendingCommands holds commands of the scheduler that are not yet carried
	// out.
	pendingCommands []scheduler.Command
}

// Option configures a Core.
type Option func(*Core)

// WithScheduler sets the scheduler; the default starts nothing.
func WithScheduler(s Scheduler) Option { return func(c *Core) { c.scheduler = s } }

// WithViolation sets the hook for violated invariants.
func WithViolation(hook ViolationFunc) Option { return func(c *Core) { c.onViolation = hook } }

// WithLogTimeout sets how long a submission waits for the log; the default is
// 5 s.
func WithLogTimeout(timeout time.Duration) Option { return func(c *Core) { c.logTimeout = timeout } }

// New returns the core of an owner that took term, initialised with the state
// of the partition's stream at that point. The core does not keep a reference
// to the state.
func New(self modeler.InstanceID, term modeler.Term, seq uint64, state *replayer.State, opts ...Option) *Core {
	c := &Core{
		self: self, partition: state.Partition, term: term, logTimeout: 5 * time.Second,
		endpoints:       map[modeler.InstanceID]*endpoint{},
		jobs:            map[modeler.JobID]*job{},
		tasks:           map[modeler.TaskID]*task{},
		submissions:     map[modeler.JobID]*pendingWrite{},
		teams:           map[modeler.TeamID]*team{},
		requests:        map[replayer.RequestKey]*request{},
		calls:           map[uint64]*pendingCall{},
		pendingResolves: map[replayer.RequestKey][]Waiter{},
		journal:         journal{seq: seq, heads: map[modeler.TeamID]chainHead{}, byWaiter: map[Waiter]*pendingWrite{}},
	}
	for _, opt := range opts {
		opt(c)
	}
	if c.scheduler == nil {
		c.scheduler = noopScheduler{}
	}
	c.restore(state)

	return c
}

// Update applies a message and returns the commands that follow from it.
func (c *Core) Update(msg Msg, now time.Time) []Command {
	c.now, c.commands = now, nil
	switch msg := msg.(type) {
	case TickMsg:
		c.tick()
	case ConfigMsg:
		c.configure(msg)
	case EndpointsMsg:
		c.updateEndpoints(msg)
	case HelloDoneMsg:
		c.helloDone(msg)
	case RenewDoneMsg:
		c.renewDone(msg)
	case StartDoneMsg:
		c.startDone(msg)
	case TaskDoneMsg:
		c.taskDone(msg)
	case CallDoneMsg:
		c.callDone(msg)
	case VoidDoneMsg:
		c.voidDone(msg)
	case SubmitMsg, CancelMsg, CallMsg, ResolveMsg, RequestTransferMsg, AbandonMsg:
		c.handleRequest(msg)
	case CommittedMsg:
		c.batchCommitted(msg)
	case PredecessorBatchMsg:
		c.applyPredecessorBatch(msg)
	case LogStatusMsg:
		c.logStatus(msg)
	case TermMsg:
		c.changeTerm(msg)
	case ClaimMsg:
		c.journal.nextClaim = &encoder.Claim{Successors: msg.Successors}
	case TransferMsg:
		c.receiveTransfer(msg.Transfer)
	case SnapshotMsg:
		c.journal.snapshotDue = true
		c.prune(msg.PruneBefore)
	case DrainMsg:
		c.draining = true
	case OwnershipLostMsg:
		c.retire(msg)
	}
	c.processPending()

	return c.commands
}

// handleRequest handles the requests of waiting callers.
func (c *Core) handleRequest(msg Msg) {
	switch msg := msg.(type) {
	case SubmitMsg:
		c.submit(msg)
	case CancelMsg:
		c.cancel(msg)
	case CallMsg:
		c.handleCall(msg)
	case ResolveMsg:
		c.resolve(msg)
	case RequestTransferMsg:
		c.transferTokens(msg)
	case AbandonMsg:
		c.abandon(msg)
	}
}

// tick does the work that is due: renewals, lapsed leases, the end of a
// takeover, expired waits and a placement pass.
func (c *Core) tick() {
	if c.retired {
		return
	}
	if c.ready() {
		c.lastReady = c.now
	}
	for _, e := range ordered(c.endpoints) {
		c.tickEndpoint(e)
	}
	c.tickTakeover()
	c.tickTransfers()
	c.tickRoster()
	c.tickLaterTerm()
	c.tickDisplaced()
	c.expireWrites()
	c.expireCalls()
	if c.teamsDirty {
		c.refreshTeams()
	}
	if c.ready() && !c.journal.full() {
		c.decide(scheduler.DecideMsg{Budget: maxStartsPerPass})
	}
}

// processPending carries out the commands of the scheduler, dispatches queued
// calls and hands the next batch to the log.
func (c *Core) processPending() {
	if c.teamsDirty && !c.retired {
		c.refreshTeams()
	}
	for len(c.pendingCommands) > 0 {
		cmd := c.pendingCommands[0]
		c.pendingCommands = c.pendingCommands[1:]
		c.execute(cmd)
	}
	if c.retired {
		return
	}
	c.dispatchCalls()
	c.seal()
}

// decide passes a message to the scheduler and keeps its commands for
// processPending.
func (c *Core) decide(msg scheduler.Msg) {
	c.pendingCommands = append(c.pendingCommands, c.scheduler.Update(msg, c.now)...)
}

// emit adds a command to the output.
func (c *Core) emit(cmd Command) { c.commands = append(c.commands, cmd) }

// answer replies to a waiting caller.
func (c *Core) answer(waiter Waiter, reply any, refusal *modeler.Refusal) {
	if waiter != 0 {
		c.emit(AnswerCmd{Waiter: waiter, Reply: reply, Err: refusal})
	}
}

// retire gives up the partition. Queued calls and submissions are answered;
// calls in progress still wait for their executors.
func (c *Core) retire(msg OwnershipLostMsg) {
	if c.retired {
		return
	}
	c.retired = true
	c.failWrites(msg.Void)
	for _, call := range c.callQueue {
		c.refuseCall(call, modeler.NotRun(modeler.CodeNotOwner, notOwnerRetryAfter, "partition %s has another owner", c.partition))
	}
	c.callQueue = nil
	for _, key := range slices.SortedFunc(maps.Keys(c.pendingResolves), compareRequests) {
		for _, w := range c.pendingResolves[key] {
			c.answer(w, nil, modeler.Unknown(modeler.CodeNotOwner, notOwnerRetryAfter, "request %s: partition has another owner", key.Request))
		}
	}
	clear(c.pendingResolves)
}

// notOwnerRetryAfter is the retry hint for callers after a change of owner,
// about the time until a takeover becomes known.
const notOwnerRetryAfter = 500 * time.Millisecond

// Busy reports whether callers still wait for calls or for the log, or, before
// the core is retired, whether something is not yet committed.
func (c *Core) Busy() bool {
	return len(c.calls) > 0 || len(c.callQueue) > 0 || len(c.journal.byWaiter) > 0 || !c.retired && !c.journal.empty()
}

// Term returns the term that the owner writes under.
func (c *Core) Term() modeler.Term { return c.term }

// noopScheduler is the default scheduler; it starts nothing.
type noopScheduler struct{}

// Update implements Scheduler.
func (noopScheduler) Update(scheduler.Msg, time.Time) []scheduler.Command { return nil }
