package planner

import (
	"fmt"
	"testing"
	"time"

	"gitlab.com/greengagewall/greengagewall/internal/cell/definer"
	"gitlab.com/greengagewall/greengagewall/internal/domain/modeler"
)

// BenchmarkPlanBacklog measures a round of placement on a full cell with a
// backlog. An owner whose rounds take too long misses its heartbeats.
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
			c.planAndRun()
			b.ReportAllocs()
			b.ResetTimer()
			for range b.N {
				c.now = c.now.Add(10 * time.Millisecond)
				for _, e := range c.planner.endpoints {
					e.lastAnswered = c.now
				}
				c.planner.Plan(c.now)
				c.planner.Commands()
			}
		})
	}
}

// BenchmarkPlanFull measures a round of placement on a full cell in which the
// policies have answered and tasks of all kinds wait for room.
func BenchmarkPlanFull(b *testing.B) {
	for _, size := range []struct{ endpoints, jobs int }{{48, 100}, {350, 400}, {350, 1000}} {
		b.Run(fmt.Sprintf("%d-endpoints-%d-jobs", size.endpoints, size.jobs), func(b *testing.B) {
			c := newCell(b, size.endpoints)
			policy := &definer.Policy{Decide: 46 * time.Millisecond, Each: time.Millisecond, Validity: 1500 * time.Millisecond}
			for n := range size.jobs {
				step := definer.Step{Count: 3, Need: modeler.Resources{Millis: 2500, Memory: 7 << 30}, Estimate: time.Second}
				switch n % 5 {
				case 0:
					step = definer.Step{Count: 20, Gang: true, Need: modeler.Resources{Millis: 4500, Memory: 9 << 30}, Estimate: 5 * time.Second}
				case 1:
					step = definer.Step{Count: 25, Checkpointing: true, Need: modeler.Resources{Millis: 1700, Memory: 4 << 30}, Estimate: 3 * time.Second}
				}
				job := c.job(fmt.Sprintf("%016x", n), step)
				job.Queue.Policy = policy
				c.planner.Accept(job, c.now, c.wall)
			}
			b.ReportAllocs()
			b.ResetTimer()
			for n := range b.N {
				c.now = c.now.Add(10 * time.Millisecond)
				for _, e := range c.planner.endpoints {
					e.lastAnswered = c.now
				}
				c.planner.Plan(c.now)
				for _, command := range c.planner.Commands() {
					if ask, ok := command.(AskPolicyCmd); ok {
						c.admitSome(ask, n)
					}
				}
			}
		})
	}
}

// admitSome answers a question by admitting every other endpoint.
func (c *testCell) admitSome(ask AskPolicyCmd, salt int) {
	var tickets []definer.Ticket
	for i, id := range ask.Endpoints {
		if (i+salt)%2 == 0 {
			tickets = append(tickets, definer.Ticket{Endpoint: id, Value: "t"})
		}
	}
	c.planner.PolicyAnswered(ask.Job, ask.Occurrence, ask.Step, ask.Endpoints, tickets, true, c.now)
}
