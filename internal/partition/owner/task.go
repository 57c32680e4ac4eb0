package owner

import (
	"time"

	"gitlab.com/greengagewall/greengagewall/internal/codec/encoder"
	"gitlab.com/greengagewall/greengagewall/internal/core/scheduler"
	"gitlab.com/greengagewall/greengagewall/internal/domain/modeler"
	"gitlab.com/greengagewall/greengagewall/internal/partition/replayer"
)

// defaultAttempts limits the starts of a task whose job sets no limit.
const defaultAttempts = 3

// job is an accepted job.
type job struct {
	modeler.Job
	tasks     []*task
	openTasks int
	// queuedTasks counts the tasks that are at no endpoint and not final.
	queuedTasks int
	endedAt     time.Time
	cancelled   bool
	// scheduled is set once the scheduler knows the job.
	scheduled bool
}

// task is a task of a job.
type task struct {
	id      modeler.TaskID
	job     *job
	state   modeler.TaskState
	attempt int
	// attemptOffset is the number of attempts that the scheduler does not
	// count.
	attemptOffset int
	// endpoint is the endpoint that runs or may run the task.
	endpoint *endpoint
	session  modeler.SessionID
	// sent is set once the start was sent under session.
	sent bool
	// mayHaveRun is set while a task that may run only once may have run.
	mayHaveRun bool
	// startErr is the error of a start that may have taken effect.
	startErr error
	// confirmedAt is when the owner learned that the task runs.
	confirmedAt time.Time
	started     time.Time
	// missedRenewals counts renewals in a row that did not list the task.
	missedRenewals int
	// stopAction is the action sent to end the task; empty if it is not to end.
	stopAction Action
	stopSentAt time.Time
	stopReason string
}

// maxAttempts returns the maximum number of starts of a task.
func (j *job) maxAttempts() int {
	if j.Attempts > 0 {
		return j.Attempts
	}

	return defaultAttempts
}

// addJob adds an accepted job to the state; its tasks are queued.
func (c *Core) addJob(accepted modeler.Job) *job {
	j := &job{Job: accepted, openTasks: accepted.Tasks, tasks: make([]*task, accepted.Tasks)}
	for i := range j.tasks {
		t := &task{id: replayer.TaskID(accepted.ID, i), job: j, state: modeler.TaskQueued}
		j.tasks[i] = t
		c.tasks[t.id] = t
	}
	c.jobs[accepted.ID] = j
	c.countQueued(j, accepted.Tasks)

	return j
}

// countQueued changes the number of a job's queued tasks by delta and updates
// the team's number of jobs that have any.
func (c *Core) countQueued(j *job, delta int) {
	before := j.queuedTasks > 0
	j.queuedTasks += delta
	c.queuedTasks += delta
	if after := j.queuedTasks > 0; after != before {
		if after {
			c.team(j.Team).queuedJobs[j.Queue]++
		} else {
			c.team(j.Team).queuedJobs[j.Queue]--
		}
	}
}

// place records that a task is or may be at an endpoint.
func (c *Core) place(t *task, e *endpoint) {
	t.endpoint, t.session, t.sent, t.missedRenewals, t.startErr = e, 0, false, 0, nil
	t.confirmedAt = time.Time{}
	t.stopAction, t.stopSentAt, t.stopReason = "", time.Time{}, ""
	e.tasks[t.id] = t
	c.countQueued(t.job, -1)
	c.team(t.job.Team).use(t.job.Needs)
}

// unplace records that a task is no longer at its endpoint.
func (c *Core) unplace(t *task) {
	if t.endpoint == nil {
		return
	}
	delete(t.endpoint.tasks, t.id)
	c.team(t.job.Team).free(t.job.Needs)
	e := t.endpoint
	t.endpoint = nil
	c.countQueued(t.job, 1)
	if !t.job.scheduled {
		c.syncEndpoint(e)
	}
}

// setTaskState sets the state of a task and writes it to the stream.
func (c *Core) setTaskState(t *task, state modeler.TaskState, cause string, w *pendingWrite) {
	if t.state.Final() {
		return
	}
	t.state = state
	change := encoder.TaskChange{Job: t.job.ID, Task: t.id, State: state, Attempt: t.attempt, Time: c.now.UTC().Round(0), Cause: cause}
	if t.endpoint != nil {
		change.Endpoint = t.endpoint.instance.ID
	}
	if state.Final() {
		if t.endpoint == nil {
			c.countQueued(t.job, -1)
		}
		t.job.openTasks--
		t.job.endedAt = c.now
	}
	if state == modeler.TaskRunning && !t.started.IsZero() {
		change.Time = t.started.UTC().Round(0)
	}
	c.write(item{task: &change, pending: w})
}

// recordTask writes a record about a task.
func (c *Core) recordTask(t *task, event modeler.Event, cause string) {
	c.record(c.taskRecord(t, event, cause, ""))
}

// taskRecord returns a record about a task.
func (c *Core) taskRecord(t *task, event modeler.Event, cause, detail string) modeler.Record {
	r := modeler.Record{
		Time: c.now, Team: t.job.Team, Queue: t.job.Queue, Job: t.job.ID, Task: t.id, Event: event, Cause: cause, Detail: detail,
	}
	if t.endpoint != nil {
		r.Endpoint = t.endpoint.instance.ID
	}

	return r
}

// execute carries out a command of the scheduler.
func (c *Core) execute(cmd scheduler.Command) {
	switch cmd := cmd.(type) {
	case scheduler.StartCmd:
		c.start(cmd)
	case scheduler.StopCmd:
		if t, ok := c.tasks[cmd.Task]; ok && t.endpoint != nil && t.endpoint.instance.ID == cmd.Endpoint {
			action := ActionStop
			if cmd.Checkpoint {
				action = ActionCheckpoint
			}
			c.stop(t, action, cmd.Reason)
		}
	case scheduler.ThrottleCmd:
		c.throttle(cmd)
	case scheduler.RecordCmd:
		c.applyRecord(cmd)
	case scheduler.TokensCmd:
		c.handleStarvation(cmd)
	}
}

// applyRecord writes the record of a decision that starts or stops nothing. A
// record that a task failed for good, or that its outcome is unknown, ends the
// task.
func (c *Core) applyRecord(cmd scheduler.RecordCmd) {
	c.record(modeler.Record{
		Team: cmd.Team, Queue: cmd.Queue, Job: cmd.Job, Task: cmd.Task, Event: cmd.Event, Cause: cmd.Cause, Detail: cmd.Detail,
	})
	j, ok := c.jobs[cmd.Job]
	if !ok || cmd.Event != modeler.EventFailed && cmd.Event != modeler.EventUnknown {
		return
	}
	state := modeler.TaskFailed
	if cmd.Event == modeler.EventUnknown {
		state = modeler.TaskUnknown
	}
	for _, t := range j.tasks {
		if t.endpoint == nil && !t.state.Final() && (cmd.Task == "" || cmd.Task == t.id) {
			c.setTaskState(t, state, cmd.Cause, nil)
		}
	}
}

// start begins the start of a task. A task that may run only once is started
// after its intent is committed.
func (c *Core) start(cmd scheduler.StartCmd) {
	t, ok := c.tasks[cmd.Task]
	if !ok {
		return
	}
	e, ok := c.endpoints[cmd.Endpoint]
	if !ok || !c.permitStart(t, e) {
		c.decide(scheduler.EndedMsg{Task: cmd.Task, Result: scheduler.ResultRefused, Cause: "not startable"})

		return
	}
	// The scheduler does not count the starts of earlier owners. Readers of the
	// stream ignore changes of an earlier attempt than the last one.
	if attempt := t.attemptOffset + cmd.Attempt; attempt <= t.attempt {
		t.attemptOffset += t.attempt + 1 - attempt
	}
	t.attempt = t.attemptOffset + cmd.Attempt
	c.place(t, e)
	if !t.job.Once {
		t.state = modeler.TaskStarting
		c.send(t, cmd.Reason)

		return
	}
	attempt := t.attempt
	c.setTaskState(t, modeler.TaskStarting, "intent", &pendingWrite{done: func(ok bool) {
		if ok && t.endpoint == e && t.attempt == attempt && !t.sent && t.state == modeler.TaskStarting {
			c.sendOnce(t, cmd.Reason)
		}
	}})
}

// sendOnce sends the start of a task whose intent is in the stream if the task
// may still be started. Otherwise the start certainly did not happen and is
// undone.
func (c *Core) sendOnce(t *task, reason string) {
	e := t.endpoint
	if t.job.cancelled || !c.ready() || !e.usable(c.now) {
		c.undoStart(t, "the endpoint was lost before the start was sent")

		return
	}
	c.send(t, reason)
}

// send sends the start of a placed task together with its decision record.
func (c *Core) send(t *task, reason string) {
	e := t.endpoint
	record := c.taskRecord(t, modeler.EventPlaced, "", reason)
	c.record(record)
	note, err := encoder.Marshal(&record)
	if err != nil {
		note = nil
	}
	t.sent, t.session, t.mayHaveRun = true, e.session, t.job.Once
	c.emit(StartCmd{Endpoint: e.instance, Request: startRequest(t, e, note)})
}

// undoStart reverts a start that certainly did not happen.
func (c *Core) undoStart(t *task, cause string) {
	once := t.job.Once
	t.mayHaveRun = false
	c.unplace(t)
	switch {
	case t.job.cancelled:
		c.setTaskState(t, modeler.TaskCancelled, cause, nil)
	case once:
		c.setTaskState(t, modeler.TaskQueued, cause, nil)
	default:
		t.state = modeler.TaskQueued
	}
	c.reportEnded(t, scheduler.EndedMsg{Task: t.id, Attempt: t.attempt - t.attemptOffset, Result: scheduler.ResultRefused, Cause: cause})
}

// markRunning records that the endpoint runs the task.
func (c *Core) markRunning(t *task, started time.Time) {
	t.confirmedAt, t.started = c.now, started
	c.setTaskState(t, modeler.TaskRunning, "", nil)
	c.recordTask(t, modeler.EventStarted, "")
	if t.job.scheduled {
		c.decide(scheduler.StartedMsg{Task: t.id})
	}
	if t.job.cancelled {
		c.stop(t, ActionStop, "cancelled")
	} else if t.stopAction != "" {
		c.sendStop(t)
	}
}

// stop requests the end of a placed task.
func (c *Core) stop(t *task, action Action, reason string) {
	if t.stopAction == ActionStop || t.stopAction == action || t.endpoint == nil {
		return
	}
	t.stopAction, t.stopReason, t.stopSentAt = action, reason, time.Time{}
	event := modeler.EventStopped
	if action == ActionCheckpoint {
		event = modeler.EventCheckpointed
	}
	c.recordTask(t, event, reason)
	if t.state == modeler.TaskRunning {
		c.sendStop(t)
	}
}

// stopInterval is the minimum interval at which a stop is repeated until the
// task has ended.
const stopInterval = time.Second

// sendStop sends the action that is to end the task, unless it was sent within
// stopInterval or there is no session to send it under.
func (c *Core) sendStop(t *task) {
	if t.endpoint.state != endpointOpen || c.now.Sub(t.stopSentAt) < stopInterval {
		return
	}
	t.stopSentAt = c.now
	c.emit(TaskCmd{Endpoint: t.endpoint.instance, Action: t.stopAction, Request: taskRequest(t.endpoint, t.id)})
}

// throttle throttles a running task.
func (c *Core) throttle(cmd scheduler.ThrottleCmd) {
	t, ok := c.tasks[cmd.Task]
	if !ok || t.endpoint == nil || t.state != modeler.TaskRunning || t.endpoint.state != endpointOpen {
		return
	}
	c.recordTask(t, modeler.EventThrottled, cmd.Reason)
	c.emit(TaskCmd{Endpoint: t.endpoint.instance, Action: ActionThrottle, Request: taskRequest(t.endpoint, t.id)})
}
