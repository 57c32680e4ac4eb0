package planner

import (
	"cmp"
	"math"
	"slices"
	"time"

	"gitlab.com/greengagewall/greengagewall/internal/cell/definer"
	"gitlab.com/greengagewall/greengagewall/internal/container/ranger"
)

// A job of a few bytes can have any number of occurrences, steps and tasks whose turn comes
// at once. The owner keeps only a part of them in memory, its open tasks, and of those that
// are done only their numbers, as ranges. The first ones open first; when some are done, the
// next ones follow.
//
// Load pattern: one accepted job of a million occurrences, or of steps of 100,000 tasks each,
// comes to an owner with little memory, and to each later owner with the state.

const (
	// maxOpenTasks bounds the open tasks of a job that are neither long-running nor of a gang.
	maxOpenTasks = 8192
	// maxHeldTasks bounds the long-running tasks of a job, and the tasks of each of its gangs. They can't be opened
	// in part: the former never make room for others, and the latter start at the same time.
	maxHeldTasks = 8192
	// stepCost is the memory that an open step takes, as a multiple of that of a task.
	stepCost = 4
	// minOpenTasks is how many tasks of a step are open in any case, so that it goes on while the tasks of other
	// steps of its job can't start.
	minOpenTasks = 4
)

// taskKind says which bound on the open tasks of a job applies to a task.
type taskKind int

const (
	plainTask taskKind = iota
	lastingTask
	gangTask
	taskKinds
)

func kindOf(def *definer.Step) taskKind {
	switch {
	case def.Gang:
		return gangTask
	case def.LongRunning:
		return lastingTask
	default:
		return plainTask
	}
}

// tooLarge reports whether an owner can't hold the tasks of j that have to be open at the
// same time.
func tooLarge(j *definer.Job) bool {
	lasting := 0
	for i := range j.Steps {
		def := &j.Steps[i]
		if def.Gang && def.Count > maxHeldTasks {
			return true
		}
		if !def.LongRunning {
			continue
		}
		if lasting += def.Count; lasting > maxHeldTasks/j.Occurrences() {
			return true
		}
	}

	// Occurrences with tasks that last never make room for others.
	return lasting > 0 && j.Occurrences() > 1 && (stepCost+minOpenTasks)*len(j.Steps) > maxOpenTasks/j.Occurrences()
}

// dueAt returns when an occurrence of j is due. A time out of range becomes the last one in it.
func (j *job) dueAt(number int) time.Time {
	if number > 0 && j.Interval > 0 && int64(number) > math.MaxInt64/int64(j.Interval) {
		return j.First.Add(math.MaxInt64)
	}

	return j.First.Add(time.Duration(number) * max(j.Interval, 0))
}

// advance opens the occurrences and tasks of j whose turn has come, as far as the bounds
// allow it.
func (p *Planner) advance(j *job, wall time.Time) {
	if j.state.Final() || j.cancelling {
		delete(p.unopened, j)

		return
	}
	j.opening = slices.DeleteFunc(j.opening, func(s *step) bool { return s.open() })
	var due bool
	for {
		j.next = j.nextUnopened()
		due = j.next < j.Occurrences() && (j.Repeats == 0 || !wall.Before(j.dueAt(j.next)))
		if !due || !j.mayOpenOccurrence() {
			break
		}
		p.openOccurrence(j, j.next)
	}
	j.heldBack = due || len(j.opening) > 0
	if j.next >= j.Occurrences() && len(j.opening) == 0 {
		delete(p.unopened, j)
	}
}

// nextUnopened returns the lowest number of an occurrence from j.next on that is neither open nor done.
func (j *job) nextUnopened() int {
	for number := j.next; ; number++ {
		number = j.finished.NextMissing(number)
		if j.occurrence(number) == nil {
			return number
		}
	}
}

// mayOpenOccurrence reports whether one more occurrence of j may be open.
func (j *job) mayOpenOccurrence() bool {
	return len(j.occurrences) == 0 || j.openTasks[plainTask]+(stepCost+minOpenTasks)*len(j.Steps) <= maxOpenTasks
}

// openReported opens the occurrence of a task which an earlier owner has started: its
// wall clock may have been ahead, or it may have opened other occurrences.
func (p *Planner) openReported(name definer.TaskName) {
	j := p.jobs[name.Job]
	if j == nil || j.state.Final() || name.Occurrence < 0 || name.Occurrence >= j.Occurrences() || j.finished.Has(name.Occurrence) {
		return
	}
	if j.occurrence(name.Occurrence) == nil {
		p.openOccurrence(j, name.Occurrence)
	}
}

// openOccurrence creates an occurrence of j and makes its first steps ready.
func (p *Planner) openOccurrence(j *job, number int) {
	o := &occurrence{number: number, stepsLeft: len(j.Steps)}
	for i := range j.Steps {
		count := j.Steps[i].Count
		o.steps = append(o.steps, &step{job: j, occurrence: o, index: i, def: &j.Steps[i], tasksLeft: count, pendingCount: count, placed: map[*endpoint]int{}})
	}
	for i := len(o.steps) - 1; i >= 0; i-- {
		s := o.steps[i]
		s.remainingPath += s.def.Estimate
		for _, dependency := range s.def.After {
			o.steps[dependency].remainingPath = max(o.steps[dependency].remainingPath, s.remainingPath)
		}
	}
	at, _ := j.findOccurrence(number)
	j.occurrences = slices.Insert(j.occurrences, at, o)
	j.openTasks[plainTask] += stepCost * len(o.steps)
	for _, s := range o.steps {
		p.makeReady(s)
	}
}

// makeReady adds s to the ready steps if the steps that it depends on are done.
func (p *Planner) makeReady(s *step) {
	if s.tasksLeft == 0 || s.job.state.Final() || s.job.cancelling || !s.dependenciesDone() {
		return
	}
	p.readySteps[s] = struct{}{}
	if s.ready {
		return
	}
	s.ready = true
	if !s.open() {
		s.job.opening = append(s.job.opening, s)
		p.unopened[s.job] = struct{}{}
	}
}

// open opens the next tasks of s, as far as the bounds allow it, and reports whether
// none is left.
func (s *step) open() bool {
	if s.tasksLeft == 0 {
		return true
	}
	count := min(s.mayOpen(), s.unopened())
	block := make([]task, 0, max(count, 0))
	s.tasks = slices.Grow(s.tasks, cap(block))
	for s.unopened() > 0 && len(block) < count {
		s.next = s.finished.NextMissing(s.next)
		if at, found := s.find(s.next); !found {
			block = append(block, task{step: s, index: s.next})
			s.insert(at, &block[len(block)-1])
		}
		s.next++
	}

	return s.unopened() == 0
}

// unopened returns the number of tasks of s that are neither open nor done.
func (s *step) unopened() int { return s.def.Count - s.finished.Count() - len(s.tasks) }

// mayOpen returns how many more tasks of s the bounds allow to be open. A gang opens as a
// whole.
func (s *step) mayOpen() int {
	open := &s.job.openTasks
	switch {
	case s.def.Gang:
		if others := open[gangTask] - len(s.tasks); others > 0 && others+s.def.Count > maxHeldTasks {
			return 0
		}

		return s.def.Count
	case s.def.LongRunning:
		return maxHeldTasks - open[lastingTask]
	default:
		return max(maxOpenTasks-open[plainTask], minOpenTasks-len(s.tasks))
	}
}

// find returns the place of the open task with the index in s.tasks, or where it would be.
func (s *step) find(index int) (at int, found bool) {
	return slices.BinarySearchFunc(s.tasks, index, func(t *task, wanted int) int { return cmp.Compare(t.index, wanted) })
}

func (s *step) insert(at int, t *task) {
	s.tasks = slices.Insert(s.tasks, at, t)
	s.job.openTasks[kindOf(s.def)]++
}

// task returns the task of s with the index, which it opens if it is not open. Of a task
// that is done it returns one without runs.
func (s *step) task(index int) *task {
	if s.finished.Has(index) {
		return s.finishedTask(index)
	}
	at, found := s.find(index)
	if !found {
		s.insert(at, &task{step: s, index: index})
	}

	return s.tasks[at]
}

// finish records that the tasks with the indexes from first to end, end excluded, are done,
// and returns how many of them were not. They are not open any more.
func (s *step) finish(first, end int) int {
	from, _ := s.find(first)
	to, _ := s.find(end)
	for _, t := range s.tasks[from:to] {
		s.job.keepForLog(t)
	}
	s.tasks = slices.Delete(s.tasks, from, to)
	s.job.openTasks[kindOf(s.def)] -= to - from
	added := s.finished.Add(first, end)
	s.tasksLeft -= added

	return added
}

// closeOccurrence drops an occurrence that is done. The last one stays until the job is dropped.
func (j *job) closeOccurrence(o *occurrence) {
	j.finished.Add(o.number, o.number+1)
	at, found := j.findOccurrence(o.number)
	if !found || j.finished.Count() >= j.Occurrences() {
		return
	}
	j.occurrences = slices.Delete(j.occurrences, at, at+1)
	j.openTasks[plainTask] -= stepCost * len(o.steps)
}

// findOccurrence returns the place of the open occurrence with the number, or where it would be.
func (j *job) findOccurrence(number int) (at int, found bool) {
	return slices.BinarySearchFunc(j.occurrences, number, func(o *occurrence, wanted int) int { return cmp.Compare(o.number, wanted) })
}

// occurrence returns the open occurrence with the given number, or nil.
func (j *job) occurrence(number int) *occurrence {
	at, found := j.findOccurrence(number)
	if !found {
		return nil
	}

	return j.occurrences[at]
}

// keepForLog keeps a task that is done if the log needs what is known of its runs.
func (j *job) keepForLog(t *task) {
	if t.overlaps == nil || len(j.overlapping) >= maxOverlapping {
		return
	}
	if j.overlapping == nil {
		j.overlapping = map[definer.TaskName]*task{}
	}
	j.overlapping[t.name()] = t
}

// maxOverlapping bounds the tasks of a job that keepForLog keeps.
const maxOverlapping = 256

// finishedTask returns a task of s that is done and not open any more, without runs.
func (s *step) finishedTask(index int) *task {
	t := &task{step: s, index: index, done: true}
	if kept := s.job.overlapping[t.name()]; kept != nil {
		return kept
	}

	return t
}

// finishedStep returns a step of an occurrence that is done and not open any more.
func (j *job) finishedStep(name definer.TaskName) *step {
	return &step{job: j, occurrence: &occurrence{number: name.Occurrence}, index: name.Step, def: &j.Steps[name.Step], placed: map[*endpoint]int{}}
}

// has reports whether j has a task with the name.
func (j *job) has(name definer.TaskName) bool {
	return name.Occurrence >= 0 && name.Occurrence < j.Occurrences() && name.Step >= 0 && name.Step < len(j.Steps) &&
		name.Index >= 0 && name.Index < j.Steps[name.Step].Count
}

// task returns the task with the given name, or nil. It opens a task of an open occurrence.
func (p *Planner) task(name definer.TaskName) *task {
	j := p.jobs[name.Job]
	if j == nil || !j.has(name) {
		return nil
	}
	if o := j.occurrence(name.Occurrence); o != nil {
		return o.steps[name.Step].task(name.Index)
	}
	if j.finished.Has(name.Occurrence) {
		return j.finishedStep(name).finishedTask(name.Index)
	}

	return nil
}

// Finished is what is done of an open occurrence.
type Finished struct {
	_msgpack   struct{} `msgpack:",as_array"` //nolint:unused // The encoder looks for this field.
	Occurrence int
	Step       int
	// Tasks holds the ranges of the indexes of the tasks that are done, as of ranger.Set.
	Tasks []int
}

// finishedSteps returns what is done of the open occurrences of j.
func (j *job) finishedSteps() []Finished {
	var list []Finished
	for _, o := range j.occurrences {
		for _, s := range o.steps {
			if s.finished.Count() > 0 {
				list = append(list, Finished{Occurrence: o.number, Step: s.index, Tasks: s.finished.Bounds()})
			}
		}
	}

	return list
}

// addFinished records the occurrences and tasks that another owner has stored or passed on
// as done.
func (p *Planner) addFinished(j *job, occurrences []int, steps []Finished, now definer.Instant) {
	set := ranger.FromBounds(occurrences, j.Occurrences())
	for _, o := range slices.Clone(j.occurrences) {
		if !set.Has(o.number) {
			continue
		}
		for _, s := range o.steps {
			p.finishTasks(s, 0, s.def.Count, 0, now)
		}
	}
	for first, end := range set.Ranges() {
		if j.finished.Add(first, end) > 0 {
			p.markDirty(j)
		}
	}
	for i := range steps {
		name := definer.TaskName{Job: j.ID, Occurrence: steps[i].Occurrence, Step: steps[i].Step}
		if !j.has(name) {
			continue
		}
		p.openReported(name)
		o := j.occurrence(name.Occurrence)
		if o == nil {
			continue
		}
		s := o.steps[name.Step]
		done := ranger.FromBounds(steps[i].Tasks, s.def.Count)
		for first, end := range done.Ranges() {
			p.finishTasks(s, first, end, 0, now)
		}
	}
	p.completeIfDone(j, now)
}

// finishTasks marks the tasks of s with the indexes from first to end, end excluded, as done,
// and stops their runs, except those with the number of a run that ends by itself.
func (p *Planner) finishTasks(s *step, first, end, ending int, now definer.Instant) {
	if s.def.LongRunning {
		return
	}
	active := 0
	for _, t := range s.tasks {
		if t.index < first || t.index >= end {
			continue
		}
		t.done = true
		if t.activeRuns > 0 {
			active++
		}
		if t.run != nil && t.run.number != ending {
			p.stopRun(t.run)
		}
	}
	if added := s.finish(first, end); added > 0 {
		s.pendingCount -= added - active
		p.markDirty(s.job)
		p.stepAdvanced(s, now)
	}
}
