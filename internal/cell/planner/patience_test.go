package planner

import (
	"testing"
	"time"

	"gitlab.com/greengagewall/greengagewall/internal/cell/definer"
)

// patientJob returns a job of tasks of one quarter of an endpoint with an objective of several
// times its run time.
func (c *testCell) patientJob(id string, count int) definer.Job {
	step := simpleStep(count)
	step.Estimate = 3 * time.Second
	job := c.job(id, step)
	job.Queue.Name, job.Queue.Priority, job.Queue.Stretch = "batch", 2, 4

	return job
}

// wideGang returns a gang that needs three quarters of an endpoint for each task.
func (c *testCell) wideGang(id string, count int) definer.Job {
	step := simpleStep(count)
	step.Gang, step.Estimate = true, 6*time.Second
	step.Need.Millis = 12000
	job := c.job(id, step)
	job.Queue.Name = "gangs"

	return job
}

// newContendedCell returns a cell of eight endpoints of which a running job uses three
// quarters, a gang that waits for the answer of its policy and then for room, and batch work
// that would fit beside the running job.
func newContendedCell(t *testing.T, running func(*testCell) definer.Job) *testCell {
	t.Helper()
	c := newCell(t, 8)
	c.accept(running(c))
	c.planAndRun()
	gang := c.wideGang("gang", 8)
	gang.Queue.Policy = &definer.Policy{Decide: 20 * time.Second, Validity: time.Second}
	c.accept(gang)
	c.advance(10 * time.Millisecond)
	c.plan()
	c.accept(c.patientJob("waiting", 8))

	return c
}

// runningBatch returns a job of the queue of the batch work.
func runningBatch(c *testCell) definer.Job { return c.patientJob("running", 24) }

// runningOther returns a job of another queue.
func runningOther(c *testCell) definer.Job { return c.job("running", simpleStep(24)) }

// startsOf counts the starts of a job.
func (c *testCell) startsOf(job string) int {
	count := 0
	for _, start := range c.started {
		if start.Order.Task.Job == job {
			count++
		}
	}

	return count
}

// TestPatientWorkLeavesRoomToGang guards against batch work that fills each gap in a cell
// while a gang waits for room, although it would meet its objective if it waited.
func TestPatientWorkLeavesRoomToGang(t *testing.T) {
	c := newContendedCell(t, runningBatch)
	c.plan()
	if starts := c.startsOf("waiting"); starts > 0 {
		t.Errorf("%d patient tasks started while a gang waits for room", starts)
	}
}

// TestPatientWorkDoesNotStarve guards against batch work that waits until it misses its
// objective, and against one whose queue comes to a stop.
func TestPatientWorkDoesNotStarve(t *testing.T) {
	c := newContendedCell(t, runningBatch)
	c.advance(9 * time.Second)
	c.plan()
	if starts := c.startsOf("waiting"); starts == 0 {
		t.Error("batch work does not start although its slack has passed")
	}
	c = newContendedCell(t, runningOther)
	c.plan()
	if starts := c.startsOf("waiting"); starts == 0 {
		t.Error("batch work that uses less than its part of the capacity does not start")
	}
}

// TestPatientWorkUsesIdleCell guards against patient work that waits where no urgent work does.
func TestPatientWorkUsesIdleCell(t *testing.T) {
	c := newCell(t, 8)
	c.accept(c.patientJob("a", 32))
	c.plan()
	if starts := c.startsOf("a"); starts != 32 {
		t.Errorf("%d of 32 patient tasks started in an empty cell", starts)
	}
}
