package planner

import (
	"testing"
	"time"
)

// TestGangStartsBesideReservingGangs guards against gangs that stand still although
// there is room for them (seen as LOST on ppso-brine-grown, owner-struck-twice): the
// number of gangs that reserve endpoints is bounded, not that of those that start.
func TestGangStartsBesideReservingGangs(t *testing.T) {
	c := newCell(t, 3)
	spread := simpleStep(3)
	spread.PerEndpoint = 1
	c.accept(c.job("a", spread))
	c.planAndRun()
	large := simpleStep(2)
	large.Gang, large.Need.Millis = true, 16000
	c.accept(c.job("b", large))
	c.planAndRun()
	small := simpleStep(2)
	small.Gang = true
	c.accept(c.job("c", small))
	c.advance(100 * time.Millisecond)
	c.plan()
	if len(c.started) != 2 {
		t.Errorf("%d starts of a gang of two that fits beside the reserved endpoints", len(c.started))
	}
}
