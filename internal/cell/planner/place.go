package planner

import (
	"cmp"
	"slices"
	"time"

	"gitlab.com/greengagewall/greengagewall/internal/cell/definer"
	"gitlab.com/greengagewall/greengagewall/internal/domain/modeler"
)

const (
	// reservingGangShare bounds the gangs that may reserve endpoints, as a share of the usable endpoints.
	reservingGangShare = 1.0 / 36
	// reservedShare bounds the room that is held for more than one gang, as a share of the capacity of a service.
	reservedShare = 1.0 / 8
	// waitingGangShare bounds the gangs without room that ask about further endpoints or reserve some, as a share
	// of the usable endpoints.
	waitingGangShare = 1.0 / 12
	// preemptDelay is how long a gang waits with reserved endpoints before less urgent runs are preempted for it.
	preemptDelay = 800 * time.Millisecond
	// reservedPenalty lowers the score of held room, so that more urgent work uses it only
	// when no other endpoint fits.
	reservedPenalty = 4.0
	// maxStartsPerRound bounds the tasks that start in a round, except that a gang starts as a whole. The renewals of
	// the leases are sent between the rounds.
	maxStartsPerRound = 1024
	// backfillMargin is how long before the start of a plan a task in its held room has to be over: the owner learns
	// of the end with the next report.
	backfillMargin = 200 * time.Millisecond
)

// maxActivityGap is the time between two calls of CheckSuspension above which the
// owner was suspended. Ticks come every few tens of milliseconds, and a lease
// lasts seconds.
const maxActivityGap = time.Second

// CheckSuspension notices that the owner was suspended since the last call. It is
// called before anything else is done at a new time.
func (p *Planner) CheckSuspension(now definer.Instant) {
	if gap := now.Sub(p.lastActive); p.lastActive != 0 && gap > maxActivityGap {
		p.resumedAt = now
		p.note("owner was suspended", "", "for", gap)
	}
	p.lastActive = now
}

// SuspendedSince reports whether the owner was suspended after the given time.
func (p *Planner) SuspendedSince(t definer.Instant) bool { return p.resumedAt > t }

// Tick processes everything that depends on time: it opens occurrences that
// are due, expires leases, evacuates draining endpoints and drops jobs that
// have been final for Retention. It returns the ids of the dropped jobs.
func (p *Planner) Tick(now definer.Instant, wall time.Time) (dropped []string) {
	p.now = now
	p.CheckSuspension(now)
	p.dropMissing(now)
	p.recordMajority(now)
	p.majorityUntil = p.majorityEnd(now)
	p.noteMajority(now)
	p.noteTakeover(now)
	for j := range p.unopened {
		p.advance(j, wall)
	}
	p.expireLeases(now)
	p.evacuate(now)
	p.clearZones(now)
	p.noteRunTimes(now)

	return p.expire(now)
}

// Plan starts the waiting tasks that fit, the most urgent steps first. It does
// nothing without a majority of the endpoints.
func (p *Planner) Plan(now definer.Instant) {
	p.now = now
	if !p.HasMajority(now) {
		p.noteStanding(nil, now)

		return
	}
	if len(p.readySteps) == 0 && !p.standingDue(now) {
		return
	}
	p.recordMajority(now)
	p.noteTakeover(now)
	p.rounds++
	p.startsLeft = maxStartsPerRound
	if p.lastRound == 0 {
		p.lastRound = now
	}
	sinceLastRound := now.Sub(p.lastRound)
	p.lastRound = now
	ps := &pass{planner: p, now: now, sinceLastRound: sinceLastRound, takeoverSettled: p.takeoverSettled(), unconfirmed: p.unconfirmedUsage(), unplaceable: map[group][]modeler.Resources{}}
	ps.findUsable()
	fair := p.fairUse()
	steps := make([]*step, 0, len(p.readySteps))
	for s := range p.readySteps {
		s.overShare = p.account(s.job.Account).exceedsShare(fair)
		s.urgency = p.urgencyAt(s, now)
		longest := p.highRunTime(s, now)
		s.endsAt, s.runTimeClass = now.Add(longest+backfillMargin), runTimeClass(longest)
		steps = append(steps, s)
	}
	slices.SortFunc(steps, (*step).compare)
	ps.dropCordonedReservations(steps)
	ps.restoreReservations(steps)
	ps.countGangQuestions(steps)
	ps.observeDelays(steps)
	urgent, _ := slices.BinarySearchFunc(steps, urgencyMissed, func(s *step, urgency int) int { return cmp.Compare(s.urgency, urgency) })
	ps.placeUseful(steps[:urgent])
	ps.prefetchInTurn()
	ps.findDeferredRoom(steps[:urgent])
	ps.placeInTurn(steps[urgent:])
	ps.askForGangs()
	ps.noteLoad()
	p.noteStanding(ps, now)
}

// pass is one round of placement.
type pass struct {
	planner         *Planner
	now             definer.Instant
	sinceLastRound  time.Duration
	takeoverSettled bool
	// unconfirmed bounds what each account may have running on endpoints that have not answered.
	unconfirmed map[*account]modeler.Resources
	// usable holds the endpoints on which tasks may be started, those with the most free processors first.
	usable []*endpoint
	// quarantined holds the endpoints that soleUsable reports, and all these and the usable ones, if a step needs
	// them, in the order of usable.
	quarantined, all []*endpoint
	// reserved counts the reservations, waitingGangs the gangs that wait for room, and prefetched the
	// steps that request tickets before there is room.
	reserved     reservationTotals
	waitingGangs int
	prefetched   int
	// explorations and renewals are the questions about gangs, and claimed is the room for which gangs ask for
	// tickets.
	explorations, renewals gangQuestions
	claimed                map[*endpoint]modeler.Resources
	// services holds the usage of the services.
	services map[string]*serviceUsage
	// leftOut holds the steps that prefetchShare keeps from requesting tickets.
	leftOut []*step
	// scratch is the reused buffer for lists of candidates.
	scratch []*endpoint
	// unplaceable holds, for each group of steps, the needs that no endpoint has room for in this round.
	unplaceable map[group][]modeler.Resources
}

// findUsable collects the endpoints on which tasks may be started and records their
// free resources.
func (ps *pass) findUsable() {
	p := ps.planner
	ps.usable = make([]*endpoint, 0, len(p.ordered))
	ps.measureServices()
	for _, e := range p.ordered {
		e.reservedFor, e.reservations = nil, e.reservations[:0]
		switch {
		case e.usable(ps.now, p.settings.Freshness):
			ps.usable = append(ps.usable, e)
		case e.soleUsable(ps.now, p.settings.Freshness):
			ps.quarantined = append(ps.quarantined, e)
		default:
			continue
		}
		e.round, e.room = p.rounds, e.free()
	}
	sortByRoom(ps.usable)
	ps.measureSpeeds()
}

// sortByRoom sorts endpoints by their free processors at the beginning of the round,
// the most first.
func sortByRoom(endpoints []*endpoint) {
	slices.SortStableFunc(endpoints, func(a, b *endpoint) int { return cmp.Compare(b.room.Millis, a.room.Millis) })
}

// isUsable reports whether tasks of s may be started on e in this round, if it is
// eligible.
func (ps *pass) isUsable(s *step, e *endpoint) bool {
	return e.round == ps.planner.rounds && (!e.inQuarantine(ps.now) || ps.needsQuarantined(s))
}

// limit returns 1 plus the given share of the number of usable endpoints.
func (ps *pass) limit(share float64) int { return 1 + int(share*float64(len(ps.usable))) }

// place starts as many pending tasks of a step as there is room for. A gang
// starts as a whole or not at all.
func (ps *pass) place(s *step) {
	p := ps.planner
	s.turnAt = ps.now
	if s.job.inherited && !ps.takeoverSettled {
		if s.def.Gang {
			ps.lacks(s, lackTakeover)
			ps.askDuringTakeover(s)
		}

		return
	}
	if s.pendingCount == 0 {
		// requeue adds the step again when a run ends.
		delete(p.readySteps, s)

		return
	}
	if s.def.Gang {
		pending := p.withoutExpired(s.pending())
		switch {
		case s.gangRun == 0 && len(pending) == s.tasksLeft:
			ps.placeGang(s, pending)
		case s.gangRun != 0 && ps.takeoverSettled && ps.now.Sub(s.gangSince) > incompleteGangTimeout:
			// A previous owner started only some members of the gang.
			p.stopGang(s)
		case s.gangRun == 0:
			ps.lacks(s, lackRuns)
		}

		return
	}
	if ps.lacksRoom(s) && !ps.needsQuarantined(s) {
		ps.prefetchTickets(s)
	} else {
		ps.placeTasks(s)
	}
}

// group is a set of steps that may use the same endpoints, reservations included.
type group struct {
	service                string
	priority, runTimeClass int
}

func groupOf(s *step) group {
	return group{s.job.Queue.Service, s.job.Queue.Priority, s.runTimeClass}
}

// lacksRoom reports whether an earlier search of this round found no room for
// needs no larger than those of s. The result holds for the whole round, because
// free resources only shrink and reservations only grow during it.
func (ps *pass) lacksRoom(s *step) bool {
	need := s.need()
	for _, unplaceable := range ps.unplaceable[groupOf(s)] {
		if unplaceable.Fits(need) {
			return true
		}
	}

	return false
}

// incompleteGangTimeout is how long a gang may lack members after a takeover.
// It is shorter than the time that members wait for each other at the endpoints.
const incompleteGangTimeout = 700 * time.Millisecond

// pending returns the tasks of s that are neither done nor on an endpoint. A task
// with a run that is being stopped is still on its endpoint.
func (s *step) pending() []*task {
	pending := make([]*task, 0, s.pendingCount)
	for _, t := range s.tasks {
		if !t.done && t.activeRuns == 0 {
			pending = append(pending, t)
		}
	}

	return pending
}

// candidates returns the usable endpoints that are eligible for s and whose
// capacity fits a task, regardless of their current load, those with the most free
// processors first. The slice is reused by the next call of candidates or
// candidatesWithRoom.
func (ps *pass) candidates(s *step) []*endpoint {
	need := s.need()
	candidates := ps.scratch[:0]
	for _, e := range ps.poolFor(s) {
		if need.Fits(e.Capacity) && s.eligible(e) {
			candidates = append(candidates, e)
		}
	}
	ps.scratch = candidates

	return candidates
}

// candidatesWithRoom returns the candidates whose free resources fit a task of
// s now. It looks no further than the endpoints that had enough free processors at
// the beginning of the round, because free resources only shrink during it. The
// slice is reused by the next call of candidates or candidatesWithRoom.
func (ps *pass) candidatesWithRoom(s *step) []*endpoint {
	need := s.need()
	candidates := ps.scratch[:0]
	fits := false
	service := s.job.Queue.Service
	group := groupOf(s)
	for _, e := range ps.poolFor(s) {
		if e.room.Millis < need.Millis {
			break
		}
		if e.Service != service || !need.Fits(e.availableTo(s)) {
			continue
		}
		fits = true
		if s.eligible(e) {
			candidates = append(candidates, e)
		}
	}
	ps.scratch = candidates
	if !fits {
		ps.unplaceable[group] = append(ps.unplaceable[group], need)
	}

	return candidates
}

// eligible reports whether e may run tasks of s, not considering resources.
func (s *step) eligible(e *endpoint) bool {
	return s.suits(e) && (s.job.Queue.Policy == nil || !s.admission.refuses(e))
}

// suits reports whether e may run tasks of s, considering neither resources nor the
// placement policy.
func (s *step) suits(e *endpoint) bool {
	return e.Service == s.job.Queue.Service && (s.def.Requires == "" || e.Label(s.def.Requires)) && !s.interferes(e)
}

// interferes reports whether a task of s must not share e with the runs there.
// Filling tasks slow down serving tasks by an unknown amount, so the two kinds
// never share an endpoint.
func (s *step) interferes(e *endpoint) bool {
	return s.def.Fills && e.servingRuns > 0 || s.def.TailTarget > 0 && e.fillingRuns > 0
}

// placeTasks starts the tasks of a step one by one, and asks the placement
// policy for tickets when some of them cannot be placed.
func (ps *pass) placeTasks(s *step) {
	if ps.planner.startsLeft <= 0 {
		return
	}
	policy := s.job.Queue.Policy
	askBlocked := s.admission.askBlocked(ps.now)
	if policy != nil && askBlocked && ps.now.Add(ticketMargin) >= s.admission.validUntil {
		// All tickets have expired or are about to; nothing can start before the policy answers.
		return
	}
	if policy == nil {
		ps.startTasks(s, ps.candidatesWithRoom(s))

		return
	}
	candidates := ps.candidatesWithRoom(s)
	ready, expired := ps.withTickets(s, candidates)
	if unplaced, limited := ps.startTasks(s, ready); unplaced > 0 && !limited && !askBlocked {
		ps.askForRoom(s, candidates, unplaced, expired)
	}
}

// startTasks starts pending tasks of s on endpoints to which a start may be sent. It
// returns how many were not started, and whether the limit of the account, or that of the
// round, ended the search for room.
func (ps *pass) startTasks(s *step, ready []*endpoint) (unplaced int, limited bool) {
	p := ps.planner
	account := p.account(s.job.Account)
	if len(ready) == 0 {
		return s.pendingCount, !account.withinLimit(s.def.Need, ps.unconfirmed[account])
	}
	pending := p.withoutExpired(s.pending())
	pref := p.preferenceOf(s)
	waiting := 0
	for i, t := range pending {
		if p.startsLeft <= 0 || !account.withinLimit(s.def.Need, ps.unconfirmed[account]) {
			return waiting + len(pending) - i, true
		}
		number := p.nextRun(t)
		if !p.mayGive(number) {
			continue
		}
		best, waits := ps.chooseEndpoint(s, t, ready, pref)
		switch {
		case waits:
			waiting++
		case best == nil:
			return waiting + len(pending) - i, false
		default:
			ps.start(t, best, number)
		}
	}

	return waiting, false
}

// belowEndpointLimit reports whether the step may run one more task on e.
func (s *step) belowEndpointLimit(e *endpoint) bool {
	return s.def.PerEndpoint == 0 || s.placed[e] < s.def.PerEndpoint
}

// chooseEndpoint returns the endpoint with the highest score for a task, or nil when
// none fits. The endpoint on which the task's last run failed comes last, and so do those on
// which the task would fall behind; waits means that these are the only ones with room, and
// that the task waits for another one.
func (ps *pass) chooseEndpoint(s *step, t *task, ready []*endpoint, pref preference) (best *endpoint, waits bool) {
	need := s.need()
	var failed, behind *endpoint
	bestScore := 0.0
	for _, e := range ready {
		if !s.belowEndpointLimit(e) || !need.Fits(e.availableTo(s)) {
			continue
		}
		if t.avoids(e) {
			failed = e

			continue
		}
		if pref.fallsBehind(e) {
			if behind == nil || e.speed > behind.speed {
				behind = e
			}

			continue
		}
		score := s.score(e, need, pref)
		if e.reservedFor != nil && e.reservedFor != s && !need.Fits(e.free().Sub(e.reserved())) {
			score -= reservedPenalty + pref.scoreRange()
		}
		if best == nil || score > bestScore {
			best, bestScore = e, score
		}
	}
	switch {
	case best != nil:
		return best, false
	case behind != nil:
		if ps.waitsForSpeed(s, pref) {
			return nil, true
		}

		return behind, false
	case failed == nil:
		return nil, false
	case ps.mustAvoid(t, failed):
		return nil, true
	default:
		return failed, false
	}
}

const (
	// packingWeight, failureWeight and remoteDataPenalty weigh packing, failures and
	// distance from the data against speed.
	packingWeight     = 0.5
	failureWeight     = 0.4
	remoteDataPenalty = 2.0
)

// start assigns run number of a task to an endpoint and emits the order.
func (ps *pass) start(t *task, e *endpoint, number int) {
	p := ps.planner
	s := t.step
	r := &run{task: t, name: t.name(), number: number, endpoint: e, need: s.need(), account: p.account(s.job.Account),
		sentAt: ps.now, progressedAt: ps.now, checkpoint: t.checkpoint, resumed: t.checkpoint != "", predicted: *p.prediction(s, ps.now),
		deferred: s.urgency > urgencyLate}
	t.run, t.lastRun = r, number
	p.startsLeft--
	if !s.job.begun {
		s.job.ordered = r
	}
	e.addRun(r)
	p.stats(s.job.Queue.Name).running += r.need.Millis
	p.recordStart(s, e)
	// A start order extends the lease of every run on the endpoint.
	e.lastSent = ps.now
	p.emit(StartCmd{
		Target: e.target(),
		Order: definer.StartOrder{
			Task: r.name, Run: number, Spec: s.job.Spec, Checkpoint: t.checkpoint,
			Ticket: s.admission.ticketValue(e), Until: e.leaseEnd(ps.now, p.settings.Lease),
		},
	})
}
