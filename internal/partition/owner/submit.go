package owner

import (
	"time"

	"gitlab.com/greengagewall/greengagewall/internal/core/scheduler"
	"gitlab.com/greengagewall/greengagewall/internal/domain/modeler"
)

const (
	// defaultQueueDepth limits a team's queued jobs on a queue that sets no
	// limit.
	defaultQueueDepth = 10_000
	// queueFullRetryAfter is the retry hint for callers whose queue is full.
	queueFullRetryAfter = 2 * time.Second
)

// submit accepts a job once it is committed.
func (c *Core) submit(msg SubmitMsg) {
	j := msg.Job
	if known, ok := c.jobs[j.ID]; ok {
		if known.Team != j.Team {
			c.answer(msg.Waiter, nil, modeler.NotRun(modeler.CodeConflict, 0, "job id %s belongs to another team", j.ID))

			return
		}
		c.answer(msg.Waiter, modeler.SubmitReply{Job: j.ID, Duplicate: true, Head: c.journal.heads[j.Team].committed}, nil)

		return
	}
	if w, ok := c.submissions[j.ID]; ok {
		w.waiters = append(w.waiters, msg.Waiter)
		w.expires = c.now.Add(c.logTimeout)
		c.journal.byWaiter[msg.Waiter] = w

		return
	}
	if refusal := c.submitRefusal(j); refusal != nil {
		c.answer(msg.Waiter, nil, refusal)

		return
	}
	w := &pendingWrite{waiters: []Waiter{msg.Waiter}, expires: c.now.Add(c.logTimeout)}
	w.undo = func() {
		delete(c.submissions, j.ID)
		c.team(j.Team).queuedJobs[j.Queue]--
	}
	w.done = func(ok bool) { c.submitted(j, w, msg.Waiter, ok) }
	c.submissions[j.ID] = w
	c.team(j.Team).queuedJobs[j.Queue]++
	c.write(item{job: &j, pending: w})
	c.journal.items = append(c.journal.items, item{removedWith: w, record: c.stamp(modeler.Record{
		Team: j.Team, Queue: j.Queue, Job: j.ID, Event: modeler.EventAdmitted,
	})})
}

// submitted adds a job to the state after it was committed.
func (c *Core) submitted(j modeler.Job, w *pendingWrite, first Waiter, ok bool) {
	if c.submissions[j.ID] != w {
		return
	}
	delete(c.submissions, j.ID)
	c.team(j.Team).queuedJobs[j.Queue]--
	if !ok {
		return
	}
	accepted := c.addJob(j)
	accepted.scheduled = true
	c.decide(scheduler.JobMsg{Job: j})
	for _, waiter := range w.waiters {
		c.answer(waiter, modeler.SubmitReply{Job: j.ID, Duplicate: waiter != first, Head: c.journal.heads[j.Team].committed}, nil)
	}
}

// submitRefusal returns the reason why a job is not accepted; nil accepts it.
func (c *Core) submitRefusal(j modeler.Job) *modeler.Refusal {
	switch {
	case c.retired:
		return modeler.NotRun(modeler.CodeNotOwner, notOwnerRetryAfter, "partition %s has another owner", c.partition)
	case c.draining:
		return modeler.NotRun(modeler.CodeDraining, notOwnerRetryAfter, "the owner of partition %s is shutting down", c.partition)
	case j.Tasks < 1:
		return modeler.NotRun(modeler.CodeBadRequest, 0, "job %s has no task", j.ID)
	case c.journal.down || !c.claimed():
		return modeler.NotRun(modeler.CodeLogDown, logRetryAfter, "partition %s: the log does not answer", c.partition)
	case c.journal.full():
		return modeler.NotRun(modeler.CodeLogDown, logRetryAfter, "partition %s: the backlog for the log is full", c.partition)
	}
	if refusal := c.limitRefusal(j); refusal != nil {
		return refusal
	}
	if refusal := c.fitRefusal(j); refusal != nil {
		return refusal
	}
	depth := defaultQueueDepth
	for _, q := range c.document.Queues {
		if q.Name == j.Queue && q.Depth > 0 {
			depth = q.Depth
		}
	}
	if c.queuedJobs(j.Team, j.Queue) >= depth {
		return modeler.NotRun(modeler.CodeQueueFull, queueFullRetryAfter, "team %s has %d jobs on queue %s", j.Team, depth, j.Queue)
	}

	return nil
}

// limitRefusal refuses a job that the team's limit can never allow.
func (c *Core) limitRefusal(j modeler.Job) *modeler.Refusal {
	needs := j.Needs
	if j.Kind == modeler.WorkGang {
		needs = needs.Scale(int64(j.Tasks))
	}
	for _, t := range c.document.Teams {
		if t.Name != j.Team {
			continue
		}
		if !needs.Fits(t.Limit) {
			return modeler.NotRun(modeler.CodeOverLimit, 0, "job %s needs %s at once; the limit of team %s is %s", j.ID, needs, j.Team, t.Limit)
		}

		return nil
	}

	return modeler.NotRun(modeler.CodeWrongTeam, 0, "team %s is not in the configuration", j.Team)
}

// fitRefusal refuses a job that fits no endpoint of the partition. While the
// capacity of some endpoints is unknown, the refusal carries a retry hint.
func (c *Core) fitRefusal(j modeler.Job) *modeler.Refusal {
	wanted := int64(1)
	if j.Kind == modeler.WorkGang {
		wanted = int64(j.Tasks)
	}
	var room int64
	var retry time.Duration
	for _, e := range c.endpoints {
		if e.instance.Kind != modeler.KindWorker || !e.listed {
			continue
		}
		if !e.granted {
			retry = logRetryAfter

			continue
		}
		if room += fitCount(e.capacity, j.Needs); room >= wanted {
			return nil
		}
	}

	return modeler.NotRun(modeler.CodeNeverFits, retry,
		"job %s needs %s for each of %d tasks; the workers of partition %s have room for %d", j.ID, j.Needs, wanted, c.partition, room)
}

// fitCount returns how many times needs fits into capacity.
func fitCount(capacity, needs modeler.Resources) int64 {
	const unbounded = 1 << 30
	count := int64(unbounded)
	for _, pair := range [...][2]int64{
		{capacity.Millis, needs.Millis}, {capacity.Memory, needs.Memory},
		{capacity.Accelerators, needs.Accelerators}, {capacity.Slots, needs.Slots},
	} {
		if pair[1] > 0 {
			count = min(count, max(pair[0], 0)/pair[1])
		}
	}

	return count
}

// queuedJobs returns the number of a team's jobs on a queue that are accepted
// or being accepted and have queued tasks.
func (c *Core) queuedJobs(team modeler.TeamID, queue modeler.QueueID) int {
	return c.team(team).queuedJobs[queue]
}

// cancel cancels a job once the cancellation is committed. A caller whose job
// has ended is answered once the end is committed: the next owner would run
// tasks again whose end no record has.
func (c *Core) cancel(msg CancelMsg) {
	j, ok := c.jobs[msg.Job]
	switch {
	case c.retired:
		c.answer(msg.Waiter, nil, modeler.NotRun(modeler.CodeNotOwner, notOwnerRetryAfter, "partition %s has another owner", c.partition))
	case !ok && (!c.claimed() || c.submissions[msg.Job] != nil):
		// The job may be in a part of the stream that was not read.
		c.answer(msg.Waiter, nil, modeler.NotRun(modeler.CodeLogDown, logRetryAfter,
			"partition %s: whether job %s was accepted is not known yet", c.partition, msg.Job))
	case !ok || j.Team != msg.Team:
		c.answer(msg.Waiter, nil, modeler.NotRun(modeler.CodeNotFound, 0, "team %s has no job %s", msg.Team, msg.Job))
	case j.cancelled || j.openTasks == 0 && c.journal.empty():
		c.answer(msg.Waiter, nil, nil)
	case c.journal.down || !c.claimed() || c.journal.full():
		c.answer(msg.Waiter, nil, modeler.NotRun(modeler.CodeLogDown, logRetryAfter, "partition %s: the log does not answer", c.partition))
	default:
		c.writeCancel(j, msg.Waiter)
	}
}

// writeCancel answers the caller once the cancellation of the job is committed,
// or its end if it has ended already.
func (c *Core) writeCancel(j *job, waiter Waiter) {
	ended := j.openTasks == 0
	w := &pendingWrite{waiters: []Waiter{waiter}, expires: c.now.Add(c.logTimeout)}
	w.done = func(ok bool) {
		if !ok {
			return
		}
		if !ended {
			c.applyCancel(j)
		}
		for _, waiter := range w.waiters {
			c.answer(waiter, nil, nil)
		}
	}
	if ended {
		c.writeBarrier(w)
	} else {
		c.write(item{cancel: j.ID, pending: w})
	}
}

// applyCancel carries out a committed cancellation.
func (c *Core) applyCancel(j *job) {
	if j.cancelled {
		return
	}
	j.cancelled = true
	c.record(modeler.Record{Team: j.Team, Queue: j.Queue, Job: j.ID, Event: modeler.EventCancelled})
	if j.scheduled {
		c.decide(scheduler.CancelMsg{Job: j.ID})
	}
	c.cancelTasks(j)
}

// cancelTasks ends the queued tasks of a cancelled job and stops the others. A
// start that was not sent is dropped when its intent is committed.
func (c *Core) cancelTasks(j *job) {
	for _, t := range j.tasks {
		switch {
		case t.state.Final():
		case t.endpoint == nil:
			c.setTaskState(t, modeler.TaskCancelled, "cancelled", nil)
		case t.state == modeler.TaskRunning || t.sent:
			c.stop(t, ActionStop, "cancelled")
		}
	}
}
