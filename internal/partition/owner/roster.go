package owner

import (
	"gitlab.com/greengagewall/greengagewall/internal/domain/modeler"
)

// restoreRoster loads the endpoints of the claim in force. A takeover waits for
// them as for the listed ones, because the lists of two instances may differ
// for a while: an owner that did not wait for an endpoint that it had not seen
// yet started work again that the earlier owner had placed there.
func (c *Core) restoreRoster(endpoints []modeler.Instance) {
	c.roster = map[modeler.InstanceID]bool{}
	for _, instance := range endpoints {
		e := newEndpoint(instance)
		e.known, e.claimTerm = true, c.term
		c.endpoints[instance.ID] = e
		c.roster[instance.ID] = true
	}
}

// nextRoster returns the endpoints to name in the next claim.
func (c *Core) nextRoster() []modeler.Instance {
	c.pendingRoster = map[modeler.InstanceID]bool{}
	endpoints := make([]modeler.Instance, 0, len(c.endpoints))
	for id, e := range ordered(c.endpoints) {
		if e.known {
			c.pendingRoster[id] = true
			endpoints = append(endpoints, e.instance)
		}
	}

	return endpoints
}

// applyRoster puts the roster of the committed claim into force.
func (c *Core) applyRoster() {
	if c.pendingRoster == nil {
		return
	}
	c.roster, c.pendingRoster = c.pendingRoster, nil
	for id, e := range c.endpoints {
		if c.roster[id] && e.claimTerm == 0 {
			e.claimTerm = c.term
		}
	}
}

// tickRoster admits endpoints once a majority has seen a claim that names them,
// and requests a claim when the endpoints have changed. A successor of an
// earlier claim then gets no majority, and a successor of this claim has read
// the roster.
func (c *Core) tickRoster() {
	changed := false
	for _, e := range ordered(c.endpoints) {
		switch {
		case e.admitted:
		case e.claimTerm != 0 && e.state == endpointOpen && c.ensureMajority(e.claimTerm):
			e.admitted = true
			c.syncEndpoint(e)
		case e.claimTerm == 0 && e.listed:
			changed = true
		}
	}
	for id := range c.roster {
		if c.endpoints[id] == nil {
			changed = true
		}
	}
	if changed && c.claimed() && (c.Ready() || c.majorityAt.IsZero()) && c.now.Sub(c.lastClaimRequest) >= claimInterval {
		c.lastClaimRequest = c.now
		c.emit(ClaimCmd{})
	}
}
