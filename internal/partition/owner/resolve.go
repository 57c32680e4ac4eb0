package owner

import (
	"slices"
	"time"

	"gitlab.com/greengagewall/greengagewall/internal/codec/encoder"
	"gitlab.com/greengagewall/greengagewall/internal/domain/modeler"
	"gitlab.com/greengagewall/greengagewall/internal/partition/replayer"
	"gitlab.com/greengagewall/greengagewall/internal/platform/messenger"
)

// expireCalls refuses queued calls whose timeout has passed.
func (c *Core) expireCalls() {
	for _, call := range slices.Clone(c.callQueue) {
		if c.now.After(call.expires) {
			c.dequeue(call)
			c.refuseCall(call, modeler.NotRun(modeler.CodeTimeout, callRetryAfter, "no slot for service %s became free in time", call.msg.Service))
		}
	}
}

// dequeue removes a call from the queue.
func (c *Core) dequeue(call *pendingCall) {
	c.callQueue = slices.DeleteFunc(c.callQueue, func(o *pendingCall) bool { return o == call })
}

// refuseCall answers a call that was not sent, and all callers that wait for
// it.
func (c *Core) refuseCall(call *pendingCall, refusal *modeler.Refusal) {
	c.answer(call.waiter, nil, refusal)
	r := c.requests[call.key()]
	if call.msg.Idempotent || r == nil || r.call != call {
		return
	}
	for _, waiter := range r.waiters {
		c.answer(waiter, nil, refusal)
	}
	delete(c.requests, call.key())
}

// abandonCall answers a caller that stops waiting for a call. A call that was
// sent continues.
func (c *Core) abandonCall(waiter Waiter) {
	for _, call := range c.callQueue {
		if call.waiter == waiter {
			if r := c.requests[call.key()]; !call.msg.Idempotent && r != nil && len(r.waiters) > 0 {
				call.waiter, r.waiters = r.waiters[0], r.waiters[1:]
			} else {
				c.dequeue(call)
				delete(c.requests, call.key())
			}
			c.answer(waiter, nil, modeler.NotRun(modeler.CodeTimeout, callRetryAfter, "the caller stopped waiting for a slot"))

			return
		}
	}
	for _, call := range c.calls {
		if call.waiter == waiter {
			call.waiter = 0
			c.answer(waiter, nil, modeler.Unknown(modeler.CodeLostAnswer, 0, "request %s was sent", call.msg.Request))

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
	for key, waiters := range c.pendingResolves {
		if i := slices.Index(waiters, waiter); i >= 0 {
			c.pendingResolves[key] = slices.Delete(waiters, i, i+1)
			c.answer(waiter, nil, modeler.Unknown(modeler.CodeLostAnswer, callRetryAfter, "request %s is being resolved", key.Request))

			return
		}
	}
}

// resolve determines the outcome of a request and answers the caller. A request
// that is not known to have run is voided at the executor that its intent names
// before the answer is that it did not run. A request that the partition never
// received is voided in the stream.
func (c *Core) resolve(msg ResolveMsg) {
	if c.retired {
		c.answer(msg.Waiter, nil, modeler.Unknown(modeler.CodeNotOwner, notOwnerRetryAfter, "partition %s has another owner", c.partition))

		return
	}
	key := replayer.RequestKey{Team: msg.Team, Request: msg.Request}
	r, ok := c.requests[key]
	switch {
	case !ok:
		c.voidUnseen(key, msg.Waiter)
	case r.resolution != nil:
		r.resolution.waiters = append(r.resolution.waiters, msg.Waiter)
		c.journal.byWaiter[msg.Waiter] = r.resolution
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
	first := len(c.pendingResolves[key]) == 0
	c.pendingResolves[key] = append(c.pendingResolves[key], waiter)
	if first {
		c.emit(VoidCmd{Endpoint: e.instance, Request: messenger.VoidRequest{Term: c.term, Team: key.Team, Request: key.Request}})
	}
}

// voidDone handles the result of voiding a request at its executor.
func (c *Core) voidDone(msg VoidDoneMsg) {
	key := replayer.RequestKey{Team: msg.Request.Team, Request: msg.Request.Request}
	waiters := c.pendingResolves[key]
	delete(c.pendingResolves, key)
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
	c.writeResolution(key, r.change, waiters)
}

// voidUnseen voids a request that this partition never received, so that it is
// not executed later.
func (c *Core) voidUnseen(key replayer.RequestKey, waiter Waiter) {
	if c.journal.down || !c.claimed() || c.journal.full() {
		c.answer(waiter, nil, modeler.Unknown(modeler.CodeLogDown, logRetryAfter, "partition %s: the log does not answer", c.partition))

		return
	}
	change := encoder.RequestChange{
		Team: key.Team, Request: key.Request, State: encoder.RequestVoided, Time: c.now.UTC().Round(0),
	}
	c.requests[key] = &request{change: change}
	c.writeResolution(key, change, []Waiter{waiter})
}

// writeResolution writes the outcome of a request and answers the callers once
// it is committed. The executor keeps the outcome too, so that a caller whose
// answer is late can ask again.
func (c *Core) writeResolution(key replayer.RequestKey, change encoder.RequestChange, waiters []Waiter) {
	outcome := modeler.OutcomeNotRun
	if change.State == encoder.RequestRan {
		outcome = modeler.OutcomeRan
	}
	w := &pendingWrite{waiters: waiters, expires: c.now.Add(c.logTimeout), irrevocable: true}
	c.requests[key].resolution = w
	w.done = func(ok bool) {
		if r := c.requests[key]; r != nil && r.resolution == w {
			r.resolution = nil
		}
		for _, waiter := range w.waiters {
			if ok {
				c.answer(waiter, modeler.ResolveReply{Request: key.Request, Outcome: outcome, Answer: change.Answer}, nil)
			}
		}
	}
	c.write(item{request: &change, pending: w})
	c.record(modeler.Record{
		Team: key.Team, Queue: change.Queue, Request: key.Request, Event: requestEvent(change.State), Cause: "resolved", Endpoint: change.Endpoint,
	})
}

// Load returns the partition's load for heartbeats.
func (c *Core) Load(now time.Time) modeler.Load {
	c.now = now
	load := modeler.Load{
		Partition: c.partition, Term: c.term, Ready: c.ready(), Queued: len(c.callQueue) + c.queuedTasks,
		Usage: map[modeler.TeamID]modeler.Resources{}, Idle: map[modeler.TeamID]modeler.Resources{}, Services: map[string]int64{},
	}
	for _, e := range c.endpoints {
		if e.state != endpointOpen || !e.listed {
			continue
		}
		load.Capacity = load.Capacity.Add(e.capacity)
		load.Free = load.Free.Add(nonNegative(e.capacity.Sub(e.used())))
		if e.instance.Kind == modeler.KindExecutor {
			load.Services[e.instance.Service] += max(e.freeSlots(), 0)
		} else {
			load.Largest = maxResources(load.Largest, e.capacity)
		}
	}
	for id, t := range c.teams {
		if running := t.running(); !running.Zero() {
			load.Usage[id] = running
		}
		if idle := nonNegative(t.allotment.Sub(t.running())); !idle.Zero() {
			load.Idle[id] = idle
		}
	}

	return load
}

// maxResources returns the componentwise maximum. An endpoint with accelerators
// may have fewer processors than another one; a partition that has both must
// not refuse a job that needs only one of them.
func maxResources(a, b modeler.Resources) modeler.Resources {
	return modeler.Resources{
		Millis: max(a.Millis, b.Millis), Memory: max(a.Memory, b.Memory),
		Accelerators: max(a.Accelerators, b.Accelerators), Slots: max(a.Slots, b.Slots),
	}
}
