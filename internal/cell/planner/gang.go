package planner

import (
	"slices"
	"sort"

	"gitlab.com/greengagewall/greengagewall/internal/domain/modeler"
)

// recall reserves again what the first waiting gangs held in the last round;
// the others give up theirs, which nobody could use.
func (ps *pass) recall(steps []*step) {
	holders := 0
	for _, s := range steps {
		if len(s.held) == 0 {
			continue
		}
		if holders++; holders > ps.most(reservingShare) {
			s.held, s.heldSince = nil, 0

			continue
		}
		for _, e := range s.held {
			if ps.reserved[e] == nil {
				ps.reserved[e] = s
			}
		}
	}
}

// choiceFactor is how many times its size a waiting gang has room for on empty
// admitted endpoints before it stops asking about further ones.
const choiceFactor = 4

// placeGang starts all tasks of a gang at once, or holds endpoints back for it.
func (ps *pass) placeGang(s *step, pending []*task) {
	p := ps.planner
	policy := s.job.Queue.Policy
	asking := s.admission.asking != 0 && ps.now < s.admission.asking
	account := p.account(s.job.Account)
	if ps.reserving >= ps.most(reservingShare) || !account.allows(s.def.Need.Scale(int64(len(pending))), ps.hidden[account]) {
		return
	}
	if policy != nil && len(s.admission.known) == 0 {
		if !asking && ps.exploring < ps.most(exploringShare) {
			p.ask(s, p.question(s, ps.candidates(s), len(pending)), ps.now)
		}
		ps.exploring++

		return
	}
	candidates := ps.candidates(s)
	if policy != nil {
		candidates = s.admission.admitted(candidates)
	}
	if slots(s, candidates) < len(pending) {
		if policy != nil && !asking {
			// What was admitted can never hold the gang: ask about the endpoints that are left.
			p.ask(s, s.admission.unasked(ps.candidates(s)), ps.now)
		}

		return
	}
	places := ps.pack(s, len(pending), ps.ready(s, candidates))
	if places == nil {
		ps.await(s, candidates, len(pending), asking)

		return
	}
	number := 0
	for _, t := range pending {
		number = max(number, t.lastRun)
	}
	number++
	s.gang, s.gangSince = number, ps.now
	s.held, s.heldSince, s.preempted = nil, 0, false
	for i, t := range pending {
		ps.start(t, places[i], number)
	}
}

// await keeps endpoints for a gang that cannot start yet, and asks for what it lacks.
func (ps *pass) await(s *step, candidates []*endpoint, count int, asking bool) {
	p := ps.planner
	if asking && len(s.held) > 0 {
		// The places that tickets are asked for stay reserved until the answer.
		ps.reserving++

		return
	}
	if places := ps.pack(s, count, candidates); places != nil {
		// There is room, but the tickets have expired: keep it while new ones are asked for.
		ps.keep(s, places)
		if !asking {
			p.ask(s, s.held, ps.now)
		}

		return
	}
	if s.job.Queue.Policy != nil && !asking && slots(s, candidates) < choiceFactor*count {
		p.ask(s, s.admission.unasked(ps.candidates(s)), ps.now)
	}
	ps.reserve(s, candidates, count)
}

// ready returns the candidates on which a start may be sent now.
func (ps *pass) ready(s *step, candidates []*endpoint) []*endpoint {
	if s.job.Queue.Policy == nil {
		return candidates
	}
	var ready []*endpoint
	for _, e := range candidates {
		if s.admission.valid(e, ps.now) {
			ready = append(ready, e)
		}
	}

	return ready
}

// keep reserves the distinct endpoints among places for a gang.
func (ps *pass) keep(s *step, places []*endpoint) {
	s.held = nil
	for _, e := range places {
		if !slices.Contains(s.held, e) {
			ps.reserved[e] = s
			s.held = append(s.held, e)
		}
	}
	ps.reserving++
}

// slots counts the tasks of s that fit on empty endpoints.
func slots(s *step, endpoints []*endpoint) int {
	total := 0
	for _, e := range endpoints {
		total += fitting(s, e.Capacity, s.def.PerEndpoint)
	}

	return total
}

// fitting counts the tasks of s that fit in room.
func fitting(s *step, room modeler.Resources, most int) int {
	need := s.need()
	count := int64(s.def.Count)
	if most > 0 {
		count = min(count, int64(most))
	}
	for _, part := range [...][2]int64{{need.Millis, room.Millis}, {need.Memory, room.Memory}, {need.Accelerators, room.Accelerators}, {need.Slots, room.Slots}} {
		switch needed, free := part[0], part[1]; {
		case free < needed:
			return 0
		case needed > 0:
			count = min(count, free/needed)
		}
	}

	return int(count)
}

// pack returns an endpoint for each of count tasks, or nil. A gang that wants
// one rack gets the rack with the least room that holds it.
func (ps *pass) pack(s *step, count int, candidates []*endpoint) []*endpoint {
	free := func(e *endpoint) int {
		if !ps.unreserved(e, s) {
			return 0
		}

		return fitting(s, e.room(), s.def.PerEndpoint)
	}
	total := 0
	for _, e := range candidates {
		if total += free(e); total >= count {
			break
		}
	}
	if total < count {
		return nil
	}
	if s.def.SameRack {
		if places := packRack(s, count, candidates, free); places != nil {
			return places
		}
	}

	return packFrom(s, count, candidates, free)
}

// packFrom fills the endpoints that suit the step best.
func packFrom(s *step, count int, candidates []*endpoint, free func(*endpoint) int) []*endpoint {
	need := s.need()
	ordered := append([]*endpoint(nil), candidates...)
	sort.SliceStable(ordered, func(a, b int) bool { return s.score(ordered[a], need) > s.score(ordered[b], need) })
	var places []*endpoint
	for _, e := range ordered {
		for range min(free(e), count-len(places)) {
			places = append(places, e)
		}
		if len(places) == count {
			return places
		}
	}

	return nil
}

// packRack packs the tasks into one rack.
func packRack(s *step, count int, candidates []*endpoint, free func(*endpoint) int) []*endpoint {
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
		if places := packFrom(s, count, racks[name], free); places != nil {
			return places
		}
	}

	return nil
}

// rackOf returns the label that names the rack: the last one.
func rackOf(e *endpoint) string {
	if len(e.Labels) == 0 {
		return ""
	}

	return e.Labels[len(e.Labels)-1]
}

// reserve holds endpoints back from other work until the gang fits. The same
// endpoints stay reserved from round to round, so that they empty.
func (ps *pass) reserve(s *step, candidates []*endpoint, count int) {
	if ps.reserving >= ps.most(reservingShare) || s.job.excess {
		return
	}
	ps.reserving++
	if !ps.stillHeld(s, count) {
		s.held = ps.hold(s, candidates, count)
		s.heldSince, s.preempted = ps.now, false
	}
	if len(s.held) == 0 {
		return
	}
	for _, e := range s.held {
		ps.reserved[e] = s
	}
	if !s.preempted && ps.now.Sub(s.heldSince) > preemptAfter {
		s.preempted = true
		ps.preempt(s, count)
	}
}

// stillHeld reports whether the reserved endpoints can still hold the gang.
func (ps *pass) stillHeld(s *step, count int) bool {
	for _, e := range s.held {
		if holder := ps.reserved[e]; holder != nil && holder != s || !e.usable(ps.now, ps.planner.settings.Freshness) {
			return false
		}
	}

	return slots(s, s.held) >= count
}

// hold chooses endpoints for a gang: those that are free or freed soonest.
func (ps *pass) hold(s *step, candidates []*endpoint, count int) []*endpoint {
	type option struct {
		endpoint *endpoint
		slots    int
	}
	var options []option
	for _, e := range candidates {
		if holder := ps.reserved[e]; holder == nil || holder == s {
			options = append(options, option{e, fitting(s, e.room().Add(preemptible(s, e)), s.def.PerEndpoint)})
		}
	}
	sort.SliceStable(options, func(a, b int) bool { return options[a].slots > options[b].slots })
	var held []*endpoint
	for _, o := range options {
		held = append(held, o.endpoint)
		if count -= fitting(s, o.endpoint.Capacity, s.def.PerEndpoint); count <= 0 {
			return held
		}
	}

	// Two gangs that each hold a part of what they need would wait for each other.
	return nil
}

// yields reports whether a run may be stopped for the gang: it loses little,
// since it resumes from its checkpoint, and is of a less urgent queue.
func yields(s *step, r *run) bool {
	return r.phase == phaseRunning && r.task != nil && r.task.step.def.Checkpointing && !r.task.step.def.Gang &&
		!r.task.step.def.LongRunning && r.task.step.job.Queue.Priority > s.job.Queue.Priority
}

// preemptible returns what the runs that may be stopped for the gang take.
func preemptible(s *step, e *endpoint) modeler.Resources {
	var total modeler.Resources
	for _, r := range e.runs {
		if yields(s, r) {
			total = total.Add(r.need)
		}
	}

	return total
}

// preempt stops runs on the reserved endpoints until the gang fits there.
func (ps *pass) preempt(s *step, count int) {
	p := ps.planner
	stopped := 0
	for _, e := range s.held {
		have := fitting(s, e.room(), s.def.PerEndpoint)
		room := e.room()
		for _, r := range e.runs {
			if have >= count {
				break
			}
			if !yields(s, r) {
				continue
			}
			room = room.Add(r.need)
			have = fitting(s, room, s.def.PerEndpoint)
			stopped++
			p.stop(r)
		}
		if count -= have; count <= 0 {
			break
		}
	}
	p.note("preempted for a gang", s.job.ID, "step", s.index, "stopped", stopped, "waited", ps.now.Sub(s.heldSince))
}
