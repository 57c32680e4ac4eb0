// Package meter measures the decision core against baselines. It drives the
// real core in virtual time with generated work; it models no machines and no
// network beyond fixed delays.
package meter

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"gitlab.com/greengagewall/greengagewall/internal/core/scheduler"
	"gitlab.com/greengagewall/greengagewall/internal/measure/generator"
)

// Options selects what is measured.
type Options struct {
	// Seed seeds the streams of work.
	Seed uint64
	// Deployments are measured; nil means all.
	Deployments []generator.Deployment
	// Policies are measured; nil means the product and all baselines.
	Policies []Policy
}

// Policy is a named configuration of the core.
type Policy struct {
	Name     string
	Settings scheduler.Settings
	// Baseline is set for policies that the product is compared with.
	Baseline bool
}

// Policies returns the product and its baselines.
func Policies() []Policy {
	return []Policy{
		{Name: "greengagewall", Settings: scheduler.DefaultSettings()},
		{Name: "previous", Settings: scheduler.LegacySettings()},
		{Name: "first-come", Settings: scheduler.FIFOSettings(), Baseline: true},
		{Name: "random of two", Settings: scheduler.TwoChoicesSettings(), Baseline: true},
		{Name: "plain fair", Settings: scheduler.FairShareSettings(), Baseline: true},
	}
}

// Report holds the results of a run.
type Report struct {
	Seed        uint64
	Deployments []DeploymentResult
	Duration    time.Duration
}

// Section holds the results of one deployment.
type DeploymentResult struct {
	Deployment string
	// Late counts the deadline jobs that even an ideal fluid schedule, which
	// knows all run times and starts with deadline work, finishes too late.
	UnavoidableMisses int
	Results           []Result
}

// Result holds what one policy reached on one deployment.
type Result struct {
	Policy string
	// Work is keyed by the groups of the generator.
	Work map[generator.Group]Work
	// Packing is the resource in use over the most that could be in use, for
	// the resource in greatest demand.
	Packing float64
	// ShareMean and ShareMax are distances from the weighted max-min ideal, in
	// parts of the cluster, while it is full.
	ShareErrorMean, ShareErrorMax float64
	// ShareBack is the longest time that a team with queued work stayed more
	// than 2% of the cluster below its ideal.
	ShareRecovery time.Duration
	// Preempted counts the tasks stopped to make room.
	Preempted uint64
	// Lost is the processor time lost to preemption, and LostPart its part of
	// all processor time.
	Lost         time.Duration
	LostFraction float64
	Cost         Cost
	// Violations counts violated assertions.
	Violations int64
}

// Work holds the results of a group of work.
type Work struct {
	// Jobs and Tasks count what arrived and was not cancelled before it began.
	Jobs, Tasks int
	// P50 and P99 are waits from acceptance to the first start of a task.
	// Work that never started has waited to the end of the stream.
	P50, P99 time.Duration
	// Dated and Missed count the jobs with a deadline and those that were not
	// finished by it.
	WithDeadline, MissedDeadline int
	// Unfinished counts the jobs with open tasks at the end of the stream, and
	// Failed the tasks that used up their attempts.
	Unfinished, Failed int
}

// Cost is what the core itself used for each placement.
type Cost struct {
	Placements  int
	CPUTime     time.Duration
	Bytes       uint64
	Allocations float64
}

// Run measures every policy on every deployment. The policies run at the same
// time; the cost is measured afterwards, one policy at a time.
func Run(ctx context.Context, opts Options) (Report, error) {
	began := time.Now()
	if opts.Deployments == nil {
		opts.Deployments = generator.Deployments(opts.Seed)
	}
	if opts.Policies == nil {
		opts.Policies = Policies()
	}
	report := Report{Seed: opts.Seed, Deployments: make([]DeploymentResult, len(opts.Deployments))}
	for d, deployment := range opts.Deployments {
		results := make([]Result, len(opts.Policies))
		scripts := make([]script, len(opts.Policies))
		group, bounded := errgroup.WithContext(ctx)
		group.SetLimit(3)
		for p, policy := range opts.Policies {
			group.Go(func() error {
				r := newRun(deployment, policy)
				if err := r.drive(bounded); err != nil {
					return err
				}
				results[p], scripts[p] = r.result(), r.script

				return nil
			})
		}
		if err := group.Wait(); err != nil {
			return Report{}, err
		}
		for p, policy := range opts.Policies {
			results[p].Cost = scripts[p].replay(policy.Settings)
		}
		report.Deployments[d] = DeploymentResult{Deployment: deployment.Name, UnavoidableMisses: fluidLate(deployment), Results: results}
	}
	report.Duration = time.Since(began)

	return report, nil
}
