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

// The states of an endpoint from the owner's point of view.
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
	// granted is set once the endpoint has granted a session to this owner.
	granted bool
	// lastRenewal is when the last hello or renewal that was answered was sent.
	lastRenewal time.Time
	// sessionEnd is the latest time at which the endpoint may still accept a renewal
	// or a start under a session of this owner. A hello extends no lease.
	sessionEnd time.Time
	// claimTerm is the term of the first claim that names the endpoint;
	// admitted is set once a majority has seen that term.
	claimTerm modeler.Term
	admitted  bool
	// regainedAt is when the endpoint granted a session after it may have
	// granted one to another owner.
	regainedAt time.Time
	// lostAt is when the session was lost.
	lostAt time.Time
	// lastAttempt is when the last hello or renewal was sent; inFlight is set
	// until its result arrives.
	lastAttempt time.Time
	inFlight    bool
	// needsSession requests a new session although the current one has not
	// lapsed.
	needsSession bool
	// known is set once the platform's list or the claim in force has named the
	// endpoint.
	known   bool
	listed  bool
	leaving bool
	// unlistedAt is since when the endpoint has not been listed; zero if it is.
	unlistedAt time.Time
	tasks      map[modeler.TaskID]*task
	calls      map[uint64]*pendingCall
	// untracked holds the tasks and calls that the endpoint runs without a
	// placement by this owner.
	untracked map[modeler.TaskID]untrackedWork
	// orphanResults holds the results of tasks whose job this owner does not
	// know yet.
	orphanResults map[modeler.TaskID]messenger.TaskResult
	// foreignSince is when the endpoint first reported, under this session, the
	// result of a task whose job is not in the partition's stream.
	foreignSince map[modeler.TaskID]time.Time
	acks         []modeler.TaskID
	// uncommittedResults holds the attempts whose results, or the decisions that
	// they do not count, are not yet in the stream.
	uncommittedResults map[taskAttempt]bool
	reported           scheduler.EndpointMsg
}

// taskAttempt is one attempt of a task.
type taskAttempt struct {
	task    modeler.TaskID
	attempt int
}

// newEndpoint returns an endpoint without a session.
func newEndpoint(instance modeler.Instance) *endpoint {
	e := &endpoint{
		instance: instance, state: endpointNew,
		tasks: map[modeler.TaskID]*task{}, calls: map[uint64]*pendingCall{}, untracked: map[modeler.TaskID]untrackedWork{}, uncommittedResults: map[taskAttempt]bool{}, orphanResults: map[modeler.TaskID]messenger.TaskResult{},
		foreignSince: map[modeler.TaskID]time.Time{},
	}
	e.machine = stateless.NewStateMachine(endpointNew)
	e.machine.Configure(endpointNew).Permit(triggerGranted, endpointOpen).Permit(triggerEnded, endpointGone).Ignore(triggerLost)
	e.machine.Configure(endpointOpen).Permit(triggerLost, endpointLapsed).PermitReentry(triggerGranted).Ignore(triggerEnded)
	e.machine.Configure(endpointLapsed).Permit(triggerGranted, endpointOpen).Permit(triggerEnded, endpointGone).Ignore(triggerLost)
	e.machine.Configure(endpointGone).Permit(triggerGranted, endpointOpen).Ignore(triggerLost).Ignore(triggerEnded)

	return e
}

// fire triggers a transition of the state machine. Every state handles every
// trigger, so an error means a fault in newEndpoint.
func (e *endpoint) fire(trigger string) {
	if err := e.machine.Fire(trigger); err != nil {
		panic(err)
	}
	e.state, _ = e.machine.MustState().(string)
}

// idle reports whether the endpoint has no work and can have none.
func (e *endpoint) idle() bool {
	return len(e.tasks) == 0 && len(e.calls) == 0 && len(e.untracked) == 0
}

// used returns the resources that the work at the endpoint needs.
func (e *endpoint) used() modeler.Resources {
	var sum modeler.Resources
	for _, t := range e.tasks {
		sum = sum.Add(t.job.Needs)
	}
	sum.Slots += int64(len(e.calls))
	for _, work := range e.untracked {
		sum = sum.Add(work.needs)
	}

	return sum
}

// usable reports whether new work may be sent under the current session.
func (e *endpoint) usable(now time.Time) bool {
	return e.state == endpointOpen && e.admitted && !e.needsSession && e.listed && !e.leaving && now.Sub(e.lastRenewal) <= MaxRenewalAge
}

// updateEndpoints applies the platform's list of the partition's endpoints.
func (c *Core) updateEndpoints(msg EndpointsMsg) {
	listed := make(map[modeler.InstanceID]bool, len(msg.Instances))
	for _, instance := range msg.Instances {
		listed[instance.ID] = true
		e, ok := c.endpoints[instance.ID]
		if !ok {
			e = newEndpoint(instance)
			c.endpoints[instance.ID] = e
		}
		e.instance, e.listed, e.known, e.unlistedAt = instance, true, true, time.Time{}
		e.leaving = e.leaving || instance.State == modeler.StateLeaving
	}
	for id, e := range ordered(c.endpoints) {
		e.listed = listed[id]
		if !e.listed && e.unlistedAt.IsZero() {
			e.unlistedAt = c.now
		}
		c.syncEndpoint(e)
	}
}

// tickEndpoint sends the hello or renewal that is due and ends the work at an
// endpoint whose leases have ended.
func (c *Core) tickEndpoint(e *endpoint) {
	switch e.state {
	case endpointOpen:
		switch {
		case c.now.Sub(e.lastRenewal) > SessionTTL:
			c.loseSession(e)
		case e.needsSession:
			c.hello(e, 0)
		default:
			c.renew(e)
		}
	case endpointNew, endpointLapsed:
		if end, ok := c.leaseEnd(e); ok && !e.inFlight && c.now.After(end) {
			e.fire(triggerEnded)
			c.endLeases(e)

			return
		}
		c.hello(e, renewInterval)
	case endpointGone:
		if e.listed {
			c.hello(e, helloInterval)
		}
	}
	if e.removable() && !c.named(e) {
		c.dropEndpoint(e)
	}
	c.syncEndpoint(e)
}

// takeoverWait is how long after the majority of a new owner an endpoint may still
// accept commands of the earlier one: that owner notices within MaxRenewalAge that
// it has lost the majority, renews for SessionTTL more, and the last two of these
// renewals may arrive late, each at the end of the session.
const takeoverWait = MaxRenewalAge + 3*SessionTTL

// leaseEnd returns when the leases of all work at an endpoint without a session
// end; ok is false while that time is not known.
func (c *Core) leaseEnd(e *endpoint) (end time.Time, ok bool) {
	switch {
	case e.state != endpointNew && e.sessionEnd.After(e.lostAt):
		end = e.sessionEnd
	case e.state != endpointNew:
		end = e.lostAt
	case c.majorityAt.IsZero():
		return time.Time{}, false
	default:
		end = c.majorityAt.Add(takeoverWait)
	}

	return end.Add(TaskLeaseTTL + leaseMargin), true
}

// hello opens a session unless an attempt is in flight or was made less than
// pause ago.
func (c *Core) hello(e *endpoint, pause time.Duration) {
	if e.inFlight || !e.known || c.now.Sub(e.lastAttempt) < pause {
		return
	}
	e.inFlight, e.lastAttempt = true, c.now
	c.emit(HelloCmd{Endpoint: e.instance, Request: messenger.HelloRequest{Term: c.term, Owner: c.self}})
}

// renew renews the session when it is due. An owner that has lost its majority
// stops renewing: a later owner relies on the leases at endpoints that only the
// earlier owner reaches to end takeoverWait + Lt after its own majority.
func (c *Core) renew(e *endpoint) {
	if e.inFlight || c.now.Sub(e.lastAttempt) < renewInterval || c.now.Sub(c.lastReady) > SessionTTL {
		return
	}
	e.inFlight, e.lastAttempt = true, c.now
	c.emit(RenewCmd{Endpoint: e.instance, Request: messenger.RenewRequest{Term: e.term, Session: e.session, Acknowledged: e.dueAcknowledgements()}})
}

// loseSession marks the session as no longer usable.
func (c *Core) loseSession(e *endpoint) {
	if e.state == endpointOpen {
		e.lostAt = c.now
	}
	e.fire(triggerLost)
	e.needsSession = false
	c.syncEndpoint(e)
}

// helloDone handles the result of a hello.
func (c *Core) helloDone(msg HelloDoneMsg) {
	e, ok := c.endpoints[msg.Endpoint]
	if !ok || c.retired {
		return
	}
	e.inFlight = false
	if msg.Err != nil {
		if errors.Is(msg.Err, messenger.ErrStaleTerm) && msg.Term == c.term {
			c.laterTermEndpoint = e.instance.ID
			if c.laterTermSince.IsZero() {
				c.laterTermSince = c.now
			}
		}

		return
	}
	c.trackSessionGap(e, msg.Reply.Session)
	e.fire(triggerGranted)
	e.session, e.term, e.granted, e.needsSession = msg.Reply.Session, msg.Term, true, false
	e.lastRenewal, e.capacity = msg.Sent, msg.Reply.Capacity
	c.prolongSession(e, nil)
	e.leaving = e.leaving || msg.Reply.Leaving
	// The scheduler must know the endpoint before it learns of tasks there.
	c.syncEndpoint(e)
	c.adopt(e, msg.Reply)
	c.syncEndpoint(e)
	c.tickTakeover()
}

// renewDone handles the result of a renewal.
func (c *Core) renewDone(msg RenewDoneMsg) {
	e, ok := c.endpoints[msg.Endpoint]
	if !ok || c.retired {
		return
	}
	e.inFlight = false
	c.prolongSession(e, msg.Err)
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
	e.lastRenewal = msg.Sent
	e.leaving = e.leaving || msg.Reply.Leaving
	e.acks = slices.DeleteFunc(e.acks, func(id modeler.TaskID) bool { return slices.Contains(msg.Request.Acknowledged, id) })
	c.decide(scheduler.UsageMsg{Endpoint: e.instance.ID, Usage: msg.Reply.Usage})
	for _, result := range msg.Reply.Finished {
		c.handleTaskResult(e, result)
	}
	c.reconcileRenewal(e, msg)
	c.syncEndpoint(e)
}

// prolongSession moves the end of the session after a hello or a renewal with the
// given result. One that was not answered may still arrive, at the latest when
// the session would end without it.
func (c *Core) prolongSession(e *endpoint, err error) {
	switch {
	case err == nil:
		e.sessionEnd = c.now.Add(SessionTTL)
	case !noEffect(err):
		e.sessionEnd = e.sessionEnd.Add(SessionTTL)
	}
}

// syncEndpoint sends the scheduler the current state of a worker if it has
// changed. Work that the scheduler does not know of is subtracted from the
// capacity.
func (c *Core) syncEndpoint(e *endpoint) {
	if e.instance.Kind != modeler.KindWorker || !e.granted {
		return
	}
	hidden := modeler.Resources{}
	for _, work := range e.untracked {
		hidden = hidden.Add(work.needs)
	}
	if !c.takeoverComplete || c.holdingJobs {
		for _, t := range e.tasks {
			if !t.job.scheduled {
				hidden = hidden.Add(t.job.Needs)
			}
		}
	}
	msg := scheduler.EndpointMsg{
		ID: e.instance.ID, Zone: e.instance.Zone, Rack: e.instance.Rack,
		Capacity: e.capacity.Sub(hidden), Usable: e.usable(c.now),
	}
	if msg != e.reported {
		e.reported = msg
		c.decide(msg)
	}
}

// removable reports whether the owner needs the endpoint no longer: it is not
// listed and has no work.
func (e *endpoint) removable() bool {
	return !e.listed && e.idle() && !e.inFlight && e.state != endpointNew
}

// dropEndpoint removes an endpoint that is removable and that no claim names.
func (c *Core) dropEndpoint(e *endpoint) {
	delete(c.endpoints, e.instance.ID)
	if e.reported.ID != "" {
		c.decide(scheduler.EndpointGoneMsg{ID: e.instance.ID})
	}
}
