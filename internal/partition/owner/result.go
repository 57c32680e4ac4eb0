package owner

import (
	"slices"
	"time"

	"github.com/pkg/errors"

	"gitlab.com/greengagewall/greengagewall/internal/core/scheduler"
	"gitlab.com/greengagewall/greengagewall/internal/domain/modeler"
	"gitlab.com/greengagewall/greengagewall/internal/platform/messenger"
)

// startRequest returns the start of a task under the endpoint's session.
func startRequest(t *task, e *endpoint, note []byte) messenger.StartRequest {
	return messenger.StartRequest{Term: e.term, Session: e.session, Task: messenger.Task{
		ID: t.id, Job: t.job.ID, Team: t.job.Team, Attempt: t.attempt, Needs: t.job.Needs, Command: t.job.Command, Note: note,
	}}
}

// taskRequest returns a request about a task under the endpoint's session.
func taskRequest(e *endpoint, id modeler.TaskID) messenger.TaskRequest {
	return messenger.TaskRequest{Term: e.term, Session: e.session, Task: id}
}

// certain reports whether an error means that the command had no effect.
func certain(err error) bool {
	if err == nil {
		return false
	}
	for _, target := range []error{
		messenger.ErrUnsent, messenger.ErrSessionExpired, messenger.ErrStaleTerm, messenger.ErrNoCapacity, messenger.ErrVoided,
	} {
		if errors.Is(err, target) {
			return true
		}
	}

	return false
}

// startDone takes the result of a start. If the answer was lost, a new session
// is opened: it makes the endpoint refuse a start that is still on its way,
// and its inventory tells whether the start took effect.
func (c *Core) startDone(msg StartDoneMsg) {
	t, ok := c.tasks[msg.Request.Task.ID]
	if !ok || c.retired || t.at == nil || t.at.instance.ID != msg.Endpoint || !t.sent ||
		t.session != msg.Request.Session || t.attempt != msg.Request.Task.Attempt || t.state != modeler.TaskStarting {
		return
	}
	e := t.at
	if !certain(msg.Err) {
		e.contact = c.now
	}
	switch {
	case msg.Err == nil:
		c.running(t, c.now)
	case certain(msg.Err):
		if errors.Is(msg.Err, messenger.ErrSessionExpired) || errors.Is(msg.Err, messenger.ErrStaleTerm) {
			if e.session == msg.Request.Session {
				c.loseSession(e)
			}
		} else {
			e.renew = e.state == endpointOpen
		}
		c.refuse(t, msg.Err.Error())
	default:
		t.doubt = msg.Err
		e.renew = e.state == endpointOpen
	}
	c.tell(e)
}

// taskDone takes the result of a stop, checkpoint or throttle. A failed stop
// is repeated with the next renewals.
func (c *Core) taskDone(msg TaskDoneMsg) {
	e, ok := c.endpoints[msg.Endpoint]
	if !ok || c.retired || msg.Err == nil {
		return
	}
	if (errors.Is(msg.Err, messenger.ErrSessionExpired) || errors.Is(msg.Err, messenger.ErrStaleTerm)) && e.session == msg.Request.Session {
		c.loseSession(e)
	}
}

// finish takes the end of a task that an endpoint reports. The endpoint
// repeats it until it is acknowledged, which happens once it is in the stream.
func (c *Core) finish(e *endpoint, f messenger.TaskResult) {
	t, ok := c.tasks[f.Task]
	if !ok {
		// Before the claim is in the log, the job may be in a part of the
		// stream that was not read.
		if c.claimed() {
			e.acknowledge(f.Task)
		} else {
			e.orphans[f.Task] = f
		}

		return
	}
	if e.finishing[f.Task] == f.Attempt && f.Attempt != 0 {
		return
	}
	c.giveWay(t, e, f.Attempt)
	here := t.at == e && t.attempt == f.Attempt
	// A success counts although the task was already queued again, and so
	// does any end of a task that an earlier owner started.
	unplaced := t.at == nil && !t.state.Final() && f.Attempt >= t.attempt && f.Attempt > 0
	if !here && (!unplaced || t.job.released && !f.OK && !t.job.Once) {
		e.acknowledge(f.Task)

		return
	}
	if c.journal.full() {
		return
	}
	if !here {
		t.attempt = f.Attempt
		c.place(t, e)
	}
	t.started = f.Started
	e.finishing[f.Task] = f.Attempt
	c.conclude(t, f, &wait{done: func(ok bool) {
		delete(e.finishing, f.Task)
		if ok {
			e.acknowledge(f.Task)
		}
	}})
}

// conclude decides what the end of a task means.
func (c *Core) conclude(t *task, f messenger.TaskResult, w *wait) {
	msg := scheduler.EndedMsg{Task: t.id, Attempt: t.attempt - t.base, Result: scheduler.ResultFailed, Cause: f.Cause, PeakUsage: f.Used, Checkpointed: f.Checkpointed}
	state, event := modeler.TaskQueued, modeler.EventQueued
	switch {
	case f.OK:
		msg.Result, state, event = scheduler.ResultOK, modeler.TaskFinished, modeler.EventFinished
	case t.job.cancelled:
		msg.Result, state, event = scheduler.ResultRequeue, modeler.TaskCancelled, modeler.EventCancelled
	case t.stop != "" && !t.job.Once:
		msg.Result = scheduler.ResultRequeue
	}
	record := c.taskRecord(t, event, f.Cause, t.why)
	c.unplace(t)
	spent := c.ended(t, msg)
	if t.job.Once && !state.Final() && !spent {
		// The decider ignores the failure of a task that it has queued again.
		spent = true
		c.ended(t, scheduler.EndedMsg{Task: t.id, Result: scheduler.ResultUnknown, Cause: f.Cause})
	}
	if spent && !state.Final() {
		state, record.Event = modeler.TaskFailed, modeler.EventFailed
	}
	c.record(record)
	if deadline := t.job.Deadline; state == modeler.TaskFinished && !deadline.IsZero() && f.Ended.After(deadline) {
		record.Event, record.Cause = modeler.EventLate, "deadline"
		record.Detail = "finished " + f.Ended.Sub(deadline).Round(time.Millisecond).String() + " after the deadline"
		c.record(record)
	}
	c.change(t, state, f.Cause, w)
}

// ended tells the decider that a task does not run any more, and reports
// whether the task has used up its attempts. The decider does not count starts
// in which the task had no part; for a job that it does not know, all count.
func (c *Core) ended(t *task, msg scheduler.EndedMsg) bool {
	if !t.job.released {
		spent := t.job.Once || t.attempt >= t.job.attempts()

		return spent && (msg.Result == scheduler.ResultFailed || msg.Result == scheduler.ResultRequeue)
	}
	commands := c.decider.Update(msg, c.now)
	c.pending = append(c.pending, commands...)
	for _, cmd := range commands {
		if note, ok := cmd.(scheduler.RecordCmd); ok && note.Event == modeler.EventFailed && note.Task == t.id {
			return true
		}
	}

	return false
}

// lapse ends a task that its endpoint lost or whose lease has ended. A task
// that may run only once becomes unknown.
func (c *Core) lapse(t *task, cause string) {
	if t.job.Once && !t.sent {
		c.refuse(t, cause)

		return
	}
	c.noteTask(t, modeler.EventLapsed, cause)
	record := c.taskRecord(t, modeler.EventUnknown, cause, "the task may have run and is not started again")
	c.unplace(t)
	msg := scheduler.EndedMsg{Task: t.id, Attempt: t.attempt - t.base, Result: scheduler.ResultRequeue, Cause: cause}
	if t.job.Once {
		msg.Result = scheduler.ResultUnknown
	}
	spent := c.ended(t, msg)
	switch {
	case t.job.Once:
		c.record(record)
		c.change(t, modeler.TaskUnknown, cause, nil)
	case t.job.cancelled:
		c.change(t, modeler.TaskCancelled, cause, nil)
	case spent:
		c.change(t, modeler.TaskFailed, cause, nil)
	default:
		c.change(t, modeler.TaskQueued, cause, nil)
	}
}

// endLeases lapses everything at an endpoint whose task leases have ended.
func (c *Core) endLeases(e *endpoint) {
	for _, t := range sortedTasks(e) {
		c.lapse(t, "task lease ended")
	}
	clear(e.strangers)
	c.teamsDirty = true
}

// acknowledge lets the endpoint forget a finish.
func (e *endpoint) acknowledge(id modeler.TaskID) {
	if !slices.Contains(e.acks, id) {
		e.acks = append(e.acks, id)
	}
}

// sortedTasks returns the tasks at an endpoint in a fixed order, so that a run
// can be repeated.
func sortedTasks(e *endpoint) []*task {
	tasks := make([]*task, 0, len(e.tasks))
	for _, t := range e.tasks {
		tasks = append(tasks, t)
	}
	slices.SortFunc(tasks, func(a, b *task) int { return compareStrings(string(a.id), string(b.id)) })

	return tasks
}
