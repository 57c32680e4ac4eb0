package owner

import (
	"gitlab.com/greengagewall/greengagewall/internal/domain/modeler"
)

// displacedWindow is how long an endpoint counts as taken after it was
// regained. A lost session shows within SessionFor, so all endpoints that
// another owner held at one moment count together within this time.
const displacedWindow = 2 * SessionTTL

// noteGap notes that another owner may have held the endpoint since the last
// session: the session has lapsed, or the numbers of the sessions have a gap.
// An own hello whose answer was lost leaves a gap as well.
func (c *Core) noteGap(e *endpoint, granted modeler.SessionID) {
	switch e.state {
	case endpointOpen:
		if granted != e.session+1 {
			e.regained = c.now
		}
	case endpointLapsed, endpointGone:
		e.regained = c.now
	}
}

// tickDisplaced gives up the partition when another owner may have held a
// majority of the endpoints. A successor of an earlier claim that is cut off
// from the log can do so without refusing this owner's later term: regaining
// the endpoints is then not enough, since the ones that are still missing may
// run work that this owner does not know of.
func (c *Core) tickDisplaced() {
	if c.majorityAt.IsZero() || c.now.Sub(c.majorityAt) < displacedWindow {
		return
	}
	taken, listed := c.count(func(e *endpoint) bool {
		return e.state != endpointOpen || !e.regained.IsZero() && c.now.Sub(e.regained) < displacedWindow
	})
	if listed > 0 && 2*taken > listed {
		c.emit(SupersededCmd{})
	}
}
