package owner

import (
	"slices"
	"time"

	"gitlab.com/greengagewall/greengagewall/internal/codec/encoder"
	"gitlab.com/greengagewall/greengagewall/internal/domain/modeler"
	"gitlab.com/greengagewall/greengagewall/internal/partition/replayer"
	"gitlab.com/greengagewall/greengagewall/internal/platform/messenger"
)

// expireCalls refuses queued calls whose time is over.
func (c *Core) expireCalls() {
	for _, entry := range slices.Clone(c.queue) {
		if c.now.After(entry.expires) {
			c.dequeue(entry)
			c.refuseCall(entry, modeler.NotRun(modeler.CodeTimeout, callRetry, "no slot for service %s became free in time", entry.msg.Service))
		}
	}
}

// dequeue removes a call from the queue.
func (c *Core) dequeue(entry *call) {
	c.queue = slices.DeleteFunc(c.queue, func(o *call) bool { return o == entry })
}

// refuseCall answers a call that was not sent, and all that wait for it.
func (c *Core) refuseCall(entry *call, refusal *modeler.Refusal) {
	c.answer(entry.waiter, nil, refusal)
	r := c.requests[entry.key()]
	if entry.msg.Idempotent || r == nil || r.call != entry {
		return
	}
	for _, waiter := range r.waiters {
		c.answer(waiter, nil, refusal)
	}
	delete(c.requests, entry.key())
}

// abandonCall answers a caller that stops waiting for a call. A call that was
// sent goes on without it.
func (c *Core) abandonCall(waiter Waiter) {
	for _, entry := range c.queue {
		if entry.waiter == waiter {
			if r := c.requests[entry.key()]; !entry.msg.Idempotent && r != nil && len(r.waiters) > 0 {
				entry.waiter, r.waiters = r.waiters[0], r.waiters[1:]
			} else {
				c.dequeue(entry)
				delete(c.requests, entry.key())
			}
			c.answer(waiter, nil, modeler.NotRun(modeler.CodeTimeout, callRetry, "the caller stopped waiting for a slot"))

			return
		}
	}
	for _, entry := range c.calls {
		if entry.waiter == waiter {
			entry.waiter = 0
			c.answer(waiter, nil, modeler.Unknown(modeler.CodeLostAnswer, 0, "request %s was sent", entry.msg.Request))

			return
		}
	}
	for _, r := range c.requests {
		if i := slices.Index(r.waiters, waiter); i >= 0 {
			r.waiters = slices.Delete(r.waiters, i, i+1)
			c.answer(waiter, nil, modeler.Unknown(modeler.CodeLostAnswer, 0, "the request is being executed"))

			return
		}
	}
	for key, waiters := range c.resolves {
		if i := slices.Index(waiters, waiter); i >= 0 {
			c.resolves[key] = slices.Delete(waiters, i, i+1)
			c.answer(waiter, nil, modeler.Unknown(modeler.CodeLostAnswer, callRetry, "request %s is being resolved", key.Request))

			return
		}
	}
}

// resolve says what became of a request. One that is not known to have run is
// voided at the executor that its intent names before the answer says that it
// did not run; one that never came is voided in the stream.
func (c *Core) resolve(msg ResolveMsg) {
	if c.retired {
		c.answer(msg.Waiter, nil, modeler.Unknown(modeler.CodeNotOwner, notOwnerRetry, "partition %s has another owner", c.partition))

		return
	}
	key := replayer.RequestKey{Team: msg.Team, Request: msg.Request}
	r, ok := c.requests[key]
	switch {
	case !ok:
		c.voidUnseen(key, msg.Waiter)
	case r.settling != nil:
		r.settling.waiters = append(r.settling.waiters, msg.Waiter)
		c.journal.waits[msg.Waiter] = r.settling
	case r.call != nil:
		c.answer(msg.Waiter, modeler.ResolveReply{Request: msg.Request, Outcome: modeler.OutcomeUnknown}, nil)
	case r.change.State == encoder.RequestRan:
		c.answer(msg.Waiter, modeler.ResolveReply{Request: msg.Request, Outcome: modeler.OutcomeRan, Answer: r.change.Answer}, nil)
	case r.change.State == encoder.RequestVoided:
		c.answer(msg.Waiter, modeler.ResolveReply{Request: msg.Request, Outcome: modeler.OutcomeNotRun}, nil)
	default:
		c.voidAt(key, r, msg.Waiter)
	}
}

// voidAt asks the executor named in an intent to void the request.
func (c *Core) voidAt(key replayer.RequestKey, r *request, waiter Waiter) {
	e, ok := c.endpoints[r.change.Endpoint]
	if !ok {
		c.answer(waiter, modeler.ResolveReply{Request: key.Request, Outcome: modeler.OutcomeUnknown}, nil)

		return
	}
	first := len(c.resolves[key]) == 0
	c.resolves[key] = append(c.resolves[key], waiter)
	if first {
		c.emit(VoidCmd{Endpoint: e.instance, Request: messenger.VoidRequest{Term: c.term, Team: key.Team, Request: key.Request}})
	}
}

// voidDone takes the result of voiding a request at its executor.
func (c *Core) voidDone(msg VoidDoneMsg) {
	key := replayer.RequestKey{Team: msg.Request.Team, Request: msg.Request.Request}
	waiters := c.resolves[key]
	delete(c.resolves, key)
	r, ok := c.requests[key]
	if !ok || c.retired || msg.Err != nil || msg.Reply.Running {
		for _, w := range waiters {
			c.answer(w, modeler.ResolveReply{Request: key.Request, Outcome: modeler.OutcomeUnknown}, nil)
		}

		return
	}
	state := encoder.RequestVoided
	if msg.Reply.Ran {
		state = encoder.RequestRan
	}
	r.change.State, r.change.Answer, r.change.Time = state, msg.Reply.Answer, c.now.UTC().Round(0)
	c.settleResolve(key, r.change, waiters)
}

// voidUnseen makes sure that a request that never came to this partition is
// not executed later.
func (c *Core) voidUnseen(key replayer.RequestKey, waiter Waiter) {
	if c.journal.down || !c.claimed() || c.journal.full() {
		c.answer(waiter, nil, modeler.Unknown(modeler.CodeLogDown, logRetry, "partition %s: the log does not answer", c.partition))

		return
	}
	change := encoder.RequestChange{
		Team: key.Team, Request: key.Request, State: encoder.RequestVoided, Time: c.now.UTC().Round(0),
	}
	c.requests[key] = &request{change: change}
	c.settleResolve(key, change, []Waiter{waiter})
}

// settleResolve writes the outcome of a request and answers when it was read
// back. The executor holds the outcome too, so that a caller whose answer is
// late can ask again.
func (c *Core) settleResolve(key replayer.RequestKey, change encoder.RequestChange, waiters []Waiter) {
	outcome := modeler.OutcomeNotRun
	if change.State == encoder.RequestRan {
		outcome = modeler.OutcomeRan
	}
	w := &wait{waiters: waiters, expires: c.now.Add(c.patience), keep: true}
	c.requests[key].settling = w
	w.done = func(ok bool) {
		if r := c.requests[key]; r != nil && r.settling == w {
			r.settling = nil
		}
		for _, waiter := range w.waiters {
			if ok {
				c.answer(waiter, modeler.ResolveReply{Request: key.Request, Outcome: outcome, Answer: change.Answer}, nil)
			}
		}
	}
	c.write(item{request: &change, wait: w})
	c.record(modeler.Record{
		Team: key.Team, Queue: change.Queue, Request: key.Request, Event: requestEvent(change.State), Cause: "resolved", Endpoint: change.Endpoint,
	})
}

// Load describes the partition for heartbeats.
func (c *Core) Load(now time.Time) modeler.Load {
	c.now = now
	load := modeler.Load{
		Partition: c.partition, Term: c.term, Ready: c.Ready(), Queued: len(c.queue) + c.waitingTasks,
		Usage: map[modeler.TeamID]modeler.Resources{}, Idle: map[modeler.TeamID]modeler.Resources{}, Services: map[string]int64{},
	}
	for _, e := range c.endpoints {
		if e.state != endpointOpen || !e.listed {
			continue
		}
		load.Capacity = load.Capacity.Add(e.capacity)
		load.Free = load.Free.Add(atLeastZero(e.capacity.Sub(e.used())))
		if e.instance.Kind == modeler.KindExecutor {
			load.Services[e.instance.Service] += max(e.slots(), 0)
		} else {
			load.Largest = largest(load.Largest, e.capacity)
		}
	}
	for id, t := range c.teams {
		if running := t.running(); !running.Zero() {
			load.Usage[id] = running
		}
		if idle := atLeastZero(t.allotment.Sub(t.running())); !idle.Zero() {
			load.Idle[id] = idle
		}
	}

	return load
}

// largest returns the componentwise maximum. An endpoint with accelerators may
// have fewer processors than another one; a job that needs either must not be
// turned away by a partition that has both.
func largest(a, b modeler.Resources) modeler.Resources {
	return modeler.Resources{
		Millis: max(a.Millis, b.Millis), Memory: max(a.Memory, b.Memory),
		Accelerators: max(a.Accelerators, b.Accelerators), Slots: max(a.Slots, b.Slots),
	}
}
