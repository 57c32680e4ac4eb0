package scheduler

import (
	"slices"
	"time"

	"gitlab.com/greengagewall/greengagewall/internal/domain/modeler"
)

// maxTasks bounds the tasks of one job, so that a malformed message cannot
// exhaust memory; admission refuses larger jobs.
const maxTasks = 1 << 20

func (s *Scheduler) addJob(m modeler.Job, now time.Time) {
	if _, known := s.jobs[m.ID]; known || m.Tasks <= 0 || m.Tasks > maxTasks {
		return
	}
	s.seq++
	j := &job{
		Job: m, seq: s.seq, team: s.shares.Team(m.Team), queue: s.queueOf(m.Queue), kind: policyOf(m.Kind),
		tasks: make([]task, m.Tasks), waiting: make([]int, m.Tasks), live: m.Tasks,
	}
	j.line = s.lineOf(j.team)
	for i := range j.tasks {
		j.tasks[i] = task{state: modeler.TaskQueued, at: -1, queued: now}
		j.waiting[i] = i
	}
	j.band = s.bandOf(j)
	s.resize(j)
	s.jobs[m.ID] = j
	s.stats.Queued += m.Tasks
	s.shares.AddQueued(j.team, m.Needs.Scale(int64(m.Tasks)))
	s.enqueue(j)
	s.fresh = append(s.fresh, j)
	s.watch(j, now)
}

// enqueue puts a job with waiting tasks into its team's line.
func (s *Scheduler) enqueue(j *job) {
	s.changed = true
	j.line.add(j)
	if !j.line.present[j.band] {
		j.line.present[j.band] = true
		s.waiting[j.band] = append(s.waiting[j.band], j.line)
	}
}

// bandOf returns the band of a job by its class.
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

// find returns the task that an id names.
func (s *Scheduler) find(id modeler.TaskID) (ref, bool) {
	name, index, ok := ParseTaskID(id)
	if !ok {
		return ref{}, false
	}
	j, known := s.jobs[name]
	if !known || index >= len(j.tasks) {
		return ref{}, false
	}

	return ref{j, index}, true
}

// adopt charges a task that runs although this scheduler did not start it. A
// task that runs elsewhere or is final is stopped instead, since no task may
// run in two places.
func (s *Scheduler) adopt(m AdoptMsg, now time.Time) {
	r, known := s.find(m.Task)
	at, endpoint := s.ledger.Position(m.Endpoint)
	if !endpoint {
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
	s.unwait(r)
	t.starts, t.used, t.started = max(m.Attempt, t.starts), max(m.Attempt, t.used), m.Started
	if t.started.IsZero() {
		t.started = now
	}
	s.ledger.Adopt(at, r.job.Needs)
	s.occupy(r, at, r.job.Needs)
	if r.job.cancelled {
		s.emit(StopCmd{Task: m.Task, Endpoint: m.Endpoint, Reason: "cancelled"})
	}
}

// unwait takes a task out of its job's waiting list.
func (s *Scheduler) unwait(r ref) {
	j := r.job
	for i, index := range j.waiting {
		if index == r.index {
			j.waiting = slices.Delete(j.waiting, i, i+1)

			break
		}
	}
	s.dequeued(j, 1)
}

// dequeued accounts for count tasks that left the job's waiting list.
func (s *Scheduler) dequeued(j *job, count int) {
	s.stats.Queued -= count
	s.shares.AddQueued(j.team, j.Needs.Scale(int64(-count)))
	if len(j.waiting) == 0 {
		j.line.remove(j)
		j.blocked = time.Time{}
		s.dropReservation(j)
	}
}

// occupy records a task as running on an endpoint that was charged for it.
func (s *Scheduler) occupy(r ref, at int, charged modeler.Resources) {
	t := r.task()
	t.state, t.at, t.charged = modeler.TaskRunning, at, charged
	t.slot = len(s.tenants[at])
	s.tenants[at] = append(s.tenants[at], r)
	r.job.running++
	s.stats.Running++
	s.shares.AddRunning(r.job.team, r.job.Needs)
	if r.job.fixed() {
		s.fixed = s.fixed.Add(r.job.Needs)
	}
}

// vacate undoes occupy and gives the charge back.
func (s *Scheduler) vacate(r ref) {
	t := r.task()
	list := s.tenants[t.at]
	last := list[len(list)-1]
	list[t.slot] = last
	last.task().slot = t.slot
	s.tenants[t.at] = list[:len(list)-1]
	s.ledger.Release(t.at, t.charged)
	r.job.running--
	s.stats.Running--
	s.shares.AddRunning(r.job.team, r.job.Needs.Scale(-1))
	if r.job.fixed() {
		s.fixed = s.fixed.Sub(r.job.Needs)
	}
	t.at, t.charged = -1, modeler.Resources{}
}

// start starts the next waiting task of j at a position and reports whether
// the ledger had room.
func (s *Scheduler) start(j *job, at int, now time.Time) bool {
	r := ref{j, j.waiting[0]}
	t := r.task()
	charge := j.size
	if t.state != modeler.TaskQueued || !j.team.Allows(j.Needs) {
		s.fault("start of a task that is not queued or above its team's limit")

		return false
	}
	if err := s.ledger.Allocate(at, charge); err != nil {
		return false
	}
	j.waiting = j.waiting[1:]
	s.dequeued(j, 1)
	s.useReservation(j, at, now)
	s.occupy(r, at, charge)
	t.starts++
	t.used++
	t.started, t.stage, t.stopped = now, stageNone, time.Time{}
	s.stats.Starts++
	s.emit(StartCmd{
		Task: FormatTaskID(j.ID, r.index), Job: j.Job, Endpoint: s.ledger.Node(at).ID, Attempt: t.starts,
		Waited: now.Sub(t.queued), Reason: s.why(j),
	})

	return true
}

// started corrects nothing: the run time is counted from the start, which
// precedes the confirmation by at most the time of one round trip.
func (s *Scheduler) started(StartedMsg) {}

func (s *Scheduler) ended(m EndedMsg, now time.Time) {
	if r, known := s.find(m.Task); known {
		s.end(r, m, now)
	}
}

// end applies the end of a task. A queued task can end too: after a takeover
// the log may say that it finished under the former owner.
func (s *Scheduler) end(r ref, m EndedMsg, now time.Time) {
	t := r.task()
	switch t.state {
	case modeler.TaskQueued:
		if state := finalState(r, m.Result); state != modeler.TaskQueued {
			s.unwait(r)
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
	s.vacate(r)
	if t.stage == stageNone && !r.job.cancelled {
		s.judge(r.job, at, m, now)
	}
	if m.Checkpointed {
		t.progress += now.Sub(t.started)
	}
	preempted := t.stage != stageNone || r.job.cancelled
	if t.stage != stageNone {
		r.job.line.leaving = r.job.line.leaving.Sub(r.job.Needs)
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
		s.retry(r, m, preempted, now)
	}
}

// finalState returns the final state that a result gives a queued task, or
// TaskQueued if the result is not final. A failure counts only if this
// scheduler never started the task; otherwise it is a repeated report.
func finalState(r ref, result Result) modeler.TaskState {
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

// retry queues a task again or ends it after its attempts. A start that was
// refused or preempted does not use up an attempt, because the task had no
// part in it.
func (s *Scheduler) retry(r ref, m EndedMsg, preempted bool, now time.Time) {
	t, j := r.task(), r.job
	refund := m.Result == ResultRefused || (m.Result == ResultRequeue && preempted && !j.Once)
	if refund {
		t.used--
	}
	if !refund && t.used >= j.attempts() {
		state := modeler.TaskFailed
		if j.Once && m.Result == ResultRequeue {
			state = modeler.TaskUnknown
		}
		s.noteFailed(r, m)
		s.finish(r, state)

		return
	}
	t.state, t.queued = modeler.TaskQueued, now
	wasEmpty := len(j.waiting) == 0
	j.waiting = append(j.waiting, r.index)
	s.stats.Queued++
	s.shares.AddQueued(j.team, j.Needs)
	if wasEmpty {
		s.resize(j)
		s.enqueue(j)
	}
	if j.Kind == modeler.WorkGang && j.running > 0 {
		s.recall(j, now)
	}
}

// recall stops the running tasks of an all-at-once job one of whose tasks must
// start again, since its tasks only run together.
func (s *Scheduler) recall(j *job, now time.Time) {
	for i := range j.tasks {
		t := &j.tasks[i]
		if t.state != modeler.TaskRunning || t.stage != stageNone {
			continue
		}
		t.stage, t.stopped = stageStop, now
		j.line.leaving = j.line.leaving.Add(j.Needs)
		s.emit(StopCmd{
			Task: FormatTaskID(j.ID, i), Endpoint: s.ledger.Node(t.at).ID, Checkpoint: true, Reason: "another task of the job ended early",
		})
	}
}

// finish makes a task final and forgets the job after its last task.
func (s *Scheduler) finish(r ref, state modeler.TaskState) {
	r.task().state = state
	r.job.live--
	if r.job.live == 0 {
		s.dropReservation(r.job)
		s.unwatch(r.job)
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
			t.stopped = now
			s.emit(StopCmd{Task: FormatTaskID(j.ID, i), Endpoint: s.ledger.Node(t.at).ID, Reason: "cancelled"})
		}
	}
	for _, index := range waiting {
		s.finish(ref{j, index}, modeler.TaskCancelled)
	}
}
