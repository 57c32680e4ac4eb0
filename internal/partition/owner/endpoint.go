package owner

import (
	"slices"
	"time"

	"github.com/pkg/errors"
	"github.com/qmuntal/stateless"

	"gitlab.com/greengagewall/greengagewall/internal/core/scheduler"
	"gitlab.com/greengagewall/greengagewall/internal/domain/modeler"
	"gitlab.com/greengagewall/greengagewall/internal/platform/messenger"
)

// The states of an endpoint as the owner sees it.
const (
	// endpointNew has not granted a session to this owner.
	endpointNew = "new"
	// endpointOpen has granted a session that has not lapsed.
	endpointOpen = "open"
	// endpointLapsed has no session; its tasks may still run.
	endpointLapsed = "lapsed"
	// endpointGone has no session, and its task leases have ended.
	endpointGone = "gone"
)

// The triggers of an endpoint's state machine.
const (
	triggerGranted = "granted"
	triggerLost    = "lost"
	triggerEnded   = "ended"
)

// endpoint is a worker or executor of the partition.
type endpoint struct {
	instance modeler.Instance
	machine  *stateless.StateMachine
	state    string
	session  modeler.SessionID
	// term is the term that the session was opened under.
	term     modeler.Term
	capacity modeler.Resources
	// raised is set once the endpoint has granted a session to this owner.
	raised bool
	// fresh is when the last answered hello or renewal was sent.
	fresh time.Time
	// contact is the latest time at which a renewal or a start may have
	// reached the endpoint and extended a task lease. A hello extends none.
	contact time.Time
	// enrolled is the term of the first claim that names the endpoint; admitted
	// is set once a majority has seen that term.
	enrolled modeler.Term
	admitted bool
	// regained is when the endpoint granted a session after it may have granted
	// one to another owner.
	regained time.Time
	// silent is when the session was lost.
	silent time.Time
	// sent is when the last hello or renewal was sent; busy while it is open.
	sent time.Time
	busy bool
	// renew asks for a new session although the present one has not lapsed.
	renew bool
	// known is set once the platform's list has shown the endpoint.
	known   bool
	listed  bool
	leaving bool
	tasks   map[modeler.TaskID]*task
	calls   map[uint64]*call
	// strangers are tasks and calls that the endpoint runs and the owner has
	// no other account of.
	strangers map[modeler.TaskID]stranger
	// orphans are finishes of tasks whose job the owner does not know yet.
	orphans map[modeler.TaskID]messenger.TaskResult
	acks    []modeler.TaskID
	// finishing holds the attempts of finishes that are not yet in the stream.
	finishing map[modeler.TaskID]int
	told      scheduler.EndpointMsg
}

// stranger is work at an endpoint that the owner did not place there.
type stranger struct {
	team  modeler.TeamID
	needs modeler.Resources
	// since is when the owner learned of it.
	since time.Time
	// found is the task as the endpoint listed it; zero for a lost call.
	found messenger.Task
}

// newEndpoint returns an endpoint without a session.
func newEndpoint(instance modeler.Instance) *endpoint {
	e := &endpoint{
		instance: instance, state: endpointNew,
		tasks: map[modeler.TaskID]*task{}, calls: map[uint64]*call{}, strangers: map[modeler.TaskID]stranger{}, finishing: map[modeler.TaskID]int{}, orphans: map[modeler.TaskID]messenger.TaskResult{},
	}
	e.machine = stateless.NewStateMachine(endpointNew)
	e.machine.Configure(endpointNew).Permit(triggerGranted, endpointOpen).Permit(triggerEnded, endpointGone).Ignore(triggerLost)
	e.machine.Configure(endpointOpen).Permit(triggerLost, endpointLapsed).PermitReentry(triggerGranted).Ignore(triggerEnded)
	e.machine.Configure(endpointLapsed).Permit(triggerGranted, endpointOpen).Permit(triggerEnded, endpointGone).Ignore(triggerLost)
	e.machine.Configure(endpointGone).Permit(triggerGranted, endpointOpen).Ignore(triggerLost).Ignore(triggerEnded)

	return e
}

// fire moves the state machine. Every state handles every trigger, so an
// error means a fault in newEndpoint.
func (e *endpoint) fire(trigger string) {
	if err := e.machine.Fire(trigger); err != nil {
		panic(err)
	}
	e.state, _ = e.machine.MustState().(string)
}

// idle reports whether no work is or may be at the endpoint.
func (e *endpoint) idle() bool {
	return len(e.tasks) == 0 && len(e.calls) == 0 && len(e.strangers) == 0
}

// used returns what the work at the endpoint needs.
func (e *endpoint) used() modeler.Resources {
	var sum modeler.Resources
	for _, t := range e.tasks {
		sum = sum.Add(t.job.Needs)
	}
	sum.Slots += int64(len(e.calls))
	for _, s := range e.strangers {
		sum = sum.Add(s.needs)
	}

	return sum
}

// usable reports whether new work may be sent under the present session.
func (e *endpoint) usable(now time.Time) bool {
	return e.state == endpointOpen && e.admitted && !e.renew && e.listed && !e.leaving && now.Sub(e.fresh) <= MaxRenewalAge
}

// list takes over the platform's list of the partition's endpoints.
func (c *Core) list(msg EndpointsMsg) {
	listed := make(map[modeler.InstanceID]bool, len(msg.Instances))
	for _, instance := range msg.Instances {
		listed[instance.ID] = true
		e, ok := c.endpoints[instance.ID]
		if !ok {
			e = newEndpoint(instance)
			c.endpoints[instance.ID] = e
		}
		e.instance, e.listed, e.known = instance, true, true
		e.leaving = e.leaving || instance.State == modeler.StateLeaving
	}
	for id, e := range ordered(c.endpoints) {
		e.listed = listed[id]
		c.tell(e)
	}
}

// tickEndpoint sends the attempt that is due and counts down lapsed leases.
func (c *Core) tickEndpoint(e *endpoint) {
	switch e.state {
	case endpointOpen:
		switch {
		case c.now.Sub(e.fresh) > SessionTTL:
			c.loseSession(e)
		case e.renew:
			c.hello(e, 0)
		default:
			c.renew(e)
		}
	case endpointNew, endpointLapsed:
		if end, ok := c.leaseEnd(e); ok && !e.busy && c.now.After(end) {
			e.fire(triggerEnded)
			c.endLeases(e)

			return
		}
		c.hello(e, renewEvery)
	case endpointGone:
		if e.listed {
			c.hello(e, helloEvery)
		}
	}
	if !e.listed && e.idle() && !e.busy && e.state != endpointNew {
		c.drop(e)
	}
	c.tell(e)
}

// leaseEnd returns when the leases of all work at a silent endpoint have
// ended; ok is unset while that cannot be said.
func (c *Core) leaseEnd(e *endpoint) (end time.Time, ok bool) {
	if e.state == endpointNew {
		if c.majorityAt.IsZero() {
			return time.Time{}, false
		}
		end = c.majorityAt.Add(MaxRenewalAge + 2*SessionTTL)
	} else {
		end = e.silent
	}
	if e.contact.After(end) {
		end = e.contact
	}

	return end.Add(TaskLeaseTTL + leaseMargin), true
}

// hello opens a session unless an attempt is open or too recent.
func (c *Core) hello(e *endpoint, pause time.Duration) {
	if e.busy || !e.known || c.now.Sub(e.sent) < pause {
		return
	}
	e.busy, e.sent = true, c.now
	c.emit(HelloCmd{Endpoint: e.instance, Request: messenger.HelloRequest{Term: c.term, Owner: c.self}})
}

// renew renews the session when it is due. An owner that has lost its majority
// stops renewing: a later owner counts on it that the leases at endpoints that
// only the earlier one reaches end Lc + 2*Ls + Lt after its own majority.
func (c *Core) renew(e *endpoint) {
	if e.busy || c.now.Sub(e.sent) < renewEvery || c.now.Sub(c.readyAt) > SessionTTL {
		return
	}
	e.busy, e.sent = true, c.now
	c.emit(RenewCmd{Endpoint: e.instance, Request: messenger.RenewRequest{Term: e.term, Session: e.session, Acknowledged: slices.Clone(e.acks)}})
}

// loseSession notes that the session can no longer be used.
func (c *Core) loseSession(e *endpoint) {
	if e.state == endpointOpen {
		e.silent = c.now
	}
	e.fire(triggerLost)
	e.renew = false
	c.tell(e)
}

// greeted takes the result of a hello.
func (c *Core) greeted(msg HelloDoneMsg) {
	e, ok := c.endpoints[msg.Endpoint]
	if !ok || c.retired {
		return
	}
	e.busy = false
	if msg.Err != nil {
		if errors.Is(msg.Err, messenger.ErrStaleTerm) && msg.Term == c.term {
			c.refused = e.instance.ID
			if c.refusedAt.IsZero() {
				c.refusedAt = c.now
			}
		}

		return
	}
	c.noteGap(e, msg.Reply.Session)
	e.fire(triggerGranted)
	e.session, e.term, e.raised, e.renew = msg.Reply.Session, msg.Term, true, false
	e.fresh, e.capacity = msg.Sent, msg.Reply.Capacity
	e.leaving = e.leaving || msg.Reply.Leaving
	// The decider must know the endpoint before it hears of tasks there.
	c.tell(e)
	c.adopt(e, msg.Reply)
	c.tell(e)
	c.tickTakeover()
}

// renewed takes the result of a renewal.
func (c *Core) renewed(msg RenewDoneMsg) {
	e, ok := c.endpoints[msg.Endpoint]
	if !ok || c.retired {
		return
	}
	e.busy = false
	if !certain(msg.Err) {
		e.contact = c.now
	}
	if e.state != endpointOpen || e.session != msg.Request.Session {
		return
	}
	if errors.Is(msg.Err, messenger.ErrSessionExpired) || errors.Is(msg.Err, messenger.ErrStaleTerm) {
		c.loseSession(e)

		return
	}
	if msg.Err != nil {
		return
	}
	e.fresh = msg.Sent
	e.leaving = e.leaving || msg.Reply.Leaving
	e.acks = e.acks[min(len(msg.Request.Acknowledged), len(e.acks)):]
	c.decide(scheduler.UsageMsg{Endpoint: e.instance.ID, Usage: msg.Reply.Usage})
	for _, finish := range msg.Reply.Finished {
		c.finish(e, finish)
	}
	c.compare(e, msg)
	c.tell(e)
}

// tell keeps the decider's view of a worker up to date. Work that the decider
// does not know of is subtracted from the capacity.
func (c *Core) tell(e *endpoint) {
	if e.instance.Kind != modeler.KindWorker || !e.raised {
		return
	}
	hidden := modeler.Resources{}
	for _, s := range e.strangers {
		hidden = hidden.Add(s.needs)
	}
	if !c.released || c.holding {
		for _, t := range e.tasks {
			if !t.job.released {
				hidden = hidden.Add(t.job.Needs)
			}
		}
	}
	msg := scheduler.EndpointMsg{
		ID: e.instance.ID, Zone: e.instance.Zone, Rack: e.instance.Rack,
		Capacity: e.capacity.Sub(hidden), Usable: e.usable(c.now),
	}
	if msg != e.told {
		e.told = msg
		c.decide(msg)
	}
}

// drop forgets an endpoint that is no longer listed and holds no work.
func (c *Core) drop(e *endpoint) {
	delete(c.endpoints, e.instance.ID)
	if e.told.ID != "" {
		c.decide(scheduler.EndpointGoneMsg{ID: e.instance.ID})
	}
}
