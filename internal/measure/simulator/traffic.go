package simulator

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	"gitlab.com/greengagewall/greengagewall/internal/cell/definer"
	"gitlab.com/greengagewall/greengagewall/internal/domain/modeler"
)

// Spread is a log-normal distribution that is cut at Max. Deviation is its standard
// deviation as a share of the mean.
type Spread struct{ Mean, Deviation, Max float64 }

// Class is a kind of work.
type Class struct {
	Name string
	// PerSecond is the rate of the jobs, and Burst a multiple of it from BurstFrom to
	// BurstUntil.
	PerSecond             float64
	Burst                 float64
	BurstFrom, BurstUntil time.Duration
	Priority              int
	Stretch               float64
	Target                time.Duration
	// Steps is the number of steps, one after the other; Width is the number of tasks of
	// each, Cores and Gigabytes the size of a task, and Seconds its work.
	Steps, Width, Cores, Gigabytes, Seconds Spread
	// EstimateError is the largest relative error of the estimated work, and AccountBias the deviation of the factor
	// by which all estimates of an account are wrong beside that.
	EstimateError, AccountBias float64
	// TailShare is the share of the runs that take TailFactor times as long as their work.
	TailShare, TailFactor float64
	// GangShare, CheckpointShare and FailureShare are the shares of the steps that are
	// gangs or have checkpoints, and of the runs that fail.
	GangShare, CheckpointShare, FailureShare float64
	// Policy is the placement policy, which admits the share Admitted of the endpoints.
	Policy   *definer.Policy
	Admitted float64
}

// queue returns the queue of the class.
func (c *Class) queue() definer.Queue {
	return definer.Queue{
		Name: c.Name, Service: service, Priority: c.Priority, MaxAttempts: 5, Stretch: c.Stretch, Target: c.Target, Policy: c.Policy,
	}
}

// offered returns how many cores the class needs on average.
func (c *Class) offered() float64 {
	return c.PerSecond * c.Steps.Mean * c.Width.Mean * c.Cores.Mean * c.Seconds.Mean
}

// rate returns the rate of the jobs at a time.
func (c *Class) rate(at time.Duration) float64 {
	if c.Burst > 0 && at >= c.BurstFrom && at < c.BurstUntil {
		return c.PerSecond * c.Burst
	}

	return c.PerSecond
}

// job is a submitted job.
type job struct {
	definer.Job
	class     *Class
	submitted definer.Instant
	// work is the work of a task of each step on an endpoint of speed 1.
	work []time.Duration
	// gangs holds the gang runs by step and number.
	gangs map[runKey]*gangRun
	// doneAt is when the owner completed the job, or 0.
	doneAt definer.Instant
	// lacked is how long gangs of the job waited, by what they lacked.
	lacked map[string]time.Duration
}

func (c *cell) draw(s Spread) float64 {
	variance := math.Log(1 + s.Deviation*s.Deviation)
	value := s.Mean * math.Exp(c.arrivals.NormFloat64()*math.Sqrt(variance)-variance/2)
	if s.Max > 0 {
		value = min(value, s.Max)
	}

	return value
}

// submitNext submits the next job of a class after a random time.
func (c *cell) submitNext(class *Class) {
	if c.elapsed() > c.options.Duration {
		return
	}
	gap := time.Duration(c.arrivals.ExpFloat64() / class.rate(c.elapsed()) * float64(time.Second))
	c.after(gap, func() {
		if c.elapsed() <= c.options.Duration {
			c.submit(class)
			c.submitNext(class)
		}
	})
}

func (c *cell) submit(class *Class) {
	j := &job{class: class, submitted: c.now, gangs: map[runKey]*gangRun{}, lacked: map[string]time.Duration{}}
	j.Job = definer.Job{ID: fmt.Sprintf("%s-%05d", class.Name, len(c.jobs)), Account: c.drawAccount(), Spec: "spec", Accepted: c.wall(), Queue: class.queue()}
	for n := range max(int(math.Round(c.draw(class.Steps))), 1) {
		j.addStep(c, n)
	}
	c.jobs[j.ID] = j
	c.planner.Accept(j.Job, c.now, c.wall())
}

func (j *job) addStep(c *cell, n int) {
	class := j.class
	work := time.Duration(c.draw(class.Seconds) * float64(time.Second))
	step := definer.Step{
		Count: max(int(math.Round(c.draw(class.Width))), 1), Gang: c.arrivals.Float64() < class.GangShare, Checkpointing: c.arrivals.Float64() < class.CheckpointShare,
		Need:     modeler.Resources{Millis: int64(c.draw(class.Cores) * coreMillis), Memory: int64(c.draw(class.Gigabytes) * (1 << 30))},
		Estimate: time.Duration(float64(work) * (1 + class.EstimateError*(2*c.arrivals.Float64()-1)) * class.biasOf(j.Account)),
	}
	if n > 0 {
		step.After = []int{n - 1}
	}
	j.Steps = append(j.Steps, step)
	j.work = append(j.work, work)
}

// biasOf returns the factor by which the estimates of an account are wrong.
func (c *Class) biasOf(account string) float64 {
	if c.AccountBias == 0 {
		return 1
	}
	hash := xxhash.Sum64String(c.Name + "/" + account)

	return math.Exp(c.AccountBias * rand.New(rand.NewPCG(hash, 0)).NormFloat64())
}

// stepOf returns the step of a task.
func (c *cell) stepOf(task definer.TaskName) *definer.Step { return &c.jobs[task.Job].Steps[task.Step] }

// joinGang adds a member to the run of its gang.
func (j *job) joinGang(order definer.StartOrder, member *run) *gangRun {
	key := runKey{definer.TaskName{Step: order.Task.Step}, order.Run}
	g := j.gangs[key]
	if g == nil {
		g = &gangRun{}
		j.gangs[key] = g
	}
	g.members = append(g.members, member)

	return g
}

// drawEnd returns how a run ends and after what time.
func (j *job) drawEnd(c *cell, task definer.TaskName, slowness float64) (definer.End, time.Duration) {
	work := time.Duration(float64(j.work[task.Step]) * slowness)
	if j.class.TailShare > 0 && c.outcomes.Float64() < j.class.TailShare {
		work = time.Duration(float64(work) * j.class.TailFactor)
	}
	if c.outcomes.Float64() < j.class.FailureShare {
		return definer.EndFailed, time.Duration(c.outcomes.Float64() * float64(work))
	}

	return definer.EndDone, work
}

// objective returns the time within which the job should be done: like the owner's, but
// from the true work, and with a question about questionEndpoints for each step.
func (j *job) objective() time.Duration {
	var path time.Duration
	for _, work := range j.work {
		path += work
		if policy := j.class.Policy; policy != nil {
			path += policy.Decide + questionEndpoints*policy.Each
		}
	}

	return time.Duration(j.class.Stretch*float64(path)) + j.class.Target
}

// questionEndpoints is the number of endpoints for which the objective allows a question.
const questionEndpoints = 30

// weight returns the core-seconds of the job.
func (j *job) weight() float64 {
	total := 0.0
	for i, step := range j.Steps {
		total += float64(step.Count) * float64(step.Need.Millis) / coreMillis * j.work[i].Seconds()
	}

	return total
}
