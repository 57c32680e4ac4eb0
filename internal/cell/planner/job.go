package planner

import (
	"slices"
	"time"

	"gitlab.com/greengagewall/greengagewall/internal/cell/definer"
	"gitlab.com/greengagewall/greengagewall/internal/cell/estimator"
	"gitlab.com/greengagewall/greengagewall/internal/container/ranger"
	"gitlab.com/greengagewall/greengagewall/internal/domain/modeler"
)

// job is a job with the progress of its occurrences.
type job struct {
	definer.Job
	state definer.JobState
	// occurrences holds the open occurrences by their number, and finished the numbers of those that are done.
	occurrences []*occurrence
	finished    ranger.Set
	// next is a number from which on there may be occurrences that are neither open nor done.
	next int
	// opening holds the steps whose tasks may start and are not all open.
	opening []*step
	// openTasks counts the open tasks of each kind; the open steps count as plain tasks.
	openTasks [taskKinds]int
	// heldBack means that occurrences or tasks may start and are not open.
	heldBack bool
	// overlapping holds tasks that are done and that the log may still be about.
	overlapping map[definer.TaskName]*task
	// parts is the largest number of records that the progress of the job has taken, beyond the first.
	parts int
	// accepted is when the job was first received, measured by the boot clock.
	accepted definer.Instant
	// deadline is when the job has to be done to meet its objective.
	deadline definer.Instant
	// inherited means that a previous owner may have started tasks of the job.
	inherited bool
	// excess means that the job exceeded the rate of its account when it was accepted.
	excess bool
	// cancelling means that the job is being cancelled and none of its tasks may start.
	cancelling bool
	// finishedAt is when the job became final.
	finishedAt definer.Instant
	// change is the number under which the job became dirty, or 0 if its stored progress is up to date.
	change uint64
	// finalStored means that the store holds the job's final state.
	finalStored bool
	// finalShown means that the final state has been shown to a caller.
	finalShown bool
	// begun means that an endpoint has started a task of the job, and delay is how long the job has waited for that.
	begun bool
	delay jobDelay
	// ordered is the last run that was ordered to start before the job has begun, or nil.
	ordered *run
	// standsSince is when the job was first seen to stand, or 0, and standNotedAt when a note last said why.
	standsSince, standNotedAt definer.Instant
}

// occurrence is one execution of all steps of a job.
type occurrence struct {
	number    int
	steps     []*step
	stepsLeft int
	// predictedAt is when the predictions for the steps were made, or 0.
	predictedAt definer.Instant
}

// step is one step of an occurrence.
type step struct {
	job        *job
	occurrence *occurrence
	index      int
	def        *definer.Step
	// tasks holds the open tasks by their index, and finished the indexes of those that are done.
	tasks    []*task
	finished ranger.Set
	// next is an index from which on there may be tasks that are neither open nor done.
	next int
	// ready means that the steps on which s depends are done.
	ready     bool
	tasksLeft int
	// pendingCount is the number of tasks that are neither done nor on an endpoint.
	pendingCount int
	// placed counts the runs of the step that each endpoint has, also those that are being stopped.
	placed map[*endpoint]int
	// gangRun is the number of the gang's current run, or 0.
	gangRun int
	// gangSince is when the current run of the gang began or was adopted.
	gangSince definer.Instant
	admission admission
	wait      gangWait
	// waited is for the log.
	waited waitRecord
	// plan is where the waiting gang is to start, or empty.
	plan gangPlan
	// yields means that other steps may use the held room in this round.
	yields bool
	// remainingPath is the estimated time from the start of the step to the end of its
	// occurrence, along the longest chain of dependent steps.
	remainingPath time.Duration
	// learned is about the finished runs of the step, learnedRun the last run of the gang that was learned from, and
	// predicted the prediction for its runs.
	learned    estimator.Step
	predicted  estimator.Prediction
	learnedRun int
	// urgency and overShare are computed anew in each round of placement.
	urgency int
	// endsAt is when a task that starts in this round is expected to be over, and runTimeClass the class of its
	// run time.
	endsAt       definer.Instant
	runTimeClass int
	overShare    bool
	// turnAt is when a round of placement last considered the step.
	turnAt definer.Instant
	// queuedSince is when the step last had its turn among the deferrable ones or those that request tickets in
	// turn, or became one of them.
	queuedSince definer.Instant
}

// task is one task of a step.
type task struct {
	step  *step
	index int
	done  bool
	// lastRun is the highest run number that is known to be used.
	lastRun int
	// writtenOff is the highest run number that was written off as lost; such a run must not continue.
	writtenOff int
	// failed lists the numbers of the runs that failed, unless the task is long-running.
	failed     []int
	checkpoint string
	// checkpointRun is the number of the run that the checkpoint is from, or a higher one.
	checkpointRun int
	run           *run
	// expiredAt is when a run of the task was last taken for over because its lease had expired, or 0.
	expiredAt definer.Instant
	// activeRuns counts the runs of the task that are not known to be over, including run.
	activeRuns int
	// avoid is about the endpoint on which the last run failed.
	avoid avoidance
	// overlaps is kept for the log; it is nil for most tasks.
	overlaps *overlapRecord
}

// raiseLastRun records that a run with the number exists.
func (p *Planner) raiseLastRun(t *task, number int) {
	if number > t.lastRun {
		t.lastRun = number
		p.markDirty(t.step.job)
	}
}

// maxCheckpointSize bounds the checkpoint of a task in bytes, since it is stored with the progress of its job. A task
// with a longer one starts anew.
const maxCheckpointSize = 4 << 10

// saveCheckpoint makes t, or all members of its gang, resume from the checkpoint
// of a run unless they have one of a later run.
func (p *Planner) saveCheckpoint(t *task, number int, checkpoint string) {
	s := t.step
	if !s.def.Checkpointing || t.done || s.job.state.Final() || s.job.cancelling {
		return
	}
	if checkpoint == "" || len(checkpoint) > maxCheckpointSize || checkpoint == t.checkpoint || number < t.checkpointRun {
		return
	}
	p.markDirty(s.job)
	t.checkpoint, t.checkpointRun = checkpoint, number
	if !s.def.Gang {
		return
	}
	for _, member := range s.tasks {
		member.checkpoint, member.checkpointRun = checkpoint, number
	}
}

func (t *task) name() definer.TaskName {
	return definer.TaskName{Job: t.step.job.ID, Occurrence: t.step.occurrence.number, Step: t.step.index, Index: t.index}
}

// Accept adds a job that has been written to the store.
func (p *Planner) Accept(definition definer.Job, now definer.Instant, wall time.Time) {
	if p.jobs[definition.ID] != nil {
		return
	}
	j := p.newJob(definition, now, wall)
	j.excess = p.charge(j, now)
	if !j.excess {
		p.acceptedLoadOf(j.Queue.Service).add(j, now)
	}
	p.note("accepted", j.ID, "account", j.Account, "queue", j.Queue.Name, "excess", j.excess)
	p.advance(j, wall)
	if p.backlog.services == nil {
		return
	}
	for _, o := range j.occurrences {
		for _, s := range o.steps {
			if _, ready := p.readySteps[s]; ready {
				p.backlog.addAccepted(s, p.account(j.Account))
			}
		}
	}
}

func (p *Planner) newJob(definition definer.Job, now definer.Instant, wall time.Time) *job {
	j := &job{Job: definition, state: definer.JobQueued}
	j.accepted = now.Add(-max(wall.Sub(definition.Accepted), 0))
	j.deadline = j.accepted.Add(objective(&j.Job))
	p.jobs[j.ID] = j
	p.account(j.Account).active++
	p.addJobOfService(j.Queue.Service)
	p.unopened[j] = struct{}{}

	return j
}

// objective returns the time within which a job should be done: the critical
// path of its steps' estimates times the queue's stretch, plus the queue's
// target.
func objective(j *definer.Job) time.Duration {
	return time.Duration(float64(criticalPath(j))*max(j.Queue.Stretch, 1)) + j.Queue.Target
}

// criticalPath returns the longest time that steps take which depend on one another, by
// their estimates.
func criticalPath(j *definer.Job) time.Duration {
	finish := make([]time.Duration, len(j.Steps))
	var longest time.Duration
	for i := range j.Steps {
		var start time.Duration
		for _, dependency := range j.Steps[i].After {
			start = max(start, finish[dependency])
		}
		finish[i] = start + j.Steps[i].Estimate
		longest = max(longest, finish[i])
	}

	return longest
}

// refill adds the credit that has accumulated since the last refill, up to
// burstSeconds of the account's rate.
func (a *account) refill(now definer.Instant) {
	a.credit = min(a.credit+a.weight*now.Sub(a.creditedAt).Seconds(), a.weight*burstSeconds)
	a.creditedAt = now
}

// overRate reports whether the account has a rate and has used up its credit.
func (a *account) overRate(now definer.Instant) bool {
	a.refill(now)

	return a.weight > 0 && a.credit < 1
}

// takeCredit charges a job to the account's token bucket. It reports whether the
// job exceeds the account's rate; such a job is not charged.
func (a *account) takeCredit(now definer.Instant) bool {
	if a.overRate(now) {
		return true
	}
	a.credit--

	return false
}

// burstSeconds is the size of the token bucket, in seconds of the account's rate.
const burstSeconds = 2.0

// dependenciesDone reports whether the steps that s depends on are done.
func (s *step) dependenciesDone() bool {
	return !slices.ContainsFunc(s.def.After, func(dependency int) bool { return s.occurrence.steps[dependency].tasksLeft > 0 })
}

// Cancel prevents further starts of a job and stops its runs. The job becomes
// final once CancelStored is called. Cancel returns false when there is no such
// job.
func (p *Planner) Cancel(id string) bool {
	j := p.jobs[id]
	if j == nil {
		return false
	}
	if j.state.Final() || j.cancelling {
		return true
	}
	j.cancelling = true
	p.stopAllRuns(j)
	p.markDirty(j)

	return true
}

// CancelStored makes a job final whose cancellation has been stored.
func (p *Planner) CancelStored(id string, now definer.Instant) {
	j := p.jobs[id]
	if j == nil || j.state.Final() {
		return
	}
	p.finish(j, definer.JobCancelled, now)
}

// stopAllRuns stops all runs of j and starts no more.
func (p *Planner) stopAllRuns(j *job) {
	delete(p.unopened, j)
	for _, o := range j.occurrences {
		for _, s := range o.steps {
			delete(p.readySteps, s)
			s.admission = admission{}
			for _, t := range s.tasks {
				if t.run != nil {
					p.stopRun(t.run)
				}
			}
		}
	}
}

// finish makes a job final in the given state.
func (p *Planner) finish(j *job, state definer.JobState, now definer.Instant) {
	p.stopAllRuns(j)
	if !j.state.Final() {
		p.account(j.Account).active--
		p.removeJobOfService(j.Queue.Service)
		p.finished = append(p.finished, j)
	}
	j.state, j.finishedAt = state, now
	p.markDirty(j)
	p.note(string(state), j.ID, "after", now.Sub(j.accepted), "objective", j.deadline.Sub(j.accepted), "account", j.Account)
}

// taskDone marks a task as done, makes the steps ready that waited for it, and
// completes the job with its last task.
func (p *Planner) taskDone(t *task, now definer.Instant) {
	s := t.step
	if t.done || s.def.LongRunning {
		return
	}
	if t.activeRuns == 0 {
		s.pendingCount--
	}
	t.done = true
	s.finish(t.index, t.index+1)
	p.markDirty(s.job)
	p.stepAdvanced(s, now)
}

// stepAdvanced makes the steps ready that waited for s if all of its tasks are done, and
// completes the job with its last step.
func (p *Planner) stepAdvanced(s *step, now definer.Instant) {
	if s.tasksLeft > 0 {
		return
	}
	delete(p.readySteps, s)
	s.admission = admission{}
	o, j := s.occurrence, s.job
	o.stepsLeft--
	for _, next := range o.steps {
		p.makeReady(next)
	}
	if o.stepsLeft > 0 {
		return
	}
	j.closeOccurrence(o)
	p.completeIfDone(j, now)
}

// completeIfDone completes j if all of its occurrences are done.
func (p *Planner) completeIfDone(j *job, now definer.Instant) {
	if !j.state.Final() && !j.cancelling && j.finished.Count() >= j.Occurrences() {
		p.finish(j, definer.JobCompleted, now)
	}
}

// State returns the state and the queue of a job, as callers may know them: a
// job is shown as final once the store holds its final state, because the next
// owner only knows what is stored. known is false when there is no such job.
func (p *Planner) State(id string) (state definer.JobState, queue string, known bool) {
	j := p.jobs[id]
	if j == nil {
		return "", "", false
	}
	switch {
	case j.state.Final() && j.finalStored:
		state = j.state
	case j.state.Final() || j.begun:
		state = definer.JobRunning
	default:
		state = definer.JobQueued
	}

	return state, j.Queue.Name, true
}

// ShowFinal notes that the final state of a job is shown to a caller for the first time.
func (p *Planner) ShowFinal(id string) {
	j := p.jobs[id]
	if j == nil || j.finalShown {
		return
	}
	j.finalShown = true
	p.note("final state shown", id, "state", string(j.state))
}

// need returns the resources that a task of s takes on an endpoint. A filling
// task takes no processors, since it runs on processor time that others leave
// unused.
func (s *step) need() modeler.Resources {
	need := s.def.Need
	if s.def.Fills {
		need.Millis = 0
	}

	return need
}
