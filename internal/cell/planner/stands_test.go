package planner

import (
	"fmt"
	"testing"
	"time"

	"gitlab.com/greengagewall/greengagewall/internal/cell/definer"
	"gitlab.com/greengagewall/greengagewall/internal/domain/modeler"
)

// lostBound is how long a job may stand beside room before its callers take it for lost.
const lostBound = 3 * time.Second

// TestLateGangAtLimitReservesNothing guards against a gang too late to be useful that
// keeps its reservation while its account may run none of its tasks.
func TestLateGangAtLimitReservesNothing(t *testing.T) {
	g := newGangCell(t, 2)
	wide := g.gang("a")
	wide.Steps[0].Count, wide.Steps[0].Need.Millis = 2, 16000
	wide.Queue.Policy = nil
	wide.Accepted = g.wall.Add(-time.Minute)
	g.accept(wide)
	g.runUntil(time.Second)
	if g.planner.ordered[0].reservedFor == nil {
		t.Fatal("the gang reserves endpoints in this test")
	}
	g.planner.Configure(&definer.Configuration{Routes: testRoutes, Accounts: []definer.Account{{Name: "account", Limit: modeler.Resources{Millis: 1000}}}})
	g.freeOne(1)
	small := g.job("b00", simpleStep(1))
	small.Account = "other"
	g.accept(small)
	g.runUntil(10 * time.Second)
	g.requireStarts(1, time.Second+lostBound)
}

// TestReservedRoomLeavesNoJobStanding guards against a job that stands beside room for
// longer than lostBound, because a gang that waits for the rest of it has reserved it.
func TestReservedRoomLeavesNoJobStanding(t *testing.T) {
	g := newGangCell(t, 3)
	g.acceptWide("a", 3)
	g.runUntil(time.Second)
	for range 3 {
		g.freeOne(2)
	}
	g.acceptSmall("b00")
	g.runUntil(30 * time.Second)
	g.requireStarts(1, time.Second+lostBound)
}

// TestGangAsksWhereThereIsRoom guards against a gang that stands beside room about which
// it never asks, because the endpoints to which it is admitted would do if they were empty.
func TestGangAsksWhereThereIsRoom(t *testing.T) {
	for name, longRunning := range map[string]bool{"long-running": true, "batch": false} {
		t.Run(name, func(t *testing.T) {
			const endpoints = 110
			g := newGangCell(t, endpoints)
			g.free(0, endpoints-1)
			g.admits = func(_ string, endpoint int) bool { return endpoint < 4 || endpoint >= maxAskedEndpoints }
			job := g.gang("b00")
			job.Steps[0].Count, job.Steps[0].Need.Millis = 2, 4000
			g.accept(job)
			g.plan()
			for _, ask := range g.takeAsked() {
				g.ask(ask)
			}
			filler := definer.Step{Count: 4, Need: modeler.Resources{Millis: 16000}, LongRunning: longRunning, Estimate: time.Hour}
			filled := g.job("filled", filler)
			filled.Queue.Policy = &definer.Policy{Decide: time.Millisecond, Each: time.Millisecond, Validity: 2 * time.Second}
			g.accept(filled)
			ids := make([]string, 4)
			tickets := make([]definer.Ticket, len(ids))
			for n := range ids {
				ids[n] = fmt.Sprintf("e%03d", n)
				tickets[n] = definer.Ticket{Endpoint: ids[n], Value: "t"}
			}
			g.planner.PolicyAnswered(&AskPolicyCmd{Job: "filled", Endpoints: ids}, PolicyAnswer{Answered: true, Tickets: tickets, Arrived: g.now}, g.now)
			g.runUntil(10 * time.Second)
			for _, id := range ids {
				if len(g.running[id]) != 1 {
					t.Fatal("a large task runs on each of the admitted endpoints in this test")
				}
			}
			g.requireStarts(1, 2*lostBound)
		})
	}
}

// TestStepsThatTheirPolicyRefusesTakeNoTurns guards against a job that stands beside room
// behind a backlog of work that its policy admits nowhere.
func TestStepsThatTheirPolicyRefusesTakeNoTurns(t *testing.T) {
	for _, interval := range []time.Duration{10 * time.Millisecond, 60 * time.Millisecond} {
		t.Run(interval.String(), func(t *testing.T) {
			w := newStandingWork(t, 2000, interval)
			w.admitted = 0
			for began := w.now; len(w.acceptedAt) > 0 || len(w.answers) > 0; w.step() {
				if w.now.Sub(began) > 10*time.Minute {
					t.Fatalf("%d jobs have not asked", len(w.acceptedAt))
				}
			}
			w.planner.Accept(w.job("1000000000000000", simpleStep(1)), w.now, w.wall)
			began := w.now
			for w.starts == 0 && w.now.Sub(began) < time.Minute {
				w.step()
			}
			if waited := w.now.Sub(began); waited > lostBound {
				t.Errorf("a job without a policy started after %v on an idle cell, want at most %v", waited, lostBound)
			}
		})
	}
}

// TestFirstQuestionOfDeferrableStep guards against a job that stands on an idle cell
// because its first question waits behind those of a backlog.
func TestFirstQuestionOfDeferrableStep(t *testing.T) {
	for _, interval := range []time.Duration{10 * time.Millisecond, 60 * time.Millisecond} {
		t.Run(interval.String(), func(t *testing.T) {
			w := newStandingWork(t, 800, interval)
			for range int(20 * time.Second / interval) {
				w.step()
			}
			if w.longestUnasked > lostBound {
				t.Errorf("a job asked first after %v, want at most %v", w.longestUnasked, lostBound)
			}
		})
	}
}

// TestTaskAtEndpointLimitUsesQuarantinedEndpoint guards against a long-running task that
// stands beside room in quarantine, because its step fills the only usable endpoint up to
// its limit there.
func TestTaskAtEndpointLimitUsesQuarantinedEndpoint(t *testing.T) {
	c := newCell(t, 3)
	for _, e := range c.planner.ordered[1:] {
		e.quarantine, e.quarantinedAt, e.quarantinedUntil = maxQuarantine, c.now, c.now.Add(maxQuarantine)
	}
	step := simpleStep(2)
	step.PerEndpoint, step.LongRunning = 1, true
	c.accept(c.job("a", step))
	starts := 0
	began := c.now
	for starts < 2 && c.now.Sub(began) < time.Minute {
		c.plan()
		for _, start := range c.started {
			c.run(start)
			starts++
		}
		c.started = nil
		c.advance(100 * time.Millisecond)
	}
	if waited := c.now.Sub(began); waited > 2*lostBound {
		t.Errorf("%d of 2 tasks started, the last after %v, want at most %v", starts, waited, 2*lostBound)
	}
}

// TestRenewalsReachEveryGang guards against a gang that never asks for new tickets,
// because each round asks for one exploring gang as well and the turns by order and by
// wait alternate over both.
func TestRenewalsReachEveryGang(t *testing.T) {
	c := newCell(t, 2)
	steps := make([]*step, 0, 4)
	for n := range cap(steps) {
		step := simpleStep(2)
		step.Gang = true
		job := c.job(fmt.Sprint(n), step)
		job.Queue.Policy = gangPolicy
		c.accept(job)
		steps = append(steps, c.planner.jobs[job.ID].occurrences[0].steps[0])
	}
	asked := map[string]int{}
	for range 20 {
		c.advance(time.Second)
		c.planner.rounds++
		ps := &pass{planner: c.planner, now: c.now, takeoverSettled: true}
		ps.findUsable()
		ps.countGangQuestions(steps)
		// The first two have room, the others have asked about nothing yet.
		ps.renew(steps[0], c.planner.ordered)
		ps.renew(steps[1], c.planner.ordered)
		ps.explore(steps[2], 2)
		ps.explore(steps[3], 2)
		ps.askInTurn(&ps.renewals, 1)
		ps.askInTurn(&ps.explorations, 1)
		for _, command := range c.planner.Commands() {
			if ask, ok := command.(AskPolicyCmd); ok {
				asked[ask.Job]++
				c.planner.PolicyAnswered(&ask, PolicyAnswer{}, c.now)
			}
		}
	}
	for n := range 4 {
		if asked[fmt.Sprint(n)] == 0 {
			t.Errorf("gang %d has asked nothing in 20 rounds: %v", n, asked)
		}
	}
}

// TestStandingGangWithoutAllTicketsSaysSo guards against a note that says that the tasks
// of a gang are held back, when its tickets don't suffice.
func TestStandingGangWithoutAllTicketsSaysSo(t *testing.T) {
	c := newCell(t, 2)
	step := simpleStep(8)
	step.Gang = true
	job := c.job("a", step)
	job.Queue.Policy = &definer.Policy{Decide: 50 * time.Millisecond, Each: time.Millisecond, Validity: 10 * time.Second}
	c.accept(job)
	c.plan()
	c.takeAsked()
	c.planner.PolicyAnswered(&AskPolicyCmd{Job: "a", Endpoints: []string{"e000", "e001"}}, PolicyAnswer{Answered: true, Tickets: []definer.Ticket{{Endpoint: "e000", Value: "t"}, {Endpoint: "e001", Value: "t"}}, Arrived: c.now}, c.now)
	s := c.planner.jobs["a"].occurrences[0].steps[0]
	s.admission.expireTicket(c.planner.endpoints["e001"])
	if got := c.standFor(2 * time.Second); got != string(standTickets) && got != string(standQuestionOut) {
		t.Errorf("reason %q, want %q or %q", got, standTickets, standQuestionOut)
	}
}

// TestPausedGangAsksAboutNewEndpoint guards against a gang that stands beside a new
// endpoint, because after its reservation has ended it asks about no further endpoints.
func TestPausedGangAsksAboutNewEndpoint(t *testing.T) {
	const joinsAfter = maxReservation + 5*time.Second
	g := newGangCell(t, 2)
	g.accept(g.gang("b00"))
	g.runUntil(joinsAfter)
	if _, started := g.startedAt["b00"]; started {
		t.Fatal("the cell is full in this test")
	}
	g.listEndpoint("e002")
	g.runUntil(joinsAfter + time.Minute)
	g.requireStarts(1, joinsAfter+lostBound)
}
