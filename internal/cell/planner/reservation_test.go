package planner

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gitlab.com/greengagewall/greengagewall/internal/cell/definer"
	"gitlab.com/greengagewall/greengagewall/internal/domain/modeler"
)

// acceptWide accepts a gang without a policy that needs count whole endpoints.
func (g *gangCell) acceptWide(id string, count int) {
	job := g.gang(id)
	job.Steps[0].Count, job.Steps[0].Need.Millis = count, 16000
	job.Queue.Policy = nil
	g.accept(job)
}

// acceptSmall accepts a job of one task without a policy.
func (g *gangCell) acceptSmall(id string) { g.accept(g.job(id, simpleStep(1))) }

// freeOne ends one run on each of the endpoints up to last.
func (g *gangCell) freeOne(last int) {
	for n := range last + 1 {
		id := fmt.Sprintf("e%03d", n)
		row := g.running[id][0]
		g.endRun(id, row.Task, row.Run, definer.EndDone)
	}
}

// TestReservationsEnd guards against a gang that keeps idle room from all other work for
// good, because the runs beside it do not end.
func TestReservationsEnd(t *testing.T) {
	g := newGangCell(t, 3)
	g.acceptWide("a", 2)
	g.runUntil(time.Second)
	g.freeOne(2)
	g.acceptSmall("b00")
	g.acceptSmall("b01")
	g.acceptSmall("b02")
	g.runUntil(30 * time.Second)
	g.requireStarts(3, 21*time.Second)
}

// TestReservationsTakeTurns guards against gangs that reserve endpoints in turns which
// leave out those behind them.
func TestReservationsTakeTurns(t *testing.T) {
	g := newGangCell(t, 12)
	g.target = time.Hour
	for n := range 4 {
		g.acceptWide(fmt.Sprintf("%02d", n), 6)
	}
	held := map[string]bool{}
	for end := time.Second; end < 4*time.Minute; end += time.Second {
		g.runUntil(end)
		for _, e := range g.planner.ordered {
			if e.reservedFor != nil {
				held[e.reservedFor.job.ID] = true
			}
		}
	}
	if len(held) != 4 {
		t.Errorf("%d of 4 gangs have reserved endpoints: %v", len(held), held)
	}
}

// TestGangWaitsForNoLongRunningTask guards against a gang that reserves endpoints on which
// it never fits because of long-running tasks.
func TestGangWaitsForNoLongRunningTask(t *testing.T) {
	g := newGangCell(t, 2)
	g.free(0, 1)
	serving := simpleStep(1)
	serving.LongRunning = true
	for _, id := range []string{"c", "d", "e", "f", "g"} {
		g.accept(g.job(id, serving))
	}
	g.runUntil(time.Second)
	if len(g.running["e000"]) == 0 || len(g.running["e001"]) == 0 {
		t.Fatal("a long-running task runs on each endpoint in this test")
	}
	g.acceptWide("a", 2)
	g.runUntil(2 * time.Second)
	g.acceptSmall("b00")
	g.runUntil(5 * time.Second)
	g.requireStarts(1, 2500*time.Millisecond)
}

// TestGangAtLimitReservesNothing guards against a gang that keeps its reservation while
// its account is at its limit.
func TestGangAtLimitReservesNothing(t *testing.T) {
	g := newGangCell(t, 2)
	g.acceptWide("a", 2)
	g.runUntil(time.Second)
	g.planner.Configure(&definer.Configuration{Routes: testRoutes, Accounts: []definer.Account{{Name: "account", Limit: modeler.Resources{Millis: 1000}}}})
	g.freeOne(1)
	small := g.job("b00", simpleStep(1))
	small.Account = "other"
	g.accept(small)
	g.runUntil(3 * time.Second)
	g.requireStarts(1, 1500*time.Millisecond)
}

// TestExcessGangReservesNothing guards against a gang beyond the rate of its account that
// keeps free room from other work while it asks for tickets.
func TestExcessGangReservesNothing(t *testing.T) {
	g := newGangCell(t, 2)
	g.planner.Configure(&definer.Configuration{Routes: testRoutes, Accounts: []definer.Account{{Name: "over", Weight: 0.001}}})
	job := g.gang("a")
	job.Account = "over"
	g.accept(job)
	g.runUntil(10 * time.Second)
	g.silent = func(string) bool { return true }
	g.free(0, 0)
	g.runUntil(10*time.Second + 100*time.Millisecond)
	g.acceptSmall("b00")
	g.runUntil(12 * time.Second)
	g.requireStarts(1, 10500*time.Millisecond)
}

// TestGangWithoutReservationKeepsNoPlace guards against gangs that find no endpoints to
// reserve and keep those behind them from it.
func TestGangWithoutReservationKeepsNoPlace(t *testing.T) {
	g := newGangCell(t, 12)
	g.free(0, 0)
	serving := simpleStep(1)
	serving.LongRunning, serving.Requires = true, "r1-0"
	g.accept(g.job("serving", serving))
	g.runUntil(time.Second)
	if len(g.running["e000"]) != 1 {
		t.Fatal("the long-running task runs on the first endpoint in this test")
	}
	for n := range 3 {
		job := g.gang(fmt.Sprintf("a%02d", n))
		job.Steps[0].Count, job.Steps[0].Need.Millis, job.Steps[0].Requires = 2, 16000, "r1-0"
		job.Queue.Policy = nil
		g.accept(job)
	}
	g.acceptWide("b", 2)
	g.runUntil(1500 * time.Millisecond)
	for end := 1500 * time.Millisecond; end < 2500*time.Millisecond; end += 20 * time.Millisecond {
		g.runUntil(end)
		if !slices.ContainsFunc(g.planner.ordered, func(e *endpoint) bool { return e.reservedFor != nil && e.reservedFor.job.ID == "b" }) {
			t.Fatalf("the gang that may use all endpoints has reserved none at %v", end)
		}
	}
}

// TestGangTooLargeReservesNothing guards against a gang that keeps its reservation after
// an endpoint that it needs has gone.
func TestGangTooLargeReservesNothing(t *testing.T) {
	g := newGangCell(t, 5)
	g.acceptWide("a", 5)
	g.runUntil(time.Second)
	delete(g.born, "e004")
	g.runUntil(4 * time.Second)
	g.freeOne(0)
	g.acceptSmall("b00")
	g.runUntil(5 * time.Second)
	g.requireStarts(1, 4500*time.Millisecond)
}

// TestReservationsOutOfTurnCount guards against more reservations than the share allows
// while work that is too late takes turns.
func TestReservationsOutOfTurnCount(t *testing.T) {
	g := newGangCell(t, 12)
	for n := range 20 {
		g.acceptWide(fmt.Sprintf("%02d", n), 2)
	}
	g.runUntil(25 * time.Second)
	for end := 25 * time.Second; end < 27*time.Second; end += 20 * time.Millisecond {
		g.runUntil(end)
		held := map[*step]bool{}
		for _, e := range g.planner.ordered {
			if e.reservedFor != nil {
				held[e.reservedFor] = true
			}
		}
		if len(held) > 1 {
			t.Fatalf("%d gangs have reserved endpoints at %v, want 1", len(held), end)
		}
	}
}

// TestReservedEndpointsAreBounded guards against wide gangs that together keep a large
// part of a busy cell idle.
func TestReservedEndpointsAreBounded(t *testing.T) {
	const endpoints, gangs, wide = 48, 3, 5
	g := newGangCell(t, endpoints)
	for n := range gangs {
		g.acceptWide(fmt.Sprint("a", n), wide)
	}
	g.runUntil(time.Second)
	reserved := 0
	for _, e := range g.planner.ordered {
		if e.reservedFor != nil {
			reserved++
		}
	}
	if limit := 1 + endpoints/8; reserved < wide || reserved > limit {
		t.Errorf("%d of %d endpoints are reserved, want %d to %d", reserved, endpoints, wide, limit)
	}
}
