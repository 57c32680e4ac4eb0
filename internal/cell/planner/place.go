package planner

import (
	"slices"
	"time"

	"gitlab.com/greengagewall/greengagewall/internal/cell/definer"
	"gitlab.com/greengagewall/greengagewall/internal/domain/modeler"
)

const (
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
	p.evacuate(now)

	return p.expire(now)
}

// Plan starts what can be started.
func (p *Planner) Plan(now definer.Instant) {
	p.now = now
	if len(p.ready) == 0 || !p.open(now) {
		return
	}
	pass := &pass{planner: p, now: now, settled: p.settled(now), hidden: p.hidden(now), reserved: map[*endpoint]*step{}, lacking: map[string][]modeler.Resources{}}
	for _, e := range p.ordered {
		if e.usable(now, p.settings.Freshness) {
			pass.usable = append(pass.usable, e)
		}
	}
	fair := p.fairUse()
	steps := make([]*step, 0, len(p.ready))
	for s := range p.ready {
		s.overShare = p.account(s.job.Account).over(fair)
		s.urgency = s.rate(now)
		steps = append(steps, s)
	}
	slices.SortFunc(steps, (*step).compare)
	pass.recall(steps)
	for _, s := range steps {
		pass.place(s)
	}
}

// pass is one round of placement.
type pass struct {
	planner *Planner
	now     definer.Instant
	settled bool
	// hidden is what each account may have running on endpoints that have not answered.
	hidden map[*account]modeler.Resources
	usable []*endpoint
	// reserved holds the endpoints that waiting gangs hold back.
	reserved  map[*endpoint]*step
	reserving int
	exploring int
	prepared  int
	// scratch is reused for lists of candidates.
	scratch []*endpoint
	// lacking holds, for each service, needs for which no endpoint has room any more.
	lacking map[string][]modeler.Resources
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
	if ps.lacks(s) {
		ps.prepare(s)
	} else {
		ps.placeEach(s, pending)
	}
}

// lacks reports whether there is known to be no room for a task of s: room
// only shrinks during a pass.
func (ps *pass) lacks(s *step) bool {
	need := s.need()
	for _, lacking := range ps.lacking[s.job.Queue.Service] {
		if lacking.Fits(need) {
			return true
		}
	}

	return false
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

// candidates returns the endpoints that may run a task of s, whether or not
// there is room now. The list is valid until the next call.
func (ps *pass) candidates(s *step) []*endpoint {
	need := s.need()
	candidates := ps.scratch[:0]
	for _, e := range ps.usable {
		if need.Fits(e.Capacity) && s.suits(e) {
			candidates = append(candidates, e)
		}
	}
	ps.scratch = candidates

	return candidates
}

// roomy returns the candidates that have room for a task of s now. The list is
// valid until the next call of either.
func (ps *pass) roomy(s *step) []*endpoint {
	need := s.need()
	candidates := ps.scratch[:0]
	fitting := false
	service := s.job.Queue.Service
	for _, e := range ps.usable {
		if e.Service != service || !need.Fits(e.room()) {
			continue
		}
		fitting = true
		if s.suits(e) {
			candidates = append(candidates, e)
		}
	}
	ps.scratch = candidates
	if !fitting {
		ps.lacking[service] = append(ps.lacking[service], need)
	}

	return candidates
}

// suits reports whether e may run tasks of s, apart from its room.
func (s *step) suits(e *endpoint) bool {
	return e.Service == s.job.Queue.Service && (s.def.Requires == "" || e.Label(s.def.Requires)) &&
		(s.job.Queue.Policy == nil || !s.admission.refusedFor(e)) && !s.disturbs(e)
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
	policy := s.job.Queue.Policy
	account := p.account(s.job.Account)
	asked := s.admission.asking != 0 && ps.now < s.admission.asking
	if policy != nil && asked && ps.now.Add(ticketMargin) >= s.admission.validUntil {
		// Nothing can start before the answer.
		return
	}
	candidates := ps.roomy(s)
	expired := false
	short := 0
	for i, t := range pending {
		if !account.allows(s.def.Need, ps.hidden[account]) {
			return
		}
		best, stale := ps.choose(s, t, candidates)
		if best == nil {
			short, expired = len(pending)-i, stale

			break
		}
		ps.start(t, best, t.lastRun+1)
	}
	if policy == nil || asked || short == 0 {
		return
	}
	if fresh := s.admission.unasked(candidates); len(fresh) > 0 && len(s.admission.known) > 0 {
		p.ask(s, p.question(s, fresh, short), ps.now)

		return
	}
	if expired || len(s.admission.known) == 0 {
		p.ask(s, p.question(s, ps.candidates(s), short), ps.now)

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
	if ps.now.Add(ticketMargin) < s.admission.validUntil {
		return
	}
	ps.planner.ask(s, ps.planner.question(s, ps.candidates(s), s.def.Count), ps.now)
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

// choose returns the endpoint with the best score for a task, and whether the
// ticket of another one with room has expired.
func (ps *pass) choose(s *step, t *task, candidates []*endpoint) (best *endpoint, stale bool) {
	need := s.need()
	bestScore := 0.0
	for _, e := range candidates {
		if e == t.avoid && len(ps.usable) > 1 || !need.Fits(e.room()) || !s.spreads(e) || !ps.unreserved(e, s) {
			continue
		}
		if s.job.Queue.Policy != nil && !s.admission.valid(e, ps.now) {
			stale = stale || s.admission.admits(e)

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
	score := e.speed + packingWeight*need.Add(e.used).DominantShare(e.Capacity) - failureWeight*float64(e.failures)
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

// start sends a task to an endpoint.
func (ps *pass) start(t *task, e *endpoint, number int) {
	p := ps.planner
	s := t.step
	r := &run{task: t, name: t.name(), number: number, endpoint: e, need: s.need(), account: p.account(s.job.Account),
		sentAt: ps.now, changedAt: ps.now, checkpoint: t.checkpoint}
	t.run, t.lastRun = r, number
	e.take(r)
	// The order extends the lease of all that runs there.
	e.sent = ps.now
	s.placed[e]++
	if !s.job.begun {
		s.job.begun = true
		p.note("first start", s.job.ID, "waited", ps.now.Sub(s.job.accepted), "endpoint", e.ID)
	}
	p.emit(StartCmd{
		Target: e.target(),
		Order: definer.StartOrder{
			Task: r.name, Run: number, Spec: s.job.Spec, Checkpoint: t.checkpoint,
			Ticket: s.admission.value(e), Until: e.until(ps.now, p.settings.Lease),
		},
	})
}
