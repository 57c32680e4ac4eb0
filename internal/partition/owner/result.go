package owner

import (
	"slices"
	"time"

	"github.com/pkg/errors"

	"gitlab.com/greengagewall/greengagewall/internal/core/scheduler"
	"gitlab.com/greengagewall/greengagewall/internal/domain/modeler"
	"gitlab.com/greengagewall/greengagewall/internal/platform/messenger"
)

// startRequest returns the request to start a task under the endpoint's
// session.
func startRequest(t *task, e *endpoint, note []byte) messenger.StartRequest {
	return messenger.StartRequest{Term: e.term, Session: e.session, Task: messenger.Task{
		ID: t.id, Job: t.job.ID, Team: t.job.Team, Attempt: t.attempt, Needs: t.job.Needs, Command: t.job.Command, Note: note,
	}}
}

// taskRequest returns a request about a task under the endpoint's session.
func taskRequest(e *endpoint, id modeler.TaskID) messenger.TaskRequest {
	return messenger.TaskRequest{Term: e.term, Session: e.session, Task: id}
}

// noEffect reports whether an error means that the command certainly had no
// effect.
func noEffect(err error) bool {
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

// startDone handles the result of a start. If the answer was lost, a new
// session is opened: it makes the endpoint refuse a start that is still in
// flight, and its inventory shows whether the start took effect.
func (c *Core) startDone(msg StartDoneMsg) {
	t, ok := c.tasks[msg.Request.Task.ID]
	if !ok || c.retired || t.endpoint == nil || t.endpoint.instance.ID != msg.Endpoint || !t.sent ||
		t.session != msg.Request.Session || t.attempt != msg.Request.Task.Attempt || t.state != modeler.TaskStarting {
		return
	}
	e := t.endpoint
	switch {
	case msg.Err == nil:
		c.markRunning(t, c.now)
	case noEffect(msg.Err):
		if errors.Is(msg.Err, messenger.ErrSessionExpired) || errors.Is(msg.Err, messenger.ErrStaleTerm) {
			if e.session == msg.Request.Session {
				c.loseSession(e)
			}
		} else {
			e.needsSession = e.state == endpointOpen
		}
		c.undoStart(t, msg.Err.Error())
	default:
		t.startErr = msg.Err
		e.needsSession = e.state == endpointOpen
	}
	c.syncEndpoint(e)
}

// taskDone handles the result of a stop, checkpoint or throttle. A failed stop
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

// handleTaskResult handles the end of a task as reported by an endpoint. The
// endpoint repeats the report until it is acknowledged, which happens once the
// result is in the stream.
func (c *Core) handleTaskResult(e *endpoint, result messenger.TaskResult) {
	t, ok := c.tasks[result.Task]
	if !ok {
		// Until the claim is in the log, the job may be in a part of the stream
		// that was not read.
		if c.claimed() {
			c.holdForeignResult(e, result.Task)
		} else {
			e.orphanResults[result.Task] = result
		}

		return
	}
	reported := taskAttempt{result.Task, result.Attempt}
	if e.uncommittedResults[reported] {
		return
	}
	c.unplaceSuperseded(t, e, result.Attempt)
	here := t.endpoint == e && t.attempt == result.Attempt
	// A success counts even if the task was already queued again, and so does
	// any result of a task that an earlier owner started.
	unplaced := t.endpoint == nil && !t.state.Final() && result.Attempt >= t.attempt && result.Attempt > 0
	if c.journal.full() {
		return
	}
	e.uncommittedResults[reported] = true
	w := &pendingWrite{done: func(ok bool) {
		delete(e.uncommittedResults, reported)
		if ok {
			e.acknowledge(result.Task)
		}
	}}
	if !here && (!unplaced || t.job.scheduled && !result.OK && !t.job.Once) {
		// The decision that the result does not count may not be stored yet. The
		// next owner needs the result if it never is.
		c.writeBarrier(w)

		return
	}
	if !here {
		t.attempt = result.Attempt
		c.place(t, e)
	}
	t.started = result.Started
	c.applyTaskResult(t, result, w)
}

// foreignResultTTL is how long the result of an unknown job stays at the endpoint.
// By then the owner of the partition that the endpoint was in before has read the
// result or has judged the lease of the task as ended.
const foreignResultTTL = takeoverWait + TaskLeaseTTL + leaseMargin

// holdForeignResult acknowledges the result of a job that is not in this
// partition's stream once it has been reported for foreignResultTTL. No record of
// this partition has it, but the stream of another partition may need it.
func (c *Core) holdForeignResult(e *endpoint, id modeler.TaskID) {
	since, known := e.foreignSince[id]
	switch {
	case !known:
		e.foreignSince[id] = c.now
	case c.now.Sub(since) > foreignResultTTL:
		delete(e.foreignSince, id)
		e.acknowledge(id)
	}
}

// applyTaskResult derives the new state of a task from its result, and records
// and writes it.
func (c *Core) applyTaskResult(t *task, result messenger.TaskResult, w *pendingWrite) {
	msg := scheduler.EndedMsg{Task: t.id, Attempt: t.attempt - t.attemptOffset, Result: scheduler.ResultFailed, Cause: result.Cause, PeakUsage: result.Used, Checkpointed: result.Checkpointed}
	state, event := modeler.TaskQueued, modeler.EventQueued
	switch {
	case result.OK:
		msg.Result, state, event = scheduler.ResultOK, modeler.TaskFinished, modeler.EventFinished
	case t.job.cancelled:
		msg.Result, state, event = scheduler.ResultRequeue, modeler.TaskCancelled, modeler.EventCancelled
	case t.stopAction != "" && !t.job.Once:
		msg.Result = scheduler.ResultRequeue
	}
	record := c.taskRecord(t, event, result.Cause, t.stopReason)
	c.unplace(t)
	spent := c.reportEnded(t, msg)
	if t.job.Once && !state.Final() && !spent {
		// The scheduler ignores the failure of a task that it has queued again.
		spent = true
		c.reportEnded(t, scheduler.EndedMsg{Task: t.id, Result: scheduler.ResultUnknown, Cause: result.Cause})
	}
	if spent && !state.Final() {
		state, record.Event = modeler.TaskFailed, modeler.EventFailed
	}
	c.record(record)
	if deadline := t.job.Deadline; state == modeler.TaskFinished && !deadline.IsZero() && result.Ended.After(deadline) {
		record.Event, record.Cause = modeler.EventLate, "deadline"
		record.Detail = "finished " + result.Ended.Sub(deadline).Round(time.Millisecond).String() + " after the deadline"
		c.record(record)
	}
	c.setTaskState(t, state, result.Cause, w)
}

// reportEnded reports to the scheduler that a task no longer runs, and returns
// whether the task has used up its attempts. The scheduler does not count
// starts that failed for reasons outside the task; for a job that the scheduler
// does not know, all starts count.
func (c *Core) reportEnded(t *task, msg scheduler.EndedMsg) bool {
	if !t.job.scheduled {
		spent := t.job.Once || t.attempt >= t.job.maxAttempts()

		return spent && (msg.Result == scheduler.ResultFailed || msg.Result == scheduler.ResultRequeue)
	}
	commands := c.scheduler.Update(msg, c.now)
	c.pendingCommands = append(c.pendingCommands, commands...)
	for _, cmd := range commands {
		if record, ok := cmd.(scheduler.RecordCmd); ok && record.Event == modeler.EventFailed && record.Task == t.id {
			return true
		}
	}

	return false
}

// lapse ends a task that its endpoint lost or whose lease has ended. The state
// of a task that may run only once becomes unknown.
func (c *Core) lapse(t *task, cause string) {
	if t.job.Once && !t.sent {
		c.undoStart(t, cause)

		return
	}
	c.recordTask(t, modeler.EventLapsed, cause)
	record := c.taskRecord(t, modeler.EventUnknown, cause, "the task may have run and is not started again")
	c.unplace(t)
	msg := scheduler.EndedMsg{Task: t.id, Attempt: t.attempt - t.attemptOffset, Result: scheduler.ResultRequeue, Cause: cause}
	if t.job.Once {
		msg.Result = scheduler.ResultUnknown
	}
	spent := c.reportEnded(t, msg)
	switch {
	case t.job.Once:
		c.record(record)
		c.setTaskState(t, modeler.TaskUnknown, cause, nil)
	case t.job.cancelled:
		c.setTaskState(t, modeler.TaskCancelled, cause, nil)
	case spent:
		c.setTaskState(t, modeler.TaskFailed, cause, nil)
	default:
		c.setTaskState(t, modeler.TaskQueued, cause, nil)
	}
}

// endLeases lapses all work at an endpoint whose task leases have ended.
func (c *Core) endLeases(e *endpoint) {
	for _, t := range sortedTasks(e) {
		c.lapse(t, "task lease ended")
	}
	clear(e.untracked)
	c.teamsDirty = true
}

// acknowledge queues the acknowledgement of a task result, after which the
// endpoint drops it.
func (e *endpoint) acknowledge(id modeler.TaskID) {
	if !slices.Contains(e.acks, id) {
		e.acks = append(e.acks, id)
	}
}

// dueAcknowledgements returns the acknowledgements to send. An acknowledgement
// names only the task, so the endpoint drops the results of all attempts. It is
// withheld while the endpoint may hold a result that is not in the stream: one
// of an attempt that is placed there, or one that is not committed.
func (e *endpoint) dueAcknowledgements() []modeler.TaskID {
	uncommitted := make(map[modeler.TaskID]bool, len(e.uncommittedResults))
	for reported := range e.uncommittedResults {
		uncommitted[reported.task] = true
	}
	var due []modeler.TaskID
	for _, id := range e.acks {
		if e.tasks[id] == nil && !uncommitted[id] {
			due = append(due, id)
		}
	}

	return due
}

// sortedTasks returns the tasks at an endpoint in a fixed order, so that a run
// can be reproduced.
func sortedTasks(e *endpoint) []*task {
	tasks := make([]*task, 0, len(e.tasks))
	for _, t := range e.tasks {
		tasks = append(tasks, t)
	}
	slices.SortFunc(tasks, func(a, b *task) int { return compareStrings(string(a.id), string(b.id)) })

	return tasks
}
