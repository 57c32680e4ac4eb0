package planner

import (
	"testing"
	"time"

	"gitlab.com/greengagewall/greengagewall/internal/cell/definer"
)

// TestEndedTaskLeavesRoomUnderEndpointLimit guards against a step that stands on an idle
// cell because the tasks that have ended still count against its limit for each endpoint.
func TestEndedTaskLeavesRoomUnderEndpointLimit(t *testing.T) {
	const endpoints, tasks, limit = 2, 7, 1
	c := newCell(t, endpoints)
	step := simpleStep(tasks)
	step.PerEndpoint = limit
	c.accept(c.job("a", step))
	for round := range tasks {
		c.plan()
		for _, start := range c.started {
			c.run(start)
		}
		c.started = nil
		for id, running := range c.running {
			if len(running) > limit {
				t.Fatalf("%d tasks at once on %s in round %d, want at most %d", len(running), id, round, limit)
			}
		}
		c.finishAllRuns()
	}
	if got := c.state(); got != definer.JobCompleted {
		t.Errorf("state %q after %d rounds on idle endpoints, want %q", got, tasks, definer.JobCompleted)
	}
}

// TestAdoptedRunCountsUnderEndpointLimit guards against a new owner that starts a task
// beside one that the previous owner started, beyond the limit for each endpoint.
func TestAdoptedRunCountsUnderEndpointLimit(t *testing.T) {
	c := newCell(t, 0)
	c.planner.RestoreEndpoint("e000", c.listing("e000"))
	step := simpleStep(2)
	step.PerEndpoint = 1
	c.planner.Restore(c.job("a", step), Progress{}, c.now, c.wall)
	first := definer.TaskName{Job: "a"}
	c.running["e000"] = []definer.RunningTask{{Task: first, Run: 1}}
	c.listEndpoint("e000")
	c.plan()
	if len(c.started) != 0 {
		t.Fatalf("%d starts beside an adopted run, want 0", len(c.started))
	}
	c.endRun("e000", first, 1, definer.EndDone)
	c.plan()
	if len(c.started) != 1 {
		t.Errorf("%d starts after the end of the adopted run, want 1", len(c.started))
	}
}

// TestStoppingRunCountsUnderEndpointLimit guards against a start beside a run that is
// being stopped, beyond the limit for each endpoint, and against a limit that a run
// without a known end uses up for good.
func TestStoppingRunCountsUnderEndpointLimit(t *testing.T) {
	c := newCell(t, 1)
	step := simpleStep(2)
	step.PerEndpoint = 1
	c.accept(c.job("a", step))
	c.plan()
	if len(c.started) != 1 {
		t.Fatalf("%d starts, want 1", len(c.started))
	}
	start := c.started[0]
	c.started = nil
	c.planner.StartAnswered("e000", start.Order, definer.VerdictUnknown, c.now)
	c.standFor(startFailurePause + time.Second)
	if len(c.started) != 0 {
		t.Fatalf("%d starts beside a run that may still begin, want 0", len(c.started))
	}
	c.planner.StopAnswered("e000", definer.StopOrder{Task: start.Order.Task, Run: start.Order.Run}, c.now)
	c.standFor(time.Second)
	if len(c.started) != 1 {
		t.Errorf("%d starts after the stop, want 1", len(c.started))
	}
}
