package planner

import (
	"cmp"
	"slices"
	"sort"

	"gitlab.com/greengagewall/greengagewall/internal/domain/modeler"
)

// admittedCapacityFactor is the capacity of admitted endpoints, as a multiple
// of the gang's size, from which a waiting gang stops asking about further
// endpoints.
const admittedCapacityFactor = 4

// placeGang starts all tasks of a gang at once. A gang that has room but no tickets asks
// for them, and the first gangs without room hold room by a plan. The others wait, and
// start when there is room beside what is held.
func (ps *pass) placeGang(s *step, pending []*task) {
	p := ps.planner
	policy := s.job.Queue.Policy
	account := p.account(s.job.Account)
	if !account.withinLimit(s.def.Need.Scale(int64(len(pending))), ps.unconfirmed[account]) {
		ps.lacks(s, lackLimit)
		s.dropReservation()

		return
	}
	if policy != nil && len(s.admission.answers) == 0 {
		ps.lacks(s, lackAnswer)
		ps.explore(s, len(pending))

		return
	}
	candidates := ps.admittedTo(s)
	if taskCapacity(s, candidates) < len(pending) {
		// The admitted endpoints are too small for the gang even when they are empty.
		ps.lacks(s, lackAdmission)
		s.dropReservation()
		ps.explore(s, len(pending))

		return
	}
	ready, _ := ps.withTickets(s, candidates)
	assigned := ps.assignEndpoints(s, len(pending), ready, nil)
	if assigned == nil {
		ps.deferGang(s, candidates, len(pending))

		return
	}
	number := p.nextRun(pending...)
	if !p.mayGive(number) {
		ps.lacks(s, lackNumber)

		return
	}
	ps.noteGangStart(s, number, assigned)
	s.gangRun, s.gangSince = number, ps.now
	s.dropReservation()
	s.wait.begin()
	for i, t := range pending {
		ps.start(t, assigned[i], number)
	}
}

// deferGang handles a gang that cannot start: it lacks either tickets or room.
func (ps *pass) deferGang(s *step, candidates []*endpoint, count int) {
	hasRoom := totalRoom(s, count, candidates, nil) >= count
	switch {
	case hasRoom:
		s.wait.gainRoom(ps.now)
		ps.lacks(s, lackTickets)
	case freeRoom(s, candidates) >= count:
		s.wait.loseRoom(ps.now)
		ps.lacks(s, lackReserved)
	default:
		s.wait.loseRoom(ps.now)
		ps.lacks(s, lackRoom)
	}
	switch {
	case s.admission.askBlocked(ps.now) && s.plan.exists() && (!hasRoom || ps.mayReserveForTickets(s)):
		// The room stays held until the policy has answered.
		if !ps.planValid(s, count) || !ps.reserved.mayAdd(ps, s, count) {
			s.dropReservation()

			return
		}
		ps.reservePlan(s)
	case hasRoom:
		ps.renewTickets(s, candidates, count)
	default:
		ps.exploreRoom(s, candidates, count)
		ps.waitForRoom(s, candidates, count)
	}
}

// exploreRoom lets a gang without room ask about endpoints that have some now. Those to
// which it is admitted would hold it when they are empty, but may stay full. It asks if it
// is likely to be admitted to enough of them or, after fullPatience, if it may be.
func (ps *pass) exploreRoom(s *step, admitted []*endpoint, count int) {
	if s.job.Queue.Policy == nil || s.admission.askBlocked(ps.now) || ps.now < s.wait.pausedUntil {
		return
	}
	var unasked []*endpoint
	room := 0
	for _, e := range s.admission.filterUnasked(ps.candidates(s)) {
		if free := roomFor(s, e, nil); free > 0 && len(unasked) < maxAskedEndpoints {
			unasked = append(unasked, e)
			room += free
		}
	}
	rate := ps.planner.stats(s.job.Queue.Name).admissionRate
	if ps.now.Sub(s.wait.fullSince) > fullPatience {
		rate = 1
	}
	if len(unasked) == 0 || float64(totalRoom(s, count, admitted, nil))+rate*float64(room) < float64(count) {
		s.wait.pausedUntil = ps.now.Add(nothingToAskPause)

		return
	}
	ps.explorations.add(askingGang{step: s, endpoints: unasked})
}

// renewTickets claims the room of a gang whose tickets have expired and asks for new
// ones. The gang leaves room that others have claimed to them, for claimPatience at most,
// and keeps what it has reserved meanwhile.
func (ps *pass) renewTickets(s *step, candidates []*endpoint, count int) {
	others := ps.claimed
	if ps.now.Sub(s.wait.roomSince) > claimPatience {
		others = nil
	}
	assigned := ps.assignEndpoints(s, count, candidates, others)
	if assigned == nil {
		ps.reserved.add(s)

		return
	}
	ps.claim(s, assigned)
	ps.reserveAssigned(s, assigned)
	ps.renew(s, slices.Compact(assigned))
}

// waitForRoom lets the first gangs without room ask about further endpoints and reserve
// some of them.
func (ps *pass) waitForRoom(s *step, candidates []*endpoint, count int) {
	p := ps.planner
	if ps.now < s.wait.mayReserveAt || ps.waitingGangs >= ps.limit(waitingGangShare) && !s.plan.exists() {
		s.dropReservation()

		return
	}
	ps.waitingGangs++
	if s.job.Queue.Policy != nil && !s.admission.askBlocked(ps.now) && taskCapacity(s, candidates) < admittedCapacityFactor*count {
		s.wait.question = gangQuestionNone
		p.ask(s, p.endpointsToAsk(s, s.admission.filterUnasked(ps.candidates(s)), count), ps.now)
	}
	ps.reserve(s, candidates, count)
	ps.askAhead(s)
}

// admittedTo returns the endpoints that candidates returns and, if s has a placement
// policy, that the policy has admitted.
func (ps *pass) admittedTo(s *step) []*endpoint {
	if s.job.Queue.Policy == nil {
		return ps.candidates(s)
	}
	need := s.need()
	var admitted []*endpoint
	for _, e := range s.admission.admitted {
		if ps.isUsable(s, e) && need.Fits(e.Capacity) && s.admission.admits(e) && s.suits(e) {
			admitted = append(admitted, e)
		}
	}

	return admitted
}

// taskCapacity returns the number of tasks of s that the endpoints hold when they are empty.
func taskCapacity(s *step, endpoints []*endpoint) int {
	total := 0
	for _, e := range endpoints {
		total += tasksFitting(s, e.Capacity, s.def.PerEndpoint)
	}

	return total
}

// tasksFitting returns the number of tasks of s that fit in room, at most limit
// when it is positive.
func tasksFitting(s *step, room modeler.Resources, limit int) int {
	need := s.need()
	count := int64(s.def.Count)
	if limit > 0 {
		count = min(count, int64(limit))
	}
	for _, component := range [...][2]int64{{need.Millis, room.Millis}, {need.Memory, room.Memory}, {need.Accelerators, room.Accelerators}, {need.Slots, room.Slots}} {
		switch needed, free := component[0], component[1]; {
		case free < needed:
			return 0
		case needed > 0:
			count = min(count, free/needed)
		}
	}

	return int(count)
}

// roomFor returns the number of tasks of s that have room on e beside what is taken there.
func roomFor(s *step, e *endpoint, taken map[*endpoint]modeler.Resources) int {
	return tasksFitting(s, e.availableTo(s).Sub(taken[e]), s.def.PerEndpoint)
}

// totalRoom returns the number of tasks of s that have room on the candidates, or some
// number from count on.
func totalRoom(s *step, count int, candidates []*endpoint, taken map[*endpoint]modeler.Resources) int {
	total := 0
	for _, e := range candidates {
		if total += roomFor(s, e, taken); total >= count {
			break
		}
	}

	return total
}

// freeRoom returns the number of tasks of s that have room on the candidates, reserved
// ones included.
func freeRoom(s *step, candidates []*endpoint) int {
	total := 0
	for _, e := range candidates {
		total += tasksFitting(s, e.free(), s.def.PerEndpoint)
	}

	return total
}

// assignEndpoints returns an endpoint for each of count tasks, or nil when there
// is no room beside what is taken on them. A SameRack gang gets a single rack when one
// has room for it.
func (ps *pass) assignEndpoints(s *step, count int, candidates []*endpoint, taken map[*endpoint]modeler.Resources) []*endpoint {
	if totalRoom(s, count, candidates, taken) < count {
		return nil
	}
	fit := func(e *endpoint) int { return roomFor(s, e, taken) }
	if s.def.SameRack {
		if assigned := ps.assignInOneRack(s, count, candidates, fit); assigned != nil {
			return assigned
		}
	}

	return ps.assignByScore(s, count, candidates, fit)
}

// assignByScore fills the endpoints with the highest scores first. Where endpoints differ in
// speed, it uses such of like speed.
func (ps *pass) assignByScore(s *step, count int, candidates []*endpoint, fit func(*endpoint) int) []*endpoint {
	need := s.need()
	pref := ps.planner.preferenceOf(s)
	ordered := append([]*endpoint(nil), pref.similarSpeeds(s, count, candidates, fit)...)
	sort.SliceStable(ordered, func(a, b int) bool { return s.score(ordered[a], need, pref) > s.score(ordered[b], need, pref) })
	var assigned []*endpoint
	for _, e := range ordered {
		for range min(fit(e), count-len(assigned)) {
			assigned = append(assigned, e)
		}
		if len(assigned) == count {
			return assigned
		}
	}

	return nil
}

// assignInOneRack assigns all tasks to the first rack, by name, that has room
// for them. It returns nil when there is none.
func (ps *pass) assignInOneRack(s *step, count int, candidates []*endpoint, fit func(*endpoint) int) []*endpoint {
	racks := map[string][]*endpoint{}
	var names []string
	for _, e := range candidates {
		name := rackOf(e)
		if racks[name] == nil {
			names = append(names, name)
		}
		racks[name] = append(racks[name], e)
	}
	sort.Strings(names)
	for _, name := range names {
		if assigned := ps.assignByScore(s, count, racks[name], fit); assigned != nil {
			return assigned
		}
	}

	return nil
}

// rackOf returns the name of the endpoint's rack, which is its last label.
func rackOf(e *endpoint) string {
	if len(e.Labels) == 0 {
		return ""
	}

	return e.Labels[len(e.Labels)-1]
}

// preemptibleFor reports whether a run may be stopped for the gang: its queue
// is less urgent, and it resumes from its checkpoint, so that little work is
// lost.
func preemptibleFor(s *step, r *run) bool {
	return r.phase == phaseRunning && r.task != nil && r.task.step.def.Checkpointing && !r.task.step.def.Gang &&
		!r.task.step.def.LongRunning && r.task.step.job.Queue.Priority > s.job.Queue.Priority
}

// preemptibleRuns returns the runs on e that may be stopped for the gang, those that began
// last first.
func preemptibleRuns(s *step, e *endpoint) []*run {
	var runs []*run
	for _, r := range e.runs {
		if preemptibleFor(s, r) {
			runs = append(runs, r)
		}
	}
	slices.SortFunc(runs, func(a, b *run) int {
		return cmp.Or(cmp.Compare(b.sentAt, a.sentAt), cmp.Compare(a.name.Job, b.name.Job), cmp.Compare(a.name.Step, b.name.Step), cmp.Compare(a.name.Index, b.name.Index))
	})

	return runs
}

// preempt stops preemptible runs on the endpoints of the plan until the planned tasks fit there.
func (ps *pass) preempt(s *step) {
	p := ps.planner
	stopped := 0
	for _, part := range s.plan.parts {
		room := part.endpoint.availableTo(s)
		for _, r := range preemptibleRuns(s, part.endpoint) {
			if tasksFitting(s, room, s.def.PerEndpoint) >= part.tasks {
				break
			}
			room = room.Add(r.need)
			stopped++
			p.stopRun(r)
		}
	}
	p.note("preempted for a gang", s.job.ID, "step", s.index, "stopped", stopped, "waited", ps.now.Sub(s.plan.since))
}
