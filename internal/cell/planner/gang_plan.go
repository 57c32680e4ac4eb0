package planner

import (
	"cmp"
	"math/bits"
	"slices"
	"time"

	"gitlab.com/greengagewall/greengagewall/internal/cell/definer"
	"gitlab.com/greengagewall/greengagewall/internal/domain/modeler"
)

// maxSpares is how many endpoints beside those of the plan a question for its tickets names.
const maxSpares = 4

// earlyAnswerShare is how long before the room is free the tickets should arrive, as a share
// of their validity.
const earlyAnswerShare = 1.0 / 3

const (
	// shortestClass is the run time up to which steps are of the first class of runTimeClass, and maxBackfillTime
	// that from which they are of the last one: plans rarely begin later.
	shortestClass   = 500 * time.Millisecond
	maxBackfillTime = 8 * time.Second
	// stopTime is how long a run is expected to occupy its room after its stop was sent.
	stopTime = 300 * time.Millisecond
	// overdueTime is the remaining time that is expected of a run which has outlasted its estimate.
	overdueTime = 500 * time.Millisecond
	// unknownRunTime is the remaining time that is expected of a run of an unknown task.
	unknownRunTime = 5 * time.Second
)

// gangPlan is where a waiting gang is to start. The room of its tasks there is held: other
// work may use the rest of the endpoints.
type gangPlan struct {
	// parts holds each endpoint of the plan once.
	parts []planPart
	// since is when the plan was made, and startsAt when its room is expected to be free.
	since, startsAt definer.Instant
	// spares are further endpoints on which room is expected next.
	spares []*endpoint
	// preempted means that runs have been preempted for the plan.
	preempted bool
}

// planPart is the number of tasks of a gang that are planned on an endpoint, and when
// their room is expected to be free.
type planPart struct {
	endpoint *endpoint
	tasks    int
	freeAt   definer.Instant
}

// exists reports whether the plan holds room.
func (g *gangPlan) exists() bool { return len(g.parts) > 0 }

// tasks returns the number of planned tasks.
func (g *gangPlan) tasks() int {
	total := 0
	for _, part := range g.parts {
		total += part.tasks
	}

	return total
}

// add plans more tasks on an endpoint.
func (g *gangPlan) add(e *endpoint, tasks int, freeAt definer.Instant) {
	g.startsAt = max(g.startsAt, freeAt)
	for i := range g.parts {
		if part := &g.parts[i]; part.endpoint == e {
			part.tasks += tasks
			part.freeAt = max(part.freeAt, freeAt)

			return
		}
	}
	g.parts = append(g.parts, planPart{e, tasks, freeAt})
}

// has reports whether tasks are planned on an endpoint.
func (g *gangPlan) has(e *endpoint) bool {
	return slices.ContainsFunc(g.parts, func(part planPart) bool { return part.endpoint == e })
}

// addSpare adds an endpoint that may replace one of the plan.
func (g *gangPlan) addSpare(e *endpoint) {
	if !g.has(e) && !slices.Contains(g.spares, e) {
		g.spares = append(g.spares, e)
	}
}

// endpoints returns the endpoints of the plan and the spare ones.
func (g *gangPlan) endpoints() []*endpoint {
	endpoints := make([]*endpoint, 0, len(g.parts)+len(g.spares))
	for _, part := range g.parts {
		endpoints = append(endpoints, part.endpoint)
	}

	return append(endpoints, g.spares...)
}

// askAhead asks for tickets for a gang's plan so that the answer arrives just before the
// room is free.
func (ps *pass) askAhead(s *step) {
	if s.job.Queue.Policy == nil || !s.plan.exists() || s.admission.askBlocked(ps.now) {
		return
	}
	policy := s.job.Queue.Policy
	endpoints := s.plan.endpoints()
	lead := questionCost(policy, len(endpoints)) + ps.planner.stats(s.job.Queue.Name).questionWait + time.Duration(earlyAnswerShare*float64(policy.Validity))
	if ps.now.Add(lead) < s.plan.startsAt || ps.hasTicketsUntil(s, max(s.plan.startsAt, ps.now.Add(lead))) {
		return
	}
	ps.renew(s, endpoints)
}

// hasTicketsUntil reports whether the tickets for the endpoints of the plan are valid at
// the given time.
func (ps *pass) hasTicketsUntil(s *step, at definer.Instant) bool {
	return !slices.ContainsFunc(s.plan.parts, func(part planPart) bool {
		answer := s.admission.answer(part.endpoint)

		return answer == nil || !answer.validFor(part.endpoint, at)
	})
}

// reservation is the room on an endpoint that is reserved for a gang.
type reservation struct {
	step   *step
	amount modeler.Resources
}

// reserveParts reserves the room of the gang's plan in this round.
func (ps *pass) reserveParts(s *step) {
	s.yields = true
	if usage := ps.services[s.job.Queue.Service]; usage != nil {
		s.yields = !usage.busy()
	}
	for _, part := range s.plan.parts {
		part.endpoint.reserve(s, s.need().Scale(int64(part.tasks)))
	}
}

// reserve reserves an amount for the gang, in place of what it has reserved on e in this round.
func (e *endpoint) reserve(s *step, amount modeler.Resources) {
	if e.reservedFor == nil {
		e.reservedFor = s
	}
	for i := range e.reservations {
		if e.reservations[i].step == s {
			e.reservations[i].amount = amount

			return
		}
	}
	e.reservations = append(e.reservations, reservation{s, amount})
}

// release ends what the gang reserves on e.
func (e *endpoint) release(s *step) {
	e.reservations = slices.DeleteFunc(e.reservations, func(r reservation) bool { return r.step == s })
	switch {
	case e.reservedFor != s:
	case len(e.reservations) > 0:
		e.reservedFor = e.reservations[0].step
	default:
		e.reservedFor = nil
	}
}

// availableTo returns the free resources of e that s may use: those that are not held, or
// are held for s, for a gang behind s, for a gang of a less urgent queue, or for one whose
// service has much room.
func (e *endpoint) availableTo(s *step) modeler.Resources {
	return e.free().Sub(e.reservedFrom(s))
}

// reservedFrom returns the resources of e that are held from s.
func (e *endpoint) reservedFrom(s *step) modeler.Resources {
	var held modeler.Resources
	for i := range e.reservations {
		h := &e.reservations[i]
		if h.step == s {
			break
		}
		if h.step.yields || s.job.Queue.Priority < h.step.job.Queue.Priority || s.endsBefore(h.step) {
			continue
		}
		held = held.Add(h.amount)
	}

	return held
}

// endsBefore reports whether a task of s that starts in this round is expected to be over
// before the room of the gang's plan is free, so that it may run in held room. Gangs and
// long-running tasks never do.
func (s *step) endsBefore(gang *step) bool {
	return !s.def.Gang && !s.def.LongRunning && s.endsAt != 0 && s.endsAt <= gang.plan.startsAt
}

// runTimeClass returns a number that grows with the logarithm of the expected run time.
// Steps of different classes find different room beside the plans of gangs.
func runTimeClass(expected time.Duration) int {
	return bits.Len64(uint64(max(min(expected, maxBackfillTime), 0) / shortestClass))
}

// reserved returns the resources of e that are reserved for gangs.
func (e *endpoint) reserved() modeler.Resources {
	var held modeler.Resources
	for i := range e.reservations {
		held = held.Add(e.reservations[i].amount)
	}

	return held
}

// reservedIdle returns the free resources of e that are held.
func (e *endpoint) reservedIdle() modeler.Resources { return e.reserved().Min(e.free()) }

// planValid reports whether the endpoints of the gang's plan are usable and large enough
// for it beside what is held there for the gangs in front.
func (ps *pass) planValid(s *step, count int) bool {
	if s.plan.tasks() != count {
		return false
	}
	for _, part := range s.plan.parts {
		e := part.endpoint
		if !ps.isUsable(s, e) || tasksFitting(s, e.reclaimable().Sub(e.reservedFrom(s)), s.def.PerEndpoint) < part.tasks {
			return false
		}
	}

	return true
}

// reclaimable returns the resources of e that are or become free: all but those of
// long-running tasks.
func (e *endpoint) reclaimable() modeler.Resources {
	room := e.Capacity
	for _, r := range e.runs {
		if r.task != nil && r.task.step.def.LongRunning {
			room = room.Sub(r.need)
		}
	}

	return room
}

// planGang returns the plan with which a gang is expected to start first, or an empty one.
// A partial plan could deadlock: two gangs would each wait for the other's room.
func (ps *pass) planGang(s *step, candidates []*endpoint, count int) gangPlan {
	var parts []planPart
	for _, e := range candidates {
		parts = ps.appendParts(parts, s, e)
	}
	slices.SortStableFunc(parts, func(a, b planPart) int { return cmp.Compare(a.freeAt, b.freeAt) })
	plan := gangPlan{since: ps.now, startsAt: ps.now}
	for _, part := range parts {
		if count == 0 {
			if plan.addSpare(part.endpoint); len(plan.spares) == maxSpares {
				break
			}

			continue
		}
		tasks := min(part.tasks, count)
		plan.add(part.endpoint, tasks, part.freeAt)
		count -= tasks
	}
	if count > 0 {
		return gangPlan{}
	}

	return plan
}

// appendParts appends when how many more tasks of s are expected to fit on e.
func (ps *pass) appendParts(parts []planPart, s *step, e *endpoint) []planPart {
	held := e.reservedFrom(s)
	most := tasksFitting(s, e.reclaimable().Sub(held), s.def.PerEndpoint)
	if most <= 0 {
		return parts
	}
	room := e.free().Sub(held)
	fits := 0
	if now := min(tasksFitting(s, room, s.def.PerEndpoint), most); now > 0 {
		parts = append(parts, planPart{e, now, ps.now})
		fits = now
	}
	if fits == most {
		return parts
	}
	for _, end := range ps.expectedEnds(s, e) {
		room = room.Add(end.need)
		if now := min(tasksFitting(s, room, s.def.PerEndpoint), most); now > fits {
			parts = append(parts, planPart{e, now - fits, end.at})
			fits = now
		}
	}

	return parts
}

// expectedEnd is when a run is expected to release its resources.
type expectedEnd struct {
	at   definer.Instant
	need modeler.Resources
}

// expectedEnds returns when the runs on e are expected to end, in that order. Those that
// may be preempted for the gang end after preemptDelay at the latest.
func (ps *pass) expectedEnds(s *step, e *endpoint) []expectedEnd {
	ends := make([]expectedEnd, 0, len(e.runs))
	for _, r := range e.runs {
		if at, finite := ps.expectedEnd(s, r); finite {
			ends = append(ends, expectedEnd{at, r.need})
		}
	}
	slices.SortFunc(ends, func(a, b expectedEnd) int {
		return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.need.Millis, b.need.Millis), cmp.Compare(a.need.Memory, b.need.Memory))
	})

	return ends
}

// expectedEnd returns when a run is expected to end, and false if it does not end by
// itself. A run that is overdue may end at any time.
func (ps *pass) expectedEnd(s *step, r *run) (at definer.Instant, finite bool) {
	if r.task == nil {
		return ps.now.Add(unknownRunTime), true
	}
	if r.task.step.def.LongRunning {
		return 0, false
	}
	if r.phase == phaseStopping || r.phase == phaseStopped {
		return ps.now.Add(stopTime), true
	}
	remaining := max(ps.planner.remainingTime(r, ps.now), overdueTime)
	if preemptibleFor(s, r) {
		remaining = min(remaining, preemptDelay+stopTime)
	}

	return ps.now.Add(remaining), true
}
