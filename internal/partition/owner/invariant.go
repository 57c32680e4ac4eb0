package owner

import (
	"expvar"

	"gitlab.com/greengagewall/greengagewall/internal/domain/modeler"
)

// violations counts, by invariant, the actions that were refused because they
// would have violated it.
var violations = expvar.NewMap("partition.owner.violations")

// reportViolation counts an action that would have violated an invariant and
// calls the hook.
func (c *Core) reportViolation(invariant, detail string) {
	violations.Add(invariant, 1)
	if c.onViolation != nil {
		c.onViolation(invariant, detail)
	}
}

// permitStart checks a start that the scheduler decided on. The endpoint may
// have become unusable since the decision; any other reason to refuse the start
// is a violated invariant.
func (c *Core) permitStart(t *task, e *endpoint) bool {
	if !c.ready() || !e.usable(c.now) || t.job.cancelled || t.state.Final() {
		return false
	}
	if t.endpoint != nil {
		c.reportViolation("I2", "task "+string(t.id)+" is at "+string(t.endpoint.instance.ID)+" and would start at "+string(e.instance.ID))

		return false
	}
	if t.job.Once && (t.state != modeler.TaskQueued || t.mayHaveRun) {
		c.reportViolation("I7", "task "+string(t.id)+" may run only once and may have run")

		return false
	}

	return c.permitUsage(e, c.team(t.job.Team), t.job.Needs, string(t.id))
}

// permitUsage checks that an endpoint has room for needs and that the team's
// allotment covers them on top of what already runs.
func (c *Core) permitUsage(e *endpoint, t *team, needs modeler.Resources, what string) bool {
	if sum := e.used().Add(needs); !sum.Fits(e.capacity) {
		c.reportViolation("I1", what+" would bring endpoint "+string(e.instance.ID)+" to "+sum.String()+" of "+e.capacity.String())

		return false
	}
	if c.teamsDirty {
		// The allotment may have changed since the decision was made.
		c.refreshTeams()
		if !withinLimit(t.running().Add(needs), needs, t.allotment) {
			return false
		}
	}
	if sum := t.running().Add(needs); !withinLimit(sum, needs, t.allotment) {
		c.reportViolation("I4", what+" would bring team "+string(t.id)+" to "+sum.String()+" of "+t.allotment.String())

		return false
	}

	return true
}

// withinLimit reports whether sum is at most limit in every component that
// needs uses. Other components may exceed a limit that was lowered.
func withinLimit(sum, needs, limit modeler.Resources) bool {
	for _, component := range [...][3]int64{
		{sum.Millis, needs.Millis, limit.Millis}, {sum.Memory, needs.Memory, limit.Memory},
		{sum.Accelerators, needs.Accelerators, limit.Accelerators}, {sum.Slots, needs.Slots, limit.Slots},
	} {
		if component[1] > 0 && component[0] > component[2] {
			return false
		}
	}

	return true
}
