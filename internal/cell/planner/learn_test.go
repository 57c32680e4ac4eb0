package planner

import (
	"fmt"
	"testing"
	"time"

	"gitlab.com/greengagewall/greengagewall/internal/cell/definer"
	"gitlab.com/greengagewall/greengagewall/internal/cell/estimator"
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

// TestOrderFollowsLearnedRunTimes guards against work that looks as if it could still meet its objective
// because its estimates are too short, and keeps work from room that would.
func TestOrderFollowsLearnedRunTimes(t *testing.T) {
	const estimate = 500 * time.Millisecond
	c := newLearningCell(t, 3, 1)
	c.planner.Accept(c.job("before", learnedStep(1, estimate)), c.now, c.wall)
	first := c.planner.jobs["before"].occurrences[0].steps[0]
	if got := c.planner.urgencyAt(first, c.now); got != urgencyOnTime {
		t.Errorf("urgency %d with the estimate as given", got)
	}
	c.planner.Cancel("before")
	for range 24 {
		c.runJob(3, estimate, 4)
	}
	c.planner.Accept(c.job("after", learnedStep(1, estimate), definer.Step{Count: 1, Estimate: estimate, After: []int{0}, Need: modeler.Resources{Millis: 5000}}), c.now, c.wall)
	s := c.planner.jobs["after"].occurrences[0].steps[0]
	if got := c.planner.urgencyAt(s, c.now); got != urgencyLate {
		t.Errorf("urgency %d of a job that takes 4 s, with an objective of 3 s, want %d", got, urgencyLate)
	}
	if want := 8 * estimate; s.remainingPath < want*8/10 || s.remainingPath > want*12/10 {
		t.Errorf("remaining path %v, want %v", s.remainingPath, want)
	}
}

// TestRemainingTimeIsLearned guards against runs on an endpoint that leaves which look almost done
// because their estimates are too short.
func TestRemainingTimeIsLearned(t *testing.T) {
	c := newLearningCell(t, 3, 1)
	for range 60 {
		c.runJob(3, 500*time.Millisecond, 4)
	}
	c.planner.Accept(c.job("late", learnedStep(1, 500*time.Millisecond)), c.now, c.wall)
	c.plan()
	r := c.planner.jobs["late"].occurrences[0].steps[0].tasks[0].run
	if got := c.planner.remainingTime(r, c.now.Add(time.Second)); got < 800*time.Millisecond || got > 1500*time.Millisecond {
		t.Errorf("after 1 s of 2 s, %v remain", got)
	}
	if got := c.planner.highRunTime(r.task.step, c.now); got < 1800*time.Millisecond || got > 2500*time.Millisecond {
		t.Errorf("a run of 2 s takes %v at most", got)
	}
}

// TestCutRunsAreCensored guards against runs that are stopped, fail or are lost early and make their
// work look short.
func TestCutRunsAreCensored(t *testing.T) {
	for _, how := range []definer.End{definer.EndStopped, definer.EndFailed, definer.EndLapsed} {
		c := newLearningCell(t, 3, 1)
		for range 12 {
			c.runJob(3, 500*time.Millisecond, 1)
		}
		for n := range 40 {
			c.planner.Accept(c.job(fmt.Sprintf("cut-%02d", n), learnedStep(1, 500*time.Millisecond)), c.now, c.wall)
			c.plan()
			for _, start := range c.started {
				c.run(start)
				c.advance(100 * time.Millisecond)
				c.endRun(start.Target.ID, start.Order.Task, start.Order.Run, how)
			}
			c.started = nil
			c.planner.Cancel(fmt.Sprintf("cut-%02d", n))
			c.advance(30 * time.Second)
		}
		if got := c.planner.estimator.Predict(estimatorKey(c)); !got.Learned || got.Median < 0.9 || got.Median > 1.3 {
			t.Errorf("runs that ended as %q after a fifth of their work: %+v", how, got)
		}
	}
}

// TestLateReportIsNoLongRun guards against the end of a run that becomes known only when its endpoint is
// reached again, and then looks as if the run had taken that long.
func TestLateReportIsNoLongRun(t *testing.T) {
	c := newLearningCell(t, 3, 1)
	for range 12 {
		c.runJob(3, 500*time.Millisecond, 1)
	}
	before := c.planner.estimator.Predict(estimatorKey(c))
	for n := range 20 {
		c.planner.Accept(c.job(fmt.Sprintf("late-%02d", n), learnedStep(1, 500*time.Millisecond)), c.now, c.wall)
		c.plan()
		for _, start := range c.started {
			c.run(start)
			c.advance(100 * time.Millisecond)
			c.advance(4*time.Second, start.Target.ID)
			c.endRun(start.Target.ID, start.Order.Task, start.Order.Run, definer.EndDone)
		}
		c.started = nil
		c.advance(time.Second)
	}
	if got := c.planner.estimator.Predict(estimatorKey(c)); got.Median > 1.2*before.Median {
		t.Errorf("median %.2f, and %.2f after ends that became known late", before.Median, got.Median)
	}
}

// estimatorKey returns the key of the jobs of a learning cell.
func estimatorKey(c *learningCell) estimator.Key {
	s := &step{job: &job{Job: c.job("other")}, def: &definer.Step{Need: modeler.Resources{Millis: 5000}}}

	return s.learningKey()
}

// TestWithoutLearning guards against run times that are learned although a deployment keeps the estimates
// as given.
func TestWithoutLearning(t *testing.T) {
	c := newLearningCell(t, 6, 0.5, 1)
	c.planner.settings.Learn = Learning{}
	for range 12 {
		c.runJob(18, 500*time.Millisecond, 2)
	}
	for id, e := range c.planner.endpoints {
		if e.speed != 1 {
			t.Errorf("speed %.2f of %s", e.speed, id)
		}
	}
	if keys, endpoints := c.planner.estimator.Learned(); keys+endpoints > 0 {
		t.Errorf("%d keys and %d endpoints were learned", keys, endpoints)
	}
}

// TestRunTimesAreNoted guards against predictions that nobody can compare with the runs.
func TestRunTimesAreNoted(t *testing.T) {
	c := newLearningCell(t, 3, 1)
	for range 40 {
		c.runJob(3, 500*time.Millisecond, 2)
	}
	total := RunTimes{}
	for _, note := range c.planner.Notes() {
		if note.Event != RunTimesNote {
			continue
		}
		queues, _ := note.Args[1].(map[string]*RunTimes)
		total.Done += queues["queue"].Done
		total.Predicted += queues["queue"].Predicted
		total.WithinHigh += queues["queue"].WithinHigh
		if note.Counts["run times of queue: predicted"] != int64(queues["queue"].Predicted) {
			t.Errorf("counts %v", note.Counts)
		}
	}
	if total.Done < 30 || total.Predicted < total.Done/2 || total.WithinHigh == 0 || total.WithinHigh > total.Predicted {
		t.Errorf("%+v", total)
	}
}

// BenchmarkUrgency measures the urgencies of 2,000 waiting steps, as each round of placement computes them, with
// learned run times; rounds are 10 ms apart.
func BenchmarkUrgency(b *testing.B) {
	c := newLearningCell(b, 3, 1)
	for range 24 {
		c.runJob(3, 500*time.Millisecond, 2)
	}
	steps := make([]*step, 0, 2000)
	for n := range cap(steps) {
		id := fmt.Sprintf("waiting-%04d", n)
		c.planner.Accept(c.job(id, learnedStep(10, 500*time.Millisecond)), c.now, c.wall)
		steps = append(steps, c.planner.jobs[id].occurrences[0].steps[0])
	}
	b.ResetTimer()
	for b.Loop() {
		c.now = c.now.Add(10 * time.Millisecond)
		for _, s := range steps {
			s.urgency = c.planner.urgencyAt(s, c.now)
		}
	}
}
