package planner

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"gitlab.com/greengagewall/greengagewall/internal/cell/definer"
)

// startOne accepts a job "a" with a single task unless it is known, starts the
// task and returns the start.
func (c *testCell) startOne() StartCmd {
	c.accept(c.job("a", simpleStep(1)))
	c.plan()
	if len(c.started) != 1 {
		c.Fatalf("%d starts of one task", len(c.started))
	}
	first := c.started[0]
	c.run(first)
	c.started = nil

	return first
}

// expectDoneOnce reports an error unless job "a" is completed and nothing was started.
func (c *testCell) expectDoneOnce() {
	c.Helper()
	if len(c.started) != 0 {
		c.Errorf("%d starts after the task had ended as done", len(c.started))
	}
	if diff := cmp.Diff(definer.JobCompleted, c.state()); diff != "" {
		c.Errorf("state after the end that the endpoint listed (-want +got):\n%s", diff)
	}
}

// TestFrozenOwnerDoesNotJudgeLeases guards against a second run of a task that
// ended while its owner was frozen (seen as TWICE on ppso-brine, owner-struck-twice).
func TestFrozenOwnerDoesNotJudgeLeases(t *testing.T) {
	c := newCell(t, 3)
	first := c.startOne()
	c.advance(100 * time.Millisecond)
	c.now, c.wall = c.now.Add(6*time.Second), c.wall.Add(6*time.Second)
	c.planner.Tick(c.now, c.wall)
	for id := range c.born {
		if id != first.Target.ID {
			c.report(id)
		}
	}
	c.plan()
	c.endRun(first.Target.ID, first.Order.Task, first.Order.Run, definer.EndDone)
	c.advance(100 * time.Millisecond)
	c.plan()
	c.expectDoneOnce()
}

// TestEndOutweighsWrittenOffRun guards against a second run of a task whose end
// is listed by an endpoint that did not answer until its lease had expired.
func TestEndOutweighsWrittenOffRun(t *testing.T) {
	c := newCell(t, 3)
	first := c.startOne()
	lost := first.Target.ID
	for range 60 {
		c.advance(100*time.Millisecond, lost)
	}
	c.endRun(lost, first.Order.Task, first.Order.Run, definer.EndDone)
	c.plan()
	c.expectDoneOnce()
}

// TestFailedEndOfWrittenOffRunCounts guards against more attempts than the queue
// allows, when the failures are listed after their runs were written off.
func TestFailedEndOfWrittenOffRunCounts(t *testing.T) {
	c := newCell(t, 3)
	for range 2 {
		start := c.startOne()
		for range 60 {
			c.advance(100*time.Millisecond, start.Target.ID)
		}
		c.endRun(start.Target.ID, start.Order.Task, start.Order.Run, definer.EndFailed)
		c.storeProgress()
	}
	if diff := cmp.Diff(definer.JobFailed, c.state()); diff != "" {
		t.Errorf("state after two failed attempts of two (-want +got):\n%s", diff)
	}
}

// TestJudgementOfPreviousOwnerIsNotInherited guards against a second run of a
// task that an earlier owner took for lost (seen as TWICE on ppso-brine,
// owner-struck-twice).
func TestJudgementOfPreviousOwnerIsNotInherited(t *testing.T) {
	c := newRestoredCell(t)
	name := definer.TaskName{Job: "a"}
	previous := newCell(t, 1)
	first := previous.startOne()
	for range 60 {
		previous.advance(100*time.Millisecond, first.Target.ID)
	}
	for _, observation := range previous.planner.Unstored() {
		c.planner.Inherit(observation, 1, c.now)
	}
	c.running["e001"] = []definer.RunningTask{{Task: name, Run: 1}}
	for id := range c.born {
		c.listEndpoint(id)
	}
	c.plan()
	if len(c.stopped) != 0 {
		t.Errorf("%d stops of a run that still runs", len(c.stopped))
	}
	c.endRun("e001", name, 1, definer.EndDone)
	c.plan()
	c.expectDoneOnce()
}

// TestRunNumberIsNotGivenTwice guards against a run number that the next owner
// gives again: its numbers begin with its term, which lies above the table's end.
func TestRunNumberIsNotGivenTwice(t *testing.T) {
	settings := testSettings
	settings.Term = 1
	c := newCell(t, 0)
	c.planner = New(settings)
	c.planner.Configure(&definer.Configuration{Routes: testRoutes})
	for _, id := range []string{"e000", "e001", "e002"} {
		c.listEndpoint(id)
	}
	first := c.startOne()
	c.endRun(first.Target.ID, first.Order.Task, first.Order.Run, definer.EndFailed)
	c.plan()
	if len(c.started) != 0 {
		t.Errorf("run %d started although an owner whose claim is the next record gives that number", c.started[0].Order.Run)
	}
	c.storeProgress()
	c.plan()
	if len(c.started) != 1 || c.started[0].Order.Run != 2 {
		t.Errorf("starts %+v once the table has grown, want one with run 2", c.started)
	}
}

// TestInheritedGangAsksBeforeTakeoverIsSettled guards against gangs that all ask their
// policies at once when a takeover is settled, and wait for the answers then.
func TestInheritedGangAsksBeforeTakeoverIsSettled(t *testing.T) {
	step := simpleStep(2)
	step.Gang = true
	job := newCell(t, 0).job("a", step)
	job.Queue.Policy = gangPolicy
	c := restoredCell(t, job, Progress{})
	c.listEndpoint("e000")
	c.listEndpoint("e001")
	c.plan()
	if len(c.asked) != 1 {
		t.Fatalf("%d questions before the takeover is settled, want 1", len(c.asked))
	}
	c.planAndRun()
	if len(c.running["e000"])+len(c.running["e001"]) != 0 {
		t.Fatal("inherited gang started before all endpoints had answered")
	}
	c.listEndpoint("e002")
	c.storeProgress()
	c.plan()
	if len(c.started) != 2 {
		t.Errorf("%d tasks started once the takeover is settled, want 2", len(c.started))
	}
}
