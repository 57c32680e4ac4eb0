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

// restore takes over the state of the stream. Tasks that the stream has at an
// endpoint are placed there; all jobs are held back from the decider until no
// endpoint can run work that this owner does not know of.
func (c *Core) restore(state *replayer.State) {
	c.restoreRoster(state.Endpoints)
	for id := range state.Jobs {
		c.restoreJob(state.Jobs[id])
	}
	for key, change := range state.Requests {
		c.requests[key] = &request{change: change}
	}
	for team, chain := range state.Chains {
		c.journal.heads[team] = head{digest: chain.Head, seq: chain.Seq, read: chain.Head}
	}
	c.gifts = replayer.Gifts{
		LastGiven: state.Gifts.LastGiven, LastReceived: map[modeler.PartitionID]uint64{},
		Net: map[uint64]map[modeler.TeamID]modeler.Resources{},
	}
	c.restoreGifts(state.Gifts.Given)
	for from, seq := range state.Gifts.LastReceived {
		c.gifts.LastReceived[from] = seq
	}
	for shape, teams := range state.Gifts.Net {
		c.gifts.Net[shape] = map[modeler.TeamID]modeler.Resources{}
		for team, parts := range teams {
			c.gifts.Net[shape][team] = parts
		}
	}
	c.teamsDirty = true
}

// restoreJob takes over a job of the stream.
func (c *Core) restoreJob(from *replayer.Job) {
	j := c.addJob(from.Job)
	j.cancelled, j.open, j.ended = from.Cancelled, from.Open, from.Ended
	for i, was := range from.Tasks {
		if i >= len(j.tasks) {
			break
		}
		t := j.tasks[i]
		t.state, t.attempt, t.started = was.State, was.Attempt, was.Started
		if was.State.Final() {
			c.tally(j, -1)
		}
		if was.State != modeler.TaskStarting && was.State != modeler.TaskRunning {
			continue
		}
		e, ok := c.endpoints[was.Endpoint]
		if !ok {
			e = newEndpoint(modeler.Instance{ID: was.Endpoint, Kind: modeler.KindWorker})
			c.endpoints[was.Endpoint] = e
		}
		c.place(t, e)
		t.sent, t.launched = true, j.Once
	}
	if j.open == 0 {
		j.released = true
	}
}

// adopt compares the inventory of an endpoint that granted a session with what
// the owner has placed there. The session makes the endpoint refuse every
// start sent before, so what is not listed does not run and will not run.
func (c *Core) adopt(e *endpoint, reply messenger.HelloReply) {
	listed := make(map[modeler.TaskID]bool, len(reply.Tasks))
	strangers := map[modeler.TaskID]stranger{}
	for _, found := range reply.Tasks {
		listed[found.ID] = true
		if found.Request != "" {
			c.adoptCall(e, found, strangers)
		} else {
			c.adoptTask(e, found, strangers)
		}
	}
	e.strangers = strangers
	for _, f := range reply.Finished {
		// The end of an earlier attempt says nothing of the present one.
		if t, ok := c.tasks[f.Task]; ok && t.attempt == f.Attempt {
			listed[f.Task] = true
		}
		c.finish(e, f)
	}
	for _, t := range sortedTasks(e) {
		if listed[t.id] || !t.sent {
			continue
		}
		switch {
		case t.state != modeler.TaskStarting || t.job.Once || t.session == 0:
			c.lapse(t, "not in the endpoint's inventory")
		case t.doubt != nil && !errors.Is(t.doubt, context.DeadlineExceeded):
			// The endpoint answered with an error of its own, such as a command
			// that it does not know. The attempt counts, so that such a task
			// is not started for ever.
			c.lapse(t, t.doubt.Error())
		default:
			c.refuse(t, "the start did not reach the endpoint")
		}
	}
	c.teamsDirty = true
}

// adoptTask takes over a task of an inventory.
func (c *Core) adoptTask(e *endpoint, found messenger.Task, strangers map[modeler.TaskID]stranger) {
	t, ok := c.tasks[found.ID]
	if ok && t.at == e && t.attempt == found.Attempt {
		t.missed, t.session = 0, e.session
		if t.state == modeler.TaskStarting {
			c.running(t, found.Started)
		} else {
			t.confirmed = c.now
		}

		return
	}
	if ok {
		c.giveWay(t, e, found.Attempt)
	}
	if ok && t.at == nil && !t.state.Final() && found.Attempt >= t.attempt {
		c.adoptUnrecorded(t, e, found)

		return
	}
	if ok && t.at != nil && t.at != e && t.state == modeler.TaskRunning {
		c.violate("I2", "task "+string(t.id)+" runs at "+string(t.at.instance.ID)+" and at "+string(e.instance.ID))
	}
	strangers[found.ID] = stranger{team: found.Team, needs: found.Needs, since: c.now, found: found}
	// Before the claim is in the log, the job may be in a part of the stream
	// that was not read.
	known := ok || c.claimed()
	// A task that may run only once is left to its end: stopping it would not
	// undo what it has done.
	if once := ok && t.job.Once && !t.job.cancelled; known && !once {
		c.emit(TaskCmd{Endpoint: e.instance, Action: ActionStop, Request: taskRequest(e, found.ID)})
	}
}

// giveWay takes a task from the endpoint where only the stream has it, if
// another endpoint shows a later attempt: the earlier owner started that one
// when the first had ended, and died before it wrote so.
func (c *Core) giveWay(t *task, e *endpoint, attempt int) {
	if t.at != nil && t.at != e && t.confirmed.IsZero() && attempt > t.attempt {
		c.unplace(t)
	}
}

// adoptUnrecorded takes over a task that an earlier owner started without the
// stream saying so. The record of that decision is in the task's note.
func (c *Core) adoptUnrecorded(t *task, e *endpoint, found messenger.Task) {
	var record modeler.Record
	if len(found.Note) > 0 && encoder.Unmarshal(found.Note, &record) == nil && record.Task == t.id {
		record.Seq, record.Previous, record.Digest = 0, "", ""
		c.record(record)
	}
	t.attempt = found.Attempt
	c.place(t, e)
	t.sent, t.session = true, e.session
	t.confirmed, t.started = c.now, found.Started
	c.noteTask(t, modeler.EventAdopted, "")
	c.change(t, modeler.TaskRunning, "", nil)
	if t.job.released {
		c.decide(adoption(t))
	}
	if t.job.cancelled {
		c.stop(t, ActionStop, "cancelled")
	}
}

// adoptCall counts a call in progress at an executor. Calls of this owner
// that still wait for their answer are counted already.
func (c *Core) adoptCall(e *endpoint, found messenger.Task, strangers map[modeler.TaskID]stranger) {
	for _, call := range e.calls {
		if call.msg.Request == found.Request && call.msg.Team == found.Team {
			return
		}
	}
	strangers[found.ID] = stranger{team: found.Team, needs: modeler.Resources{Slots: 1}, since: c.now}
}

// adoption returns the message that tells the decider of a running task.
func adoption(t *task) scheduler.AdoptMsg {
	return scheduler.AdoptMsg{
		Task: t.id, Job: t.job.ID, Endpoint: t.at.instance.ID, Attempt: t.attempt - t.base, Started: t.started,
	}
}

// compare checks a renewal's list of running tasks against the tasks placed at
// a worker. A task must be missing twice, because the list may be older than
// the confirmation of its start.
func (c *Core) compare(e *endpoint, msg RenewDoneMsg) {
	if e.instance.Kind != modeler.KindWorker {
		e.renew = e.renew || c.strangersOverdue(e)

		return
	}
	ids := make(map[modeler.TaskID]bool, len(msg.Reply.Tasks))
	for _, id := range msg.Reply.Tasks {
		ids[id] = true
		if _, ok := e.strangers[id]; !ok && e.tasks[id] == nil {
			e.renew = true
		}
	}
	for id := range e.strangers {
		if !ids[id] {
			delete(e.strangers, id)
			c.teamsDirty = true
		}
	}
	for _, t := range sortedTasks(e) {
		switch {
		case t.state != modeler.TaskRunning || !t.confirmed.Before(msg.Sent):
		case ids[t.id]:
			t.missed = 0
			if t.stop != "" {
				c.sendStop(t)
			}
		case t.missed == 0:
			t.missed++
		default:
			c.lapse(t, "no longer runs at the endpoint")
		}
	}
}

// strangersOverdue reports whether slots of calls that have no waiting caller
// should be counted again, which takes a new session.
func (c *Core) strangersOverdue(e *endpoint) bool {
	for _, s := range e.strangers {
		if c.now.Sub(s.since) > helloEvery {
			return true
		}
	}

	return false
}

// Ready reports whether the owner may start work: it holds fresh renewals of
// a majority of the partition's endpoints.
func (c *Core) Ready() bool {
	if c.retired || c.majorityAt.IsZero() {
		return false
	}
	fresh, listed := c.count(func(e *endpoint) bool {
		return e.state == endpointOpen && c.now.Sub(e.fresh) <= MaxRenewalAge
	})

	return 2*fresh > listed
}

// tickRefused reacts to endpoints that have seen a later term. An owner that
// keeps its majority long enough for a later owner to show claims the next
// epoch and works on; any other gives up, because a later owner may have
// changed what runs where.
func (c *Core) tickRefused() {
	switch {
	case c.refusedAt.IsZero():
	case !c.Ready():
		c.refusedAt = time.Time{}
		c.emit(SupersededCmd{Endpoint: c.refused})
	case c.now.Sub(c.refusedAt) > 2*MaxRenewalAge:
		c.refusedAt = time.Time{}
		c.emit(ClaimCmd{Endpoint: c.refused})
	}
}

// count returns how many listed endpoints satisfy test, and how many are
// listed.
func (c *Core) count(test func(*endpoint) bool) (satisfied, listed int) {
	for _, e := range c.endpoints {
		if e.listed {
			listed++
			if test(e) {
				satisfied++
			}
		}
	}

	return satisfied, listed
}

// tickTakeover notes when a majority is first reached, and releases the jobs
// of earlier owners once every endpoint has granted a session or its leases
// have ended.
func (c *Core) tickTakeover() {
	if c.majorityAt.IsZero() {
		raised, listed := c.count(func(e *endpoint) bool { return e.raised })
		if 2*raised <= listed {
			return
		}
		c.majorityAt = c.now
	}
	if c.released {
		return
	}
	for _, e := range c.endpoints {
		if !e.raised && e.state != endpointGone {
			return
		}
	}
	c.released = true
	c.releaseAll()
	for _, e := range ordered(c.endpoints) {
		c.tell(e)
	}
	c.teamsDirty = true
}

// releaseAll hands all jobs that were held back to the decider.
func (c *Core) releaseAll() {
	c.holding = false
	ids := make([]modeler.JobID, 0, len(c.jobs))
	for id := range c.jobs {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	for _, id := range ids {
		c.release(c.jobs[id])
	}
	c.teamsDirty = true
}

// release hands a job of an earlier owner to the decider.
func (c *Core) release(j *job) {
	if j.released {
		return
	}
	j.released = true
	if j.cancelled {
		c.cancelTasks(j)
		if j.open == 0 {
			return
		}
	}
	c.decide(scheduler.JobMsg{Job: j.Job})
	for _, t := range j.tasks {
		switch {
		case t.at != nil:
			c.decide(adoption(t))
		case t.state.Final():
			// The decider takes every task of a new job as queued.
			c.decide(scheduler.EndedMsg{Task: t.id, Result: scheduler.ResultOK})
		default:
			t.base = t.attempt
			if t.state == modeler.TaskStarting {
				t.state = modeler.TaskQueued
			}
		}
	}
	if j.cancelled {
		c.decide(scheduler.CancelMsg{Job: j.ID})
	}
}

// foreign takes over a batch that an earlier owner wrote and that was read
// after this owner had taken its term without the log.
func (c *Core) foreign(msg PredecessorBatchMsg) {
	for _, accepted := range msg.Batch.Jobs {
		if c.jobs[accepted.ID] == nil {
			// The job is held back until the claim is in the log: what earlier
			// owners did with it may be in a part that was not read.
			c.holding = true
			c.claimStrangers(c.addJob(accepted))
		}
	}
	for _, id := range msg.Batch.Cancels {
		if j := c.jobs[id]; j != nil {
			c.cancelled(j)
		}
	}
	for _, change := range msg.Batch.Tasks {
		c.foreignTask(change)
	}
	for _, change := range msg.Batch.Requests {
		key := replayer.RequestKey{Team: change.Team, Request: change.Request}
		if c.requests[key] == nil || c.requests[key].change.State == encoder.RequestIntent {
			c.requests[key] = &request{change: change}
		}
	}
	for _, gift := range msg.Batch.Gifts {
		c.applyGift(gift)
	}
	for _, record := range msg.Batch.Records {
		c.journal.heads[record.Team] = head{digest: record.Digest, seq: record.Seq, read: record.Digest}
	}
}

// claimStrangers adopts the tasks of a job that endpoints reported, as running
// or as ended, before this owner knew the job. The inventories are complete:
// the sessions that came with them make the endpoints refuse the earlier
// owner.
func (c *Core) claimStrangers(j *job) {
	for _, e := range ordered(c.endpoints) {
		for _, t := range j.tasks {
			if s, ok := e.strangers[t.id]; ok {
				delete(e.strangers, t.id)
				c.adoptTask(e, s.found, e.strangers)
			}
			if f, ok := e.orphans[t.id]; ok {
				delete(e.orphans, t.id)
				c.finish(e, f)
			}
		}
		c.tell(e)
	}
	c.teamsDirty = true
}

// foreignTask takes over what an earlier owner wrote about a task, unless this
// owner has the task at an endpoint. A start that waits for its intent was not
// sent and gives way: the earlier owner may have run the task.
func (c *Core) foreignTask(change encoder.TaskChange) {
	t, ok := c.tasks[change.Task]
	if !ok || t.at != nil && t.sent || t.state.Final() {
		return
	}
	if t.at != nil {
		c.refuse(t, "an earlier owner has started the task")
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
		c.change(t, state, "started by an earlier owner", nil)
	} else {
		t.state = state
		c.tally(t.job, -1)
		t.job.open--
		t.job.ended = change.Time
	}
	if t.job.released {
		c.decide(scheduler.EndedMsg{Task: t.id, Result: scheduler.ResultOK})
	}
}

// prune forgets final jobs and requests that ended before the time.
func (c *Core) prune(before time.Time) {
	for id, j := range c.jobs {
		if j.open > 0 || !j.ended.Before(before) {
			continue
		}
		for _, t := range j.tasks {
			delete(c.tasks, t.id)
		}
		delete(c.jobs, id)
	}
	for key, r := range c.requests {
		// A request that is in progress has no outcome yet and is not old.
		if r.call == nil && r.change.State != encoder.RequestIntent && r.change.Time.Before(before) {
			delete(c.requests, key)
		}
	}
}
