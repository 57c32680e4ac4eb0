package planner

import (
	"fmt"
	"testing"
	"time"

	"gitlab.com/greengagewall/greengagewall/internal/cell/definer"
	"gitlab.com/greengagewall/greengagewall/internal/domain/modeler"
)

// TestUrgentTasksGetRoomInFullCell replays a cell that small tasks with checkpoints
// fill, with more of them waiting, when a few large urgent tasks arrive. It guards
// against urgent tasks that wait until several runs of an endpoint end at once,
// because each free processor is given to the next small task.
func TestUrgentTasksGetRoomInFullCell(t *testing.T) {
	c := newCell(t, 24)
	small := definer.Step{Count: 120, Checkpointing: true, Need: modeler.Resources{Millis: 4000, Memory: 1 << 30}, Estimate: 10 * time.Second}
	for n := range 2 {
		job := c.job(fmt.Sprintf("%016x", n+1), small)
		job.Queue.Priority = 2
		c.planner.Accept(job, c.now, c.wall)
	}
	c.planAndRun()
	urgent := c.job("00000000000000aa", definer.Step{Count: 3, Need: modeler.Resources{Millis: 8000, Memory: 1 << 30}, Estimate: time.Second})
	urgent.Queue.Name, urgent.Queue.Priority = "urgent", 0
	c.planner.Accept(urgent, c.now, c.wall)
	const limit = 500 * time.Millisecond // The objective leaves the job this long to start.
	started := 0
	for began := c.now; started < urgent.Steps[0].Count; {
		if c.now.Sub(began) > limit {
			t.Fatalf("%d of %d urgent tasks started after %v", started, urgent.Steps[0].Count, limit)
		}
		c.advance(10 * time.Millisecond)
		c.plan()
		for _, stop := range c.stopped {
			c.planner.StopAnswered(stop.Target.ID, stop.Order, c.now)
			c.endRun(stop.Target.ID, stop.Order.Task, stop.Order.Run, definer.EndStopped)
		}
		if len(c.stopped) > maxPreemptedRuns*urgent.Steps[0].Count {
			t.Fatalf("%d runs stopped for %d tasks", len(c.stopped), urgent.Steps[0].Count)
		}
		c.stopped = nil
		for _, start := range c.started {
			if start.Order.Task.Job == urgent.ID {
				started++
			}
			c.run(start)
		}
		c.started = nil
	}
}
