package owner

import (
	"slices"

	"gitlab.com/greengagewall/greengagewall/internal/domain/modeler"
)

// roster is the endpoints that a claim names.
type roster struct {
	term      modeler.Term
	endpoints []*endpoint
}

// restoreRoster loads the endpoints of the claim in force. A takeover waits for
// them as for the listed ones, because the lists of two instances may differ
// for a while: an owner that did not wait for an endpoint that it had not seen
// yet started work again that the earlier owner had placed there.
func (c *Core) restoreRoster(endpoints []modeler.Instance) {
	claimed := roster{term: c.term}
	for _, instance := range endpoints {
		e := newEndpoint(instance)
		e.known, e.claimTerm = true, c.term
		c.endpoints[instance.ID] = e
		claimed.endpoints = append(claimed.endpoints, e)
	}
	c.rosters = []roster{claimed}
}

// nextRoster returns the endpoints to name in the next claim. An endpoint that the
// claim no longer names gets no work from here on, also if it is listed again.
func (c *Core) nextRoster() []modeler.Instance {
	c.pendingRoster = make([]*endpoint, 0, len(c.endpoints))
	endpoints := make([]modeler.Instance, 0, len(c.endpoints))
	for _, e := range ordered(c.endpoints) {
		switch {
		case !e.known:
		case e.removable():
			e.claimTerm, e.admitted = 0, false
		default:
			c.pendingRoster = append(c.pendingRoster, e)
			endpoints = append(endpoints, e.instance)
		}
	}

	return endpoints
}

// applyRoster puts the roster of the committed claim into force. The previous one
// still counts until settleRosters drops it.
func (c *Core) applyRoster() {
	if c.pendingRoster == nil {
		return
	}
	claimed := roster{term: c.term, endpoints: c.pendingRoster}
	c.rosters, c.pendingRoster = append(c.rosters, claimed), nil
	for _, e := range claimed.endpoints {
		if e.claimTerm == 0 {
			e.claimTerm = c.term
		}
	}
}

// settleRosters drops the rosters of earlier claims once a majority of each has
// seen the term of the claim in force. A successor of an earlier claim, which
// goes by the earlier roster, then gets no majority.
func (c *Core) settleRosters() {
	last := len(c.rosters) - 1
	if last > 0 && c.ensureMajority(c.rosters[last].term) {
		c.rosters = c.rosters[last:]
	}
}

// named reports whether a claim names the endpoint that is in force, that a
// successor may still go by, or that is not yet committed.
func (c *Core) named(e *endpoint) bool {
	return slices.Contains(c.pendingRoster, e) ||
		slices.ContainsFunc(c.rosters, func(r roster) bool { return slices.Contains(r.endpoints, e) })
}

// tickRoster admits endpoints once a majority has seen a claim that names them,
// and requests a claim when the endpoints have changed. A successor of an
// earlier claim then gets no majority, and a successor of this claim has read
// the roster.
func (c *Core) tickRoster() {
	c.settleRosters()
	changed := false
	for _, e := range ordered(c.endpoints) {
		changed = changed || e.claimTerm == 0 && e.listed || e.claimTerm != 0 && e.removable()
		if !e.admitted && e.claimTerm != 0 && e.state == endpointOpen && c.ensureMajority(e.claimTerm) {
			e.admitted = true
			c.syncEndpoint(e)
		}
	}
	if changed && c.claimed() && (c.ready() || c.majorityAt.IsZero()) && c.now.Sub(c.lastClaimRequest) >= claimInterval {
		c.lastClaimRequest = c.now
		c.emit(ClaimCmd{})
	}
}
