package planner

import (
	"fmt"
	"testing"
	"time"

	"gitlab.com/greengagewall/greengagewall/internal/cell/definer"
	"gitlab.com/greengagewall/greengagewall/internal/domain/modeler"
)

const (
	slowSpeed   = 0.6
	mediumSpeed = 1.0
	fastSpeed   = 1.6
)

// thirds returns the speed of the n-th endpoint of a cell with a third each of three speeds.
func thirds(n int) float64 { return [...]float64{slowSpeed, mediumSpeed, fastSpeed}[n%3] }

// learnSpeeds gives the endpoints speeds and plans until these count.
func (c *testCell) learnSpeeds(speed func(n int) float64) {
	for round := range 2*speedsPerRanking + 2 {
		for n, e := range c.planner.ordered {
			// Each run that ends changes the speed a little.
			e.speed = speed(n) * (1 + float64(round)*1e-6)
		}
		c.accept(c.job(fmt.Sprintf("learn-%d-%v", round, c.now), definer.Step{Count: 1, Need: modeler.Resources{Millis: 1}, Estimate: time.Second}))
		c.plan()
	}
	for _, start := range c.started {
		c.planner.Cancel(start.Order.Task.Job)
		c.run(start)
		c.endRun(start.Target.ID, start.Order.Task, start.Order.Run, definer.EndStopped)
	}
	c.started = nil
}

// shortJob returns an urgent job with little slack, and batchJob a patient one.
func (c *testCell) shortJob(id string, steps ...definer.Step) definer.Job {
	job := c.job(id, steps...)
	job.Queue.Name, job.Queue.Priority, job.Queue.Stretch, job.Queue.Target = "short", 0, 1.5, 600*time.Millisecond

	return job
}

func (c *testCell) batchJob(id string, steps ...definer.Step) definer.Job {
	job := c.job(id, steps...)
	job.Queue.Name, job.Queue.Priority, job.Queue.Stretch, job.Queue.Target = "batch", 2, 4, 3*time.Second

	return job
}

// startedOn counts the started tasks of a job by the speeds of their endpoints, rounded to tenths.
func (c *testCell) startedOn(job string) map[float64]int {
	counts := map[float64]int{}
	for _, start := range c.started {
		if start.Order.Task.Job == job {
			counts[float64(int(c.planner.endpoints[start.Target.ID].speed*10+0.5))/10]++
		}
	}

	return counts
}

// TestShortWorkFindsFastEndpointsFree guards against batch work that takes the fast
// endpoints, and short urgent work that is late on the slow ones, where packing is better.
func TestShortWorkFindsFastEndpointsFree(t *testing.T) {
	c := newCell(t, 9)
	c.learnSpeeds(thirds)
	c.accept(c.batchJob("batch", simpleStep(11)))
	c.plan()
	if got := c.startedOn("batch"); got[slowSpeed] != 11 {
		t.Errorf("batch tasks by the speed of their endpoints: %v, want all on the slowest", got)
	}
	c.accept(c.shortJob("short", simpleStep(12)))
	c.plan()
	if got := c.startedOn("short"); got[fastSpeed] != 12 {
		t.Errorf("short tasks by the speed of their endpoints: %v, want all on the fastest", got)
	}
	c.accept(c.batchJob("more", simpleStep(13)))
	c.plan()
	if got := c.startedOn("more"); got[slowSpeed] != 1 || got[mediumSpeed] != 12 {
		t.Errorf("further batch tasks by the speed of their endpoints: %v, want the rest of the slow ones and the medium ones", got)
	}
}

// TestBatchWorkGetsFasterWithLittleTimeLeft guards against work that waited and then misses
// its objective on a slow endpoint.
func TestBatchWorkGetsFasterWithLittleTimeLeft(t *testing.T) {
	c := newCell(t, 9)
	c.learnSpeeds(thirds)
	step := simpleStep(4)
	step.Estimate = 3 * time.Second
	job := c.batchJob("batch", step)
	job.Accepted = c.wall.Add(-9 * time.Second)
	c.accept(job)
	c.plan()
	if got := c.startedOn("batch"); got[fastSpeed] != 4 {
		t.Errorf("tasks of 3 s with 6 s left, by the speed of their endpoints: %v, want all on the fastest", got)
	}
}

// TestGangOfLikeSpeed guards against a gang that occupies fast endpoints while it runs at the
// pace of a slow one, and against one with little slack that waits for slow members.
func TestGangOfLikeSpeed(t *testing.T) {
	for _, test := range []struct {
		name string
		job  func(c *testCell, gang definer.Step) definer.Job
		want float64
	}{
		{"little-slack", func(c *testCell, gang definer.Step) definer.Job { return c.shortJob("gang", gang) }, mediumSpeed},
		{"much-slack", func(c *testCell, gang definer.Step) definer.Job { return c.batchJob("gang", gang) }, slowSpeed},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := newCell(t, 9)
			c.learnSpeeds(thirds)
			// Room for 4 of the 8 members is left on the fast endpoints.
			c.accept(c.shortJob("filler", simpleStep(8)))
			c.plan()
			gang := simpleStep(8)
			gang.Gang = true
			c.accept(test.job(c, gang))
			c.plan()
			if got := c.startedOn("gang"); got[test.want] != 8 {
				t.Errorf("members by the speed of their endpoints: %v, want all at %v", got, test.want)
			}
		})
	}
}

// TestSlowedEndpointsGetNoLongWork guards against work that starts on endpoints that have
// become so slow that it would be useless when it ends, while others soon have room, and
// against work that waits for faster endpoints where there are none.
func TestSlowedEndpointsGetNoLongWork(t *testing.T) {
	const slowedSpeed = 0.1
	c := newCell(t, 10)
	c.learnSpeeds(func(n int) float64 {
		if n < 2 {
			return slowedSpeed
		}

		return 1
	})
	// The endpoints with the usual speed have no room left.
	c.accept(c.shortJob("filler", simpleStep(32)))
	c.plan()
	if got := c.startedOn("filler"); got[1] != 32 {
		t.Fatalf("tasks by the speed of their endpoints: %v, want all on the usual ones", got)
	}
	filler := c.started[0]
	long := simpleStep(1)
	long.Estimate = 10 * time.Second
	c.accept(c.shortJob("long", long))
	c.plan()
	if got := c.startedOn("long"); len(got) > 0 {
		t.Fatalf("a task of 10 s started on endpoints by speed %v", got)
	}
	c.run(filler)
	c.endRun(filler.Target.ID, filler.Order.Task, filler.Order.Run, definer.EndDone)
	c.plan()
	if got := c.startedOn("long"); len(got) != 1 || got[slowedSpeed] > 0 {
		t.Errorf("the task started on endpoints by speed %v once a usual one had room", got)
	}
	long.Requires = "only-slow"
	for _, e := range c.planner.ordered[:2] {
		e.Labels = append(e.Labels, "only-slow")
	}
	c.accept(c.shortJob("sole", long))
	c.plan()
	if got := c.startedOn("sole"); got[slowedSpeed] != 1 {
		t.Errorf("a task that only slow endpoints may run started on endpoints by speed %v", got)
	}
}

// TestLikeSpeedsChangeNothing guards against a preference where the speeds of a service
// differ by less than a fifth, by chance only, or are not known.
func TestLikeSpeedsChangeNothing(t *testing.T) {
	for _, test := range []struct {
		name  string
		speed func(round, n int) float64
		want  bool
	}{
		{"unknown", func(int, int) float64 { return 1 }, false},
		{"alike", func(_, n int) float64 { return 1 + 0.018*float64(n%10) }, false},
		{"chance", func(round, n int) float64 { return 1 + 0.2*float64((n*7+round/speedsPerRanking*3)%10-5)/5 }, false},
		{"thirds", func(_, n int) float64 { return thirds(n) }, true},
		{"fifth-slow", func(_, n int) float64 { return 1 - 0.4*float64(min(n%5, 1)^1) }, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := newCell(t, 30)
			for round := range 6 * speedsPerRanking {
				for n, e := range c.planner.ordered {
					e.speed = test.speed(round, n)
					if test.name != "unknown" {
						e.speed *= 1 + float64(round)*1e-6
					}
				}
				c.accept(c.batchJob(fmt.Sprintf("round-%d", round), definer.Step{Count: 1, Need: modeler.Resources{Millis: 1}, Estimate: time.Second}))
				c.plan()
			}
			if got := c.planner.speedsOf("service").varied; got != test.want {
				t.Errorf("the speeds differ: %v, want %v", got, test.want)
			}
		})
	}
}

// TestQuestionsNameSuitedEndpoints guards against questions about endpoints that do not suit
// the step, and against ones about more endpoints than before or about suited ones only.
func TestQuestionsNameSuitedEndpoints(t *testing.T) {
	policy := &definer.Policy{Decide: 10 * time.Millisecond, Each: time.Millisecond, Validity: 1500 * time.Millisecond}
	asked := func(c *testCell, job definer.Job) map[float64]int {
		job.Queue.Policy = policy
		c.asked = nil
		c.accept(job)
		c.plan()
		counts := map[float64]int{}
		for _, ask := range c.takeAsked() {
			for _, id := range ask.Endpoints {
				counts[float64(int(c.planner.endpoints[id].speed*10+0.5))/10]++
			}
		}

		return counts
	}
	c := newCell(t, 90)
	c.learnSpeeds(thirds)
	// Two tasks are expected to need 4 endpoints and 4 spare ones; 10 take twice the time of the decision.
	short, batch := asked(c, c.shortJob("short", simpleStep(2))), asked(c, c.batchJob("batch", simpleStep(2)))
	if short[fastSpeed] < 5 || short[fastSpeed] == 10 || short[slowSpeed]+short[mediumSpeed]+short[fastSpeed] != 10 {
		t.Errorf("a short step asked about endpoints with the speeds %v, want 10, half of them fast", short)
	}
	if batch[slowSpeed] < 5 || batch[slowSpeed] == 10 || batch[slowSpeed]+batch[mediumSpeed]+batch[fastSpeed] != 10 {
		t.Errorf("a batch step asked about endpoints with the speeds %v, want 10, half of them slow", batch)
	}
	c = newCell(t, 240)
	c.learnSpeeds(thirds)
	gang := simpleStep(8)
	gang.Gang = true
	if got := asked(c, c.batchJob("gang", gang)); got[slowSpeed] != 80 || got[mediumSpeed]+got[fastSpeed] != 20 {
		t.Errorf("a gang asked about endpoints with the speeds %v, want 100, the slow ones among them", got)
	}
}

// TestQueueOnSlowEndpointsTeachesTheirSpeed guards against a queue whose work all runs on slow
// endpoints, and which therefore takes their speed for the usual one.
func TestQueueOnSlowEndpointsTeachesTheirSpeed(t *testing.T) {
	c := newCell(t, 9)
	c.learnSpeeds(thirds)
	mean := c.planner.speedsOf("service").mean
	for n := range 60 {
		c.accept(c.batchJob(fmt.Sprintf("batch-%d", n), simpleStep(1)))
		c.plan()
		start := c.started[len(c.started)-1]
		c.run(start)
		c.planner.StartAnswered(start.Target.ID, start.Order, definer.VerdictDone, c.now)
		c.advance(time.Duration(float64(time.Second) * mean / slowSpeed))
		c.endRun(start.Target.ID, start.Order.Task, start.Order.Run, definer.EndDone)
	}
	for n, e := range c.planner.ordered {
		if thirds(n) == slowSpeed && e.speed > (slowSpeed+mediumSpeed)/2 {
			t.Errorf("endpoint %s of speed %v counts as one of speed %v", e.ID, slowSpeed, e.speed)
		}
	}
}
