package owner

import (
	"slices"
	"time"

	"github.com/pkg/errors"

	"gitlab.com/greengagewall/greengagewall/internal/codec/encoder"
	"gitlab.com/greengagewall/greengagewall/internal/domain/modeler"
	"gitlab.com/greengagewall/greengagewall/internal/partition/replayer"
	"gitlab.com/greengagewall/greengagewall/internal/platform/messenger"
)

const (
	// defaultCallTimeout applies to calls that set no timeout.
	defaultCallTimeout = 10 * time.Second
	// maxQueuedCalls limits the calls that wait for a slot.
	maxQueuedCalls = 4096
	// callRetryAfter is the retry hint for callers that found no slot.
	callRetryAfter = time.Second
	// maxSends limits how often a call is sent after refusals that are known to
	// have had no effect.
	maxSends = 3
)

// pendingCall is a call that waits for a slot or for its answer.
type pendingCall struct {
	id     uint64
	waiter Waiter
	msg    modeler.CallMsg
	// executor is the executor whose slot the call holds.
	executor *endpoint
	// intent is set once the intent of a non-idempotent call is committed.
	intent    bool
	sent      bool
	sendCount int
	expires   time.Time
}

// request is a non-idempotent request.
type request struct {
	change encoder.RequestChange
	// call is set while this owner executes the request.
	call    *pendingCall
	waiters []Waiter
	// resolution is the pending write of a resolved outcome. Until it is
	// committed, another owner may resolve the request differently.
	resolution *pendingWrite
}

func (c *pendingCall) key() replayer.RequestKey {
	return replayer.RequestKey{Team: c.msg.Team, Request: c.msg.Request}
}

// handleCall queues the call of a waiting caller, or answers it at once if it
// is a duplicate or is refused.
func (c *Core) handleCall(msg CallMsg) {
	timeout := msg.Timeout
	if timeout <= 0 {
		timeout = defaultCallTimeout
	}
	call := &pendingCall{waiter: msg.Waiter, msg: msg.CallMsg, expires: c.now.Add(timeout)}
	if !msg.Idempotent && c.answerDuplicate(call) {
		return
	}
	if refusal := c.callRefusal(call); refusal != nil {
		c.answer(msg.Waiter, nil, refusal)

		return
	}
	c.lastCall++
	call.id = c.lastCall
	if !msg.Idempotent {
		c.requests[call.key()] = &request{call: call}
	}
	c.enqueue(call)
}

// enqueue adds a call to the queue, ordered by class and arrival.
func (c *Core) enqueue(call *pendingCall) {
	at, _ := slices.BinarySearchFunc(c.callQueue, call, func(a, b *pendingCall) int {
		if d := classOrder(a.msg.Class) - classOrder(b.msg.Class); d != 0 {
			return d
		}

		return int(int64(a.id) - int64(b.id))
	})
	c.callQueue = slices.Insert(c.callQueue, at, call)
}

// classOrder returns the position of a class in the queue; lower values are
// dispatched first.
func classOrder(class modeler.Class) int {
	switch class {
	case modeler.ClassUrgent:
		return 0
	case modeler.ClassDeferred:
		return 2
	case modeler.ClassStandard:
	}

	return 1
}

// answerDuplicate answers a non-idempotent call whose request is already known,
// and reports whether it was.
func (c *Core) answerDuplicate(call *pendingCall) bool {
	r, ok := c.requests[call.key()]
	if !ok {
		return false
	}
	if r.call != nil {
		r.waiters = append(r.waiters, call.waiter)

		return true
	}
	id := call.msg.Request
	if r.resolution != nil {
		c.answer(call.waiter, nil, modeler.Unknown(modeler.CodeLostAnswer, callRetryAfter, "request %s is being resolved", id))

		return true
	}
	switch r.change.State {
	case encoder.RequestRan:
		if r.change.Answer == nil {
			c.answer(call.waiter, nil, &modeler.Refusal{
				Outcome: modeler.OutcomeRan, Code: modeler.CodeLostAnswer, Detail: "request " + string(id) + " ran and the executor has no answer to it",
			})

			return true
		}
		c.answer(call.waiter, modeler.CallReply{Request: id, Answer: r.change.Answer, Endpoint: r.change.Endpoint, Duplicate: true}, nil)
	case encoder.RequestVoided:
		c.answer(call.waiter, nil, modeler.NotRun(modeler.CodeConflict, 0, "request %s was voided and is never executed", id))
	case encoder.RequestIntent, encoder.RequestUnknown:
		c.answer(call.waiter, nil, modeler.Unknown(modeler.CodeLostAnswer, 0, "request %s was sent and its answer lost; resolve it", id))
	}

	return true
}

// callRefusal returns the reason why a call is not accepted; nil accepts it.
func (c *Core) callRefusal(call *pendingCall) *modeler.Refusal {
	msg := call.msg
	switch {
	case c.retired:
		return modeler.NotRun(modeler.CodeNotOwner, notOwnerRetryAfter, "partition %s has another owner", c.partition)
	case c.draining:
		return modeler.NotRun(modeler.CodeDraining, notOwnerRetryAfter, "the owner of partition %s is shutting down", c.partition)
	case !msg.Idempotent && (c.journal.down || !c.claimed() || c.journal.full()):
		return modeler.NotRun(modeler.CodeLogDown, logRetryAfter, "partition %s: the log does not answer", c.partition)
	case len(c.callQueue) >= maxQueuedCalls:
		return modeler.NotRun(modeler.CodeOverload, callRetryAfter, "partition %s: %d calls wait for a slot", c.partition, len(c.callQueue))
	}
	for _, e := range c.endpoints {
		if e.serves(msg.Service) && e.listed && !e.leaving {
			return nil
		}
	}

	return modeler.NotRun(modeler.CodeNoExecutor, callRetryAfter, "partition %s has no executor of service %s", c.partition, msg.Service)
}

// serves reports whether the endpoint is an executor of the service.
func (e *endpoint) serves(service string) bool {
	return e.instance.Kind == modeler.KindExecutor && (e.instance.Service == "" || e.instance.Service == service)
}

// freeSlots returns the free slots of an executor.
func (e *endpoint) freeSlots() int64 {
	return e.capacity.Slots - int64(len(e.calls)) - int64(len(e.untracked))
}

// dispatchCalls assigns free slots to queued calls.
func (c *Core) dispatchCalls() {
	if len(c.callQueue) == 0 || !c.ready() {
		return
	}
	kept := c.callQueue[:0]
	for _, call := range c.callQueue {
		if !c.dispatch(call) {
			kept = append(kept, call)
		}
	}
	clear(c.callQueue[len(kept):])
	c.callQueue = kept
}

// dispatch sends a call, or writes its intent, if an executor has a free slot
// and the team's allotment covers it.
func (c *Core) dispatch(call *pendingCall) bool {
	e := c.pickExecutor(call.msg.Service)
	if e == nil {
		return false
	}
	t, needs := c.team(call.msg.Team), modeler.Resources{Slots: 1}
	if c.teamsDirty {
		c.refreshTeams()
	}
	if !withinLimit(t.running().Add(needs), needs, t.allotment) {
		c.requestTokens(TokensCmd{Team: t.id, Wanted: needs, Since: c.now})

		return false
	}
	if !c.permitUsage(e, t, needs, "call "+string(call.msg.Request)) {
		return false
	}
	call.executor = e
	e.calls[call.id], c.calls[call.id] = call, call
	t.use(needs)
	if call.msg.Idempotent {
		c.sendCall(call)
	} else {
		c.writeIntent(call)
	}

	return true
}

// pickExecutor returns the usable executor of the service with the most free
// slots.
func (c *Core) pickExecutor(service string) *endpoint {
	var best *endpoint
	for _, e := range c.endpoints {
		if !e.serves(service) || !e.usable(c.now) || e.freeSlots() < 1 {
			continue
		}
		if best == nil || e.freeSlots() > best.freeSlots() || e.freeSlots() == best.freeSlots() && e.instance.ID < best.instance.ID {
			best = e
		}
	}

	return best
}

// releaseSlot frees the slot of a call. If the answer was lost, the call may
// still run, so its slot stays taken as untracked work until a new session
// shows that the call does not run.
func (c *Core) releaseSlot(call *pendingCall, lost bool) {
	e := call.executor
	if e == nil {
		return
	}
	delete(e.calls, call.id)
	delete(c.calls, call.id)
	c.team(call.msg.Team).free(modeler.Resources{Slots: 1})
	call.executor = nil
	if lost && e.state != endpointGone {
		e.untracked[modeler.TaskID(call.msg.Request)] = untrackedWork{team: call.msg.Team, needs: modeler.Resources{Slots: 1}, since: c.now}
		e.needsSession = e.state == endpointOpen
		c.teamsDirty = true
	}
}

// writeIntent writes a request's intent and sends the call once the intent is
// committed.
func (c *Core) writeIntent(call *pendingCall) {
	change := encoder.RequestChange{
		Team: call.msg.Team, Queue: call.msg.Queue, Request: call.msg.Request,
		State: encoder.RequestIntent, Endpoint: call.executor.instance.ID, Time: c.now.UTC().Round(0),
	}
	r := c.requests[call.key()]
	r.change = change
	w := &pendingWrite{waiters: []Waiter{call.waiter}, expires: call.expires}
	// If the caller stops waiting before the intent was handed to the log, or if
	// the intent never becomes valid, the answer is that the call was not run.
	w.undo = func() { c.dropRequest(call) }
	w.done = func(ok bool) {
		switch {
		case !ok:
			c.dropRequest(call)
		case call.executor == nil:
		default:
			call.intent = true
			c.sendOnceCall(call)
		}
	}
	c.write(item{request: &change, pending: w})
	c.recordCall(call.msg, modeler.EventPlaced, "intent", call.executor.instance.ID)
}

// dropRequest drops a request whose intent is not in the stream.
func (c *Core) dropRequest(call *pendingCall) {
	c.releaseSlot(call, false)
	r := c.requests[call.key()]
	if r == nil || r.call != call {
		return
	}
	for _, waiter := range r.waiters {
		c.answer(waiter, nil, modeler.NotRun(modeler.CodeLogDown, logRetryAfter, "request %s: its intent was not written", call.msg.Request))
	}
	delete(c.requests, call.key())
}

// sendOnceCall sends a call whose intent is in the stream. If the executor was
// lost in the meantime, the request is voided, because it was never sent.
func (c *Core) sendOnceCall(call *pendingCall) {
	if call.sent {
		c.reportViolation("I7", "request "+string(call.msg.Request)+" would be sent twice")

		return
	}
	if c.retired || !c.ready() || !call.executor.usable(c.now) || c.now.After(call.expires) {
		c.finishRequest(call, encoder.RequestVoided, nil,
			modeler.NotRun(modeler.CodeNoExecutor, callRetryAfter, "the executor was lost before request %s was sent", call.msg.Request))

		return
	}
	c.sendCall(call)
}

// sendCall sends a call to its executor.
func (c *Core) sendCall(call *pendingCall) {
	e := call.executor
	call.sent = true
	call.sendCount++
	c.emit(CallCmd{
		Endpoint: e.instance, Call: call.id, Timeout: call.expires.Sub(c.now),
		Request: messenger.CallRequest{
			Term: e.term, Session: e.session, Request: call.msg.Request,
			Team: call.msg.Team, Service: call.msg.Service, Body: call.msg.Body,
		},
	})
}

// callDone handles the result of a call.
func (c *Core) callDone(msg CallDoneMsg) {
	call, ok := c.calls[msg.Call]
	if !ok {
		return
	}
	if !call.msg.Idempotent {
		c.onceCallDone(call, msg)

		return
	}
	e := call.executor
	switch {
	case msg.Err == nil:
		c.releaseSlot(call, false)
		c.answer(call.waiter, modeler.CallReply{Request: call.msg.Request, Answer: msg.Answer, Endpoint: e.instance.ID}, nil)
	case noEffect(msg.Err):
		c.releaseSlot(call, false)
		c.renewAfterRefusal(e, msg.Err)
		if !c.retired && call.sendCount < maxSends && c.now.Before(call.expires) {
			call.sent = false
			c.enqueue(call)

			return
		}
		c.answer(call.waiter, nil, modeler.NotRun(modeler.CodeNoExecutor, callRetryAfter, "executor %s: %s", e.instance.ID, msg.Err))
	default:
		c.releaseSlot(call, true)
		c.answer(call.waiter, nil, modeler.Unknown(modeler.CodeLostAnswer, callRetryAfter, "executor %s: %s", e.instance.ID, msg.Err))
	}
}

// renewAfterRefusal requests a new session if an executor refused a call
// because of its session, term or capacity.
func (c *Core) renewAfterRefusal(e *endpoint, err error) {
	if errors.Is(err, messenger.ErrSessionExpired) || errors.Is(err, messenger.ErrStaleTerm) {
		e.needsSession = e.state == endpointOpen

		return
	}
	if errors.Is(err, messenger.ErrNoCapacity) {
		e.needsSession = e.state == endpointOpen
	}
}

// onceCallDone handles the result of a non-idempotent call.
func (c *Core) onceCallDone(call *pendingCall, msg CallDoneMsg) {
	e := call.executor
	id := call.msg.Request
	switch {
	case msg.Err == nil:
		c.finishRequest(call, encoder.RequestRan, msg.Answer, nil)
	case noEffect(msg.Err):
		c.renewAfterRefusal(e, msg.Err)
		c.finishRequest(call, encoder.RequestVoided, nil,
			modeler.NotRun(modeler.CodeNoExecutor, callRetryAfter, "request %s did not run: %s", id, msg.Err))
	default:
		c.finishRequest(call, encoder.RequestUnknown, nil,
			modeler.Unknown(modeler.CodeLostAnswer, 0, "the answer to request %s was lost; resolve it", id))
	}
}

// finishRequest ends a non-idempotent call: it writes the outcome and answers
// all callers that wait for it.
func (c *Core) finishRequest(call *pendingCall, state encoder.RequestState, answer []byte, refusal *modeler.Refusal) {
	e := call.executor
	c.releaseSlot(call, state == encoder.RequestUnknown)
	r := c.requests[call.key()]
	r.call = nil
	r.change.State, r.change.Answer, r.change.Time = state, answer, c.now.UTC().Round(0)
	if !c.retired {
		change := r.change
		c.write(item{request: &change})
		c.recordCall(call.msg, requestEvent(state), "", e.instance.ID)
	}
	for i, waiter := range append([]Waiter{call.waiter}, r.waiters...) {
		if refusal != nil {
			c.answer(waiter, nil, refusal)
		} else {
			c.answer(waiter, modeler.CallReply{Request: call.msg.Request, Answer: answer, Endpoint: e.instance.ID, Duplicate: i > 0}, nil)
		}
	}
	r.waiters = nil
}

// requestEvent returns the event to record for a request's new state.
func requestEvent(state encoder.RequestState) modeler.Event {
	switch state {
	case encoder.RequestRan:
		return modeler.EventFinished
	case encoder.RequestVoided:
		return modeler.EventVoided
	case encoder.RequestUnknown:
		return modeler.EventUnknown
	case encoder.RequestIntent:
	}

	return modeler.EventPlaced
}

// recordCall writes a record about a call.
func (c *Core) recordCall(msg modeler.CallMsg, event modeler.Event, cause string, executor modeler.InstanceID) {
	c.record(modeler.Record{Team: msg.Team, Queue: msg.Queue, Request: msg.Request, Event: event, Cause: cause, Endpoint: executor})
}
