package planner

import (
	"fmt"
	"testing"
	"time"

	"gitlab.com/greengagewall/greengagewall/internal/cell/definer"
	"gitlab.com/greengagewall/greengagewall/internal/domain/modeler"
)

// takeStanding returns the reasons of the notes about jobs that stand, by job.
func (c *testCell) takeStanding() map[string]string {
	reasons := map[string]string{}
	for _, note := range c.planner.Notes() {
		if note.Event == "job stands" {
			reasons[note.Job] = fmt.Sprint(note.Args[1])
		}
	}

	return reasons
}

// standFor plans in rounds for d and returns the reason that the last note gives for job "a".
func (c *testCell) standFor(d time.Duration, silent ...string) string {
	reason := ""
	const interval = 100 * time.Millisecond
	for range int(d / interval) {
		c.advance(interval, silent...)
		c.plan()
		if noted := c.takeStanding()["a"]; noted != "" {
			reason = noted
		}
	}

	return reason
}

// admitAll answers the questions so far and admits the endpoints for which admit reports true.
func (c *testCell) answerAll(admit func(id string) bool) {
	for _, ask := range c.takeAsked() {
		var tickets []definer.Ticket
		for _, id := range ask.Endpoints {
			if admit(id) {
				tickets = append(tickets, definer.Ticket{Endpoint: id, Value: "ticket"})
			}
		}
		c.planner.PolicyAnswered(&ask, PolicyAnswer{Answered: true, Tickets: tickets, Arrived: c.now}, c.now)
	}
}

// TestStandingJobSaysWhy guards against a job with nothing at work whose cause the log
// does not show.
func TestStandingJobSaysWhy(t *testing.T) {
	const watched = 3 * time.Second
	policy := &definer.Policy{Decide: 50 * time.Millisecond, Each: time.Millisecond, Validity: 500 * time.Millisecond}
	withPolicy := func(c *testCell, step definer.Step) {
		job := c.job("a", step)
		job.Queue.Policy = policy
		c.accept(job)
	}
	fill := func(c *testCell) {
		c.accept(c.job("other", definer.Step{Count: 2, Need: modeler.Resources{Millis: 16000}, Estimate: time.Minute}))
		c.planAndRun()
	}
	for want, stand := range map[standReason]func(*testCell) string{
		standNoEndpoint: func(c *testCell) string {
			c.accept(c.job("a", definer.Step{Count: 1, Requires: "no endpoint has it", Estimate: time.Second}))

			return c.standFor(watched)
		},
		standNoRoom: func(c *testCell) string {
			fill(c)
			c.accept(c.job("a", simpleStep(1)))

			return c.standFor(watched)
		},
		standLimit: func(c *testCell) string {
			c.planner.Configure(&definer.Configuration{Routes: testRoutes, Accounts: []definer.Account{{Name: "account", Limit: modeler.Resources{Millis: 1000}}}})
			c.accept(c.job("a", simpleStep(1)))

			return c.standFor(watched)
		},
		standQuestionOut: func(c *testCell) string {
			withPolicy(c, simpleStep(1))

			return c.standFor(watched - time.Second)
		},
		standNotAdmitted: func(c *testCell) string {
			withPolicy(c, simpleStep(1))
			c.plan()
			c.answerAll(func(string) bool { return false })

			return c.standFor(watched)
		},
		standTickets: func(c *testCell) string {
			fill(c)
			step := simpleStep(4)
			step.Gang = true
			withPolicy(c, step)
			c.plan()
			c.answerAll(func(string) bool { return true })
			c.standFor(2 * time.Second)
			c.takeAsked()
			c.finishAllRuns()
			c.planner.jobs["a"].occurrences[0].steps[0].admission.askBlockedUntil = 0
			c.planner.standingNotedAt = 0
			ps := &pass{planner: c.planner, now: c.now, takeoverSettled: true}
			ps.findUsable()
			c.planner.noteStanding(ps, c.now)

			return c.takeStanding()["a"]
		},
		standNoMajority: func(c *testCell) string {
			c.accept(c.job("a", simpleStep(1)))

			return c.standFor(2*watched, "e000", "e001")
		},
	} {
		t.Run(string(want), func(t *testing.T) {
			if got := stand(newCell(t, 2)); got != string(want) {
				t.Errorf("reason %q, want %q", got, want)
			}
		})
	}
}

// TestStandingJobWaitsForTakeover guards against a job that stands after a takeover
// without a note that says so.
func TestStandingJobWaitsForTakeover(t *testing.T) {
	c := newRestoredCell(t)
	c.listEndpoint("e000")
	c.listEndpoint("e001")
	if got := c.standFor(2*time.Second, "e002"); got != string(standTakeover) {
		t.Errorf("reason %q, want %q", got, standTakeover)
	}
}

// TestUnsettledRunIsNamed guards against a job that waits for the end of a lost run
// without a note that says so.
func TestUnsettledRunIsNamed(t *testing.T) {
	c := newCell(t, 3)
	c.accept(c.job("a", simpleStep(1)))
	c.plan()
	if len(c.started) != 1 {
		t.Fatalf("%d starts, want 1", len(c.started))
	}
	if got := c.standFor(3 * time.Second); got != string(standRunNotOver) {
		t.Errorf("reason %q, want %q", got, standRunNotOver)
	}
}

// TestNotesOfStandingJobsAreBounded guards against a log that grows with the number of
// jobs that stand, and against jobs of one group that no note ever names.
func TestNotesOfStandingJobsAreBounded(t *testing.T) {
	const accounts, jobs, seconds = 9, 5, 20
	c := newCell(t, 1)
	for account := range accounts {
		for n := range jobs {
			job := c.job(fmt.Sprintf("%d-%d", account, n), definer.Step{Count: 1, Requires: "no endpoint has it", Estimate: time.Second})
			job.Account = fmt.Sprint(account)
			c.accept(job)
		}
	}
	noted := map[string]bool{}
	for range seconds {
		c.advance(time.Second)
		c.plan()
		reasons := c.takeStanding()
		if len(reasons) > maxStandingNotes {
			t.Fatalf("%d notes in a second, want at most %d", len(reasons), maxStandingNotes)
		}
		for job := range reasons {
			noted[job] = true
		}
	}
	if want := accounts * jobs; len(noted) != want {
		t.Errorf("%d of %d jobs were named in %d s", len(noted), want, seconds)
	}
}

// TestGangWithTicketsForAPartSaysSo guards against a note which says that a gang is held
// back although the tickets for some of its members have expired.
func TestGangWithTicketsForAPartSaysSo(t *testing.T) {
	c := newCell(t, 2)
	step := definer.Step{Count: 8, Gang: true, Need: modeler.Resources{Millis: 4000}, Estimate: time.Second}
	job := c.job("a", step)
	job.Queue.Policy = &definer.Policy{Decide: 50 * time.Millisecond, Each: time.Millisecond, Validity: time.Minute}
	c.accept(job)
	c.plan()
	c.answerAll(func(string) bool { return true })
	s := c.planner.jobs["a"].occurrences[0].steps[0]
	s.admission.expireTicket(c.planner.endpoints["e001"])
	ps := &pass{planner: c.planner, now: c.now, takeoverSettled: true}
	ps.findUsable()
	if got := ps.standReason(s, ps.viewFor(s)); got != standTickets {
		t.Errorf("reason %q, want %q", got, standTickets)
	}
}
