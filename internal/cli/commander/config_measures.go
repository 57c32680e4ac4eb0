package commander

import (
	"context"
	"time"

	"gitlab.com/greengagewall/greengagewall/internal/domain/modeler"
	"gitlab.com/greengagewall/greengagewall/internal/report/reporter"
)

// MeasuresCmd reports the four measures of a running system.
type MeasuresCmd struct {
	Target
	Exports
	Format
	OperatorAccess
	Interval time.Duration `arg:"--interval" default:"1s" help:"time over which the control cost is measured"`
}

// looked is an instance whose cost is measured.
type looked struct {
	id     modeler.InstanceID
	target Target
	vars   reporter.Vars
	err    error
}

// Run prints the measures. Waiting times need --key or --records; without
// them that table is empty.
func (c *MeasuresCmd) Run(ctx context.Context, env Env) (int, error) {
	if err := c.check(); err != nil {
		return codeUsage, err
	}
	current, err := c.current(ctx, env, c.OperatorKey)
	if err != nil {
		return codeOf(err), err
	}
	var state reporter.State
	if err := c.get(ctx, env, "/v1/state", c.OperatorKey, &state); err != nil {
		return codeOf(err), err
	}
	c.complete(ctx, env, &state)
	records, err := c.records(ctx, env, c.Target)
	if err != nil {
		return codeOf(err), err
	}
	costs := c.costs(ctx, env, state)
	measures := reporter.Compute(current.Document, state, reporter.Waits(records), costs, env.Now())

	return codeOK, c.write(env.Out, measures, measures.Text)
}

// complete asks every peer for the loads of its partitions, because those that
// heartbeats carry have no usage by team. The loads of a peer that does not
// answer stay as they are.
func (c *MeasuresCmd) complete(ctx context.Context, env Env, state *reporter.State) {
	for i, peer := range state.Peers {
		target := Target{Server: "http://" + peer.Instance.Address.String()}
		var own reporter.State
		if err := target.get(ctx, env, "/v1/state", c.OperatorKey, &own); err == nil {
			state.Peers[i].Loads = own.Loads
		}
	}
}

// costs looks twice at every instance, the interval apart.
func (c *MeasuresCmd) costs(ctx context.Context, env Env, state reporter.State) []reporter.Cost {
	instances := make([]looked, 0, 1+len(state.Peers))
	instances = append(instances, looked{id: state.Instance.ID, target: c.Target})
	for _, peer := range state.Peers {
		instances = append(instances, looked{
			id: peer.Instance.ID, target: Target{Server: "http://" + peer.Instance.Address.String()},
		})
	}
	for i := range instances {
		instances[i].err = instances[i].target.get(ctx, env, "/debug/vars", "", &instances[i].vars)
	}
	begin := env.Now()
	env.Sleep(ctx, c.Interval)
	costs := make([]reporter.Cost, 0, len(instances))
	for _, before := range instances {
		var after reporter.Vars
		if before.err == nil {
			before.err = before.target.get(ctx, env, "/debug/vars", "", &after)
		}
		if before.err != nil {
			costs = append(costs, reporter.Cost{Instance: before.id, Error: before.err.Error()})

			continue
		}
		costs = append(costs, reporter.CostOf(before.id, before.vars, after, env.Now().Sub(begin)))
	}

	return costs
}
