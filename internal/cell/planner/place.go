package planner

import (
	"sort"
	"time"

	"gitlab.com/greengagewall/greengagewall/internal/cell/definer"
	"gitlab.com/greengagewall/greengagewall/internal/domain/modeler"
)

const (
	// unsettledShare is the share of an account's limit that is used while
	// tasks of an earlier owner may run on endpoints that have not answered.
	unsettledShare = 0.85
	// reservingShare bounds the gangs that may hold endpoints back for themselves, by the number of endpoints.
	reservingShare = 1.0 / 12
	// preemptAfter is how long a gang waits for room before less urgent work is stopped for it.
	preemptAfter = 800 * time.Millisecond
	// reservedPenalty keeps more urgent work off reserved endpoints while there are others.
	reservedPenalty = 4.0
	// exploringShare bounds the gangs that may wait for their first answer of a placement policy.
	exploringShare = 1.0 / 4
	// preparedShare bounds the waiting steps that have tickets asked for before there is room.
	preparedShare = 1.0 / 8
)

// Tick advances what depends on time.
func (p *Planner) Tick(now definer.Instant, wall time.Time) (dropped []string) {
	p.now = now
	for j := range p.timed {
		p.advance(j, wall)
	}
	p.lapse(now)

	return p.expire(now)
}

// Plan starts what can be started.
func (p *Planner) Plan(now definer.Instant) {
	p.now = now
	if len(p.ready) == 0 || !p.open(now) {
		return
	}
	pass := &pass{planner: p, now: now, settled: p.settled(now), reserved: map[*endpoint]*step{}, largest: map[string]modeler.Resources{}}
	for _, e := range p.endpoints {
		if e.usable(now, p.settings.Freshness) {
			pass.usable = append(pass.usable, e)
			pass.largest[e.Service] = maximum(pass.largest[e.Service], e.room())
		}
	}
	// A fixed order makes the decisions repeatable.
	sort.Slice(pass.usable, func(a, b int) bool { return pass.usable[a].ID < pass.usable[b].ID })
	fair := p.fairUse()
	steps := make([]*step, 0, len(p.ready))
	for s := range p.ready {
		s.overShare = p.account(s.job.Account).over(fair)
		s.urgency = s.rate(now)
		steps = append(steps, s)
	}
	sort.Slice(steps, func(a, b int) bool { return steps[a].before(steps[b]) })
	pass.recall(steps)
	for _, s := range steps {
		pass.place(s)
	}
}

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

// fairUse returns the processors in use for each unit of weight, over the accounts that have jobs.
func (p *Planner) fairUse() float64 {
	var used, weight float64
	for _, a := range p.accounts {
		if a.active > 0 {
			used += float64(a.used.Millis)
			weight += a.weight
		}
	}
	if weight == 0 {
		return 0
	}

	return used / weight
}

// shareMargin is how far above its share an account may be before others go first.
const shareMargin = 1.2

// over reports whether the account uses more than its share.
func (a *account) over(fair float64) bool {
	return a.weight > 0 && float64(a.used.Millis)/a.weight > fair*shareMargin
}

// maximum returns the componentwise maximum.
func maximum(a, b modeler.Resources) modeler.Resources {
	return modeler.Resources{
		Millis: max(a.Millis, b.Millis), Memory: max(a.Memory, b.Memory), Accelerators: max(a.Accelerators, b.Accelerators),
	}
}

// The urgencies of a step: its job can still meet its objective, is late but
// still worth something, is worth nothing any more, or its account has sent
// more than it is owed. A cell that is short of room serves what it can still
// serve in time; by deadline alone it would be late with everything.
const (
	urgencyOnTime = iota
	urgencyLate
	urgencyMissed
	urgencyExcess
)

const (
	// lateFactor is how many times its objective a job may take until it is worth nothing.
	lateFactor = 3
	// tailMargin and tailSlack allow for estimates that are short and for the way to the caller.
	tailMargin = 1.1
	tailSlack  = 150 * time.Millisecond
)

// rate returns the urgency of s.
func (s *step) rate(now definer.Instant) int {
	j := s.job
	end := now.Add(time.Duration(tailMargin*float64(s.tail)) + tailSlack)
	switch {
	case j.excess:
		return urgencyExcess
	case end > j.accepted.Add(lateFactor*j.deadline.Sub(j.accepted)):
		return urgencyMissed
	case end > j.deadline:
		return urgencyLate
	default:
		return urgencyOnTime
	}
}

// before orders the steps to start: by urgency, then by the priority of the
// queue, the share that the account has and the end of the objective.
func (s *step) before(o *step) bool {
	a, b := s.job, o.job
	switch {
	case s.urgency != o.urgency:
		return s.urgency < o.urgency
	case a.Queue.Priority != b.Queue.Priority:
		return a.Queue.Priority < b.Queue.Priority
	case s.overShare != o.overShare:
		return !s.overShare
	case a.deadline != b.deadline:
		return a.deadline < b.deadline
	case a.ID != b.ID:
		return a.ID < b.ID
	default:
		return s.index < o.index
	}
}

// pass is one round of placement.
type pass struct {
	planner *Planner
	now     definer.Instant
	settled bool
	usable  []*endpoint
	// reserved holds the endpoints that waiting gangs hold back.
	reserved  map[*endpoint]*step
	reserving int
	exploring int
	prepared  int
	// scratch is reused for lists of candidates.
	scratch []*endpoint
	// largest bounds the room on any endpoint of a service.
	largest map[string]modeler.Resources
}

// most returns a bound that grows with the number of usable endpoints.
func (ps *pass) most(share float64) int { return 1 + int(share*float64(len(ps.usable))) }

// place starts tasks of a step as far as there is room.
func (ps *pass) place(s *step) {
	p := ps.planner
	if s.job.inherited && !ps.settled {
		return
	}
	pending := s.pending()
	if len(pending) == 0 {
		// An ended run lists the step again.
		delete(p.ready, s)

		return
	}
	if s.def.Gang {
		switch {
		case s.gang == 0 && len(pending) == s.left:
			ps.placeGang(s, pending)
		case s.gang != 0 && ps.settled && ps.now.Sub(s.gangSince) > incompleteAfter:
			// Another owner started the gang and did not finish.
			p.disband(s)
		}

		return
	}
	if s.need().Fits(ps.largest[s.job.Queue.Service]) {
		ps.placeEach(s, pending)
	} else {
		ps.prepare(s)
	}
}

// incompleteAfter is how long a gang may lack members after it was taken over;
// it is shorter than their wait at the endpoints.
const incompleteAfter = 700 * time.Millisecond

// pending returns the tasks of s that are neither done nor running.
func (s *step) pending() []*task {
	var pending []*task
	for _, t := range s.tasks {
		if !t.done && t.run == nil {
			pending = append(pending, t)
		}
	}

	return pending
}

// limitShare is the share of an account's limit that may be used.
func (ps *pass) limitShare() float64 {
	if ps.settled {
		return 1
	}

	return unsettledShare
}

// candidates returns the endpoints that may run a task of s, whether or not
// there is room now. The list is valid until the next call.
func (ps *pass) candidates(s *step) []*endpoint {
	need := s.need()
	candidates := ps.scratch[:0]
	for _, e := range ps.usable {
		if e.Service != s.job.Queue.Service || s.def.Requires != "" && !e.Label(s.def.Requires) || !need.Fits(e.Capacity) {
			continue
		}
		if s.job.Queue.Policy != nil && s.admission.refusedFor(e) || s.disturbs(e) {
			continue
		}
		candidates = append(candidates, e)
	}
	ps.scratch = candidates

	return candidates
}

// disturbs reports whether a task of s and what runs on e would disturb each
// other: tasks that fill slow tasks that serve by amounts that are not known,
// so they never share an endpoint.
func (s *step) disturbs(e *endpoint) bool {
	return s.def.Fills && e.serving > 0 || s.def.TailTarget > 0 && e.filling > 0
}

// placeEach starts the tasks of a step one by one.
func (ps *pass) placeEach(s *step, pending []*task) {
	p := ps.planner
	candidates := ps.candidates(s)
	policy := s.job.Queue.Policy
	account := p.account(s.job.Account)
	asked := s.admission.asking != 0 && ps.now < s.admission.asking
	var expired []*endpoint
	short := 0
	for i, t := range pending {
		if !account.allows(s.def.Need, ps.limitShare()) {
			return
		}
		best, stale := ps.choose(s, t, candidates)
		if best == nil && stale != nil && !asked {
			expired = append(expired, stale)
		}
		if best == nil {
			short = len(pending) - i

			break
		}
		ps.start(t, best, t.lastRun+1)
	}
	if policy == nil || asked || short == 0 {
		return
	}
	if len(expired) > 0 || len(s.admission.known) == 0 {
		p.ask(s, p.question(s, candidates, short), ps.now)

		return
	}
	ps.prepare(s)
}

// prepare asks for tickets for a step that waits for room, so that it can
// start as soon as there is some. Only the first in line are prepared.
func (ps *pass) prepare(s *step) {
	if s.job.Queue.Policy == nil || s.urgency > urgencyLate || ps.prepared >= ps.most(preparedShare) {
		return
	}
	ps.prepared++
	if s.admission.asking != 0 && ps.now < s.admission.asking {
		return
	}
	candidates := ps.candidates(s)
	for _, e := range candidates {
		if s.admission.valid(e, ps.now) {
			return
		}
	}
	ps.planner.ask(s, ps.planner.question(s, candidates, s.def.Count), ps.now)
}

// spreads reports whether the step may have one more task on e.
func (s *step) spreads(e *endpoint) bool {
	return s.def.PerEndpoint == 0 || s.placed[e] < s.def.PerEndpoint
}

// unreserved reports whether no waiting gang of a more urgent queue holds e back.
func (ps *pass) unreserved(e *endpoint, s *step) bool {
	holder := ps.reserved[e]

	return holder == nil || holder == s || s.job.Queue.Priority < holder.job.Queue.Priority
}

// choose returns the endpoint for a task that leaves the least room, and one
// whose ticket has expired when there is none with a valid one.
func (ps *pass) choose(s *step, t *task, candidates []*endpoint) (best, stale *endpoint) {
	need := s.need()
	bestScore := 0.0
	for _, e := range candidates {
		if e == t.avoid && len(candidates) > 1 || !need.Fits(e.room()) || !s.spreads(e) || !ps.unreserved(e, s) {
			continue
		}
		if s.job.Queue.Policy != nil && !s.admission.valid(e, ps.now) {
			if s.admission.known[e].admitted {
				stale = e
			}

			continue
		}
		score := s.score(e, need)
		if holder := ps.reserved[e]; holder != nil && holder != s {
			score -= reservedPenalty
		}
		if best == nil || score > bestScore {
			best, bestScore = e, score
		}
	}

	return best, stale
}

// score rates an endpoint for a task of s: near its data first, then fast,
// then tightly packed.
func (s *step) score(e *endpoint, need modeler.Resources) float64 {
	score := e.speed + packingWeight*need.Add(e.used).Dominant(e.Capacity) - failureWeight*float64(e.failures)
	if s.def.DataRack != "" && !e.Label(s.def.DataRack) {
		score -= farPenalty
	}

	return score
}

const (
	// packingWeight, failureWeight and farPenalty weigh packing, failures and distance against speed.
	packingWeight = 0.5
	failureWeight = 0.4
	farPenalty    = 2.0
)

// placeGang starts all tasks of a gang at once, or holds endpoints back for it.
func (ps *pass) placeGang(s *step, pending []*task) {
	p := ps.planner
	policy := s.job.Queue.Policy
	asking := s.admission.asking != 0 && ps.now < s.admission.asking
	if ps.reserving >= ps.most(reservingShare) || !p.account(s.job.Account).allows(s.def.Need.Scale(int64(len(pending))), ps.limitShare()) {
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
			// What was admitted can never hold the gang: ask about endpoints that have come since.
			p.ask(s, s.admission.unasked(ps.candidates(s)), ps.now)
		}

		return
	}
	places := ps.pack(s, len(pending), ps.ready(s, candidates))
	if places == nil && asking && len(s.held) > 0 {
		// The places that tickets are asked for stay reserved until the answer.
		ps.reserving++

		return
	}
	if places == nil {
		places = ps.pack(s, len(pending), candidates)
		if places == nil {
			ps.reserve(s, candidates, len(pending))

			return
		}
		// There is room, but the tickets have expired: keep it while new ones are asked for.
		ps.keep(s, places)
		if !asking {
			p.ask(s, s.held, ps.now)
		}

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
		if ps.reserved[e] != s || !contains(s.held, e) {
			ps.reserved[e] = s
			s.held = append(s.held, e)
		}
	}
	ps.reserving++
}

func contains(endpoints []*endpoint, e *endpoint) bool {
	for _, other := range endpoints {
		if other == e {
			return true
		}
	}

	return false
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
	count := 0
	for need.Fits(room) && count < s.def.Count && (most == 0 || count < most) {
		room = room.Sub(need)
		count++
	}

	return count
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

// start sends a task to an endpoint.
func (ps *pass) start(t *task, e *endpoint, number int) {
	p := ps.planner
	s := t.step
	r := &run{task: t, name: t.name(), number: number, endpoint: e, need: s.need(), account: p.account(s.job.Account),
		sentAt: ps.now, changedAt: ps.now, checkpoint: t.checkpoint}
	t.run, t.lastRun = r, number
	e.take(r)
	s.placed[e]++
	if !s.job.begun {
		s.job.begun = true
		p.note("first start", s.job.ID, "waited", ps.now.Sub(s.job.accepted), "endpoint", e.ID)
	}
	p.emit(StartCmd{
		Target: definer.Target{ID: e.ID, Address: e.Address},
		Order: definer.StartOrder{
			Task: r.name, Run: number, Spec: s.job.Spec, Checkpoint: t.checkpoint,
			Ticket: s.admission.known[e].value, Until: e.until(ps.now, p.settings.Lease),
		},
	})
}
