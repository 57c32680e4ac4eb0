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
	for _, size := range []struct{ endpoints, jobs int }{{48, 100}, {350, 400}, {350, 1000}, {1100, 300}, {1100, 1000}, {1100, 2000}} {
		b.Run(fmt.Sprintf("%d-endpoints-%d-jobs", size.endpoints, size.jobs), func(b *testing.B) {
			c := newCell(b, size.endpoints)
			policy := &definer.Policy{Decide: 46 * time.Millisecond, Each: time.Millisecond, Validity: 1500 * time.Millisecond}
			for n := range size.jobs {
				job := c.job(fmt.Sprintf("%016x", n), mixedStep(n))
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

// BenchmarkPlanChurn measures a round of placement on a full cell in which, as in a
// cell under load, tasks end all the time and others wait for their room.
func BenchmarkPlanChurn(b *testing.B) {
	for _, size := range []struct{ endpoints, jobs int }{{350, 400}, {1100, 300}, {1100, 1000}, {1100, 2000}} {
		b.Run(fmt.Sprintf("%d-endpoints-%d-jobs", size.endpoints, size.jobs), func(b *testing.B) { benchmarkChurn(b, size.endpoints, size.jobs, false) })
	}
}

// BenchmarkPlanSpeeds measures the same rounds where the endpoints differ in speed.
func BenchmarkPlanSpeeds(b *testing.B) {
	for _, size := range []struct{ endpoints, jobs int }{{350, 400}, {1100, 2000}} {
		b.Run(fmt.Sprintf("%d-endpoints-%d-jobs", size.endpoints, size.jobs), func(b *testing.B) { benchmarkChurn(b, size.endpoints, size.jobs, true) })
	}
}

func benchmarkChurn(b *testing.B, endpoints, jobs int, differ bool) {
	b.Helper()
	const endsPerRound = 15
	c := newCell(b, endpoints)
	policy := &definer.Policy{Decide: 46 * time.Millisecond, Each: time.Millisecond, Validity: 1500 * time.Millisecond}
	accepted := 0
	var running []StartCmd
	round := func() {
		for len(c.planner.readySteps) < jobs {
			job := c.job(fmt.Sprintf("%016x", accepted), mixedStep(accepted))
			job.Queue.Policy = policy
			c.planner.Accept(job, c.now, c.wall)
			accepted++
		}
		c.now = c.now.Add(10 * time.Millisecond)
		for n, e := range c.planner.ordered {
			e.lastAnswered = c.now
			if differ {
				of := c.planner.speedsOf(e.Service)
				e.speed, of.varied, of.top = thirds(n), true, fastSpeed
			}
		}
		c.planner.Plan(c.now)
		for _, command := range c.planner.Commands() {
			switch command := command.(type) {
			case AskPolicyCmd:
				c.admitSome(command, accepted)
			case StartCmd:
				running = append(running, command)
			}
		}
		c.planner.Notes()
	}
	end := func() {
		ended := min(endsPerRound, len(running)/2)
		for _, start := range running[:ended] {
			e := c.planner.endpoints[start.Target.ID]
			if r := e.runs[runKey{start.Order.Task, start.Order.Run}]; r != nil {
				c.planner.runEnded(e, definer.EndedTask{Task: start.Order.Task, Run: start.Order.Run, End: definer.EndDone}, c.now)
			}
		}
		running = running[ended:]
	}
	for range 300 {
		round()
		end()
	}
	b.ReportAllocs()
	b.ResetTimer()
	for range b.N {
		round()
		b.StopTimer()
		end()
		b.StartTimer()
	}
}

// mixedStep returns the n-th step of a mix of gangs, wide steps and small ones.
func mixedStep(n int) definer.Step {
	switch n % 5 {
	case 0:
		return definer.Step{Count: 20, Gang: true, Need: modeler.Resources{Millis: 4500, Memory: 9 << 30}, Estimate: 5 * time.Second}
	case 1:
		return definer.Step{Count: 25, Checkpointing: true, Need: modeler.Resources{Millis: 1700, Memory: 4 << 30}, Estimate: 3 * time.Second}
	default:
		return definer.Step{Count: 3, Need: modeler.Resources{Millis: 2500, Memory: 7 << 30}, Estimate: time.Second}
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
	c.planner.PolicyAnswered(&ask, PolicyAnswer{Answered: true, Tickets: tickets, Arrived: c.now}, c.now)
}
