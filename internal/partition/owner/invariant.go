package owner

import (
	"expvar"

	"gitlab.com/greengagewall/greengagewall/internal/domain/modeler"
)

// violations counts refused actions by invariant.
var violations = expvar.NewMap("partition.owner.violations")

// violate counts a violated invariant and calls the hook.
func (c *Core) violate(invariant, detail string) {
	violations.Add(invariant, 1)
	if c.violation != nil {
		c.violation(invariant, detail)
	}
}

// permit checks a start that the decider wants. The endpoint may have become
// unusable in the meantime; anything else is a violated invariant.
func (c *Core) permit(t *task, e *endpoint) bool {
	if !c.Ready() || !e.usable(c.now) || t.job.cancelled || t.state.Final() {
		return false
	}
	if t.at != nil {
		c.violate("I2", "task "+string(t.id)+" is at "+string(t.at.instance.ID)+" and would start at "+string(e.instance.ID))

		return false
	}
	if t.job.Once && (t.state != modeler.TaskQueued || t.launched) {
		c.violate("I7", "task "+string(t.id)+" may run only once and may have run")

		return false
	}

	return c.permitUse(e, c.team(t.job.Team), t.job.Needs, string(t.id))
}

// permitUse checks that an endpoint has room and that the team's allotment
// covers what would run.
func (c *Core) permitUse(e *endpoint, t *team, needs modeler.Resources, what string) bool {
	if sum := e.used().Add(needs); !sum.Fits(e.capacity) {
		c.violate("I1", what+" would bring endpoint "+string(e.instance.ID)+" to "+sum.String()+" of "+e.capacity.String())

		return false
	}
	if c.teamsDirty {
		// The allotment may have changed since the decision was made.
		c.refreshTeams()
		if !within(t.running().Add(needs), needs, t.allotment) {
			return false
		}
	}
	if sum := t.running().Add(needs); !within(sum, needs, t.allotment) {
		c.violate("I4", what+" would bring team "+string(t.id)+" to "+sum.String()+" of "+t.allotment.String())

		return false
	}

	return true
}

// within reports whether sum is at most limit in every component that needs
// uses. Another component may be above a limit that was lowered.
func within(sum, needs, limit modeler.Resources) bool {
	for _, c := range [...][3]int64{
		{sum.Millis, needs.Millis, limit.Millis}, {sum.Memory, needs.Memory, limit.Memory},
		{sum.Accelerators, needs.Accelerators, limit.Accelerators}, {sum.Slots, needs.Slots, limit.Slots},
	} {
		if c[1] > 0 && c[0] > c[2] {
			return false
		}
	}

	return true
}
