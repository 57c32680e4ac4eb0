package planner

import (
	"fmt"
	"testing"
	"time"

	"gitlab.com/greengagewall/greengagewall/internal/cell/definer"
	"gitlab.com/greengagewall/greengagewall/internal/domain/modeler"
)

// BenchmarkPlanBacklog measures a round of placement on a full cell with a
// backlog, which decides whether an owner keeps up with its heartbeats.
func BenchmarkPlanBacklog(b *testing.B) {
	for _, size := range []struct{ endpoints, jobs int }{{48, 100}, {48, 1000}, {350, 1000}} {
		b.Run(fmt.Sprintf("%d-endpoints-%d-jobs", size.endpoints, size.jobs), func(b *testing.B) {
			c := newCell(b, size.endpoints)
			policy := &definer.Policy{Decide: 46 * time.Millisecond, Each: time.Millisecond, Validity: 1500 * time.Millisecond}
			for n := range size.jobs {
				job := c.job(fmt.Sprintf("%016x", n), definer.Step{Count: 10, Need: modeler.Resources{Millis: 1000, Memory: 1 << 30}, Estimate: 2 * time.Second})
				job.Queue.Policy = policy
				c.planner.Accept(job, c.now, c.wall)
			}
			c.settle()
			b.ReportAllocs()
			b.ResetTimer()
			for range b.N {
				c.now = c.now.Add(10 * time.Millisecond)
				for _, e := range c.planner.endpoints {
					e.answered = c.now
				}
				c.planner.Plan(c.now)
				c.planner.Commands()
			}
		})
	}
}
