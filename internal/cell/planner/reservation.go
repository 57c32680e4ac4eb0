package planner

import (
	"slices"
	"time"

	"gitlab.com/greengagewall/greengagewall/internal/cell/definer"
	"gitlab.com/greengagewall/greengagewall/internal/domain/modeler"
)

const (
	// maxReservation is how long a gang holds room at a time, and the pause until
	// it does so again after the first time. The pause doubles each time, up to
	// maxReservationDoublings times, so that the gangs behind have their turn.
	maxReservation          = 20 * time.Second
	maxReservationDoublings = 10
	// minTicketReservation is how long a gang may hold room at least while it asks for tickets.
	minTicketReservation = 2 * time.Second
	// ticketReservationPause is how long the gangs of a queue reserve no room while they
	// ask for tickets after one of them did so in vain.
	ticketReservationPause = 10 * time.Second
	// reservationRetryPause is how long a gang does not try again to reserve endpoints
	// after it has found too few.
	reservationRetryPause = 250 * time.Millisecond
)

// busyShare is the share of a service's capacity in use from which a reservation keeps
// other work away. Below it, work would stand beside room that the gang can't use either.
const busyShare = 0.5

// serviceUsage is the usage of a service in a round.
type serviceUsage struct{ used, capacity modeler.Resources }

// busy reports whether holds keep other work away.
func (u *serviceUsage) busy() bool { return u.used.DominantShare(u.capacity) >= busyShare }

// measureServices records the usage of the services.
func (ps *pass) measureServices() {
	ps.services = map[string]*serviceUsage{}
	for _, e := range ps.planner.ordered {
		if !e.listed || e.cordoned {
			continue
		}
		u := ps.services[e.Service]
		if u == nil {
			u = &serviceUsage{}
			ps.services[e.Service] = u
		}
		u.used, u.capacity = u.used.Add(e.used), u.capacity.Add(e.Capacity)
	}
}

// dropReservation releases the room that is held for the gang.
func (s *step) dropReservation() {
	for _, part := range s.plan.parts {
		part.endpoint.release(s)
	}
	s.plan = gangPlan{}
}

// restoreReservations renews the holds that the first waiting gangs had in the last
// round. The gangs beyond reservingGangShare or reservedShare lose theirs, because they would
// keep room idle, and so do those whose account may not run them, which may have no turn
// in this round, and those that have had one for maxReservation.
func (ps *pass) restoreReservations(steps []*step) {
	var reserved reservationTotals
	for _, s := range steps {
		if !s.plan.exists() {
			s.wait.reservedSince = 0

			continue
		}
		if !ps.withinLimit(s) {
			s.dropReservation()

			continue
		}
		if s.wait.reservedSince == 0 {
			s.wait.reservedSince = ps.now
		}
		if ps.now.Sub(s.wait.reservedSince) > maxReservation {
			s.endReservation(ps.now)

			continue
		}
		if !reserved.mayAdd(ps, s, s.plan.tasks()) {
			s.dropReservation()

			continue
		}
		reserved.add(s)
		ps.reserveParts(s)
	}
}

// withinLimit reports whether the account of a gang may run all of its waiting tasks.
func (ps *pass) withinLimit(s *step) bool {
	account := ps.planner.account(s.job.Account)

	return account.withinLimit(s.def.Need.Scale(int64(s.pendingCount)), ps.unconfirmed[account])
}

// reservationTotals counts the gangs that reserve room, and by service the room that they reserve.
type reservationTotals struct {
	gangs int
	room  map[string]modeler.Resources
}

// add counts the reservation of a gang, if it has one.
func (r *reservationTotals) add(s *step) { r.count(s, 1) }

// remove reverts add.
func (r *reservationTotals) remove(s *step) { r.count(s, -1) }

func (r *reservationTotals) count(s *step, sign int) {
	if !s.plan.exists() {
		return
	}
	if r.room == nil {
		r.room = map[string]modeler.Resources{}
	}
	r.gangs += sign
	service := s.job.Queue.Service
	r.room[service] = r.room[service].Add(s.need().Scale(int64(sign * s.plan.tasks())))
}

// mayAdd reports whether one more gang may hold the room of a number of tasks. A sole
// gang may hold as much as it needs.
func (r *reservationTotals) mayAdd(ps *pass, s *step, tasks int) bool {
	if r.gangs == 0 {
		return true
	}
	usage := ps.services[s.job.Queue.Service]
	if usage == nil || r.gangs >= ps.limit(reservingGangShare) {
		return false
	}
	room := r.room[s.job.Queue.Service].Add(s.need().Scale(int64(tasks)))

	return room.DominantShare(usage.capacity) <= reservedShare
}

// endReservation ends the reservation of a gang that has not started within
// maxReservation, and begins the pause until its next one.
func (s *step) endReservation(now definer.Instant) {
	s.dropReservation()
	s.wait.reservedSince = 0
	s.wait.mayReserveAt = now.Add(maxReservation << min(s.wait.reservations, maxReservationDoublings))
	s.wait.reservations++
}

// reserveAssigned holds the room in assigned for a gang that asks for tickets for it, if
// it may hold any. A gang beyond the rate of its account may not.
func (ps *pass) reserveAssigned(s *step, assigned []*endpoint) {
	since := s.plan.since
	s.dropReservation()
	if s.job.excess || !ps.reserved.mayAdd(ps, s, len(assigned)) || !ps.mayReserveForTickets(s) {
		return
	}
	if since == 0 {
		since = ps.now
	}
	s.plan = gangPlan{since: since, startsAt: ps.now}
	for _, e := range assigned {
		s.plan.add(e, 1, ps.now)
	}
	ps.reserved.add(s)
	ps.reserveParts(s)
}

// distinct returns the endpoints, each once.
func distinct(endpoints []*endpoint) []*endpoint {
	var result []*endpoint
	for _, e := range endpoints {
		if !slices.Contains(result, e) {
			result = append(result, e)
		}
	}

	return result
}

// ticketTime returns how long a gang may hold room while it asks for tickets: for twice the
// time in which its policy is expected to answer, so that the room is there when the answer
// arrives.
func (ps *pass) ticketTime(s *step) time.Duration {
	policy := s.job.Queue.Policy
	if policy == nil {
		return minTicketReservation
	}

	cost := questionCost(policy, len(s.plan.parts)+maxSpares)

	return max(minTicketReservation, min(2*(cost+ps.planner.stats(s.job.Queue.Name).questionWait), QuestionTime(cost)))
}

// mayReserveForTickets reports whether a gang may reserve room while it asks for tickets:
// for ticketTime, and not while the gangs of its queue do so in vain.
func (ps *pass) mayReserveForTickets(s *step) bool {
	queue := ps.planner.stats(s.job.Queue.Name)
	switch {
	case ps.now < queue.ticketReservationsFrom:
		return false
	case s.wait.ticketsSince == 0:
		s.wait.ticketsSince = ps.now
	case ps.now.Sub(s.wait.ticketsSince) > ps.ticketTime(s):
		s.wait.ticketsSince = 0
		queue.ticketReservationsFrom = ps.now.Add(ticketReservationPause)

		return false
	}

	return true
}

// reserve holds room until the gang fits there. The plan stays the same from round to
// round, so that the room becomes free. After preemptDelay the gang preempts less urgent
// runs there.
func (ps *pass) reserve(s *step, candidates []*endpoint, count int) {
	if s.job.excess || !ps.reserved.mayAdd(ps, s, count) {
		s.dropReservation()

		return
	}
	if !ps.planValid(s, count) {
		s.dropReservation()
		s.plan = ps.planGang(s, candidates, count)
	}
	if !s.plan.exists() {
		s.wait.mayReserveAt = ps.now.Add(reservationRetryPause)

		return
	}
	ps.reservePlan(s)
	if !s.plan.preempted && ps.now.Sub(s.plan.since) > preemptDelay {
		s.plan.preempted = true
		ps.preempt(s)
	}
}

// reservePlan holds the room of a gang's plan in this round.
func (ps *pass) reservePlan(s *step) {
	ps.reserved.add(s)
	ps.reserveParts(s)
}
