// Package leader runs the owner of a cell. It passes requests, endpoint reports
// and endpoint listings to the planner, executes the planner's commands, and
// keeps the state table in the store up to date.
package leader

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"

	"gitlab.com/greengagewall/greengagewall/internal/cell/definer"
	"gitlab.com/greengagewall/greengagewall/internal/cell/forwarder"
	"gitlab.com/greengagewall/greengagewall/internal/cell/journaler"
	"gitlab.com/greengagewall/greengagewall/internal/cell/planner"
	"gitlab.com/greengagewall/greengagewall/internal/cell/recorder"
	"gitlab.com/greengagewall/greengagewall/internal/cell/watcher"
	"gitlab.com/greengagewall/greengagewall/internal/container/buffer"
)

// Settings configure an owner.
type Settings struct {
	Planner planner.Settings
	// Claim is the record that made this instance the owner.
	Claim journaler.Claim
	// Term is the fencing token; End is the offset after the claim in the state table.
	Term, End int64
	// Evacuation is the time from an evacuation of a zone until no task is started there; 0 means that zones are not
	// evacuated.
	Evacuation time.Duration
}

// PolicyClient asks a placement policy through one of the instances.
type PolicyClient interface {
	// Ask also returns when the answer arrived, which is shortly after the policy's decision.
	Ask(ctx context.Context, question *forwarder.Question, decisionTime time.Duration) (*forwarder.Advice, definer.Instant)
	// FreeQuestionTime returns how much more decision time of long questions may be out before they wait.
	FreeQuestionTime() time.Duration
}

// Leader is the owner of a cell. It assigns tasks to endpoints and stores their progress.
type Leader struct {
	settings  Settings
	store     definer.Store
	endpoints definer.Endpoints
	policy    PolicyClient
	decoder   definer.Decoder
	logger    hclog.Logger
	metrics   *recorder.Metrics

	inbox   *buffer.Ring[message]
	planner *planner.Planner
	// config is the newest configuration.
	config atomic.Pointer[definer.Configuration]
	// lastStoreReply is when the owner last learned that an append had succeeded, or last received a part of the
	// state while it loaded it.
	lastStoreReply atomic.Int64
	cancel         context.CancelCauseFunc
	done           chan struct{}
	goroutines     sync.WaitGroup
	// unstored is what the owner has learned and could not store; it is set when loop has ended.
	unstored []planner.Observation

	// The fields below are only used by loop.
	journal  journal
	renewals map[string]*renewal
	// handoverRequested stops new appends; draining, set once no append is outstanding, also stops placement.
	handoverRequested bool
	draining          bool
	// pendingStarts counts the start calls without an answer.
	pendingStarts int
	// ownedAt is when the last append that succeeded was made; the instance owned the cell then.
	ownedAt definer.Instant
	// malformedEntries holds the keys of the entries of the endpoint list that name no endpoint to use.
	malformedEntries map[string]struct{}
	// nextPlan is when the next placement round may begin.
	nextPlan definer.Instant
	zones    zones
}

// message is an event that loop applies.
type message interface {
	apply(ctx context.Context, l *Leader, now definer.Instant)
}

const (
	// inboxSize bounds the messages that are queued for loop.
	inboxSize = 16384
	// tickInterval is how often time-dependent state is updated.
	tickInterval = 20 * time.Millisecond
	// maxMessagesPerPlan is how many messages are applied at most before the planner runs.
	maxMessagesPerPlan = 256
	// minPlanInterval is the minimum time between two placement rounds; messages that arrive in between are decided together.
	minPlanInterval = 10 * time.Millisecond
	// planRestFactor is the time for other work after a placement round, as a multiple of the round's duration, so
	// that a long queue leaves the owner time for leases and callers. It is less for rounds that would be further
	// apart than maxPlanInterval.
	planRestFactor  = 3
	maxPlanInterval = 60 * time.Millisecond
	// quorumTimeout is how long, in addition to the lease bound, an owner keeps the cell without a majority of
	// the endpoints.
	quorumTimeout = 3 * time.Second
)

// ErrSuperseded means that another instance owns the cell.
var ErrSuperseded = errors.New("another instance owns the cell")

// ErrNoQuorum means that most endpoints do not answer this instance.
var ErrNoQuorum = errors.New("most endpoints do not answer")

// ErrHandedOver means that the owner has released the cell for a handover.
var ErrHandedOver = errors.New("handed over")

// New returns an owner; call Run to start it.
func New(settings Settings, store definer.Store, endpoints definer.Endpoints, policy PolicyClient,
	decoder definer.Decoder, config *definer.Configuration, logger hclog.Logger, metrics *recorder.Metrics,
) *Leader {
	settings.Planner.Term = settings.Term
	l := &Leader{
		settings: settings, store: store, endpoints: endpoints, policy: policy, decoder: decoder, logger: logger, metrics: metrics,
		inbox: buffer.NewRing[message](inboxSize), planner: planner.New(settings.Planner), done: make(chan struct{}),
		renewals: map[string]*renewal{}, malformedEntries: map[string]struct{}{}, journal: newJournal(),
	}
	l.journal.end = settings.End
	l.config.Store(config)
	l.ownedAt = definer.Now()
	l.lastStoreReply.Store(int64(l.ownedAt))

	return l
}

// Done returns a channel that is closed when Run has returned.
func (l *Leader) Done() <-chan struct{} { return l.done }

// Term returns the fencing token.
func (l *Leader) Term() int64 { return l.settings.Term }

// StoreAge returns the time since the owner last learned that an append had
// succeeded, or since the load of the state last made progress.
func (l *Leader) StoreAge() time.Duration {
	return definer.Since(definer.Instant(l.lastStoreReply.Load()))
}

func (l *Leader) recordStoreReply() { l.lastStoreReply.Store(int64(definer.Now())) }

// Configure passes a newer configuration to the owner.
func (l *Leader) Configure(config *definer.Configuration) {
	l.config.Store(config)
	l.post(configMsg{})
}

// StepDown ends the ownership because another instance owns the cell.
func (l *Leader) StepDown() {
	l.post(endMsg{ErrSuperseded})
}

// post queues a message for loop. If the queue is full, because loop is far behind,
// the sender waits: if an answer of an endpoint were dropped, its run would stay
// blocked.
func (l *Leader) post(m message) {
	for !l.inbox.Push(m) {
		select {
		case <-l.done:
			return
		case <-time.After(time.Millisecond):
		}
	}
}

// Run loads the state and runs the cell until ctx ends or the ownership is lost.
// It returns the cause.
func (l *Leader) Run(parent context.Context) error {
	ctx, cancel := context.WithCancelCause(parent)
	l.cancel = cancel
	defer close(l.done)
	defer l.goroutines.Wait()
	defer cancel(context.Canceled)
	began := definer.Now()
	l.readZones(ctx)
	defer l.metrics.SetGauges(evacuatedRunsGauge, nil)
	state, err := l.load(ctx)
	if err != nil {
		return err
	}
	l.logger.Info("state table read", "term", l.settings.Term, "jobs", len(state.Jobs), "progress", len(state.Progress), "bytes", state.Size, "took", definer.Since(began).String())
	state.Restore(l.planner, definer.Now(), time.Now())
	l.planner.Configure(l.config.Load())
	tasks, ofLargest := l.planner.OpenTasks()
	l.logger.Info("owner loaded", "term", l.settings.Term, "jobs", len(state.Jobs), "final", len(state.Progress), "endpoints", len(state.Endpoints), "open tasks", tasks, "of the largest job", ofLargest, "took", definer.Since(began).String())
	feed := watcher.New(watcher.Settings{Table: definer.TableEndpoints, Wait: listWait, MinInterval: listReadInterval}, l.store, l.logger, l.postListing, nil)
	l.goroutines.Add(1)
	go func() {
		defer l.goroutines.Done()
		feed.Run(ctx)
	}()
	l.loop(ctx)
	l.unstored = l.collectUnstored()

	return context.Cause(ctx)
}

// collectUnstored returns what the owner has learned and the store may not hold.
func (l *Leader) collectUnstored() []planner.Observation {
	if l.journal.current != nil {
		l.planner.MarkDirty(l.journal.current.snapshots)
	}

	return l.planner.Unstored()
}

// Unstored returns what the owner has learned and could not store. It is valid once Run has returned.
func (l *Leader) Unstored() []planner.Observation { return l.unstored }

const (
	// listWait and listReadInterval limit how often the endpoint list is read; every heartbeat of an endpoint is a
	// write to it.
	listWait         = 2 * time.Second
	listReadInterval = 400 * time.Millisecond
)

// loop applies messages and ticks to the planner until ctx ends. No other
// goroutine uses the planner.
func (l *Leader) loop(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	lastQuorum := definer.Now()
	for {
		select {
		case <-ctx.Done():
			l.refuseAll()

			return
		case <-ticker.C:
			now := definer.Now()
			l.journal.jobsToRemove = append(l.journal.jobsToRemove, l.planner.Tick(now, time.Now())...)
			l.reportZones()
			l.renewDue(ctx, now)
			l.journal.refuseStale(ctx, l, now)
			if l.planner.HasMajority(now) || !l.planner.HasEndpoints() {
				lastQuorum = now
			} else if now.Sub(lastQuorum) > quorumTimeout+l.settings.Planner.LeaseBound() {
				l.cancel(ErrNoQuorum)
			}
			l.planAndExecute(ctx, now)
		case <-l.inbox.Ready():
			l.planner.CheckSuspension(definer.Now())
			l.applyMessages(ctx)
			l.planAndExecute(ctx, definer.Now())
		}
	}
}

// applyMessages applies queued messages, each at its own time: a message may arrive
// while others are applied, and a report of an endpoint that was requested before the
// answer to a start arrived must not count as requested after it.
func (l *Leader) applyMessages(ctx context.Context) {
	for range maxMessagesPerPlan {
		m, ok := l.inbox.TryPop()
		if !ok {
			return
		}
		m.apply(ctx, l, definer.Now())
	}
}

// planAndExecute runs a placement round if one is due and executes the planner's commands.
func (l *Leader) planAndExecute(ctx context.Context, now definer.Instant) {
	if !l.draining && now >= l.nextPlan && l.evacuationsCurrent(ctx, now) {
		l.planRound(now)
	}
	for _, note := range l.planner.Notes() {
		l.recordNote(note)
	}
	for _, command := range l.planner.Commands() {
		l.execute(ctx, command, now)
	}
	l.journal.appendIfDue(ctx, l, now)
}

// planRound runs a placement round.
func (l *Leader) planRound(now definer.Instant) {
	began := definer.Now()
	l.planner.SetFreeQuestionTime(l.policy.FreeQuestionTime())
	l.planner.Plan(now)
	took := definer.Since(began)
	l.nextPlan = nextPlan(now, took)
	l.metrics.Observe("plan", took)
}

// nextPlan returns when the next placement round may begin after one that began at
// now and took the given time. At least half of the time is left for other work,
// however long the rounds are.
func nextPlan(now definer.Instant, took time.Duration) definer.Instant {
	interval := max(minPlanInterval, (1+planRestFactor)*took)

	return now.Add(max(min(interval, maxPlanInterval), 2*took))
}

func (l *Leader) recordNote(note planner.Note) {
	args := append([]any{"job", note.Job, "term", l.settings.Term}, note.Args...)
	level := hclog.Info
	if note.Warn {
		level = hclog.Warn
	}
	l.logger.Log(level, note.Event, args...)
	l.metrics.Count(note.Event)
	for _, latency := range note.Latencies {
		l.metrics.Observe(latency.Name, latency.Time)
	}
	for name, number := range note.Counts {
		l.metrics.Add(name, number)
	}
}

// execute starts a command of the planner; calls run in their own goroutines.
func (l *Leader) execute(ctx context.Context, command planner.Command, now definer.Instant) {
	switch c := command.(type) {
	case planner.StartCmd:
		c.Order.Term = l.settings.Term
		l.pendingStarts++
		l.spawn(ctx, &startCall{leader: l, target: c.Target, order: c.Order, issued: now})
	case planner.StopCmd:
		c.Order.Term = l.settings.Term
		l.spawn(ctx, &stopCall{leader: l, target: c.Target, order: c.Order})
	case planner.AskPolicyCmd:
		l.spawn(ctx, &askCall{leader: l, command: c})
	case planner.InventoryCmd:
		l.renew(ctx, c.Endpoint, 0, true, now)
	}
}

// runner is a call that runs in its own goroutine.
type runner interface{ run(ctx context.Context) }

func (l *Leader) spawn(ctx context.Context, r runner) {
	l.goroutines.Add(1)
	go func() {
		defer l.goroutines.Done()
		r.run(ctx)
	}()
}

// endMsg ends the ownership with a cause.
type endMsg struct{ cause error }

func (m endMsg) apply(_ context.Context, l *Leader, _ definer.Instant) { l.cancel(m.cause) }

// configMsg applies the newest configuration.
type configMsg struct{}

func (configMsg) apply(_ context.Context, l *Leader, _ definer.Instant) {
	config := l.config.Load()
	l.planner.Configure(config)
	l.logger.Info("configuration applied by owner", "version", config.Version)
}
