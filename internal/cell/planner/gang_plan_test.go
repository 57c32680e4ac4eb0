package planner

import (
	"fmt"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"

	"gitlab.com/greengagewall/greengagewall/internal/cell/definer"
	"gitlab.com/greengagewall/greengagewall/internal/domain/modeler"
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

// endDue ends the runs that have taken as long as estimated.
func (g *gangCell) endDue() {
	for _, e := range g.planner.ordered {
		var due []*run
		for _, r := range e.runs {
			if r.task.step.job.ID != "filler" && g.now.Sub(r.sentAt) >= r.task.step.def.Estimate {
				due = append(due, r)
			}
		}
		for _, r := range due {
			g.endRun(e.ID, r.name, r.number, definer.EndDone)
		}
	}
}

// TestHeldRoomIsBoundedUnderLoad guards against gangs that together hold much of a cell
// idle: batch work fills each gap just before gangs arrive, 3.5 a second and then eight at
// once, and their policy takes 1.3 s and admits a quarter of the endpoints.
func TestHeldRoomIsBoundedUnderLoad(t *testing.T) {
	const endpoints = 48
	g := newGangCell(t, endpoints)
	g.free(0, endpoints-1)
	policy := &definer.Policy{Decide: 540 * time.Millisecond, Each: 7700 * time.Microsecond, Validity: 1500 * time.Millisecond}
	g.admits = func(job string, endpoint int) bool { return xxhash.Sum64String(fmt.Sprint(job, endpoint))%4 == 0 }
	batch, gangs := 0, 0
	gang := func() {
		job := g.gang(fmt.Sprintf("b%02d", gangs))
		job.Queue.Policy, job.Steps[0].Estimate = policy, time.Second
		job.Steps[0].Count, job.Steps[0].Need.Millis = 20, 4500
		g.accept(job)
		gangs++
	}
	for end := 20 * time.Millisecond; end < 20*time.Second; end += 20 * time.Millisecond {
		if end%(100*time.Millisecond) == 0 {
			job := g.job(fmt.Sprintf("c%03d", batch), simpleStep(4))
			job.Queue.Priority, job.Queue.Name = 2, "batch"
			g.accept(job)
			batch++
		}
		if end%(280*time.Millisecond) == 0 && end < 6*time.Second {
			gang()
		}
		for end == 6*time.Second && gangs < 29 {
			gang()
		}
		g.runUntil(end)
		g.endDue()
		var idle, capacity modeler.Resources
		holders := map[*step]bool{}
		for _, e := range g.planner.ordered {
			idle, capacity = idle.Add(e.reservedIdle()), capacity.Add(e.Capacity)
			for _, h := range e.reservations {
				holders[h.step] = true
			}
		}
		if share := idle.DominantShare(capacity); len(holders) > 1 && share > reservedShare {
			t.Fatalf("%d gangs hold %.2f of the cell idle at %v, want %.3f at most", len(holders), share, end, reservedShare)
		}
	}
	g.requireStarts(gangs, 20*time.Second)
}
