package owner

import (
	"time"

	"gitlab.com/greengagewall/greengagewall/internal/domain/modeler"
)

// unlistedTTL is how long an endpoint of a claim counts for the majority after it
// is no longer listed. It is long for a list that lags, and short enough for a
// partition that has lost most of its endpoints.
const unlistedTTL = 30 * time.Second

// tally counts the endpoints of a set and those of them that satisfy a test.
type tally struct{ satisfied, total int }

func (t *tally) add(satisfied bool) {
	t.total++
	if satisfied {
		t.satisfied++
	}
}

func (t tally) majority() bool { return 2*t.satisfied > t.total }

// tallies counts the endpoints that satisfy test among the listed ones and, in
// further tallies, among those that the claims name. A majority of each is
// needed: the lists of two instances differ, while an owner and its successors go
// by the same claims.
func (c *Core) tallies(test func(*endpoint) bool) []tally {
	var listed tally
	for _, e := range c.endpoints {
		if e.listed {
			listed.add(test(e))
		}
	}
	tallies := append(make([]tally, 0, 1+len(c.rosters)), listed)
	for _, r := range c.rosters {
		var claimed tally
		for _, e := range r.endpoints {
			if !c.presumedRemoved(e) {
				claimed.add(test(e))
			}
		}
		if claimed.total > 0 {
			tallies = append(tallies, claimed)
		}
	}

	return tallies
}

// presumedRemoved reports whether an endpoint without a session has not been
// listed for unlistedTTL.
func (c *Core) presumedRemoved(e *endpoint) bool {
	return e.state != endpointOpen && !e.unlistedAt.IsZero() && c.now.Sub(e.unlistedAt) > unlistedTTL
}

// Ready reports whether the owner may start work at the given time.
func (c *Core) Ready(now time.Time) bool {
	c.now = now

	return c.ready()
}

// ready reports whether the owner may start work: it has held a majority since
// it took over, and holds one now.
func (c *Core) ready() bool {
	return !c.retired && !c.majorityAt.IsZero() && c.holdsMajority()
}

// holdsMajority reports whether a majority of the endpoints has renewed its
// session within MaxRenewalAge. Endpoints that accepted the term earlier do not
// count: one that has restarted since has forgotten the term.
func (c *Core) holdsMajority() bool {
	for _, t := range c.tallies(func(e *endpoint) bool {
		return e.state == endpointOpen && c.now.Sub(e.lastRenewal) <= MaxRenewalAge
	}) {
		if !t.majority() {
			return false
		}
	}

	return true
}

// ensureMajority reports whether a majority of the endpoints has granted a
// session under term or later. If not, it requests new sessions from as many
// quiescent endpoints as are missing. Without endpoints it returns true,
// because a successor has nothing to start work on.
func (c *Core) ensureMajority(term modeler.Term) bool {
	missing := 0
	for _, t := range c.tallies(func(e *endpoint) bool { return e.state == endpointOpen && e.term >= term }) {
		if t.total > 0 {
			missing = max(missing, t.total/2+1-t.satisfied)
		}
	}
	if missing == 0 {
		return true
	}
	for _, e := range ordered(c.endpoints) {
		if missing > 0 && e.state == endpointOpen && e.term < term && e.quiescent() {
			e.needsSession = true
			missing--
		}
	}

	return false
}

// hasEndpoints reports whether any endpoint of the partition is listed.
func (c *Core) hasEndpoints() bool {
	for _, e := range c.endpoints {
		if e.listed {
			return true
		}
	}

	return false
}
