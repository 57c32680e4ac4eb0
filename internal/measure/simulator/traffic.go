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
	// hot means that a hot account sent the job among those of its burst, and refused that it was not admitted.
	hot, refused bool
	// doneAt is when the owner completed the job, or 0.
	doneAt definer.Instant
	// lacked is how long gangs of the job waited, by what they lacked.
	lacked map[string]time.Duration
}

func draw(random *rand.Rand, s Spread) float64 {
	variance := math.Log(1 + s.Deviation*s.Deviation)
	value := s.Mean * math.Exp(random.NormFloat64()*math.Sqrt(variance)-variance/2)
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
			c.submit(class, c.drawAccount(), c.arrivals)
			c.submitNext(class)
		}
	})
}

// submitNextExcess submits the next job that a hot account sends beyond its share after a
// random time.
func (c *cell) submitNextExcess(account int) {
	o := &c.options
	class := &o.Classes[o.HotClass]
	rate := (o.HotFactor - 1) * class.PerSecond * c.accountShare(account)
	if rate <= 0 {
		return
	}
	at := max(c.elapsed(), o.HotFrom) + time.Duration(c.excess.ExpFloat64()/rate*float64(time.Second))
	if at > min(o.HotUntil, o.Duration) {
		return
	}
	c.after(at-c.elapsed(), func() {
		c.submit(class, accountName(account), c.excess)
		c.submitNextExcess(account)
	})
}

// isHot reports whether a job of the class that the account submits now is one of a burst.
func (c *cell) isHot(class *Class, account string) bool {
	o := &c.options
	if o.HotFactor <= 1 || class != &o.Classes[o.HotClass] || c.elapsed() < o.HotFrom || c.elapsed() > o.HotUntil {
		return false
	}
	for n := range o.Hot {
		if account == accountName(n) {
			return true
		}
	}

	return false
}

// submit submits a job that is drawn from the given source.
func (c *cell) submit(class *Class, account string, random *rand.Rand) {
	j := &job{class: class, hot: c.isHot(class, account), submitted: c.now, gangs: map[runKey]*gangRun{}, lacked: map[string]time.Duration{}}
	j.Job = definer.Job{ID: fmt.Sprintf("%s-%05d", class.Name, len(c.jobs)), Account: account, Spec: "spec", Accepted: c.wall(), Queue: class.queue()}
	for n := range max(int(math.Round(draw(random, class.Steps))), 1) {
		j.addStep(random, n)
	}
	c.jobs[j.ID] = j
	if refusal := c.planner.Admit(&j.Job, c.now); refusal != nil {
		j.refused = true
		c.result.Refusals[refusal.Reason]++

		return
	}
	c.planner.Accept(j.Job, c.now, c.wall())
}

func (j *job) addStep(random *rand.Rand, n int) {
	class := j.class
	work := time.Duration(draw(random, class.Seconds) * float64(time.Second))
	step := definer.Step{
		Count: max(int(math.Round(draw(random, class.Width))), 1), Gang: random.Float64() < class.GangShare, Checkpointing: random.Float64() < class.CheckpointShare,
		Need:     modeler.Resources{Millis: int64(draw(random, class.Cores) * coreMillis), Memory: int64(draw(random, class.Gigabytes) * (1 << 30))},
		Estimate: time.Duration(float64(work) * (1 + class.EstimateError*(2*random.Float64()-1)) * class.biasOf(j.Account)),
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
