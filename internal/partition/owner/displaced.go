package owner

import (
	"gitlab.com/greengagewall/greengagewall/internal/domain/modeler"
)

// displacedWindow is how long an endpoint counts as displaced after it was
// regained. A lost session is noticed within SessionTTL, so all endpoints that
// another owner held at one moment count together within this window.
const displacedWindow = 2 * SessionTTL

// trackSessionGap records that another owner may have held the endpoint since
// the last session: either the session has lapsed, or the session numbers have
// a gap. A hello of this owner whose answer was lost leaves a gap as well.
func (c *Core) trackSessionGap(e *endpoint, session modeler.SessionID) {
	switch e.state {
	case endpointOpen:
		if session != e.session+1 {
			e.regainedAt = c.now
		}
	case endpointLapsed, endpointGone:
		e.regainedAt = c.now
	}
}

// tickDisplaced gives up the partition when another owner may have held a
// majority of the endpoints. A successor of an earlier claim that is cut off
// from the log can get that majority without refusing this owner's later term.
// Regaining the endpoints is then not enough, since those still missing may run
// work that this owner does not know of.
func (c *Core) tickDisplaced() {
	if c.majorityAt.IsZero() || c.now.Sub(c.majorityAt) < displacedWindow {
		return
	}
	for _, displaced := range c.tallies(func(e *endpoint) bool {
		return e.state != endpointOpen || !e.regainedAt.IsZero() && c.now.Sub(e.regainedAt) < displacedWindow
	}) {
		if displaced.majority() {
			c.emit(SupersededCmd{})

			return
		}
	}
}
