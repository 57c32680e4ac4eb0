package owner

import (
	"gitlab.com/greengagewall/greengagewall/internal/domain/modeler"
)

// restoreRoster takes over the endpoints of the claim in force. They are
// raised like the listed ones, because the lists of two instances differ for a
// while: an owner that did not wait for an endpoint that it has not seen yet
// started work again that the earlier owner had placed there.
func (c *Core) restoreRoster(endpoints []modeler.Instance) {
	c.roster = map[modeler.InstanceID]bool{}
	for _, instance := range endpoints {
		e := newEndpoint(instance)
		e.known, e.enrolled = true, c.term
		c.endpoints[instance.ID] = e
		c.roster[instance.ID] = true
	}
}

// nextRoster returns the endpoints for a claim.
func (c *Core) nextRoster() []modeler.Instance {
	c.claiming = map[modeler.InstanceID]bool{}
	endpoints := make([]modeler.Instance, 0, len(c.endpoints))
	for id, e := range ordered(c.endpoints) {
		if e.known {
			c.claiming[id] = true
			endpoints = append(endpoints, e.instance)
		}
	}

	return endpoints
}

// takeRoster makes the roster of the claim that was read back the one in
// force.
func (c *Core) takeRoster() {
	if c.claiming == nil {
		return
	}
	c.roster, c.claiming = c.claiming, nil
	for id, e := range c.endpoints {
		if c.roster[id] && e.enrolled == 0 {
			e.enrolled = c.term
		}
	}
}

// tickRoster admits endpoints whose claim a majority has seen, and asks for a
// claim when the endpoints have changed. A successor of an earlier claim gets
// no majority then, and one of this claim has read the roster.
func (c *Core) tickRoster() {
	changed := false
	for _, e := range ordered(c.endpoints) {
		switch {
		case e.admitted:
		case e.enrolled != 0 && e.state == endpointOpen && c.raisedTo(e.enrolled):
			e.admitted = true
			c.tell(e)
		case e.enrolled == 0 && e.listed:
			changed = true
		}
	}
	for id := range c.roster {
		if c.endpoints[id] == nil {
			changed = true
		}
	}
	if changed && c.claimed() && (c.Ready() || c.majorityAt.IsZero()) && c.now.Sub(c.claimAsked) >= claimGiftsEvery {
		c.claimAsked = c.now
		c.emit(ClaimCmd{})
	}
}
