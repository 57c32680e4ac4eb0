// Package dispatcher selects the partition that executes a command and sends the
// command to the partition's owner. It follows changes of owner until the
// caller's deadline.
package dispatcher

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/pkg/errors"

	"gitlab.com/greengagewall/greengagewall/internal/domain/modeler"
)

// Owners gives access to the commands of entry instances.
type Owners interface {
	// CommandsOf reports false if the instance cannot be reached, in which case
	// nothing has been sent.
	CommandsOf(id modeler.InstanceID) (modeler.Commands, bool)
}

// Budget limits retries to a fraction of first attempts.
type Budget interface {
	// Earn is called for every first attempt.
	Earn()
	// Spend reports whether a retry is allowed.
	Spend() bool
}

const (
	// retryInterval is the mean time between two attempts to reach an owner. A
	// takeover takes seconds, so a shorter interval would only add load.
	retryInterval = 50 * time.Millisecond
	// maxLostAnswers bounds how often a command whose answer was lost is sent to
	// the home partition, which detects duplicates.
	maxLostAnswers = 2
	// maxHeartbeatAge is the age of the last heartbeat at which an owner no
	// longer gets new commands. It is above the 1.2 s after which successors
	// suspect the owner, so that a takeover has begun by then.
	maxHeartbeatAge = 1500 * time.Millisecond
	// maxRoutesAge bounds how long the routes are cached; heartbeats change them
	// every 300 ms.
	maxRoutesAge = 20 * time.Millisecond
)

// Dispatcher routes commands to the owners of partitions. It is safe for
// concurrent use.
type Dispatcher struct {
	self       modeler.Instance
	owners     Owners
	membership modeler.Membership
	queries    modeler.Queries
	config     modeler.Configuration
	budget     Budget
	hedge      time.Duration

	mu    sync.Mutex
	table *routeTable
}

// Option configures a Dispatcher.
type Option func(*Dispatcher)

// WithSelf sets this instance. Idempotent calls prefer partitions in its zone,
// then those in its region.
func WithSelf(self modeler.Instance) Option { return func(d *Dispatcher) { d.self = self } }

// WithOwners sets the access to the commands of owners.
func WithOwners(owners Owners) Option { return func(d *Dispatcher) { d.owners = owners } }

// WithMembership sets the view of the peers.
func WithMembership(membership modeler.Membership) Option {
	return func(d *Dispatcher) { d.membership = membership }
}

// WithQueries sets the view of the partitions' streams.
func WithQueries(queries modeler.Queries) Option { return func(d *Dispatcher) { d.queries = queries } }

// WithConfiguration sets the configuration, which lists the partitions.
func WithConfiguration(config modeler.Configuration) Option {
	return func(d *Dispatcher) { d.config = config }
}

// WithBudget sets the retry budget. Without it a command is neither retried in
// another partition nor repeated after a lost answer.
func WithBudget(budget Budget) Option { return func(d *Dispatcher) { d.budget = budget } }

// WithHedge sets the delay after which an idempotent call without an answer is
// sent to a second partition as well. Zero disables hedging.
func WithHedge(delay time.Duration) Option { return func(d *Dispatcher) { d.hedge = delay } }

// New returns a Dispatcher; WithBudget and WithHedge are optional.
func New(opts ...Option) *Dispatcher {
	d := &Dispatcher{budget: noBudget{}}
	for _, opt := range opts {
		opt(d)
	}

	return d
}

type noBudget struct{}

func (noBudget) Earn()       {}
func (noBudget) Spend() bool { return false }

// Submit sends a job to its home partition. Errors are of type
// *modeler.Refusal.
func (d *Dispatcher) Submit(ctx context.Context, job modeler.Job) (modeler.SubmitReply, error) {
	doc, offset, ok := d.config.InForce()
	if !ok {
		return modeler.SubmitReply{}, noConfiguration()
	}
	msg := modeler.SubmitMsg{Partition: d.homeOfJob(doc, job), Job: job, Config: offset}
	var reply modeler.SubmitReply
	err := d.withOwner(ctx, msg.Partition, func(ctx context.Context, owner modeler.Commands) (err error) {
		reply, err = owner.Submit(ctx, msg)

		return err
	})

	return reply, err
}

// Cancel cancels a job of a team in the partition that holds it. Errors are of
// type *modeler.Refusal.
func (d *Dispatcher) Cancel(ctx context.Context, team modeler.TeamID, job modeler.JobID) error {
	msg := modeler.CancelMsg{Team: team, Job: job}
	if status, ok := d.queries.Job(team, job); ok {
		msg.Partition = status.Partition
	} else {
		doc, _, ok := d.config.InForce()
		if !ok {
			return noConfiguration()
		}
		msg.Partition = Home(doc.Partitions, team, string(job))
	}

	return d.withOwner(ctx, msg.Partition, func(ctx context.Context, owner modeler.Commands) error {
		return owner.Cancel(ctx, msg)
	})
}

// Resolve returns the outcome of a call. The service of the request is not
// known, so every partition that may be its home is asked. A partition that has
// not seen the request voids it, so the outcome is "not run" only if all of them
// say so; any other outcome is decisive. A refusal of the query says nothing
// about the request, so its outcome is unknown.
func (d *Dispatcher) Resolve(ctx context.Context, team modeler.TeamID, request modeler.RequestID) (modeler.ResolveReply, error) {
	doc, _, ok := d.config.InForce()
	if !ok {
		return modeler.ResolveReply{}, withUnknownOutcome(noConfiguration())
	}
	var reply modeler.ResolveReply
	var lastErr error
	for _, home := range homesOfRequest(doc, team, request) {
		answer, err := d.resolveAt(ctx, modeler.ResolveMsg{Team: team, Request: request, Partition: home})
		switch {
		case err != nil:
			lastErr = err
		case answer.Outcome == modeler.OutcomeRan:
			return answer, nil
		case reply.Outcome != modeler.OutcomeUnknown:
			reply = answer
		}
	}
	if lastErr != nil {
		return modeler.ResolveReply{}, withUnknownOutcome(asRefusal(lastErr))
	}

	return reply, nil
}

// resolveAt asks the owner of one partition for the outcome of a call.
func (d *Dispatcher) resolveAt(ctx context.Context, msg modeler.ResolveMsg) (modeler.ResolveReply, error) {
	var reply modeler.ResolveReply
	err := d.withOwner(ctx, msg.Partition, func(ctx context.Context, owner modeler.Commands) (err error) {
		reply, err = owner.Resolve(ctx, msg)

		return err
	})

	return reply, err
}

// withOwner sends a command to the owner of partition. It retries until ctx ends
// while the owner changes, and within the retry budget after a lost answer.
func (d *Dispatcher) withOwner(ctx context.Context, partition modeler.PartitionID,
	command func(ctx context.Context, owner modeler.Commands) error,
) error {
	var outcome outcomeTracker
	for lost := 0; ; {
		owner, err := d.waitForOwner(ctx, partition)
		if err != nil {
			return outcome.resolve(err)
		}
		err = command(ctx, owner)
		if err == nil {
			return nil
		}
		refusal := asRefusal(err)
		outcome.observe(refusal)
		switch refusal.Code { //nolint:exhaustive // All other causes are final.
		case modeler.CodeNotOwner, modeler.CodeNoOwner, modeler.CodeDraining:
			d.invalidateRoutes()
		case modeler.CodeLostAnswer:
			if lost++; lost >= maxLostAnswers || !d.budget.Spend() {
				return outcome.resolve(refusal)
			}
		default:
			return outcome.resolve(refusal)
		}
		if !sleep(ctx, retryInterval/2+rand.N(retryInterval)) {
			return outcome.resolve(refusal)
		}
	}
}

// waitForOwner returns the commands of the owner of partition. While there is no
// reachable owner it waits until ctx ends.
func (d *Dispatcher) waitForOwner(ctx context.Context, partition modeler.PartitionID) (modeler.Commands, error) {
	for {
		if route, ok := d.routes()[partition]; ok && route.live {
			if owner, ok := d.owners.CommandsOf(route.owner); ok {
				return owner, nil
			}
		}
		if !sleep(ctx, retryInterval/2+rand.N(retryInterval)) {
			return nil, modeler.NotRun(modeler.CodeNoOwner, time.Second, "partition %s has no reachable owner", partition)
		}
	}
}

// outcomeTracker tracks whether an earlier attempt of a command may have taken
// effect. If so, a later refusal does not prove that the work did not run.
type outcomeTracker struct{ unknown *modeler.Refusal }

// observe records the refusal of an attempt.
func (t *outcomeTracker) observe(refusal *modeler.Refusal) {
	if refusal.Outcome == modeler.OutcomeUnknown {
		t.unknown = refusal
	}
}

// resolve returns the error to report after the last attempt ended with err.
func (t *outcomeTracker) resolve(err error) error {
	if last := asRefusal(err); t.unknown == nil || last.Outcome != modeler.OutcomeNotRun {
		return last
	}

	return t.unknown
}

// asRefusal returns the refusal in err. Any other error leaves the outcome
// unknown.
func asRefusal(err error) *modeler.Refusal {
	refusal := new(modeler.Refusal)
	if errors.As(err, &refusal) {
		return refusal
	}

	return modeler.Unknown(modeler.CodeInternal, 0, "%v", err)
}

// withUnknownOutcome returns a copy of a refusal that leaves the outcome of the
// work open.
func withUnknownOutcome(refusal *modeler.Refusal) *modeler.Refusal {
	unknown := *refusal
	unknown.Outcome = modeler.OutcomeUnknown

	return &unknown
}

func noConfiguration() *modeler.Refusal {
	return modeler.NotRun(modeler.CodeStaleConfig, time.Second, "this instance has no configuration yet")
}

// sleep waits for the given time and reports false if ctx ended first.
func sleep(ctx context.Context, wait time.Duration) bool {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
