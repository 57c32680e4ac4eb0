package planner

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gitlab.com/greengagewall/greengagewall/internal/cell/definer"
	"gitlab.com/greengagewall/greengagewall/internal/domain/modeler"
)

// fillMemory starts a task on each endpoint but e000 that leaves most processors free
// and hardly any memory, and one on e000 that leaves half of the processors free and
// most of the memory.
func (c *testCell) fillMemory(endpoints int) {
	c.Helper()
	c.accept(c.job("memory", definer.Step{Count: endpoints, PerEndpoint: 1, Need: modeler.Resources{Millis: 100, Memory: 60 * gib}, Estimate: time.Minute}))
	c.planAndRun()
	for _, row := range c.running["e000"] {
		c.endRun("e000", row.Task, row.Run, definer.EndDone)
	}
	c.accept(c.job("processors", definer.Step{Count: 1, Need: modeler.Resources{Millis: 8000, Memory: 8 * gib}, Estimate: time.Minute}))
	c.planAndRun()
	if len(c.running["e000"]) != 1 {
		c.Fatalf("%d tasks on e000, want 1", len(c.running["e000"]))
	}
}

// TestTicketIsRenewedWhereThereIsRoom guards against a step that stands beside room on an
// endpoint that its policy admits, and asks again and again about endpoints with more
// free processors that are full otherwise.
func TestTicketIsRenewedWhereThereIsRoom(t *testing.T) {
	for _, endpoints := range []int{4, 48} {
		t.Run(fmt.Sprintf("%d-endpoints", endpoints), func(t *testing.T) { testRenewal(t, endpoints) })
	}
}

func testRenewal(t *testing.T, endpoints int) {
	t.Helper()
	const tasks = 3
	const limit = 2 * time.Second
	c := newCell(t, endpoints)
	c.fillMemory(endpoints)
	// A step beyond the rate of its account renews no tickets before there is room.
	c.limitRate()
	policy := &slowPolicy{share: 1}
	job := c.job("waiting", definer.Step{Count: tasks, Need: modeler.Resources{Millis: 1000, Memory: 40 * gib}, Estimate: time.Second})
	job.Queue.Policy = &definer.Policy{Decide: 5 * time.Millisecond, Each: time.Millisecond, Validity: 500 * time.Millisecond}
	c.accept(job)
	step := func() {
		c.advance(10 * time.Millisecond)
		policy.answer(c)
		c.plan()
		questions := c.takeAsked()
		for _, question := range questions {
			if ids := slices.Compact(slices.Sorted(slices.Values(question.Endpoints))); len(ids) < len(question.Endpoints) {
				t.Errorf("a question names %d endpoints, %d of them different", len(question.Endpoints), len(ids))
			}
		}
		policy.take(questions, c.now)
	}
	for n := range tasks {
		for began := c.now; len(c.started) == 0; {
			if c.now.Sub(began) > limit {
				t.Fatalf("task %d of %d has not started within %v of free room", n+1, tasks, limit)
			}
			step()
		}
		start := c.started[0]
		c.run(start)
		c.started = nil
		for range 100 {
			step()
		}
		c.endRun(start.Target.ID, start.Order.Task, start.Order.Run, definer.EndDone)
	}
}
