package planner

import (
	"slices"
	"time"

	"gitlab.com/greengagewall/greengagewall/internal/cell/definer"
	"gitlab.com/greengagewall/greengagewall/internal/domain/modeler"
)

const (
	// renewingGangShare bounds the gangs whose question for new tickets is out, as a
	// share of the usable endpoints.
	renewingGangShare = 1.0 / 8
	// exploringGangShare bounds the gangs whose question about further endpoints is out,
	// as a share of the usable endpoints.
	exploringGangShare = 1.0 / 4
	// crowdedExploringGangShare is exploringGangShare in a round in which as many gangs
	// wait for room as may: the policies then answer those that have room sooner.
	crowdedExploringGangShare = 1.0 / 12
	// fullPatience is how long a gang without room only asks about endpoints if it expects
	// to be admitted to enough of them.
	fullPatience = 2 * time.Second
	// claimPatience is how long a gang leaves the room that it could use to others which
	// ask for tickets for it.
	claimPatience = time.Second
	// nothingToAskPause is how long a gang does not look for endpoints to ask about after
	// it has found none.
	nothingToAskPause = 250 * time.Millisecond
)

// maxGangLooks bounds the gangs of which a round looks for endpoints to ask about, for
// each purpose.
const maxGangLooks = 500

// gangQuestion is the purpose of a question about a gang.
type gangQuestion int

const (
	// gangQuestionNone is that of a gang which has not asked, or waits for room and asks
	// about more endpoints than it needs.
	gangQuestionNone gangQuestion = iota
	// gangQuestionExplore asks about endpoints without an answer, for a gang that is too
	// large for those to which it is admitted.
	gangQuestionExplore
	// gangQuestionRenew asks for new tickets for a gang that has room.
	gangQuestionRenew
)

// gangWait is the state of a gang that waits for room or tickets.
type gangWait struct {
	// question is the purpose of the last question, and askedAt its time, or 0.
	question gangQuestion
	askedAt  definer.Instant
	// roomSince is since when the gang has had room on endpoints to which it is admitted,
	// but no tickets, or 0.
	roomSince definer.Instant
	// fullSince is since when it has had no room there, or 0.
	fullSince definer.Instant
	// ticketsSince is since when the gang reserves that room while it asks for tickets, or 0.
	ticketsSince definer.Instant
	// reservedSince is since when endpoints have been reserved for the gang, or 0.
	reservedSince definer.Instant
	// reservations counts the reservations that ended after maxReservation, and
	// mayReserveAt is when the gang may reserve endpoints again.
	reservations int
	mayReserveAt definer.Instant
	// pausedUntil is when the gang looks for endpoints to ask about again.
	pausedUntil definer.Instant
}

// loseRoom notes that a gang has no room.
func (w *gangWait) loseRoom(now definer.Instant) {
	w.roomSince, w.ticketsSince = 0, 0
	if w.fullSince == 0 {
		w.fullSince = now
	}
}

// gainRoom notes that a gang has room on endpoints to which it is admitted.
func (w *gangWait) gainRoom(now definer.Instant) {
	w.fullSince = 0
	if w.roomSince == 0 {
		w.roomSince = now
	}
}

// begin notes that a gang has started.
func (w *gangWait) begin() { w.roomSince, w.ticketsSince, w.fullSince, w.reservations = 0, 0, 0, 0 }

// gangQuestions holds the questions of one purpose about gangs.
type gangQuestions struct {
	purpose gangQuestion
	// out counts the gangs whose question is out, and outOf those of each queue.
	out   int
	outOf map[string]*int
	// waiting holds the gangs that are to ask, in the order of the steps.
	waiting []askingGang
}

// askingGang is a gang that is to ask its policy in this round.
type askingGang struct {
	step *step
	// count is how many tasks it has.
	count int
	// endpoints are those to ask about, or nil for those without an answer.
	endpoints []*endpoint
	// queueOut is the entry of the gang's queue in outOf.
	queueOut *int
}

// queueOut returns the number of gangs of a queue whose question is out.
func (q *gangQuestions) queueOut(queue string) *int {
	count := q.outOf[queue]
	if count == nil {
		if q.outOf == nil {
			q.outOf = map[string]*int{}
		}
		count = new(int)
		q.outOf[queue] = count
	}

	return count
}

// countGangQuestions counts the gangs whose questions are out.
func (ps *pass) countGangQuestions(steps []*step) {
	ps.explorations.purpose, ps.renewals.purpose = gangQuestionExplore, gangQuestionRenew
	for _, s := range steps {
		if s.admission.outstanding == 0 || !s.admission.askBlocked(ps.now) {
			continue
		}
		for _, q := range [...]*gangQuestions{&ps.explorations, &ps.renewals} {
			if s.wait.question == q.purpose {
				q.out++
				*q.queueOut(s.job.Queue.Name)++
			}
		}
	}
}

// explore lets a gang ask about endpoints without an answer at the end of the round.
func (ps *pass) explore(s *step, count int) {
	if s.job.Queue.Policy != nil && !s.admission.askBlocked(ps.now) && ps.now >= s.wait.pausedUntil {
		ps.explorations.add(askingGang{step: s, count: count})
	}
}

// askDuringTakeover lets an inherited gang of which no task is known to run ask about
// endpoints while it may not start, so that it is ready once the takeover is settled.
func (ps *pass) askDuringTakeover(s *step) {
	if s.admission.askBlocked(ps.now) || s.gangRun != 0 || s.pendingCount == 0 || s.pendingCount != s.tasksLeft {
		return
	}
	if s.job.Queue.Policy != nil && taskCapacity(s, ps.admittedTo(s)) < s.pendingCount {
		ps.explore(s, s.pendingCount)
	}
}

// renew lets a gang ask for tickets for the endpoints at the end of the round.
func (ps *pass) renew(s *step, endpoints []*endpoint) {
	if !s.admission.askBlocked(ps.now) {
		ps.renewals.add(askingGang{step: s, endpoints: endpoints})
	}
}

func (q *gangQuestions) add(gang askingGang) {
	gang.queueOut = q.queueOut(gang.step.job.Queue.Name)
	q.waiting = append(q.waiting, gang)
}

// askForGangs asks the policies for the gangs that have been collected in the round.
func (ps *pass) askForGangs() {
	exploring := exploringGangShare
	if ps.waitingGangs >= ps.limit(waitingGangShare) {
		exploring = crowdedExploringGangShare
	}
	ps.askInTurn(&ps.renewals, ps.limit(renewingGangShare))
	ps.askInTurn(&ps.explorations, ps.limit(exploring))
}

// askInTurn asks for gangs until the questions of limit gangs are out, by turns for the
// first in the order of the steps and for the one that has waited longest. A queue of
// which none is out may always ask one, so that the gangs of a policy that does not
// answer keep no other queue waiting. A gang that finds nothing to ask uses up no
// question.
func (ps *pass) askInTurn(q *gangQuestions, limit int) {
	for range maxGangLooks {
		var next int
		switch {
		case q.out >= limit:
			next = q.firstBelow(1)
		case ps.planner.gangTurns[q.purpose]%2 == 0:
			// No queue gets more than half of the questions while others want some.
			if next = q.firstBelow((limit + 1) / 2); next < 0 {
				next = q.firstBelow(limit)
			}
		default:
			next = q.longestWaiting()
		}
		if next < 0 {
			return
		}
		ps.planner.gangTurns[q.purpose]++
		gang := q.waiting[next]
		q.waiting[next].step = nil
		if ps.askForGang(gang, q.purpose) {
			q.out++
			*gang.queueOut++
		}
	}
}

// firstBelow returns the index of the first waiting gang, in the order of the steps, of a
// queue that has fewer questions out than the limit, or -1.
func (q *gangQuestions) firstBelow(limit int) int {
	return slices.IndexFunc(q.waiting, func(g askingGang) bool { return g.step != nil && *g.queueOut < limit })
}

// longestWaiting returns the index of the waiting gang that comes before all others, or
// -1.
func (q *gangQuestions) longestWaiting() int {
	longest := -1
	for i, gang := range q.waiting {
		if gang.step != nil && (longest < 0 || gang.before(q.waiting[longest])) {
			longest = i
		}
	}

	return longest
}

// before reports whether the gang's queue has fewer questions out than that of another
// gang, or has as many and the gang has waited longer.
func (g askingGang) before(o askingGang) bool {
	if *g.queueOut != *o.queueOut {
		return *g.queueOut < *o.queueOut
	}

	return g.step.lastAsked() < o.step.lastAsked()
}

// lastAsked returns when the gang's policy was last asked, or when its job was accepted.
func (s *step) lastAsked() definer.Instant { return max(s.wait.askedAt, s.job.accepted) }

// askForGang asks the policy of a gang. It reports false if there is nothing to ask.
func (ps *pass) askForGang(gang askingGang, purpose gangQuestion) bool {
	p, s := ps.planner, gang.step
	endpoints := gang.endpoints
	if endpoints == nil {
		endpoints = p.endpointsToAsk(s, s.admission.filterUnasked(ps.candidates(s)), gang.count)
	}
	s.wait.askedAt = ps.now
	if len(endpoints) == 0 {
		s.wait.pausedUntil = ps.now.Add(nothingToAskPause)

		return false
	}
	s.wait.question = purpose
	p.ask(s, endpoints, ps.now)

	return true
}

// claim keeps the room for which a gang asks for tickets from the questions of others for
// the rest of the round. Starts may use it.
func (ps *pass) claim(s *step, assigned []*endpoint) {
	if ps.claimed == nil {
		ps.claimed = map[*endpoint]modeler.Resources{}
	}
	need := s.need()
	for _, e := range assigned {
		ps.claimed[e] = ps.claimed[e].Add(need)
	}
}
