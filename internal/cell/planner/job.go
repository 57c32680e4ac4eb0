package planner

import (
	"time"

	"gitlab.com/greengagewall/greengagewall/internal/cell/definer"
	"gitlab.com/greengagewall/greengagewall/internal/domain/modeler"
)

// job is a job with the progress of its occurrences.
type job struct {
	definer.Job
	state       definer.JobState
	occurrences []*occurrence
	// due is the number of occurrences that have become due.
	due int
	// accepted is when the job was first received, on the boot clock.
	accepted definer.Instant
	// deadline is the end of the job's objective.
	deadline definer.Instant
	// inherited means that an earlier owner may have started tasks of the job.
	inherited bool
	// excess means that the account sent more jobs than it is owed.
	excess bool
	// cancelling means that no task of the job may start any more.
	cancelling bool
	// finishedAt is when the job became final.
	finishedAt definer.Instant
	begun      bool
}

// occurrence is one run of a job's steps.
type occurrence struct {
	number int
	steps  []*step
	left   int
}

// step is a step of an occurrence.
type step struct {
	job        *job
	occurrence *occurrence
	index      int
	def        *definer.Step
	tasks      []*task
	left       int
	// placed counts the runs of the step on each endpoint.
	placed map[*endpoint]int
	// gang is the number of the gang's current run, or 0.
	gang int
	// gangSince is when the current run of the gang began.
	gangSince definer.Instant
	admission admission
	// held are the endpoints that are reserved for a waiting gang, since heldSince.
	held      []*endpoint
	heldSince definer.Instant
	// preempted means that work has been stopped for the gang.
	preempted bool
	// tail is the estimated time from the start of the step to the end of its job.
	tail time.Duration
	// urgency and overShare hold for the current round.
	urgency   int
	overShare bool
}

// task is a task of a step.
type task struct {
	step  *step
	index int
	done  bool
	// lastRun is the highest run that may have been started.
	lastRun int
	// writtenOff is the highest run whose lease has run out; its end no longer counts.
	writtenOff int
	// failed lists the runs that ended as failed.
	failed     []int
	checkpoint string
	run        *run
	// avoid is the endpoint on which the last run failed.
	avoid *endpoint
}

func (t *task) name() definer.TaskName {
	return definer.TaskName{Job: t.step.job.ID, Occurrence: t.step.occurrence.number, Step: t.step.index, Index: t.index}
}

// Accept adds a job that the store holds. received is when its first request
// arrived.
func (p *Planner) Accept(definition definer.Job, now definer.Instant, wall time.Time) {
	if p.jobs[definition.ID] != nil {
		return
	}
	j := p.newJob(definition, now, wall)
	j.excess = p.account(j.Account).charge(now)
	p.note("accepted", j.ID, "account", j.Account, "queue", j.Queue.Name, "excess", j.excess)
	p.advance(j, wall)
}

func (p *Planner) newJob(definition definer.Job, now definer.Instant, wall time.Time) *job {
	j := &job{Job: definition, state: definer.JobQueued}
	j.accepted = now.Add(-max(wall.Sub(definition.Accepted), 0))
	j.deadline = j.accepted.Add(objective(&j.Job))
	p.jobs[j.ID] = j
	p.account(j.Account).active++
	if j.Repeats > 0 {
		p.timed[j] = struct{}{}
	}

	return j
}

// objective returns the time within which a job should be done.
func objective(j *definer.Job) time.Duration {
	finish := make([]time.Duration, len(j.Steps))
	var chain time.Duration
	for i := range j.Steps {
		var begin time.Duration
		for _, before := range j.Steps[i].After {
			begin = max(begin, finish[before])
		}
		finish[i] = begin + j.Steps[i].Estimate
		chain = max(chain, finish[i])
	}

	return time.Duration(float64(chain)*max(j.Queue.Stretch, 1)) + j.Queue.Target
}

// refill adds to the account's bucket what has come in since the last time.
func (a *account) refill(now definer.Instant) {
	a.credit = min(a.credit+a.weight*now.Sub(a.creditedAt).Seconds(), a.weight*creditSeconds)
	a.creditedAt = now
}

// overRate reports whether the account has sent more jobs than its weight a second.
func (a *account) overRate(now definer.Instant) bool {
	a.refill(now)

	return a.weight > 0 && a.credit < 1
}

// charge takes a job from the account's bucket and reports whether it was beyond it.
func (a *account) charge(now definer.Instant) bool {
	if a.overRate(now) {
		return true
	}
	a.credit--

	return false
}

// creditSeconds is how many seconds of its rate an account may send at once.
const creditSeconds = 2.0

// advance creates the occurrences that have become due and readies their first steps.
func (p *Planner) advance(j *job, wall time.Time) {
	for j.due < j.Occurrences() && !j.state.Final() && !j.cancelling {
		if j.Repeats > 0 && wall.Before(j.First.Add(time.Duration(j.due)*j.Interval)) {
			return
		}
		p.openOccurrence(j, j.due)
		j.due++
	}
	delete(p.timed, j)
}

// openOccurrence creates an occurrence of j.
func (p *Planner) openOccurrence(j *job, number int) {
	o := &occurrence{number: number, left: len(j.Steps)}
	for i := range j.Steps {
		s := &step{job: j, occurrence: o, index: i, def: &j.Steps[i], left: j.Steps[i].Count, placed: map[*endpoint]int{}}
		for n := range j.Steps[i].Count {
			s.tasks = append(s.tasks, &task{step: s, index: n})
		}
		o.steps = append(o.steps, s)
	}
	for i := len(o.steps) - 1; i >= 0; i-- {
		s := o.steps[i]
		s.tail += s.def.Estimate
		for _, before := range s.def.After {
			o.steps[before].tail = max(o.steps[before].tail, s.tail)
		}
	}
	j.occurrences = append(j.occurrences, o)
	for _, s := range o.steps {
		p.makeReady(s)
	}
}

// makeReady lists s among the steps to start when what it waits for is done.
func (p *Planner) makeReady(s *step) {
	if s.left == 0 || s.job.state.Final() || s.job.cancelling {
		return
	}
	for _, before := range s.def.After {
		if s.occurrence.steps[before].left > 0 {
			return
		}
	}
	p.ready[s] = struct{}{}
}

// occurrence returns the occurrence with the number, or nil.
func (j *job) occurrence(number int) *occurrence {
	for _, o := range j.occurrences {
		if o.number == number {
			return o
		}
	}

	return nil
}

// task finds a task by its name.
func (p *Planner) task(name definer.TaskName) *task {
	j := p.jobs[name.Job]
	if j == nil {
		return nil
	}
	o := j.occurrence(name.Occurrence)
	if o == nil || name.Step < 0 || name.Step >= len(o.steps) {
		return nil
	}
	s := o.steps[name.Step]
	if name.Index < 0 || name.Index >= len(s.tasks) {
		return nil
	}

	return s.tasks[name.Index]
}

// Cancel forbids further starts of a job and stops what runs. The job shows
// as cancelled once Cancelled is called. It reports false when there is no
// such job.
func (p *Planner) Cancel(id string) bool {
	j := p.jobs[id]
	if j == nil {
		return false
	}
	if j.state.Final() || j.cancelling {
		return true
	}
	j.cancelling = true
	p.halt(j)
	p.dirty[j] = struct{}{}

	return true
}

// CancelStored marks a job whose cancellation is stored.
func (p *Planner) CancelStored(id string, now definer.Instant) {
	j := p.jobs[id]
	if j == nil || j.state.Final() {
		return
	}
	p.finish(j, definer.JobCancelled, now)
}

// halt stops all runs of j and starts no more.
func (p *Planner) halt(j *job) {
	delete(p.timed, j)
	for _, o := range j.occurrences {
		for _, s := range o.steps {
			delete(p.ready, s)
			for _, t := range s.tasks {
				if t.run != nil {
					p.stop(t.run)
				}
			}
		}
	}
}

// finish makes a job final.
func (p *Planner) finish(j *job, state definer.JobState, now definer.Instant) {
	p.halt(j)
	if !j.state.Final() {
		p.account(j.Account).active--
	}
	j.state, j.finishedAt = state, now
	p.dirty[j] = struct{}{}
	p.note(string(state), j.ID, "after", now.Sub(j.accepted), "objective", j.deadline.Sub(j.accepted), "account", j.Account)
}

// taskDone counts a task as done and readies what waited for it.
func (p *Planner) taskDone(t *task, now definer.Instant) {
	s := t.step
	if t.done || s.def.LongRunning {
		return
	}
	t.done = true
	s.left--
	p.dirty[s.job] = struct{}{}
	if s.left > 0 {
		return
	}
	delete(p.ready, s)
	s.occurrence.left--
	for _, next := range s.occurrence.steps {
		p.makeReady(next)
	}
	j := s.job
	if s.occurrence.left > 0 || j.state.Final() || j.cancelling || j.due < j.Occurrences() {
		return
	}
	for _, o := range j.occurrences {
		if o.left > 0 {
			return
		}
	}
	p.finish(j, definer.JobCompleted, now)
}

// State returns the state of a job and the account and queue that it belongs to.
func (p *Planner) State(id string) (state definer.JobState, queue string, known bool) {
	j := p.jobs[id]
	if j == nil {
		return "", "", false
	}
	state = j.state
	if !state.Final() && j.begun {
		state = definer.JobRunning
	}

	return state, j.Queue.Name, true
}

// Pending counts the jobs of a queue of which no task has started.
func (p *Planner) Pending(queue string) int {
	count := 0
	for _, j := range p.jobs {
		if j.Queue.Name == queue && !j.state.Final() && !j.begun && !j.cancelling {
			count++
		}
	}

	return count
}

// Refusal tells why and until when a job is not admitted.
type Refusal struct {
	Reason     string
	RetryAfter time.Duration
}

const (
	// excessBacklog is the backlog above which jobs beyond an account's rate are refused.
	excessBacklog = 300 * time.Millisecond
	// backlogMargin is the share of the time in which a job is worth something that the backlog may take.
	backlogMargin = 0.8
	// retryLeast and retryMost bound when a refused job may come again.
	retryLeast = time.Second
	retryMost  = 10 * time.Second
)

// Admit decides whether a job may be accepted: jobs beyond the account's rate
// only while nothing waits, and others only while they can be done in time to
// be worth something.
func (p *Planner) Admit(j *definer.Job, now definer.Instant) *Refusal {
	a := p.account(j.Account)
	wait := p.wait(j.Queue.Priority)
	retry := min(max(wait, retryLeast), retryMost)
	if a.overRate(now) && wait > excessBacklog {
		return &Refusal{Reason: "account is over its rate", RetryAfter: retry}
	}
	if limit := time.Duration(backlogMargin * lateFactor * float64(objective(j))); wait > limit {
		return &Refusal{Reason: "backlog", RetryAfter: retry}
	}

	return nil
}

// wait estimates how long a job of a priority waits for the work before it.
func (p *Planner) wait(priority int) time.Duration {
	work, processors := p.Backlog(priority)
	if processors == 0 {
		return 0
	}

	return time.Duration(work / processors * float64(time.Second))
}

// Backlog returns the work of the steps that are not started, in core-seconds
// of their estimates, and the processors of all usable endpoints.
func (p *Planner) Backlog(priority int) (work, processors float64) {
	for s := range p.ready {
		if s.job.Queue.Priority > priority || s.job.excess {
			continue
		}
		work += float64(len(s.pending())) * float64(s.def.Need.Millis) / millisPerProcessor * s.def.Estimate.Seconds()
	}
	for _, e := range p.endpoints {
		if e.listed && !e.Draining {
			processors += float64(e.Capacity.Millis) / millisPerProcessor
		}
	}

	return work, processors
}

const millisPerProcessor = 1000

// FinalRetention is how long a final job is known.
const FinalRetention = 150 * time.Second

// expire drops jobs that have been final for long.
func (p *Planner) expire(now definer.Instant) []string {
	var dropped []string
	for id, j := range p.jobs {
		if j.state.Final() && now.Sub(j.finishedAt) > FinalRetention {
			delete(p.jobs, id)
			delete(p.dirty, j)
			dropped = append(dropped, id)
		}
	}

	return dropped
}

func (s *step) need() modeler.Resources {
	need := s.def.Need
	if s.def.Fills {
		need.Millis = 0
	}

	return need
}
