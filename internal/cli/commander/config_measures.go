package commander

import (
	"context"
	"time"

	"gitlab.com/greengagewall/greengagewall/internal/domain/modeler"
	"gitlab.com/greengagewall/greengagewall/internal/report/reporter"
)

// MeasuresCmd implements the report measures command: waiting time, packing,
// control cost and shares of a running system.
type MeasuresCmd struct {
	Target
	Exports
	Format
	OperatorAccess
	Interval time.Duration `arg:"--interval" default:"1s" help:"time over which the control cost is measured"`
}

// costProbe is one instance whose control cost is measured.
type costProbe struct {
	instance modeler.InstanceID
	target   Target
	before   reporter.Vars
	err      error
}

// Run prints the measures. The table of waiting times is empty without --key or
// --records.
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
	c.fetchPeerLoads(ctx, env, &state)
	records, err := c.records(ctx, env, c.Target)
	if err != nil {
		return codeOf(err), err
	}
	costs := c.measureCosts(ctx, env, state)
	measures := reporter.Compute(current.Document, state, reporter.Waits(records), costs, env.Now())

	return codeOK, c.write(env.Out, measures, measures.Text)
}

// fetchPeerLoads asks every peer for the loads of its partitions, because the
// loads that heartbeats carry have no usage by team. The loads of a peer that
// does not answer are left unchanged.
func (c *MeasuresCmd) fetchPeerLoads(ctx context.Context, env Env, state *reporter.State) {
	for i, peer := range state.Peers {
		target := Target{Server: "http://" + peer.Instance.Address.String()}
		var own reporter.State
		if err := target.get(ctx, env, "/v1/state", c.OperatorKey, &own); err == nil {
			state.Peers[i].Loads = own.Loads
		}
	}
}

// measureCosts reads the counters of every instance twice, one interval apart.
func (c *MeasuresCmd) measureCosts(ctx context.Context, env Env, state reporter.State) []reporter.Cost {
	probes := make([]costProbe, 0, 1+len(state.Peers))
	probes = append(probes, costProbe{instance: state.Instance.ID, target: c.Target})
	for _, peer := range state.Peers {
		probes = append(probes, costProbe{
			instance: peer.Instance.ID, target: Target{Server: "http://" + peer.Instance.Address.String()},
		})
	}
	for i := range probes {
		probes[i].err = probes[i].target.get(ctx, env, "/debug/vars", "", &probes[i].before)
	}
	started := env.Now()
	env.Sleep(ctx, c.Interval)
	costs := make([]reporter.Cost, 0, len(probes))
	for _, probe := range probes {
		var after reporter.Vars
		if probe.err == nil {
			probe.err = probe.target.get(ctx, env, "/debug/vars", "", &after)
		}
		if probe.err != nil {
			costs = append(costs, reporter.Cost{Instance: probe.instance, Error: probe.err.Error()})

			continue
		}
		costs = append(costs, reporter.CostOf(probe.instance, probe.before, after, env.Now().Sub(started)))
	}

	return costs
}
