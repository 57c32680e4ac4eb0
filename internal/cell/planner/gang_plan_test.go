package planner

import (
	"testing"
	"time"
)

// TestOthersUseRestOfHeldEndpoint guards against a gang that keeps whole endpoints from
// other work although its tasks need only a part of each.
func TestOthersUseRestOfHeldEndpoint(t *testing.T) {
	g := newGangCell(t, 2)
	gang := g.gang("a")
	gang.Queue.Policy = nil
	gang.Steps[0].Count, gang.Steps[0].PerEndpoint, gang.Steps[0].Need.Millis = 2, 1, 8000
	g.accept(gang)
	g.runUntil(time.Second)
	for range 2 {
		g.freeOne(0)
	}
	small := simpleStep(1)
	// It outlasts the runs that the gang waits for.
	small.Estimate = 2 * time.Hour
	g.accept(g.job("b00", small))
	g.runUntil(2 * time.Second)
	if at, started := g.startedAt["b00"]; started {
		t.Fatalf("the held room is used by other work at %v", at)
	}
	g.freeOne(0)
	g.runUntil(3 * time.Second)
	g.requireStarts(1, 2500*time.Millisecond)
}

// TestTicketsArriveWithRoom guards against a gang that asks for tickets only when its room
// is free, so that the room stands idle while the policy decides.
func TestTicketsArriveWithRoom(t *testing.T) {
	g := newGangCell(t, 2)
	short := simpleStep(4)
	short.Estimate = 5 * time.Second
	g.free(0, 0)
	g.accept(g.job("short", short))
	g.runUntil(20 * time.Millisecond)
	g.admits = func(_ string, endpoint int) bool { return endpoint == 0 }
	g.accept(g.gang("b00"))
	// The tickets of the first answer expire long before the room is free.
	g.runUntil(4980 * time.Millisecond)
	before := g.asks
	if before < 2 {
		t.Errorf("%d questions before the room is free, want one for tickets", before)
	}
	g.free(0, 0)
	g.runUntil(6 * time.Second)
	g.requireStarts(1, 5100*time.Millisecond)
}

// TestShortWorkRunsInHeldRoom guards against held room that stands idle although work that
// is over before the gang's plan begins could use it, and against work that delays the gang.
func TestShortWorkRunsInHeldRoom(t *testing.T) {
	for name, backfill := range map[string]struct {
		estimate time.Duration
		starts   bool
	}{"short": {time.Second, true}, "long": {10 * time.Second, false}} {
		t.Run(name, func(t *testing.T) {
			g := newGangCell(t, 2)
			g.free(0, 1)
			other := simpleStep(6)
			other.Estimate = 4 * time.Second
			g.accept(g.job("other", other))
			g.runUntil(100 * time.Millisecond)
			g.acceptWide("a", 2)
			g.runUntil(200 * time.Millisecond)
			small := simpleStep(1)
			small.Estimate = backfill.estimate
			g.accept(g.job("b00", small))
			g.runUntil(2 * time.Second)
			if _, starts := g.startedAt["b00"]; starts != backfill.starts {
				t.Errorf("work of %v started in held room: %v, want %v", backfill.estimate, starts, backfill.starts)
			}
		})
	}
}
