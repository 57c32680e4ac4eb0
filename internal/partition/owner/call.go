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
	// defaultTimeout bounds a call that sets no bound.
	defaultTimeout = 10 * time.Second
	// maxQueue bounds the calls that wait for a slot.
	maxQueue = 4096
	// callRetry is the hint to callers that found no slot.
	callRetry = time.Second
	// maxSends bounds how often a call is sent after refusals that are
	// certain.
	maxSends = 3
)

// call is a call that waits for a slot or for its answer.
type call struct {
	id     uint64
	waiter Waiter
	msg    modeler.CallMsg
	// at is the executor whose slot the call holds.
	at *endpoint
	// intent is set once the intent of a non-idempotent call was read back.
	intent  bool
	sent    bool
	sends   int
	expires time.Time
}

// request is a non-idempotent request.
type request struct {
	change encoder.RequestChange
	// call is set while this owner executes the request.
	call    *call
	waiters []Waiter
	// settling is the wait for a resolved outcome that was not read back. Until
	// then another owner may come to another outcome.
	settling *wait
}

func (c *call) key() replayer.RequestKey {
	return replayer.RequestKey{Team: c.msg.Team, Request: c.msg.Request}
}

// call takes a call of a waiting caller.
func (c *Core) call(msg CallMsg) {
	timeout := msg.Timeout
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	entry := &call{waiter: msg.Waiter, msg: msg.CallMsg, expires: c.now.Add(timeout)}
	if !msg.Idempotent && c.known(entry) {
		return
	}
	if refusal := c.callRefusal(entry); refusal != nil {
		c.answer(msg.Waiter, nil, refusal)

		return
	}
	c.lastCall++
	entry.id = c.lastCall
	if !msg.Idempotent {
		c.requests[entry.key()] = &request{call: entry}
	}
	c.enqueue(entry)
}

// enqueue adds a call to the queue, ordered by class and arrival.
func (c *Core) enqueue(entry *call) {
	at, _ := slices.BinarySearchFunc(c.queue, entry, func(a, b *call) int {
		if d := urgency(a.msg.Class) - urgency(b.msg.Class); d != 0 {
			return d
		}

		return int(int64(a.id) - int64(b.id))
	})
	c.queue = slices.Insert(c.queue, at, entry)
}

// urgency orders the classes.
func urgency(class modeler.Class) int {
	switch class {
	case modeler.ClassUrgent:
		return 0
	case modeler.ClassDeferred:
		return 2
	case modeler.ClassStandard:
	}

	return 1
}

// known answers a non-idempotent call whose request was seen before.
func (c *Core) known(entry *call) bool {
	r, ok := c.requests[entry.key()]
	if !ok {
		return false
	}
	if r.call != nil {
		r.waiters = append(r.waiters, entry.waiter)

		return true
	}
	id := entry.msg.Request
	if r.settling != nil {
		c.answer(entry.waiter, nil, modeler.Unknown(modeler.CodeLostAnswer, callRetry, "request %s is being resolved", id))

		return true
	}
	switch r.change.State {
	case encoder.RequestRan:
		if r.change.Answer == nil {
			c.answer(entry.waiter, nil, &modeler.Refusal{
				Outcome: modeler.OutcomeRan, Code: modeler.CodeLostAnswer, Detail: "request " + string(id) + " ran and the executor has no answer to it",
			})

			return true
		}
		c.answer(entry.waiter, modeler.CallReply{Request: id, Answer: r.change.Answer, Endpoint: r.change.Endpoint, Duplicate: true}, nil)
	case encoder.RequestVoided:
		c.answer(entry.waiter, nil, modeler.NotRun(modeler.CodeConflict, 0, "request %s was voided and is never executed", id))
	case encoder.RequestIntent, encoder.RequestUnknown:
		c.answer(entry.waiter, nil, modeler.Unknown(modeler.CodeLostAnswer, 0, "request %s was sent and its answer lost; resolve it", id))
	}

	return true
}

// callRefusal says why a call is not taken; nil takes it.
func (c *Core) callRefusal(entry *call) *modeler.Refusal {
	msg := entry.msg
	switch {
	case c.retired:
		return modeler.NotRun(modeler.CodeNotOwner, notOwnerRetry, "partition %s has another owner", c.partition)
	case c.draining:
		return modeler.NotRun(modeler.CodeDraining, notOwnerRetry, "the owner of partition %s is shutting down", c.partition)
	case !msg.Idempotent && (c.journal.down || !c.claimed() || c.journal.full()):
		return modeler.NotRun(modeler.CodeLogDown, logRetry, "partition %s: the log does not answer", c.partition)
	case len(c.queue) >= maxQueue:
		return modeler.NotRun(modeler.CodeOverload, callRetry, "partition %s: %d calls wait for a slot", c.partition, len(c.queue))
	}
	for _, e := range c.endpoints {
		if e.serves(msg.Service) && e.listed && !e.leaving {
			return nil
		}
	}

	return modeler.NotRun(modeler.CodeNoExecutor, callRetry, "partition %s has no executor of service %s", c.partition, msg.Service)
}

// serves reports whether the endpoint is an executor of the service.
func (e *endpoint) serves(service string) bool {
	return e.instance.Kind == modeler.KindExecutor && (e.instance.Service == "" || e.instance.Service == service)
}

// slots returns the free slots of an executor.
func (e *endpoint) slots() int64 {
	return e.capacity.Slots - int64(len(e.calls)) - int64(len(e.strangers))
}

// dispatchCalls gives free slots to queued calls.
func (c *Core) dispatchCalls() {
	if len(c.queue) == 0 || !c.Ready() {
		return
	}
	kept := c.queue[:0]
	for _, entry := range c.queue {
		if !c.dispatch(entry) {
			kept = append(kept, entry)
		}
	}
	clear(c.queue[len(kept):])
	c.queue = kept
}

// dispatch sends a call, or writes its intent, if an executor has a slot and
// the team's allotment covers it.
func (c *Core) dispatch(entry *call) bool {
	e := c.executor(entry.msg.Service)
	if e == nil {
		return false
	}
	t, needs := c.team(entry.msg.Team), modeler.Resources{Slots: 1}
	if c.teamsDirty {
		c.refreshTeams()
	}
	if !within(t.running().Add(needs), needs, t.allotment) {
		c.askTokens(TokensCmd{Team: t.id, Wanted: needs, Since: c.now})

		return false
	}
	if !c.permitUse(e, t, needs, "call "+string(entry.msg.Request)) {
		return false
	}
	entry.at = e
	e.calls[entry.id], c.calls[entry.id] = entry, entry
	t.use(needs)
	if entry.msg.Idempotent {
		c.sendCall(entry)
	} else {
		c.writeIntent(entry)
	}

	return true
}

// executor returns the usable executor of the service with most free slots.
func (c *Core) executor(service string) *endpoint {
	var best *endpoint
	for _, e := range c.endpoints {
		if !e.serves(service) || !e.usable(c.now) || e.slots() < 1 {
			continue
		}
		if best == nil || e.slots() > best.slots() || e.slots() == best.slots() && e.instance.ID < best.instance.ID {
			best = e
		}
	}

	return best
}

// vacate gives the slot of a call back. A call whose answer was lost may still
// run; its slot stays taken until a new session shows that it does not.
func (c *Core) vacate(entry *call, lost bool) {
	e := entry.at
	if e == nil {
		return
	}
	delete(e.calls, entry.id)
	delete(c.calls, entry.id)
	c.team(entry.msg.Team).free(modeler.Resources{Slots: 1})
	entry.at = nil
	if lost && e.state != endpointGone {
		e.contact = c.now
		e.strangers[modeler.TaskID(entry.msg.Request)] = stranger{team: entry.msg.Team, needs: modeler.Resources{Slots: 1}, since: c.now}
		e.renew = e.state == endpointOpen
		c.teamsDirty = true
	}
}

// writeIntent writes a request's intent and sends the call once the intent was
// read back.
func (c *Core) writeIntent(entry *call) {
	change := encoder.RequestChange{
		Team: entry.msg.Team, Queue: entry.msg.Queue, Request: entry.msg.Request,
		State: encoder.RequestIntent, Endpoint: entry.at.instance.ID, Time: c.now.UTC().Round(0),
	}
	r := c.requests[entry.key()]
	r.change = change
	w := &wait{waiters: []Waiter{entry.waiter}, expires: entry.expires}
	// A caller that gives up before the intent was handed to the log, or whose
	// intent never becomes valid, is told that the call was not run.
	w.undo = func() { c.dropRequest(entry) }
	w.done = func(ok bool) {
		switch {
		case !ok:
			c.dropRequest(entry)
		case entry.at == nil:
		default:
			entry.intent = true
			c.sendOnceCall(entry)
		}
	}
	c.write(item{request: &change, wait: w})
	c.noteCall(entry.msg, modeler.EventPlaced, "intent", entry.at.instance.ID)
}

// dropRequest forgets a request whose intent is not in the stream.
func (c *Core) dropRequest(entry *call) {
	c.vacate(entry, false)
	r := c.requests[entry.key()]
	if r == nil || r.call != entry {
		return
	}
	for _, waiter := range r.waiters {
		c.answer(waiter, nil, modeler.NotRun(modeler.CodeLogDown, logRetry, "request %s: its intent was not written", entry.msg.Request))
	}
	delete(c.requests, entry.key())
}

// sendOnceCall sends a call whose intent is in the stream. If the executor was
// lost in the meantime, the request is voided: it was never sent.
func (c *Core) sendOnceCall(entry *call) {
	if entry.sent {
		c.violate("I7", "request "+string(entry.msg.Request)+" would be sent twice")

		return
	}
	if c.retired || !c.Ready() || !entry.at.usable(c.now) || c.now.After(entry.expires) {
		c.settleRequest(entry, encoder.RequestVoided, nil,
			modeler.NotRun(modeler.CodeNoExecutor, callRetry, "the executor was lost before request %s was sent", entry.msg.Request))

		return
	}
	c.sendCall(entry)
}

// sendCall sends a call to its executor.
func (c *Core) sendCall(entry *call) {
	e := entry.at
	entry.sent = true
	entry.sends++
	c.emit(CallCmd{
		Endpoint: e.instance, Call: entry.id, Timeout: entry.expires.Sub(c.now),
		Request: messenger.CallRequest{
			Term: e.term, Session: e.session, Request: entry.msg.Request,
			Team: entry.msg.Team, Service: entry.msg.Service, Body: entry.msg.Body,
		},
	})
}

// callDone takes the result of a call.
func (c *Core) callDone(msg CallDoneMsg) {
	entry, ok := c.calls[msg.Call]
	if !ok {
		return
	}
	if !entry.msg.Idempotent {
		c.onceDone(entry, msg)

		return
	}
	e := entry.at
	switch {
	case msg.Err == nil:
		c.vacate(entry, false)
		c.answer(entry.waiter, modeler.CallReply{Request: entry.msg.Request, Answer: msg.Answer, Endpoint: e.instance.ID}, nil)
	case certain(msg.Err):
		c.vacate(entry, false)
		c.distrust(e, msg.Err)
		if !c.retired && entry.sends < maxSends && c.now.Before(entry.expires) {
			entry.sent = false
			c.enqueue(entry)

			return
		}
		c.answer(entry.waiter, nil, modeler.NotRun(modeler.CodeNoExecutor, callRetry, "executor %s: %s", e.instance.ID, msg.Err))
	default:
		c.vacate(entry, true)
		c.answer(entry.waiter, nil, modeler.Unknown(modeler.CodeLostAnswer, callRetry, "executor %s: %s", e.instance.ID, msg.Err))
	}
}

// distrust reacts to an executor's refusal of a call.
func (c *Core) distrust(e *endpoint, err error) {
	if errors.Is(err, messenger.ErrSessionExpired) || errors.Is(err, messenger.ErrStaleTerm) {
		e.renew = e.state == endpointOpen

		return
	}
	if errors.Is(err, messenger.ErrNoCapacity) {
		e.renew = e.state == endpointOpen
	}
}

// onceDone takes the result of a non-idempotent call.
func (c *Core) onceDone(entry *call, msg CallDoneMsg) {
	e := entry.at
	id := entry.msg.Request
	switch {
	case msg.Err == nil:
		c.settleRequest(entry, encoder.RequestRan, msg.Answer, nil)
	case certain(msg.Err):
		c.distrust(e, msg.Err)
		c.settleRequest(entry, encoder.RequestVoided, nil,
			modeler.NotRun(modeler.CodeNoExecutor, callRetry, "request %s did not run: %s", id, msg.Err))
	default:
		c.settleRequest(entry, encoder.RequestUnknown, nil,
			modeler.Unknown(modeler.CodeLostAnswer, 0, "the answer to request %s was lost; resolve it", id))
	}
}

// settleRequest ends a non-idempotent call: the outcome is written, and all
// callers that wait for it are answered.
func (c *Core) settleRequest(entry *call, state encoder.RequestState, answer []byte, refusal *modeler.Refusal) {
	e := entry.at
	c.vacate(entry, state == encoder.RequestUnknown)
	r := c.requests[entry.key()]
	r.call = nil
	r.change.State, r.change.Answer, r.change.Time = state, answer, c.now.UTC().Round(0)
	if !c.retired {
		change := r.change
		c.write(item{request: &change})
		c.noteCall(entry.msg, requestEvent(state), "", e.instance.ID)
	}
	for i, waiter := range append([]Waiter{entry.waiter}, r.waiters...) {
		if refusal != nil {
			c.answer(waiter, nil, refusal)
		} else {
			c.answer(waiter, modeler.CallReply{Request: entry.msg.Request, Answer: answer, Endpoint: e.instance.ID, Duplicate: i > 0}, nil)
		}
	}
	r.waiters = nil
}

// requestEvent returns the event of the record about a request's new state.
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

// noteCall writes a record about a call.
func (c *Core) noteCall(msg modeler.CallMsg, event modeler.Event, cause string, at modeler.InstanceID) {
	c.record(modeler.Record{Team: msg.Team, Queue: msg.Queue, Request: msg.Request, Event: event, Cause: cause, Endpoint: at})
}
