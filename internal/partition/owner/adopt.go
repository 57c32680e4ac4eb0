package owner

import (
	"context"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"

	"gitlab.com/greengagewall/greengagewall/internal/codec/encoder"
	"gitlab.com/greengagewall/greengagewall/internal/core/scheduler"
	"gitlab.com/greengagewall/greengagewall/internal/domain/modeler"
	"gitlab.com/greengagewall/greengagewall/internal/partition/replayer"
	"gitlab.com/greengagewall/greengagewall/internal/platform/messenger"
)

func compareStrings(a, b string) int { return strings.Compare(a, b) }

// restore loads the state replayed from the stream. Tasks that the stream
// places at an endpoint are placed there. All jobs are held back from the
// scheduler until no endpoint can run work that this owner does not know of.
func (c *Core) restore(state *replayer.State) {
	c.restoreRoster(state.Endpoints)
	for id := range state.Jobs {
		c.restoreJob(state.Jobs[id])
	}
	for key, change := range state.Requests {
		c.requests[key] = &request{change: change}
	}
	for team, chain := range state.Chains {
		c.journal.heads[team] = chainHead{digest: chain.Head, seq: chain.Seq, committed: chain.Head}
	}
	c.transfers = replayer.Transfers{
		LastSent: state.Transfers.LastSent, LastReceived: map[modeler.PartitionID]uint64{},
		Net: map[uint64]map[modeler.TeamID]modeler.Resources{},
	}
	c.restoreTransfers(state.Transfers.Sent)
	for from, seq := range state.Transfers.LastReceived {
		c.transfers.LastReceived[from] = seq
	}
	for layout, teams := range state.Transfers.Net {
		c.transfers.Net[layout] = map[modeler.TeamID]modeler.Resources{}
		for team, parts := range teams {
			c.transfers.Net[layout][team] = parts
		}
	}
	c.teamsDirty = true
}

// restoreJob loads a job of the replayed state.
func (c *Core) restoreJob(from *replayer.Job) {
	j := c.addJob(from.Job)
	j.cancelled, j.openTasks, j.endedAt = from.Cancelled, from.Open, from.Ended
	for i, stored := range from.Tasks {
		if i >= len(j.tasks) {
			break
		}
		t := j.tasks[i]
		t.state, t.attempt, t.started = stored.State, stored.Attempt, stored.Started
		if stored.State.Final() {
			c.countQueued(j, -1)
		}
		if stored.State != modeler.TaskStarting && stored.State != modeler.TaskRunning {
			continue
		}
		e, ok := c.endpoints[stored.Endpoint]
		if !ok {
			e = newEndpoint(modeler.Instance{ID: stored.Endpoint, Kind: modeler.KindWorker})
			c.endpoints[stored.Endpoint] = e
		}
		c.place(t, e)
		t.sent, t.mayHaveRun = true, j.Once
	}
	if j.openTasks == 0 {
		j.scheduled = true
	}
}

// adopt reconciles the inventory of an endpoint that granted a session with the
// tasks placed there. The new session makes the endpoint refuse every start
// sent under an earlier one, so a task that the inventory does not list neither
// runs nor will run.
func (c *Core) adopt(e *endpoint, reply messenger.HelloReply) {
	listed := make(map[modeler.TaskID]bool, len(reply.Tasks))
	untracked := map[modeler.TaskID]untrackedWork{}
	for _, found := range reply.Tasks {
		listed[found.ID] = true
		if found.Request != "" {
			c.adoptCall(e, found, untracked)
		} else {
			c.adoptTask(e, found, untracked)
		}
	}
	e.untracked = untracked
	clear(e.foreignSince)
	for _, result := range reply.Finished {
		// The result of an earlier attempt does not apply to the current one.
		if t, ok := c.tasks[result.Task]; ok && t.attempt == result.Attempt {
			listed[result.Task] = true
		}
		c.handleTaskResult(e, result)
	}
	for _, t := range sortedTasks(e) {
		if listed[t.id] || !t.sent {
			continue
		}
		switch {
		case t.state != modeler.TaskStarting || t.job.Once || t.session == 0:
			c.lapse(t, "not in the endpoint's inventory")
		case t.startErr != nil && !errors.Is(t.startErr, context.DeadlineExceeded):
			// The endpoint itself answered with an error, such as an unknown
			// command. The attempt counts, so that such a task is not restarted
			// indefinitely.
			c.lapse(t, t.startErr.Error())
		default:
			c.undoStart(t, "the start did not reach the endpoint")
		}
	}
	c.teamsDirty = true
}

// adoptTask reconciles one task of an inventory.
func (c *Core) adoptTask(e *endpoint, found messenger.Task, untracked map[modeler.TaskID]untrackedWork) {
	t, ok := c.tasks[found.ID]
	if ok && t.endpoint == e && t.attempt == found.Attempt {
		t.missedRenewals, t.session = 0, e.session
		if t.state == modeler.TaskStarting {
			c.markRunning(t, found.Started)
		} else {
			t.confirmedAt = c.now
		}

		return
	}
	if ok {
		c.unplaceSuperseded(t, e, found.Attempt)
	}
	if ok && t.endpoint == nil && !t.state.Final() && found.Attempt >= t.attempt {
		c.adoptUnrecorded(t, e, found)

		return
	}
	if ok && t.endpoint != nil && t.endpoint != e && t.state == modeler.TaskRunning {
		c.reportViolation("I2", "task "+string(t.id)+" runs at "+string(t.endpoint.instance.ID)+" and at "+string(e.instance.ID))
	}
	untracked[found.ID] = c.stopUntracked(e, untrackedWork{team: found.Team, needs: found.Needs, since: c.now, task: found})
}

// unplaceSuperseded removes a task from the endpoint that the stream names if
// another endpoint reports a later attempt and the first endpoint never
// confirmed the task. The earlier owner started the later attempt after the
// first had ended, and failed before it recorded that.
func (c *Core) unplaceSuperseded(t *task, e *endpoint, attempt int) {
	if t.endpoint != nil && t.endpoint != e && t.confirmedAt.IsZero() && attempt > t.attempt {
		c.unplace(t)
	}
}

// adoptUnrecorded adopts a task that an earlier owner started without recording
// the start in the stream. The task's note holds the record of that decision,
// which keeps its time and the configuration that it rests on.
func (c *Core) adoptUnrecorded(t *task, e *endpoint, found messenger.Task) {
	var record modeler.Record
	if len(found.Note) > 0 && encoder.Unmarshal(found.Note, &record) == nil && record.Task == t.id {
		stamped := c.stamp(record)
		stamped.Seq, stamped.Previous, stamped.Digest, stamped.Config = 0, "", "", record.Config
		c.write(item{record: stamped})
	}
	t.attempt = found.Attempt
	c.place(t, e)
	t.sent, t.session = true, e.session
	t.confirmedAt, t.started = c.now, found.Started
	c.recordTask(t, modeler.EventAdopted, "")
	c.setTaskState(t, modeler.TaskRunning, "", nil)
	if t.job.scheduled {
		c.decide(adoptMsg(t))
	}
	if t.job.cancelled {
		c.stop(t, ActionStop, "cancelled")
	}
}

// adoptMsg returns the message that reports a running task to the scheduler.
func adoptMsg(t *task) scheduler.AdoptMsg {
	return scheduler.AdoptMsg{
		Task: t.id, Job: t.job.ID, Endpoint: t.endpoint.instance.ID, Attempt: t.attempt - t.attemptOffset, Started: t.started,
	}
}

// reconcileRenewal compares the running tasks that a renewal lists with the
// tasks placed at a worker. A task lapses only when two renewals in a row do
// not list it, because a list may be older than the confirmation of the task's
// start.
func (c *Core) reconcileRenewal(e *endpoint, msg RenewDoneMsg) {
	if e.instance.Kind != modeler.KindWorker {
		e.needsSession = e.needsSession || c.untrackedOverdue(e)

		return
	}
	ids := make(map[modeler.TaskID]bool, len(msg.Reply.Tasks))
	for _, id := range msg.Reply.Tasks {
		ids[id] = true
		if _, ok := e.untracked[id]; !ok && e.tasks[id] == nil {
			e.needsSession = true
		}
	}
	for id, work := range ordered(e.untracked) {
		switch {
		case !ids[id]:
			delete(e.untracked, id)
			c.teamsDirty = true
		case e.tasks[id] == nil:
			e.untracked[id] = c.stopUntracked(e, work)
		}
	}
	for _, t := range sortedTasks(e) {
		switch {
		case t.state != modeler.TaskRunning || !t.confirmedAt.Before(msg.Sent):
		case ids[t.id]:
			t.missedRenewals = 0
			if t.stopAction != "" {
				c.sendStop(t)
			}
		case t.missedRenewals == 0:
			t.missedRenewals++
		default:
			c.lapse(t, "no longer runs at the endpoint")
		}
	}
}

// tickLaterTerm reacts to endpoints that have seen a later term. An owner that
// keeps its majority for 2*MaxRenewalAge, long enough for a later owner to
// become visible, claims the next epoch and continues. Any other owner gives up
// the partition, because a later owner may have changed what runs where.
func (c *Core) tickLaterTerm() {
	switch {
	case c.laterTermSince.IsZero():
	case !c.ready():
		c.laterTermSince = time.Time{}
		c.emit(SupersededCmd{Endpoint: c.laterTermEndpoint})
	case c.now.Sub(c.laterTermSince) > 2*MaxRenewalAge:
		c.laterTermSince = time.Time{}
		c.emit(ClaimCmd{Endpoint: c.laterTermEndpoint})
	}
}

// tickTakeover records when a majority is first held. Once every endpoint
// has granted a session or its leases have ended, it passes the jobs of earlier
// owners to the scheduler.
func (c *Core) tickTakeover() {
	if c.majorityAt.IsZero() {
		if !c.holdsMajority() {
			return
		}
		c.majorityAt = c.now
	}
	if c.takeoverComplete {
		return
	}
	for _, e := range c.endpoints {
		if !e.granted && e.state != endpointGone {
			return
		}
	}
	c.takeoverComplete = true
	c.scheduleHeldJobs()
	for _, e := range ordered(c.endpoints) {
		c.syncEndpoint(e)
	}
	c.teamsDirty = true
}

// scheduleHeldJobs passes all jobs that were held back to the scheduler.
func (c *Core) scheduleHeldJobs() {
	c.holdingJobs = false
	ids := make([]modeler.JobID, 0, len(c.jobs))
	for id := range c.jobs {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	for _, id := range ids {
		c.scheduleJob(c.jobs[id])
	}
	c.teamsDirty = true
}

// scheduleJob passes a job of an earlier owner to the scheduler.
func (c *Core) scheduleJob(j *job) {
	if j.scheduled {
		return
	}
	j.scheduled = true
	if j.cancelled {
		c.cancelTasks(j)
		if j.openTasks == 0 {
			return
		}
	}
	c.decide(scheduler.JobMsg{Job: j.Job})
	for _, t := range j.tasks {
		switch {
		case t.endpoint != nil:
			c.decide(adoptMsg(t))
		case t.state.Final():
			// The scheduler assumes that every task of a new job is queued.
			c.decide(scheduler.EndedMsg{Task: t.id, Result: scheduler.ResultOK})
		default:
			t.attemptOffset = t.attempt
			if t.state == modeler.TaskStarting {
				t.state = modeler.TaskQueued
			}
		}
	}
	if j.cancelled {
		c.decide(scheduler.CancelMsg{Job: j.ID})
	}
}

// applyPredecessorBatch applies a batch of an earlier owner that was read after
// this owner had taken its term without the log.
func (c *Core) applyPredecessorBatch(msg PredecessorBatchMsg) {
	for _, accepted := range msg.Batch.Jobs {
		if c.jobs[accepted.ID] == nil {
			// The job is held back until the claim is in the log: the changes
			// that earlier owners made to it may be in a part of the stream
			// that was not read.
			c.holdingJobs = true
			c.adoptUntracked(c.addJob(accepted))
		}
	}
	for _, id := range msg.Batch.Cancels {
		if j := c.jobs[id]; j != nil {
			c.applyCancel(j)
		}
	}
	for _, change := range msg.Batch.Tasks {
		c.applyPredecessorTask(change)
	}
	for _, change := range msg.Batch.Requests {
		key := replayer.RequestKey{Team: change.Team, Request: change.Request}
		if c.requests[key] == nil || c.requests[key].change.State == encoder.RequestIntent {
			c.requests[key] = &request{change: change}
		}
	}
	for _, transfer := range msg.Batch.Transfers {
		c.applyPredecessorTransfer(transfer)
	}
	for _, record := range msg.Batch.Records {
		c.journal.heads[record.Team] = chainHead{digest: record.Digest, seq: record.Seq, committed: record.Digest}
	}
}

// applyPredecessorTask applies an earlier owner's change of a task, unless this
// owner has the task at an endpoint. A start whose intent is not yet committed
// was not sent and is undone, because the earlier owner may have run the task.
func (c *Core) applyPredecessorTask(change encoder.TaskChange) {
	t, ok := c.tasks[change.Task]
	if !ok || t.endpoint != nil && t.sent || t.state.Final() {
		return
	}
	if t.endpoint != nil {
		c.undoStart(t, "an earlier owner has started the task")
	}
	t.attempt = max(t.attempt, change.Attempt)
	state := change.State
	if t.job.Once && (state == modeler.TaskStarting || state == modeler.TaskRunning) {
		state = modeler.TaskUnknown
	}
	if !state.Final() {
		return
	}
	if state != change.State {
		c.setTaskState(t, state, "started by an earlier owner", nil)
	} else {
		t.state = state
		c.countQueued(t.job, -1)
		t.job.openTasks--
		t.job.endedAt = change.Time
	}
	if t.job.scheduled {
		c.decide(scheduler.EndedMsg{Task: t.id, Result: scheduler.ResultOK})
	}
}

// prune drops final jobs and requests that ended before the given time.
func (c *Core) prune(before time.Time) {
	for id, j := range c.jobs {
		if j.openTasks > 0 || !j.endedAt.Before(before) {
			continue
		}
		for _, t := range j.tasks {
			delete(c.tasks, t.id)
		}
		delete(c.jobs, id)
	}
	for key, r := range c.requests {
		// A request in progress has no outcome yet and is kept.
		if r.call == nil && r.change.State != encoder.RequestIntent && r.change.Time.Before(before) {
			delete(c.requests, key)
		}
	}
}
