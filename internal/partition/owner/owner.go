// Package owner is the pure core of an owned partition: a message and the
// current time go in, commands come out. It holds the endpoint sessions, the
// rule that work starts only with a majority of fresh renewals, the waiting
// bounds after a takeover, running tasks, calls and the batches for the
// partition's stream. It does no I/O and starts no goroutine.
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

// The bounds of the ownership protocol.
const (
	// MaxRenewalAge (Lc) is the greatest age of the renewals that count for the
	// majority.
	MaxRenewalAge = time.Second
	// SessionTTL (Ls) is how long a session lasts at the endpoint.
	SessionTTL = time.Second
	// TaskLeaseTTL (Lt) is how long a task runs at an endpoint without renewal.
	TaskLeaseTTL = 6 * time.Second
	// renewEvery leaves room for two lost renewals within FreshFor.
	renewEvery = 300 * time.Millisecond
	// helloEvery is the pace of attempts at an endpoint that does not answer.
	helloEvery = time.Second
	// leaseMargin covers the rates of two clocks and the timer of the endpoint.
	leaseMargin = 500 * time.Millisecond
	// decideBudget bounds the starts of one pass.
	decideBudget = 256
)

// Scheduler is the decision core that the owner drives.
type Scheduler interface {
	Update(msg scheduler.Msg, now time.Time) []scheduler.Command
}

// ViolationFunc is called when an invariant would have been violated.
type ViolationFunc func(invariant, detail string)

// Core is the state of an owned partition. It is not safe for concurrent use.
type Core struct {
	self      modeler.InstanceID
	partition modeler.PartitionID
	term      modeler.Term
	decider   Scheduler
	violation ViolationFunc
	patience  time.Duration

	document modeler.Document
	config   modeler.Offset

	endpoints map[modeler.InstanceID]*endpoint
	jobs      map[modeler.JobID]*job
	tasks     map[modeler.TaskID]*task
	// submissions are jobs whose batch was not read back.
	submissions map[modeler.JobID]*wait
	teams       map[modeler.TeamID]*team
	requests    map[replayer.RequestKey]*request
	// waitingTasks counts the tasks that are at no endpoint and not final.
	waitingTasks int
	calls        map[uint64]*call
	queue        []*call
	lastCall     uint64
	resolves     map[replayer.RequestKey][]Waiter
	gifts        replayer.Gifts
	// unreleased lists the gifts of this partition that the receiver must not
	// use yet, in the order of their numbers.
	unreleased []*unreleased
	// claimAsked is when a claim was last asked for to release gifts or to
	// enrol endpoints.
	claimAsked time.Time
	// roster is the endpoints of the claim in force, claiming those of the
	// claim that is on its way.
	roster, claiming map[modeler.InstanceID]bool
	journal          journal

	// majorityAt is when a majority of the endpoints was first raised to a
	// term of this owner; zero before.
	majorityAt time.Time
	// readyAt is when the owner last held fresh renewals of a majority.
	readyAt time.Time
	// refusedAt is since when endpoints refuse the present term; refused is
	// one of them.
	refusedAt time.Time
	refused   modeler.InstanceID
	// released is set once no endpoint can run work that this owner does not
	// know of.
	released bool
	// holding is set while jobs are held back although released is set.
	holding    bool
	teamsDirty bool
	draining   bool
	retired    bool

	now time.Time
	out []Command
	// pending holds commands of the decider that are not yet carried out.
	pending []scheduler.Command
}

// Option configures a Core.
type Option func(*Core)

// WithScheduler sets the decision core; the default starts nothing.
func WithScheduler(decider Scheduler) Option { return func(c *Core) { c.decider = decider } }

// WithViolation sets the hook for violated invariants.
func WithViolation(hook ViolationFunc) Option { return func(c *Core) { c.violation = hook } }

// WithLogTimeout sets how long a submission waits for the log; the default is
// 5 s.
func WithLogTimeout(patience time.Duration) Option { return func(c *Core) { c.patience = patience } }

// New returns the core of an owner that took term, with the state that the
// partition's stream had at that point. The state is read, not kept.
func New(self modeler.InstanceID, term modeler.Term, seq uint64, state *replayer.State, opts ...Option) *Core {
	c := &Core{
		self: self, partition: state.Partition, term: term, patience: 5 * time.Second,
		endpoints:   map[modeler.InstanceID]*endpoint{},
		jobs:        map[modeler.JobID]*job{},
		tasks:       map[modeler.TaskID]*task{},
		submissions: map[modeler.JobID]*wait{},
		teams:       map[modeler.TeamID]*team{},
		requests:    map[replayer.RequestKey]*request{},
		calls:       map[uint64]*call{},
		resolves:    map[replayer.RequestKey][]Waiter{},
		journal:     journal{seq: seq, heads: map[modeler.TeamID]head{}, waits: map[Waiter]*wait{}},
	}
	for _, opt := range opts {
		opt(c)
	}
	if c.decider == nil {
		c.decider = idle{}
	}
	c.restore(state)

	return c
}

// Update applies a message and returns the commands that follow from it.
func (c *Core) Update(msg Msg, now time.Time) []Command {
	c.now, c.out = now, nil
	switch msg := msg.(type) {
	case TickMsg:
		c.tick()
	case ConfigMsg:
		c.configure(msg)
	case EndpointsMsg:
		c.list(msg)
	case HelloDoneMsg:
		c.greeted(msg)
	case RenewDoneMsg:
		c.renewed(msg)
	case StartDoneMsg:
		c.startDone(msg)
	case TaskDoneMsg:
		c.taskDone(msg)
	case CallDoneMsg:
		c.callDone(msg)
	case VoidDoneMsg:
		c.voidDone(msg)
	case SubmitMsg, CancelMsg, CallMsg, ResolveMsg, GiveMsg, AbandonMsg:
		c.ask(msg)
	case CommittedMsg:
		c.read(msg)
	case PredecessorBatchMsg:
		c.foreign(msg)
	case LogStatusMsg:
		c.logState(msg)
	case TermMsg:
		c.changeTerm(msg)
	case ClaimMsg:
		c.journal.raise = &encoder.Claim{Successors: msg.Successors}
	case GiftMsg:
		c.receive(msg.Gift)
	case SnapshotMsg:
		c.journal.snapshot = true
		c.prune(msg.PruneBefore)
	case DrainMsg:
		c.draining = true
	case OwnershipLostMsg:
		c.retire(msg)
	}
	c.settle()

	return c.out
}

// ask handles the requests of waiting callers.
func (c *Core) ask(msg Msg) {
	switch msg := msg.(type) {
	case SubmitMsg:
		c.submit(msg)
	case CancelMsg:
		c.cancel(msg)
	case CallMsg:
		c.call(msg)
	case ResolveMsg:
		c.resolve(msg)
	case GiveMsg:
		c.give(msg)
	case AbandonMsg:
		c.abandon(msg)
	}
}

// tick does what is due: renewals, lapses, the release after a takeover,
// expired waits and a placement pass.
func (c *Core) tick() {
	if c.retired {
		return
	}
	if c.Ready() {
		c.readyAt = c.now
	}
	for _, e := range ordered(c.endpoints) {
		c.tickEndpoint(e)
	}
	c.tickTakeover()
	c.tickRelease()
	c.tickRoster()
	c.tickRefused()
	c.tickDisplaced()
	c.expireWaits()
	c.expireCalls()
	if c.teamsDirty {
		c.refreshTeams()
	}
	if c.Ready() && !c.journal.full() {
		c.decide(scheduler.DecideMsg{Budget: decideBudget})
	}
}

// settle carries out the commands of the decider, dispatches queued calls and
// hands the next batch to the log.
func (c *Core) settle() {
	if c.teamsDirty && !c.retired {
		c.refreshTeams()
	}
	for len(c.pending) > 0 {
		cmd := c.pending[0]
		c.pending = c.pending[1:]
		c.obey(cmd)
	}
	if c.retired {
		return
	}
	c.dispatchCalls()
	c.seal()
}

// decide passes a message to the decider and keeps its commands for settle.
func (c *Core) decide(msg scheduler.Msg) {
	c.pending = append(c.pending, c.decider.Update(msg, c.now)...)
}

// emit adds a command to the output.
func (c *Core) emit(cmd Command) { c.out = append(c.out, cmd) }

// answer replies to a waiting caller.
func (c *Core) answer(waiter Waiter, reply any, refusal *modeler.Refusal) {
	if waiter != 0 {
		c.emit(AnswerCmd{Waiter: waiter, Reply: reply, Err: refusal})
	}
}

// retire gives up the partition: queued calls and submissions are answered,
// calls in progress still wait for their executors.
func (c *Core) retire(msg OwnershipLostMsg) {
	if c.retired {
		return
	}
	c.retired = true
	c.loseJournal(msg.Void)
	for _, call := range c.queue {
		c.refuseCall(call, modeler.NotRun(modeler.CodeNotOwner, notOwnerRetry, "partition %s has another owner", c.partition))
	}
	c.queue = nil
	for _, key := range slices.SortedFunc(maps.Keys(c.resolves), compareRequests) {
		for _, w := range c.resolves[key] {
			c.answer(w, nil, modeler.Unknown(modeler.CodeNotOwner, notOwnerRetry, "request %s: partition has another owner", key.Request))
		}
	}
	clear(c.resolves)
}

// notOwnerRetry is about the time in which a takeover becomes known.
const notOwnerRetry = 500 * time.Millisecond

// Busy reports whether callers still wait for calls or for the log.
func (c *Core) Busy() bool {
	return len(c.calls) > 0 || len(c.queue) > 0 || len(c.journal.waits) > 0 || !c.retired && !c.journal.empty()
}

// Term returns the term that the owner writes under.
func (c *Core) Term() modeler.Term { return c.term }

// idle is the decider of a core that was given none; it starts nothing.
type idle struct{}

// Update implements Decider.
func (idle) Update(scheduler.Msg, time.Time) []scheduler.Command { return nil }
