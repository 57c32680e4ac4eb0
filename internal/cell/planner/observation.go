package planner

import (
	"gitlab.com/greengagewall/greengagewall/internal/cell/definer"
)

// Observation is what an owner has learned about a job and could not store. It
// is passed to the next owner outside the state table, so it holds only facts
// that stay true whoever owns the cell: what endpoints reported, what a caller
// asked for, and which run numbers may be in use. The owner's own conclusions,
// such as a lease that it took for expired, are not part of it.
type Observation struct {
	ID string
	// Cancelled means that a caller has asked for the job to be cancelled.
	Cancelled bool
	// Begun means that an endpoint has started a task of the job.
	Begun bool
	Tasks []ObservedTask
	// Occurrences and Finished are what is done, as in Progress: endpoints have reported runs that ended as done.
	Occurrences []int
	Finished    []Finished
}

// ObservedTask is what an owner has learned about a task.
type ObservedTask struct {
	_msgpack   struct{} `msgpack:",as_array"` //nolint:unused // The encoder looks for this field.
	Occurrence int
	Step       int
	Index      int
	// LastRun is the highest run number that may have been started.
	LastRun int
	// Failed lists the numbers of the runs that endpoints have reported as failed.
	Failed []int
	// Checkpoint is the last checkpoint of an ended run, and CheckpointRun the number of that run or a higher one.
	Checkpoint    string
	CheckpointRun int
}

// Unstored returns what the planner has learned about the jobs whose stored
// record is out of date.
func (p *Planner) Unstored() []Observation {
	p.markBegun()
	observations := make([]Observation, 0, len(p.dirty))
	for _, j := range p.dirty {
		observations = append(observations, j.observation())
	}

	return observations
}

func (j *job) observation() Observation {
	observation := Observation{ID: j.ID, Cancelled: j.cancelling || j.state == definer.JobCancelled, Begun: j.begun}
	observation.Occurrences, observation.Finished = j.finished.Bounds(), j.finishedSteps()
	for t := range j.startedTasks() {
		observation.Tasks = append(observation.Tasks, ObservedTask{
			Occurrence: t.step.occurrence.number, Step: t.step.index, Index: t.index, LastRun: t.lastRun,
			Failed: t.failed, Checkpoint: t.checkpoint, CheckpointRun: t.checkpointRun,
		})
	}

	return observation
}

// Inherit adds what the owner of an earlier term has learned about a job. The
// planner draws its own conclusions from it.
func (p *Planner) Inherit(observation Observation, term int64, now definer.Instant) {
	j := p.jobs[observation.ID]
	if j == nil || j.state.Final() {
		return
	}
	p.note("progress inherited", j.ID, "from term", term, "cancelled", observation.Cancelled, "tasks", len(observation.Tasks))
	p.markDirty(j)
	if observation.Begun {
		p.jobBegun(j)
	}
	p.addFinished(j, observation.Occurrences, observation.Finished, now)
	for i := range observation.Tasks {
		p.inheritTask(j, &observation.Tasks[i], now)
	}
	if observation.Cancelled && !j.state.Final() {
		p.finish(j, definer.JobCancelled, now)
	}
}

func (p *Planner) inheritTask(j *job, observed *ObservedTask, now definer.Instant) {
	name := definer.TaskName{Job: j.ID, Occurrence: observed.Occurrence, Step: observed.Step, Index: observed.Index}
	p.openReported(name)
	t := p.task(name)
	if t == nil || t.done || j.state.Final() {
		return
	}
	p.raiseLastRun(t, observed.LastRun)
	for _, number := range observed.Failed {
		t.recordFailed(number)
	}
	p.saveCheckpoint(t, observed.CheckpointRun, observed.Checkpoint)
	if t.exhausted() && !j.cancelling {
		p.finish(j, definer.JobFailed, now)
	}
}
