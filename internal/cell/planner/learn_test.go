package planner

import (
	"fmt"
	"testing"
	"time"

	"gitlab.com/greengagewall/greengagewall/internal/cell/definer"
	"gitlab.com/greengagewall/greengagewall/internal/domain/modeler"
)

// learningCell is a cell that learns run times, with the speeds of its endpoints in turn.
type learningCell struct {
	*testCell
	speeds []float64
	jobs   int
}

func newLearningCell(tb testing.TB, endpoints int, speeds ...float64) *learningCell {
	tb.Helper()
	c := &learningCell{testCell: newCell(tb, 0), speeds: speeds}
	settings := testSettings
	settings.Learn = LearnAll
	c.planner = New(settings)
	c.planner.Configure(&definer.Configuration{Routes: testRoutes})
	for n := range endpoints {
		c.listEndpoint(fmt.Sprintf("e%03d", n))
	}

	return c
}

// runJob runs a job with a step of count tasks, whose work is the estimate times the ratio, to its end.
func (c *learningCell) runJob(count int, estimate time.Duration, ratio float64) {
	c.Helper()
	c.jobs++
	id := fmt.Sprintf("job-%04d", c.jobs)
	c.planner.Accept(c.job(id, learnedStep(count, estimate)), c.now, c.wall)
	c.plan()
	starts := c.started
	for _, start := range starts {
		c.run(start)
	}
	c.started = nil
	began := c.now
	for len(starts) > 0 {
		c.advance(50 * time.Millisecond)
		remaining := starts[:0:0]
		for _, start := range starts {
			var n int
			if _, err := fmt.Sscanf(start.Target.ID, "e%d", &n); err != nil {
				c.Fatal(err)
			}
			if c.now.Sub(began) < time.Duration(ratio/c.speeds[n%len(c.speeds)]*float64(estimate)) {
				remaining = append(remaining, start)

				continue
			}
			c.endRun(start.Target.ID, start.Order.Task, start.Order.Run, definer.EndDone)
		}
		starts = remaining
	}
}

func learnedStep(count int, estimate time.Duration) definer.Step {
	return definer.Step{Count: count, Estimate: estimate, Need: modeler.Resources{Millis: 5000, Memory: 1 << 30}}
}

// TestSpeedIsLearned guards against endpoints whose speeds are taken from runs of work whose
// estimates are wrong: all runs take three times their estimate, on endpoints of three speeds.
func TestSpeedIsLearned(t *testing.T) {
	c := newLearningCell(t, 6, 0.6, 1, 1.6)
	for range 12 {
		c.runJob(18, 400*time.Millisecond, 3)
	}
	slow, fast := c.planner.endpoints["e000"].speed, c.planner.endpoints["e002"].speed
	if got := fast / slow; got < 2.2 || got > 3.1 {
		t.Errorf("speeds %.2f and %.2f, whose ratio is %.2f, want 2.7", slow, fast, got)
	}
}
