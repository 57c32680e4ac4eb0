package planner

import (
	"fmt"
	"testing"
	"time"

	"gitlab.com/greengagewall/greengagewall/internal/cell/definer"
	"gitlab.com/greengagewall/greengagewall/internal/domain/modeler"
)

// TestStepBehindOthersWithTicketsIsNotLeftOut guards against a step that never has a
// ticket when there is room, because the steps in front of it, which can't use the room,
// renew theirs all the time; less urgent work without a policy takes the room meanwhile.
func TestStepBehindOthersWithTicketsIsNotLeftOut(t *testing.T) {
	t.Run("same-steps", func(t *testing.T) { testStepBehindOthers(t, false) })
	t.Run("new-steps", func(t *testing.T) { testStepBehindOthers(t, true) })
}

// testStepBehindOthers plays a step behind others that stay in front of it or, if arrivals
// is set, are joined by new ones in each round.
func testStepBehindOthers(t *testing.T, arrivals bool) {
	t.Helper()
	const endpoints, inFront, waiting = 12, 40, 200
	const pause, limit = 3 * time.Second, 30 * time.Second
	c := newCell(t, endpoints)
	need := modeler.Resources{Millis: 16000}
	for n := range waiting {
		job := c.job(fmt.Sprintf("less-urgent-%03d", n), definer.Step{Count: 1, Need: need, Estimate: time.Hour})
		job.Queue.Priority = 2
		c.accept(job)
	}
	c.plan()
	if len(c.started) != endpoints {
		t.Fatalf("%d tasks started on an idle cell, want %d", len(c.started), endpoints)
	}
	runs := c.started
	admitted := func(job, endpoint string) bool { return job == "last" || endpoint == runs[0].Target.ID }
	accept := func(id string, waited time.Duration) {
		job := c.job(id, definer.Step{Count: 1, Need: need, Estimate: time.Hour})
		job.Accepted = c.wall.Add(-waited)
		job.Queue.Policy = &definer.Policy{Decide: 49 * time.Millisecond, Each: 700 * time.Microsecond, Validity: 2500 * time.Millisecond}
		c.accept(job)
	}
	for n := range inFront {
		accept(fmt.Sprintf("in-front-%02d", n), time.Minute)
	}
	accept("last", 0)
	var questions []pendingQuestion
	for began, ended := c.now, 1; c.now.Sub(began) < limit; {
		for _, start := range c.started {
			c.run(start)
			if start.Order.Task.Job == "last" {
				return
			}
		}
		c.started = nil
		c.advance(20 * time.Millisecond)
		if c.now.Sub(began) > time.Duration(ended)*pause {
			c.endRun(runs[ended].Target.ID, runs[ended].Order.Task, runs[ended].Order.Run, definer.EndDone)
			ended++
		}
		remaining := questions[:0]
		for _, question := range questions {
			if question.at > c.now {
				remaining = append(remaining, question)

				continue
			}
			ask := question.ask
			var tickets []definer.Ticket
			for _, id := range ask.Endpoints {
				if admitted(ask.Job, id) {
					tickets = append(tickets, definer.Ticket{Endpoint: id, Value: "t"})
				}
			}
			c.planner.PolicyAnswered(&ask, PolicyAnswer{Answered: true, Tickets: tickets, Arrived: c.now}, c.now)
		}
		questions = remaining
		if id := fmt.Sprintf("new-%v", c.now.Sub(began)); arrivals {
			accept(id, time.Minute)
		}
		c.plan()
		for _, ask := range c.takeAsked() {
			questions = append(questions, pendingQuestion{ask, c.now.Add(ask.DecisionTime)})
		}
	}
	t.Errorf("the last step has not started after %v, in which a run has ended every %v", limit, pause)
}

// TestPrefetchLeavesThePolicyToOthers guards against a full cell whose waiting steps keep
// the instances busy with questions about room that is not there.
func TestPrefetchLeavesThePolicyToOthers(t *testing.T) {
	const limit = 10 * time.Second
	for _, jobs := range []int{5, 200} {
		t.Run(fmt.Sprintf("%d-jobs", jobs), func(t *testing.T) {
			w := newStandingWork(t, 0, 20*time.Millisecond)
			w.planner.Configure(&definer.Configuration{Routes: testRoutes})
			w.runTime = time.Hour
			w.fill()
			w.acceptJobs(jobs)
			asked := time.Duration(0)
			for began := w.now; w.now.Sub(began) < limit; {
				w.advance(w.interval)
				w.answerQuestions()
				w.plan()
				for _, ask := range w.takeAsked() {
					w.ask(ask)
					asked += ask.DecisionTime
				}
			}
			if asked > limit {
				t.Errorf("the questions of %v take %v of the instances' time, want no more than one instance has", limit, asked)
			}
			if bound := jobs * int(1+limit/(w.policy.Validity-2*ticketMargin)); w.questions > bound {
				t.Errorf("%d questions, want at most %d with tickets that are valid for %v", w.questions, bound, w.policy.Validity)
			}
		})
	}
}
