// Package meter measures the scheduler core against baselines. It runs the real
// core in virtual time on generated work. Machines and the network are modelled
// by fixed delays only.
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
	// Seed is the seed of the generated work.
	Seed uint64
	// Deployments lists the deployments to measure; nil means all.
	Deployments []generator.Deployment
	// Policies lists the policies to measure; nil means the product and all
	// baselines.
	Policies []Policy
}

// Policy is a named configuration of the scheduler core.
type Policy struct {
	Name     string
	Settings scheduler.Settings
	// Baseline marks the policies that the product is compared with.
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

// DeploymentResult holds the results of all policies on one deployment.
type DeploymentResult struct {
	Deployment string
	// UnavoidableMisses counts the deadline jobs that even an ideal fluid
	// schedule finishes late. That schedule knows all run times and runs deadline
	// work first.
	UnavoidableMisses int
	Results           []Result
}

// Result holds the results of one policy on one deployment.
type Result struct {
	Policy string
	// Work is keyed by the groups of the generator.
	Work map[generator.Group]Work
	// Packing is the used part of what could be used of the resource in greatest
	// demand.
	Packing float64
	// ShareErrorMean and ShareErrorMax are distances of teams from the weighted
	// max-min fair share, as parts of the cluster, while it is full.
	ShareErrorMean, ShareErrorMax float64
	// ShareRecovery is the longest time that a team with queued work stayed more
	// than 2% of the cluster below its fair share.
	ShareRecovery time.Duration
	// Preempted counts the tasks that were stopped to free resources.
	Preempted uint64
	// Lost is the processor time lost to preemption, and LostFraction its
	// fraction of all processor time.
	Lost         time.Duration
	LostFraction float64
	Cost         Cost
	// Violations counts violated assertions of the core.
	Violations int64
}

// Work holds the results of a group of work.
type Work struct {
	// Jobs and Tasks count the work that arrived and was not cancelled before its
	// first start.
	Jobs, Tasks int
	// P50 and P99 are quantiles of the wait from acceptance to the first start of
	// a task. A task that never started counts as waiting until the end of the
	// run.
	P50, P99 time.Duration
	// WithDeadline and MissedDeadline count the jobs with a deadline and those of
	// them that did not finish by it.
	WithDeadline, MissedDeadline int
	// Unfinished counts the jobs with open tasks at the end of the run, and Failed
	// the tasks that used up their attempts.
	Unfinished, Failed int
}

// Cost holds the resources that the core itself used for each placement.
type Cost struct {
	Placements  int
	CPUTime     time.Duration
	Bytes       uint64
	Allocations float64
}

// Run measures every policy on every deployment. The policies of a deployment
// run concurrently. Their cost is measured afterwards, one policy at a time.
func Run(ctx context.Context, opts Options) (Report, error) {
	startedAt := time.Now()
	if opts.Deployments == nil {
		opts.Deployments = generator.Deployments(opts.Seed)
	}
	if opts.Policies == nil {
		opts.Policies = Policies()
	}
	report := Report{Seed: opts.Seed, Deployments: make([]DeploymentResult, len(opts.Deployments))}
	for d, deployment := range opts.Deployments {
		results := make([]Result, len(opts.Policies))
		inputs := make([]inputLog, len(opts.Policies))
		group, groupCtx := errgroup.WithContext(ctx)
		group.SetLimit(3)
		for p, policy := range opts.Policies {
			group.Go(func() error {
				r := newRun(deployment, policy)
				if err := r.simulate(groupCtx); err != nil {
					return err
				}
				results[p], inputs[p] = r.summarize(), r.inputs

				return nil
			})
		}
		if err := group.Wait(); err != nil {
			return Report{}, err
		}
		for p, policy := range opts.Policies {
			results[p].Cost = inputs[p].replay(policy.Settings)
		}
		report.Deployments[d] = DeploymentResult{Deployment: deployment.Name, UnavoidableMisses: fluidMisses(deployment), Results: results}
	}
	report.Duration = time.Since(startedAt)

	return report, nil
}
