// Package dispatcher selects the partition that executes a command and reaches
// the partition's owner, across changes of owner and within the caller's
// deadline.
package dispatcher

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/pkg/errors"

	"gitlab.com/greengagewall/greengagewall/internal/domain/modeler"
)

// Owners reaches the commands of entry instances.
type Owners interface {
	// To reports false when the instance cannot be reached at all.
	To(id modeler.InstanceID) (modeler.Commands, bool)
}

// Budget limits retries to a fraction of first attempts.
type Budget interface {
	// Earn is called for every first attempt.
	Earn()
	// Spend reports whether a retry is allowed.
	Spend() bool
}

const (
	// pause is the mean time between two attempts to reach an owner. A takeover
	// takes seconds, so a shorter pause would only add load.
	pause = 50 * time.Millisecond
	// lostAnswers bounds how often a command whose answer was lost is sent to
	// the home partition, which recognises a repetition.
	lostAnswers = 2
	// suspected is the age of the last heartbeat from which on an owner is
	// not sent new commands; it is above the 1.2 s at which successors suspect
	// it, so that a takeover has begun.
	suspected = 1500 * time.Millisecond
	// tableAge bounds how long one table of owners is used; heartbeats change
	// it every 300 ms.
	tableAge = 20 * time.Millisecond
)

// Dispatcher routes commands. It is safe for concurrent use.
type Dispatcher struct {
	self       modeler.Instance
	owners     Owners
	membership modeler.Membership
	queries    modeler.Queries
	config     modeler.Configuration
	budget     Budget
	hedge      time.Duration

	mu    sync.Mutex
	table *table
}

// Option configures a Dispatcher.
type Option func(*Dispatcher)

// WithSelf describes this instance; its region and zone order the candidates
// of idempotent calls.
func WithSelf(self modeler.Instance) Option { return func(d *Dispatcher) { d.self = self } }

// WithOwners sets how owners are reached.
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

// WithBudget sets the retry budget; without it nothing is retried elsewhere.
func WithBudget(budget Budget) Option { return func(d *Dispatcher) { d.budget = budget } }

// WithHedge sends an idempotent call a second time, to another partition, when
// it has no answer after delay. Zero disables hedging.
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
	err := d.atHome(ctx, msg.Partition, func(ctx context.Context, owner modeler.Commands) (err error) {
		reply, err = owner.Submit(ctx, msg)

		return err
	})

	return reply, err
}

// Cancel cancels a job of a team wherever it lives.
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

	return d.atHome(ctx, msg.Partition, func(ctx context.Context, owner modeler.Commands) error {
		return owner.Cancel(ctx, msg)
	})
}

// Resolve asks what became of a call. The service of the request is not known,
// so every partition that may be its home is asked. Those that have not seen
// the request void it, so that "not run" from all of them is true; any other
// answer is decisive.
func (d *Dispatcher) Resolve(ctx context.Context, team modeler.TeamID, request modeler.RequestID) (modeler.ResolveReply, error) {
	doc, _, ok := d.config.InForce()
	if !ok {
		return modeler.ResolveReply{}, noConfiguration()
	}
	var reply modeler.ResolveReply
	var failed error
	for _, home := range homesOfRequest(doc, team, request) {
		answer, err := d.resolveAt(ctx, modeler.ResolveMsg{Team: team, Request: request, Partition: home})
		switch {
		case err != nil:
			failed = err
		case answer.Outcome == modeler.OutcomeRan:
			return answer, nil
		case reply.Outcome != modeler.OutcomeUnknown:
			reply = answer
		}
	}
	if failed != nil {
		return modeler.ResolveReply{}, failed
	}

	return reply, nil
}

// resolveAt asks the owner of one partition what became of a call.
func (d *Dispatcher) resolveAt(ctx context.Context, msg modeler.ResolveMsg) (modeler.ResolveReply, error) {
	var reply modeler.ResolveReply
	err := d.atHome(ctx, msg.Partition, func(ctx context.Context, owner modeler.Commands) (err error) {
		reply, err = owner.Resolve(ctx, msg)

		return err
	})

	return reply, err
}

// atHome executes a command at the owner of partition and follows changes of
// owner until ctx ends.
func (d *Dispatcher) atHome(ctx context.Context, partition modeler.PartitionID,
	command func(ctx context.Context, owner modeler.Commands) error,
) error {
	var doubt doubt
	for lost := 0; ; {
		owner, err := d.owner(ctx, partition)
		if err != nil {
			return doubt.settle(err)
		}
		err = command(ctx, owner)
		if err == nil {
			return nil
		}
		refusal := asRefusal(err)
		doubt.note(refusal)
		switch refusal.Code { //nolint:exhaustive // All other causes are final.
		case modeler.CodeNotOwner, modeler.CodeNoOwner, modeler.CodeDraining:
			d.forgetTable()
		case modeler.CodeLostAnswer:
			if lost++; lost >= lostAnswers || !d.budget.Spend() {
				return doubt.settle(refusal)
			}
		default:
			return doubt.settle(refusal)
		}
		if !sleep(ctx, pause/2+rand.N(pause)) {
			return doubt.settle(refusal)
		}
	}
}

// owner returns the commands of the owner of partition; it waits for one
// between two owners.
func (d *Dispatcher) owner(ctx context.Context, partition modeler.PartitionID) (modeler.Commands, error) {
	for {
		if route, ok := d.routes()[partition]; ok && route.alive {
			if owner, ok := d.owners.To(route.owner); ok {
				return owner, nil
			}
		}
		if !sleep(ctx, pause/2+rand.N(pause)) {
			return nil, modeler.NotRun(modeler.CodeNoOwner, time.Second, "partition %s has no reachable owner", partition)
		}
	}
}

// doubt remembers that an earlier attempt of a command may have taken effect.
// A later refusal then no longer proves that the work did not run.
type doubt struct{ refusal *modeler.Refusal }

func (d *doubt) note(refusal *modeler.Refusal) {
	if refusal.Outcome == modeler.OutcomeUnknown {
		d.refusal = refusal
	}
}

func (d *doubt) settle(err error) error {
	if last := asRefusal(err); d.refusal == nil || last.Outcome != modeler.OutcomeNotRun {
		return last
	}

	return d.refusal
}

func asRefusal(err error) *modeler.Refusal {
	refusal := new(modeler.Refusal)
	if errors.As(err, &refusal) {
		return refusal
	}

	return modeler.Unknown(modeler.CodeInternal, 0, "%v", err)
}

func noConfiguration() *modeler.Refusal {
	return modeler.NotRun(modeler.CodeStaleConfig, time.Second, "this instance has no configuration yet")
}

// sleep reports false when ctx ended first.
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
