package owner

import (
	"time"

	"gitlab.com/greengagewall/greengagewall/internal/codec/encoder"
	"gitlab.com/greengagewall/greengagewall/internal/core/scheduler"
	"gitlab.com/greengagewall/greengagewall/internal/domain/modeler"
	"gitlab.com/greengagewall/greengagewall/internal/partition/replayer"
)

// defaultAttempts is the bound of starts of a task whose job names none.
const defaultAttempts = 3

// job is an accepted job.
type job struct {
	modeler.Job
	tasks []*task
	open  int
	// queued counts the tasks that are at no endpoint and not final.
	queued    int
	ended     time.Time
	cancelled bool
	// released is set once the decider knows the job.
	released bool
}

// task is a task of a job.
type task struct {
	id      modeler.TaskID
	job     *job
	state   modeler.TaskState
	attempt int
	// base is the attempts made before the decider knew the job.
	base int
	// at is the endpoint that runs or may run the task.
	at      *endpoint
	session modeler.SessionID
	// sent is set once the start was sent under session.
	sent bool
	// launched is set while a task that may run only once may have run.
	launched bool
	// doubt is the error of a start that may have taken effect.
	doubt error
	// confirmed is when the owner learned that the task runs.
	confirmed time.Time
	started   time.Time
	// missed counts renewals in a row that did not list the task.
	missed int
	// stop is the action that is to end the task.
	stop     Action
	stopSent time.Time
	why      string
}

// attempts returns the bound of starts of a task.
func (j *job) attempts() int {
	if j.Attempts > 0 {
		return j.Attempts
	}

	return defaultAttempts
}

// addJob takes an accepted job into the state; its tasks are queued.
func (c *Core) addJob(accepted modeler.Job) *job {
	j := &job{Job: accepted, open: accepted.Tasks, tasks: make([]*task, accepted.Tasks)}
	for i := range j.tasks {
		t := &task{id: replayer.TaskID(accepted.ID, i), job: j, state: modeler.TaskQueued}
		j.tasks[i] = t
		c.tasks[t.id] = t
	}
	c.jobs[accepted.ID] = j
	c.tally(j, accepted.Tasks)

	return j
}

// tally counts a job's queued tasks and the team's jobs that have any.
func (c *Core) tally(j *job, delta int) {
	before := j.queued > 0
	j.queued += delta
	c.waitingTasks += delta
	if after := j.queued > 0; after != before {
		if after {
			c.team(j.Team).waiting[j.Queue]++
		} else {
			c.team(j.Team).waiting[j.Queue]--
		}
	}
}

// place notes that a task is or may be at an endpoint.
func (c *Core) place(t *task, e *endpoint) {
	t.at, t.session, t.sent, t.missed, t.doubt = e, 0, false, 0, nil
	t.confirmed = time.Time{}
	t.stop, t.stopSent, t.why = "", time.Time{}, ""
	e.tasks[t.id] = t
	c.tally(t.job, -1)
	c.team(t.job.Team).use(t.job.Needs)
}

// unplace notes that a task is not at its endpoint any more.
func (c *Core) unplace(t *task) {
	if t.at == nil {
		return
	}
	delete(t.at.tasks, t.id)
	c.team(t.job.Team).free(t.job.Needs)
	e := t.at
	t.at = nil
	c.tally(t.job, 1)
	if !t.job.released {
		c.tell(e)
	}
}

// change sets the state of a task and writes it to the stream.
func (c *Core) change(t *task, state modeler.TaskState, cause string, w *wait) {
	if t.state.Final() {
		return
	}
	t.state = state
	change := encoder.TaskChange{Job: t.job.ID, Task: t.id, State: state, Attempt: t.attempt, Time: c.now.UTC().Round(0), Cause: cause}
	if t.at != nil {
		change.Endpoint = t.at.instance.ID
	}
	if state.Final() {
		if t.at == nil {
			c.tally(t.job, -1)
		}
		t.job.open--
		t.job.ended = c.now
	}
	if state == modeler.TaskRunning && !t.started.IsZero() {
		change.Time = t.started.UTC().Round(0)
	}
	c.write(item{task: &change, wait: w})
}

// noteTask writes a record about a task.
func (c *Core) noteTask(t *task, event modeler.Event, cause string) {
	c.record(c.taskRecord(t, event, cause, ""))
}

// taskRecord returns a record about a task.
func (c *Core) taskRecord(t *task, event modeler.Event, cause, detail string) modeler.Record {
	r := modeler.Record{
		Time: c.now, Team: t.job.Team, Queue: t.job.Queue, Job: t.job.ID, Task: t.id, Event: event, Cause: cause, Detail: detail,
	}
	if t.at != nil {
		r.Endpoint = t.at.instance.ID
	}

	return r
}

// obey carries out a command of the decider.
func (c *Core) obey(cmd scheduler.Command) {
	switch cmd := cmd.(type) {
	case scheduler.StartCmd:
		c.start(cmd)
	case scheduler.StopCmd:
		if t, ok := c.tasks[cmd.Task]; ok && t.at != nil && t.at.instance.ID == cmd.Endpoint {
			action := ActionStop
			if cmd.Checkpoint {
				action = ActionCheckpoint
			}
			c.stop(t, action, cmd.Reason)
		}
	case scheduler.ThrottleCmd:
		c.throttle(cmd)
	case scheduler.RecordCmd:
		c.note(cmd)
	case scheduler.TokensCmd:
		c.wantTokens(cmd)
	}
}

// note writes the record of a decision that starts or stops nothing. A note
// that a task failed for good ends the task.
func (c *Core) note(cmd scheduler.RecordCmd) {
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
		if t.at == nil && !t.state.Final() && (cmd.Task == "" || cmd.Task == t.id) {
			c.change(t, state, cmd.Cause, nil)
		}
	}
}

// start begins the start of a task. A job that may run only once is started
// after its intent was read back.
func (c *Core) start(cmd scheduler.StartCmd) {
	t, ok := c.tasks[cmd.Task]
	if !ok {
		return
	}
	e, ok := c.endpoints[cmd.Endpoint]
	if !ok || !c.permit(t, e) {
		c.decide(scheduler.EndedMsg{Task: cmd.Task, Result: scheduler.ResultRefused, Cause: "not startable"})

		return
	}
	// The decider does not count the starts of earlier owners. Readers of the
	// stream ignore what belongs to an earlier attempt than the last one.
	if attempt := t.base + cmd.Attempt; attempt <= t.attempt {
		t.base += t.attempt + 1 - attempt
	}
	t.attempt = t.base + cmd.Attempt
	c.place(t, e)
	if !t.job.Once {
		t.state = modeler.TaskStarting
		c.send(t, cmd.Reason)

		return
	}
	attempt := t.attempt
	c.change(t, modeler.TaskStarting, "intent", &wait{done: func(ok bool) {
		if ok && t.at == e && t.attempt == attempt && !t.sent && t.state == modeler.TaskStarting {
			c.sendOnce(t, cmd.Reason)
		}
	}})
}

// sendOnce sends the start of a task whose intent is in the stream, if it may
// still be started; otherwise the start certainly did not happen.
func (c *Core) sendOnce(t *task, why string) {
	e := t.at
	if t.job.cancelled || !c.Ready() || !e.usable(c.now) {
		c.refuse(t, "the endpoint was lost before the start was sent")

		return
	}
	c.send(t, why)
}

// send sends the start of a placed task with its decision record.
func (c *Core) send(t *task, why string) {
	e := t.at
	record := c.taskRecord(t, modeler.EventPlaced, "", why)
	c.record(record)
	note, err := encoder.Marshal(&record)
	if err != nil {
		note = nil
	}
	t.sent, t.session, t.launched = true, e.session, t.job.Once
	c.emit(StartCmd{Endpoint: e.instance, Request: startRequest(t, e, note)})
}

// refuse undoes a start that certainly did not happen.
func (c *Core) refuse(t *task, cause string) {
	once := t.job.Once
	t.launched = false
	c.unplace(t)
	switch {
	case t.job.cancelled:
		c.change(t, modeler.TaskCancelled, cause, nil)
	case once:
		c.change(t, modeler.TaskQueued, cause, nil)
	default:
		t.state = modeler.TaskQueued
	}
	c.ended(t, scheduler.EndedMsg{Task: t.id, Attempt: t.attempt - t.base, Result: scheduler.ResultRefused, Cause: cause})
}

// running notes that the endpoint runs the task.
func (c *Core) running(t *task, started time.Time) {
	t.confirmed, t.started = c.now, started
	c.change(t, modeler.TaskRunning, "", nil)
	c.noteTask(t, modeler.EventStarted, "")
	if t.job.released {
		c.decide(scheduler.StartedMsg{Task: t.id})
	}
	if t.job.cancelled {
		c.stop(t, ActionStop, "cancelled")
	} else if t.stop != "" {
		c.sendStop(t)
	}
}

// stop makes a placed task end.
func (c *Core) stop(t *task, action Action, why string) {
	if t.stop == ActionStop || t.stop == action || t.at == nil {
		return
	}
	t.stop, t.why, t.stopSent = action, why, time.Time{}
	event := modeler.EventStopped
	if action == ActionCheckpoint {
		event = modeler.EventCheckpointed
	}
	c.noteTask(t, event, why)
	if t.state == modeler.TaskRunning {
		c.sendStop(t)
	}
}

// stopEvery is the pace at which a stop is repeated until the task has ended.
const stopEvery = time.Second

// sendStop sends the action that is to end the task, unless it was sent a
// moment ago or there is no session to send it under.
func (c *Core) sendStop(t *task) {
	if t.at.state != endpointOpen || c.now.Sub(t.stopSent) < stopEvery {
		return
	}
	t.stopSent = c.now
	c.emit(TaskCmd{Endpoint: t.at.instance, Action: t.stop, Request: taskRequest(t.at, t.id)})
}

// throttle throttles a running task.
func (c *Core) throttle(cmd scheduler.ThrottleCmd) {
	t, ok := c.tasks[cmd.Task]
	if !ok || t.at == nil || t.state != modeler.TaskRunning || t.at.state != endpointOpen {
		return
	}
	c.noteTask(t, modeler.EventThrottled, cmd.Reason)
	c.emit(TaskCmd{Endpoint: t.at.instance, Action: ActionThrottle, Request: taskRequest(t.at, t.id)})
}
