package scheduler

import (
	"slices"
	"time"

	"gitlab.com/greengagewall/greengagewall/internal/domain/modeler"
)

// maxTasks bounds the tasks of one job, so that a malformed message cannot
// exhaust memory. Admission already refuses larger jobs.
const maxTasks = 1 << 20

func (s *Scheduler) addJob(m modeler.Job, now time.Time) {
	if _, known := s.jobs[m.ID]; known || m.Tasks <= 0 || m.Tasks > maxTasks {
		return
	}
	s.seq++
	j := &job{
		Job: m, seq: s.seq, team: s.shares.Team(m.Team), history: s.historyOf(m.Queue), policy: policyOf(m.Kind),
		tasks: make([]task, m.Tasks), waiting: make([]int, m.Tasks), unfinished: m.Tasks,
	}
	j.teamQueue = s.teamQueueOf(j.team)
	for i := range j.tasks {
		j.tasks[i] = task{state: modeler.TaskQueued, at: -1, queuedAt: now}
		j.waiting[i] = i
	}
	j.band = s.bandOf(j)
	s.updateSize(j)
	s.jobs[m.ID] = j
	s.stats.Queued += m.Tasks
	s.shares.AddQueued(j.team, m.Needs.Scale(int64(m.Tasks)))
	s.enqueue(j)
	s.newJobs = append(s.newJobs, j)
	s.watchDeadline(j, now)
}

// enqueue adds a job with queued tasks to its team's queue.
func (s *Scheduler) enqueue(j *job) {
	s.changed = true
	j.teamQueue.add(j)
	if !j.teamQueue.listed[j.band] {
		j.teamQueue.listed[j.band] = true
		s.queuesByBand[j.band] = append(s.queuesByBand[j.band], j.teamQueue)
	}
}

// bandOf returns the priority band for the class of a job.
func (s *Scheduler) bandOf(j *job) band {
	if !s.settings.Bands {
		return bandStandard
	}
	switch j.Class {
	case modeler.ClassUrgent:
		return bandUrgent
	case modeler.ClassDeferred:
		return bandDeferred
	case modeler.ClassStandard:
		return bandStandard
	}

	return bandStandard
}

// findTask returns the task with the given ID.
func (s *Scheduler) findTask(id modeler.TaskID) (taskRef, bool) {
	jobID, index, ok := ParseTaskID(id)
	if !ok {
		return taskRef{}, false
	}
	j, known := s.jobs[jobID]
	if !known || index >= len(j.tasks) {
		return taskRef{}, false
	}

	return taskRef{j, index}, true
}

// adopt charges a running task that this scheduler did not start. A task that
// already runs elsewhere or is final is stopped instead, since no task may run
// twice at the same time.
func (s *Scheduler) adopt(m AdoptMsg, now time.Time) {
	r, known := s.findTask(m.Task)
	at, listed := s.ledger.Position(m.Endpoint)
	if !listed {
		return
	}
	if known && r.task().state == modeler.TaskRunning && r.task().at == at {
		return
	}
	if !known || r.task().state != modeler.TaskQueued {
		s.emit(StopCmd{Task: m.Task, Endpoint: m.Endpoint, Reason: "runs elsewhere or has ended"})

		return
	}
	t := r.task()
	s.removeWaiting(r)
	t.starts, t.attemptsUsed, t.startedAt = max(m.Attempt, t.starts), max(m.Attempt, t.attemptsUsed), m.Started
	if t.startedAt.IsZero() {
		t.startedAt = now
	}
	s.ledger.Adopt(at, r.job.Needs)
	s.assign(r, at, r.job.Needs)
	if r.job.cancelled {
		s.emit(StopCmd{Task: m.Task, Endpoint: m.Endpoint, Reason: "cancelled"})
	}
}

// removeWaiting removes a task from its job's waiting list.
func (s *Scheduler) removeWaiting(r taskRef) {
	j := r.job
	for i, index := range j.waiting {
		if index == r.index {
			j.waiting = slices.Delete(j.waiting, i, i+1)

			break
		}
	}
	s.dequeued(j, 1)
}

// dequeued updates the accounting after count tasks left the job's waiting list.
func (s *Scheduler) dequeued(j *job, count int) {
	s.stats.Queued -= count
	s.shares.AddQueued(j.team, j.Needs.Scale(int64(-count)))
	if len(j.waiting) == 0 {
		j.teamQueue.remove(j)
		j.blockedSince = time.Time{}
		s.dropReservation(j)
	}
}

// assign records a task as running on an endpoint that has been charged for it.
func (s *Scheduler) assign(r taskRef, at int, charged modeler.Resources) {
	t := r.task()
	t.state, t.at, t.charged = modeler.TaskRunning, at, charged
	t.index = len(s.tasksAt[at])
	s.tasksAt[at] = append(s.tasksAt[at], r)
	r.job.running++
	s.stats.Running++
	s.shares.AddRunning(r.job.team, r.job.Needs)
	if r.job.precedesDeadlines() {
		s.usageBeforeDeadlines = s.usageBeforeDeadlines.Add(r.job.Needs)
	}
}

// unassign reverts assign and releases the charge.
func (s *Scheduler) unassign(r taskRef) {
	t := r.task()
	list := s.tasksAt[t.at]
	last := list[len(list)-1]
	list[t.index] = last
	last.task().index = t.index
	s.tasksAt[t.at] = list[:len(list)-1]
	s.ledger.Release(t.at, t.charged)
	r.job.running--
	s.stats.Running--
	s.shares.AddRunning(r.job.team, r.job.Needs.Scale(-1))
	if r.job.precedesDeadlines() {
		s.usageBeforeDeadlines = s.usageBeforeDeadlines.Sub(r.job.Needs)
	}
	t.at, t.charged = -1, modeler.Resources{}
}

// start starts the next queued task of j on the endpoint at a position. It reports
// false if the ledger has no room.
func (s *Scheduler) start(j *job, at int, now time.Time) bool {
	r := taskRef{j, j.waiting[0]}
	t := r.task()
	charge := j.size
	if t.state != modeler.TaskQueued || !j.team.Allows(j.Needs) {
		s.recordViolation("start of a task that is not queued or exceeds its team's limit")

		return false
	}
	if err := s.ledger.Allocate(at, charge); err != nil {
		return false
	}
	j.waiting = j.waiting[1:]
	s.dequeued(j, 1)
	s.chargeReservation(j, at, now)
	s.assign(r, at, charge)
	t.starts++
	t.attemptsUsed++
	t.startedAt, t.stage, t.stopRequestedAt = now, stageNone, time.Time{}
	s.stats.Starts++
	s.emit(StartCmd{
		Task: FormatTaskID(j.ID, r.index), Job: j.Job, Endpoint: s.ledger.Node(at).ID, Attempt: t.starts,
		Waited: now.Sub(t.queuedAt), Reason: s.startReason(j),
	})

	return true
}

// started ignores the confirmation: run time counts from the start command, which
// precedes the confirmation by at most one round trip.
func (s *Scheduler) started(StartedMsg) {}

func (s *Scheduler) ended(m EndedMsg, now time.Time) {
	if r, known := s.findTask(m.Task); known {
		s.end(r, m, now)
	}
}

// end applies the end of a task. A queued task can end too: after a takeover the
// log may show that it finished under the previous owner.
func (s *Scheduler) end(r taskRef, m EndedMsg, now time.Time) {
	t := r.task()
	switch t.state {
	case modeler.TaskQueued:
		if state := finalState(r, m.Result); state != modeler.TaskQueued {
			s.removeWaiting(r)
			s.finish(r, state)
		}

		return
	case modeler.TaskRunning, modeler.TaskStarting:
		if m.Attempt != 0 && m.Attempt != t.starts {
			return
		}
	case modeler.TaskFinished, modeler.TaskFailed, modeler.TaskCancelled, modeler.TaskUnknown:
		return
	}
	at := t.at
	s.learn(r, m, now)
	s.countLoss(r, m, now)
	s.unassign(r)
	if t.stage == stageNone && !r.job.cancelled {
		s.updateHealth(r.job, at, m, now)
	}
	if m.Checkpointed {
		t.progress += now.Sub(t.startedAt)
	}
	preempted := t.stage != stageNone || r.job.cancelled
	if t.stage != stageNone {
		r.job.teamQueue.stopping = r.job.teamQueue.stopping.Sub(r.job.Needs)
	}
	t.stage = stageNone
	switch {
	case m.Result == ResultOK:
		s.finish(r, modeler.TaskFinished)
	case r.job.cancelled:
		s.finish(r, modeler.TaskCancelled)
	case m.Result == ResultUnknown:
		s.finish(r, modeler.TaskUnknown)
	default:
		s.requeueOrFail(r, m, preempted, now)
	}
}

// finalState returns the final state of a queued task after a result, or
// TaskQueued if the result is not final. A failure counts only if this scheduler
// never started the task; otherwise the report is a repetition.
func finalState(r taskRef, result Result) modeler.TaskState {
	switch result {
	case ResultOK:
		return modeler.TaskFinished
	case ResultUnknown:
		return modeler.TaskUnknown
	case ResultFailed:
		if r.task().starts == 0 {
			return modeler.TaskFailed
		}
	case ResultRequeue, ResultRefused:
	}

	return modeler.TaskQueued
}

// requeueOrFail queues a task again, or ends it when its attempts are used up. A
// start that was refused or preempted does not count as an attempt, because the
// task did not cause it.
func (s *Scheduler) requeueOrFail(r taskRef, m EndedMsg, preempted bool, now time.Time) {
	t, j := r.task(), r.job
	refund := m.Result == ResultRefused || (m.Result == ResultRequeue && preempted && !j.Once)
	if refund {
		t.attemptsUsed--
	}
	if !refund && t.attemptsUsed >= j.maxAttempts() {
		state := modeler.TaskFailed
		if j.Once && m.Result == ResultRequeue {
			state = modeler.TaskUnknown
		}
		s.recordFailure(r, m)
		s.finish(r, state)

		return
	}
	t.state, t.queuedAt = modeler.TaskQueued, now
	wasEmpty := len(j.waiting) == 0
	j.waiting = append(j.waiting, r.index)
	s.stats.Queued++
	s.shares.AddQueued(j.team, j.Needs)
	if wasEmpty {
		s.updateSize(j)
		s.enqueue(j)
	}
	if j.Kind == modeler.WorkGang && j.running > 0 {
		s.stopGang(j, now)
	}
}

// stopGang stops the running tasks of a gang when one of its tasks must start
// again, since the tasks of a gang only run together.
func (s *Scheduler) stopGang(j *job, now time.Time) {
	for i := range j.tasks {
		t := &j.tasks[i]
		if t.state != modeler.TaskRunning || t.stage != stageNone {
			continue
		}
		t.stage, t.stopRequestedAt = stageStop, now
		j.teamQueue.stopping = j.teamQueue.stopping.Add(j.Needs)
		s.emit(StopCmd{
			Task: FormatTaskID(j.ID, i), Endpoint: s.ledger.Node(t.at).ID, Checkpoint: true, Reason: "another task of the job ended early",
		})
	}
}

// finish sets the final state of a task and removes the job after its last task.
func (s *Scheduler) finish(r taskRef, state modeler.TaskState) {
	r.task().state = state
	r.job.unfinished--
	if r.job.unfinished == 0 {
		s.dropReservation(r.job)
		s.unwatchDeadline(r.job)
		delete(s.jobs, r.job.ID)
	}
}

func (s *Scheduler) cancel(m CancelMsg, now time.Time) {
	j, known := s.jobs[m.Job]
	if !known || j.cancelled {
		return
	}
	j.cancelled = true
	waiting := j.waiting
	j.waiting = nil
	s.dequeued(j, len(waiting))
	for i := range j.tasks {
		if t := &j.tasks[i]; t.state == modeler.TaskRunning {
			t.stopRequestedAt = now
			s.emit(StopCmd{Task: FormatTaskID(j.ID, i), Endpoint: s.ledger.Node(t.at).ID, Reason: "cancelled"})
		}
	}
	for _, index := range waiting {
		s.finish(taskRef{j, index}, modeler.TaskCancelled)
	}
}
