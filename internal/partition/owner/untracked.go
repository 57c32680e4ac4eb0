package owner

import (
	"time"

	"gitlab.com/greengagewall/greengagewall/internal/domain/modeler"
	"gitlab.com/greengagewall/greengagewall/internal/platform/messenger"
)

// untrackedWork is work at an endpoint that the owner did not place there.
type untrackedWork struct {
	team  modeler.TeamID
	needs modeler.Resources
	// since is when the owner learned of the work.
	since time.Time
	// stopSentAt is when the last stop was sent; zero if none was.
	stopSentAt time.Time
	// task is the task as the endpoint listed it; zero for a call whose answer
	// was lost.
	task messenger.Task
}

// stopUntracked sends a stop for a task that the owner did not place, unless one
// was sent within stopInterval, and returns the work as it then is. The stop is
// repeated until the endpoint no longer lists the task: the renewals of this
// owner extend its lease, while the owner that placed it relies on the lease to
// end.
func (c *Core) stopUntracked(e *endpoint, work untrackedWork) untrackedWork {
	t, ok := c.tasks[work.task.ID]
	// Until the claim is in the log, the job may be in a part of the stream that
	// was not read.
	known := ok || c.claimed()
	// A task that may run only once is left to finish: stopping it would not undo
	// its effects.
	once := ok && t.job.Once && !t.job.cancelled
	if !known || once || c.now.Sub(work.stopSentAt) < stopInterval {
		return work
	}
	work.stopSentAt = c.now
	c.emit(TaskCmd{Endpoint: e.instance, Action: ActionStop, Request: taskRequest(e, work.task.ID)})

	return work
}

// adoptUntracked adopts the tasks of a job that endpoints reported, as running
// or as ended, before this owner knew the job. The inventories are complete,
// because the sessions that came with them make the endpoints refuse the
// earlier owner.
func (c *Core) adoptUntracked(j *job) {
	for _, e := range ordered(c.endpoints) {
		for _, t := range j.tasks {
			if work, ok := e.untracked[t.id]; ok {
				delete(e.untracked, t.id)
				c.adoptTask(e, work.task, e.untracked)
			}
			if result, ok := e.orphanResults[t.id]; ok {
				delete(e.orphanResults, t.id)
				c.handleTaskResult(e, result)
			}
		}
		c.syncEndpoint(e)
	}
	c.teamsDirty = true
}

// adoptCall tracks a call in progress at an executor as untracked work. Calls
// of this owner that still wait for their answer are already counted.
func (c *Core) adoptCall(e *endpoint, found messenger.Task, untracked map[modeler.TaskID]untrackedWork) {
	for _, call := range e.calls {
		if call.msg.Request == found.Request && call.msg.Team == found.Team {
			return
		}
	}
	untracked[found.ID] = untrackedWork{team: found.Team, needs: modeler.Resources{Slots: 1}, since: c.now}
}

// untrackedOverdue reports whether the slots of calls without a waiting caller
// should be counted again, which requires a new session.
func (c *Core) untrackedOverdue(e *endpoint) bool {
	for _, work := range e.untracked {
		if c.now.Sub(work.since) > helloInterval {
			return true
		}
	}

	return false
}
