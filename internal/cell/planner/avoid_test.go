package planner

import (
	"fmt"
	"testing"
	"time"

	"gitlab.com/greengagewall/greengagewall/internal/cell/definer"
	"gitlab.com/greengagewall/greengagewall/internal/domain/modeler"
)

// maxIdleTime is how long a task may have nothing running while there is room for it.
const maxIdleTime = 3 * time.Second

// failRun lets the only run on an endpoint fail.
func (c *testCell) failRun(id string) {
	c.Helper()
	if len(c.running[id]) != 1 {
		c.Fatalf("%d runs on %s, want one", len(c.running[id]), id)
	}
	row := c.running[id][0]
	c.endRun(id, row.Task, row.Run, definer.EndFailed)
}

// expectStartWithin expects one start, on the endpoint, within the time.
func (c *testCell) expectStartWithin(d time.Duration, id string) {
	c.Helper()
	for began := c.now; len(c.started) == 0 && c.now.Sub(began) < d; {
		c.advance(100 * time.Millisecond)
		c.plan()
	}
	if len(c.started) != 1 || c.started[0].Target.ID != id {
		c.Errorf("starts %+v within %v, want one on %s", c.started, d, id)
	}
}

// TestFailedTaskReturnsToSoleEndpoint guards against a task that never starts again,
// because the only endpoint that may run it is the one on which it failed (review/4).
func TestFailedTaskReturnsToSoleEndpoint(t *testing.T) {
	for name, prepare := range map[string]func(*testCell, *definer.Job){
		"only one has the label":   func(_ *testCell, job *definer.Job) { job.Steps[0].Requires = "r1-0" },
		"a lasting task":           func(_ *testCell, job *definer.Job) { job.Steps[0].Requires, job.Steps[0].LongRunning = "r1-0", true },
		"the others are too small": func(_ *testCell, job *definer.Job) { job.Steps[0].Need.Millis = 20000 },
		"the others are of another service": func(c *testCell, job *definer.Job) {
			c.planner.Configure(&definer.Configuration{Routes: append([]definer.Route{{Queue: definer.Queue{Service: "sole"}}}, testRoutes...)})
			job.Queue.Service = "sole"
		},
		"the policy has refused the others": func(_ *testCell, job *definer.Job) {
			job.Queue.Policy = &definer.Policy{Validity: time.Minute}
		},
		"the others are full": func(c *testCell, _ *definer.Job) {
			for n := range 2 {
				full := simpleStep(1)
				full.Need.Millis, full.Requires, full.LongRunning = 16000, fmt.Sprint("r1-", n+1), true
				c.accept(c.job(fmt.Sprint("full", n), full))
			}
			c.planAndRun()
		},
		"the others leave": func(c *testCell, _ *definer.Job) {
			c.announceDrain("e001", time.Minute)
			c.announceDrain("e002", time.Minute)
		},
	} {
		t.Run(name, func(t *testing.T) {
			c := newCell(t, 3)
			job := c.job("a", simpleStep(1))
			prepare(c, &job)
			sole := c.listing("e000")
			sole.Service, sole.Capacity.Millis = job.Queue.Service, max(16000, job.Steps[0].Need.Millis)
			c.planner.UpdateListing(sole, c.now)
			c.accept(job)
			c.plan()
			for _, ask := range c.takeAsked() {
				c.planner.PolicyAnswered(&ask, PolicyAnswer{Answered: true, Tickets: []definer.Ticket{{Endpoint: "e000", Value: "t"}}, Arrived: c.now}, c.now)
				c.plan()
			}
			for _, start := range c.started {
				c.run(start)
			}
			c.started = nil
			c.failRun("e000")
			c.expectStartWithin(maxIdleTime, "e000")
		})
	}
}

// TestFailedTaskWaitsForOtherEndpoint guards against attempts that are used up on one
// endpoint while another one that may run the task is about to have room.
func TestFailedTaskWaitsForOtherEndpoint(t *testing.T) {
	c := newCell(t, 2)
	full := simpleStep(1)
	full.Need.Millis, full.Requires = 16000, "r1-1"
	c.accept(c.job("full", full))
	c.planAndRun()
	// The second task of the step has not failed, so it does not wait.
	pair := simpleStep(2)
	pair.Need.Millis = 10000
	c.accept(c.job("a", pair))
	c.planAndRun()
	c.failRun("e000")
	c.plan()
	if len(c.started) != 1 || c.started[0].Order.Task.Index != 1 {
		t.Fatalf("starts %+v after a failure, want one of the other task", c.started)
	}
	c.run(c.started[0])
	c.started = nil
	row := c.running["e000"][0]
	c.endRun("e000", row.Task, row.Run, definer.EndDone)
	c.plan()
	if len(c.started) != 0 {
		t.Errorf("starts %+v right after a failure, want none on the same endpoint", c.started)
	}
	other := c.running["e001"][0]
	c.endRun("e001", other.Task, other.Run, definer.EndDone)
	c.expectStartWithin(200*time.Millisecond, "e001")
}

// TestNewLifeIsNotAvoided guards against a task that keeps away from an endpoint that
// has started again since its run failed there.
func TestNewLifeIsNotAvoided(t *testing.T) {
	c := newCell(t, 2)
	full := simpleStep(1)
	full.Need.Millis, full.Requires = 16000, "r1-1"
	c.accept(c.job("full", full))
	c.accept(c.job("a", simpleStep(1)))
	c.planAndRun()
	c.failRun("e000")
	c.born["e000"], c.running["e000"], c.ended["e000"] = 2, nil, nil
	c.report("e000")
	c.plan()
	if len(c.started) != 1 {
		t.Errorf("%d starts on a new life of the endpoint, want 1", len(c.started))
	}
}

// failJobs lets the first run of several jobs that require the label fail on an endpoint.
func (c *testCell) failJobs(count int, id, label string) {
	for n := range count {
		step := simpleStep(1)
		step.Requires = label
		job := c.job(fmt.Sprint("poison", n), step)
		job.Queue.MaxAttempts = 1
		c.accept(job)
		c.planAndRun()
		c.failRun(id)
	}
}

// TestQuarantineOfSoleEndpointIsShort guards against tasks that wait for the end of a
// long quarantine, because the only endpoint that may run them is in it.
func TestQuarantineOfSoleEndpointIsShort(t *testing.T) {
	for name, gang := range map[string]bool{"task": false, "gang": true} {
		t.Run(name, func(t *testing.T) {
			c := newCell(t, 3)
			c.failJobs(quarantineThreshold, "e000", "r1-0")
			e := c.planner.endpoints["e000"]
			e.quarantine, e.quarantinedUntil = maxQuarantine, c.now.Add(maxQuarantine)
			step := simpleStep(1)
			step.Gang = gang
			if !gang {
				step.Requires = "r1-0"
			} else {
				step.Count, step.Need = 3, modeler.Resources{Millis: 16000, Memory: gib}
			}
			c.accept(c.job("a", step))
			c.plan()
			if len(c.started) != 0 {
				t.Fatalf("%d starts right after the failures, want none", len(c.started))
			}
			for began := c.now; len(c.started) == 0 && c.now.Sub(began) < maxIdleTime; {
				c.advance(100 * time.Millisecond)
				c.plan()
			}
			if len(c.started) != step.Count {
				t.Errorf("%d starts within %v, want %d", len(c.started), maxIdleTime, step.Count)
			}
		})
	}
}

// TestFurtherFailuresDoNotProlongTheWait guards against tasks that wait for as long as
// other tasks fail now and then on the only endpoint that may run them.
func TestFurtherFailuresDoNotProlongTheWait(t *testing.T) {
	c := newCell(t, 3)
	const failing = 5
	step := definer.Step{Count: 1, Need: modeler.Resources{Millis: 1000}, Requires: "r1-0", LongRunning: true}
	for n := range failing {
		c.accept(c.job(fmt.Sprint("failing", n), step))
	}
	c.planAndRun()
	e := c.planner.endpoints["e000"]
	e.consecutiveFailures = quarantineThreshold
	began := c.now
	for n := range failing {
		c.endRun("e000", definer.TaskName{Job: fmt.Sprint("failing", n)}, 1, definer.EndFailed)
		if n == 0 {
			c.accept(c.job("a", step))
		}
		for range 9 {
			c.advance(100 * time.Millisecond)
			c.plan()
		}
	}
	if len(c.started) == 0 {
		t.Errorf("no start within %v in which other tasks have failed", c.now.Sub(began))
	}
}

// TestQuarantineHoldsWhileOthersMayRun guards against work on an endpoint that fails
// all of it, while another endpoint may run it and is full.
func TestQuarantineHoldsWhileOthersMayRun(t *testing.T) {
	c := newCell(t, 2)
	full := simpleStep(1)
	full.Need.Millis, full.Requires, full.LongRunning = 16000, "r1-1", true
	c.accept(c.job("full", full))
	c.planAndRun()
	c.failJobs(quarantineThreshold, "e000", "r1-0")
	e := c.planner.endpoints["e000"]
	e.quarantine, e.quarantinedUntil = maxQuarantine, c.now.Add(maxQuarantine)
	c.accept(c.job("a", simpleStep(1)))
	for range 50 {
		c.advance(100 * time.Millisecond)
		c.plan()
	}
	if len(c.started) != 0 {
		t.Errorf("starts %+v in a quarantine, want none", c.started)
	}
}
