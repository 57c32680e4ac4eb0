package planner

import (
	"iter"
	"slices"
	"time"

	"gitlab.com/greengagewall/greengagewall/internal/cell/definer"
)

// Progress is the stored progress of a job.
type Progress struct {
	State definer.JobState
	Begun bool           `msgpack:",omitempty"`
	Tasks []TaskProgress `msgpack:",omitempty"`
	// Answers holds the answers of the placement policy for steps that wait.
	Answers []StepAnswers `msgpack:",omitempty"`
	// Occurrences holds the ranges of the numbers of the occurrences that are done, as of ranger.Set, and Finished
	// what is done of the others.
	Occurrences []int      `msgpack:",omitempty"`
	Finished    []Finished `msgpack:",omitempty"`
	// Parts is the number of further records, which hold the tasks that have no room in the first one. It never
	// becomes lower, so that each append replaces all of them.
	Parts int `msgpack:",omitempty"`
	// More holds the tasks of the further records.
	More [][]TaskProgress `msgpack:"-"`
}

// TaskProgress is the stored progress of a task that has been started.
type TaskProgress struct {
	_msgpack   struct{} `msgpack:",as_array"` //nolint:unused // The encoder looks for this field.
	Occurrence int
	Step       int
	Index      int
	// Done is only set in records of earlier versions, which hold the tasks that are done one by one.
	Done       bool
	LastRun    int
	WrittenOff int
	Failed     []int
	Checkpoint string
}

// Snapshot is the progress of a job whose stored record is out of date.
type Snapshot struct {
	ID       string
	Queue    string
	Account  string
	Progress Progress
	// Location is where the job was accepted, if it is final. The definition, which also has it, is removed then.
	Location definer.Location `msgpack:",omitempty"`
}

// maxDirtyTasks is the number of tasks from which no more jobs are added to the
// result of Dirty. A task takes about 50 bytes in a record, and the store accepts
// 2 MiB in an append.
const maxDirtyTasks = 8000

// markDirty records that the stored progress of a job is out of date.
func (p *Planner) markDirty(j *job) {
	if j.isDirty() {
		return
	}
	p.changes++
	j.change = p.changes
	p.dirty = append(p.dirty, j)
}

// Dirty returns the progress of jobs that have changed since it was last returned,
// and, for each endpoint with ends that are not acknowledged, the highest number of
// an end that this and earlier progress includes. Further jobs follow in the next
// call. Jobs that are final or being cancelled come first, since callers wait for
// them and their progress has no tasks, then those that changed first.
func (p *Planner) Dirty() ([]Snapshot, map[string]int64) {
	p.markBegun()
	c := collection{planner: p}
	c.add(p.dirty, (*job).isEnding)
	c.add(p.dirty, (*job).isDirty)
	p.dirty = slices.DeleteFunc(p.dirty, func(j *job) bool { return !j.isDirty() })
	through := p.changes
	if len(p.dirty) > 0 {
		through = p.dirty[0].change - 1
	}
	ends := make(map[string]int64, len(p.unacknowledged))
	for e := range p.unacknowledged {
		if number := e.endsThrough(through); number > e.acknowledgedEnd {
			ends[e.ID] = number
		}
	}

	return c.snapshots, ends
}

// collection collects the progress of jobs until it has that of maxDirtyTasks tasks.
type collection struct {
	planner   *Planner
	snapshots []Snapshot
	tasks     int
}

// add adds the progress of the dirty jobs that are selected, which are not dirty any more then.
func (c *collection) add(jobs []*job, selected func(*job) bool) {
	for _, j := range jobs {
		if c.tasks >= maxDirtyTasks {
			return
		}
		if !j.isDirty() || !selected(j) {
			continue
		}
		j.change = 0
		if c.planner.jobs[j.ID] != j {
			continue
		}
		snapshot := Snapshot{ID: j.ID, Queue: j.Queue.Name, Account: j.Account, Progress: j.progress(c.planner.settings.RecordLimit())}
		if snapshot.Progress.State.Final() {
			snapshot.Location = j.Location
		}
		c.tasks += 1 + snapshot.Progress.Size()
		c.snapshots = append(c.snapshots, snapshot)
	}
}

// isDirty reports whether the stored progress of j is out of date.
func (j *job) isDirty() bool { return j.change != 0 }

// isEnding reports whether j is final or being cancelled.
func (j *job) isEnding() bool { return j.state.Final() || j.cancelling }

// IsDirty reports whether a job has progress that Dirty has not returned yet.
func (p *Planner) IsDirty(id string) bool {
	j := p.jobs[id]

	return j != nil && j.isDirty()
}

// reportedEnd is the highest number of the ends in a report, and the last change
// number after the report was processed: once that change is stored, so are the ends.
type reportedEnd struct {
	number int64
	change uint64
}

// endsThrough returns the highest number of an end whose changes have numbers up to
// through, or 0.
func (e *endpoint) endsThrough(through uint64) int64 {
	number := int64(0)
	for _, reported := range e.reportedEnds {
		if reported.change <= through {
			number = reported.number
		}
	}

	return number
}

// acknowledge records that the ends up to number are stored, and reports whether
// these are all.
func (e *endpoint) acknowledge(number int64) bool {
	e.acknowledgedEnd = max(e.acknowledgedEnd, number)
	stored := 0
	for stored < len(e.reportedEnds) && e.reportedEnds[stored].number <= e.acknowledgedEnd {
		stored++
	}
	e.reportedEnds = append([]reportedEnd(nil), e.reportedEnds[stored:]...)

	return e.acknowledgedEnd >= e.lastEnd
}

// MarkDirty marks jobs whose progress could not be stored, so that Dirty returns
// them again.
func (p *Planner) MarkDirty(snapshots []Snapshot) {
	for i := range snapshots {
		if j := p.jobs[snapshots[i].ID]; j != nil {
			p.markDirty(j)
		}
	}
}

// Acknowledge records that the ends up to the given numbers are stored. lives
// holds the life of each endpoint at the time of the snapshot; the numbers of an
// endpoint that has restarted since then are ignored.
func (p *Planner) Acknowledge(ends map[string]int64, lives map[string]int64) {
	for id, number := range ends {
		e := p.endpoints[id]
		if e == nil || e.life != lives[id] {
			continue
		}
		if e.acknowledge(number) {
			delete(p.unacknowledged, e)
		}
	}
}

// Stored records that the snapshots have been written to the store.
func (p *Planner) Stored(snapshots []Snapshot) {
	for i := range snapshots {
		j := p.jobs[snapshots[i].ID]
		if j == nil {
			continue
		}
		if snapshots[i].Progress.State.Final() {
			j.finalStored = true
		}
	}
}

// Lives returns the current life of each endpoint with ends that are not
// acknowledged, identified by its start time.
func (p *Planner) Lives() map[string]int64 {
	lives := make(map[string]int64, len(p.unacknowledged))
	for e := range p.unacknowledged {
		lives[e.ID] = e.life
	}

	return lives
}

// progress returns the progress of j, in records of up to recordLimit bytes.
func (j *job) progress(recordLimit int) Progress {
	progress := Progress{State: j.state, Begun: j.begun}
	if j.cancelling {
		progress.State = definer.JobCancelled
	}
	if progress.State.Final() {
		progress.Parts = j.parts

		return progress
	}
	var tasks []TaskProgress
	for t := range j.startedTasks() {
		tasks = append(tasks, TaskProgress{
			Occurrence: t.step.occurrence.number, Step: t.step.index, Index: t.index, LastRun: t.lastRun,
			WrittenOff: t.writtenOff, Failed: t.failed, Checkpoint: t.checkpoint,
		})
	}
	progress.Tasks, progress.More = splitTasks(tasks, int(maxPartShare*float64(recordLimit)))
	j.parts = max(j.parts, len(progress.More))
	progress.Parts = j.parts
	for len(progress.More) < j.parts {
		progress.More = append(progress.More, nil)
	}
	progress.Occurrences, progress.Finished = j.finished.Bounds(), j.finishedSteps()
	progress.Answers = j.storedAnswers(int(maxAnswersShare * float64(recordLimit)))

	return progress
}

const (
	// maxPartShare bounds the tasks in a record, as a share of what the store accepts. The first record also holds what
	// is done, and the answers of policies.
	maxPartShare = 3.0 / 8
	// taskNumbersSize is the size of the numbers of a task's progress at most, and runNumberSize that of a run number.
	taskNumbersSize, runNumberSize = 32, 9
)

// splitTasks divides the progress of tasks into parts of up to the given size in bytes.
func splitTasks(tasks []TaskProgress, maxSize int) (first []TaskProgress, more [][]TaskProgress) {
	var parts [][]TaskProgress
	begin, size := 0, 0
	for i := range tasks {
		taskSize := taskNumbersSize + runNumberSize*len(tasks[i].Failed) + len(tasks[i].Checkpoint)
		if size += taskSize; size > maxSize && i > begin {
			parts = append(parts, tasks[begin:i])
			begin, size = i, taskSize
		}
	}
	parts = append(parts, tasks[begin:])

	return parts[0], parts[1:]
}

// Size returns the number of tasks in the records of p.
func (p *Progress) Size() int {
	total := len(p.Tasks)
	for _, tasks := range p.More {
		total += len(tasks)
	}

	return total
}

// startedTasks returns the open tasks of j that may have been started.
func (j *job) startedTasks() iter.Seq[*task] {
	return func(yield func(*task) bool) {
		for _, o := range j.occurrences {
			for _, s := range o.steps {
				for _, t := range s.tasks {
					if t.lastRun > 0 && !yield(t) {
						return
					}
				}
			}
		}
	}
}

// Restore adds a job that is not final from the store, with its progress.
func (p *Planner) Restore(definition definer.Job, progress Progress, now definer.Instant, wall time.Time) {
	j := p.newJob(definition, now, wall)
	j.inherited = true
	j.begun = progress.Begun
	j.parts = progress.Parts
	p.addFinished(j, progress.Occurrences, progress.Finished, now)
	for i := range progress.Tasks {
		p.restoreTask(j, &progress.Tasks[i], now)
	}
	p.advance(j, wall)
	p.restoreAnswers(j, progress.Answers)
}

// restoreTask restores the progress of a task, which it opens.
func (p *Planner) restoreTask(j *job, stored *TaskProgress, now definer.Instant) {
	name := definer.TaskName{Job: j.ID, Occurrence: stored.Occurrence, Step: stored.Step, Index: stored.Index}
	p.openReported(name)
	t := p.task(name)
	if t == nil || t.done {
		return
	}
	t.lastRun = stored.LastRun
	t.writtenOff = stored.WrittenOff
	for _, number := range stored.Failed {
		t.recordFailed(number)
	}
	t.checkpoint, t.checkpointRun = stored.Checkpoint, stored.LastRun
	if stored.Done {
		p.taskDone(t, now)
	}
}

// RestoreFinal adds a final job from the store.
func (p *Planner) RestoreFinal(snapshot *Snapshot, now definer.Instant) {
	definition := definer.Job{ID: snapshot.ID, Account: snapshot.Account, Queue: definer.Queue{Name: snapshot.Queue}, Location: snapshot.Location}
	j := &job{Job: definition, state: snapshot.Progress.State, finishedAt: now, finalStored: true}
	p.jobs[j.ID] = j
	p.finished = append(p.finished, j)
}

// HasUnstoredProgress reports whether jobs have changed since the last call of
// Dirty or ends are not acknowledged.
func (p *Planner) HasUnstoredProgress() bool {
	return len(p.dirty) > 0 || len(p.unacknowledged) > 0
}

// HasUnacknowledgedEnds reports whether the endpoint has reported ends that are
// not stored yet.
func (p *Planner) HasUnacknowledgedEnds(id string) bool {
	e := p.endpoints[id]

	return e != nil && e.lastEnd > e.acknowledgedEnd
}
