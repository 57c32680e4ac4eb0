package planner

import (
	"slices"
	"sort"
	"time"

	"gitlab.com/greengagewall/greengagewall/internal/cell/definer"
	"gitlab.com/greengagewall/greengagewall/internal/domain/modeler"
)

const (
	// maxReservation is how long a gang reserves endpoints at a time, and the pause until
	// it does so again after the first time. The pause doubles each time, up to
	// maxReservationDoublings times, so that the gangs behind have their turn.
	maxReservation          = 20 * time.Second
	maxReservationDoublings = 10
	// maxTicketReservation is how long a gang reserves room while it asks for tickets.
	maxTicketReservation = 2 * time.Second
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

// findBusyServices records the services whose reservations hold in this round.
func (ps *pass) findBusyServices() {
	type usage struct{ used, capacity modeler.Resources }
	services := map[string]usage{}
	for _, e := range ps.planner.ordered {
		if e.listed && !e.cordoned {
			u := services[e.Service]
			services[e.Service] = usage{u.used.Add(e.used), u.capacity.Add(e.Capacity)}
		}
	}
	ps.busy = make(map[string]bool, len(services))
	for name, u := range services {
		ps.busy[name] = u.used.DominantShare(u.capacity) >= busyShare
	}
}

// reserve reserves e for the gang in this round.
func (ps *pass) reserve(e *endpoint, s *step) {
	e.reservedFor = s
	s.yields = !ps.busy[s.job.Queue.Service]
}

// dropReservation releases the endpoints that are reserved for the gang.
func (s *step) dropReservation() { s.reserved, s.reservedSince, s.preempted = nil, 0, false }

// restoreReservations renews the reservations that the first waiting gangs had
// in the last round. The gangs beyond reservingGangShare or reservedShare lose theirs,
// because they would keep endpoints idle, and so do those whose account may not run them, which
// may have no turn in this round, and those that have had one for maxReservation.
func (ps *pass) restoreReservations(steps []*step) {
	var held reservations
	for _, s := range steps {
		if len(s.reserved) == 0 {
			s.wait.holdsSince = 0

			continue
		}
		if !ps.withinLimit(s) {
			s.dropReservation()

			continue
		}
		if s.wait.holdsSince == 0 {
			s.wait.holdsSince = ps.now
		}
		if ps.now.Sub(s.wait.holdsSince) > maxReservation {
			s.endReservation(ps.now)

			continue
		}
		if !held.mayAdd(ps, len(s.reserved)) {
			s.dropReservation()

			continue
		}
		held.add(s)
		for _, e := range s.reserved {
			if e.reservedFor == nil {
				ps.reserve(e, s)
			}
		}
	}
}

// withinLimit reports whether the account of a gang may run all of its waiting tasks.
func (ps *pass) withinLimit(s *step) bool {
	account := ps.planner.account(s.job.Account)

	return account.withinLimit(s.def.Need.Scale(int64(s.pendingCount)), ps.unconfirmed[account])
}

// reservations counts the gangs that reserve endpoints, and these endpoints.
type reservations struct{ gangs, endpoints int }

// add counts the reservation of a gang, if it has one.
func (r *reservations) add(s *step) {
	r.gangs += min(len(s.reserved), 1)
	r.endpoints += len(s.reserved)
}

// remove reverts add.
func (r *reservations) remove(s *step) {
	r.gangs -= min(len(s.reserved), 1)
	r.endpoints -= len(s.reserved)
}

// mayAdd reports whether one more gang may reserve the number of endpoints. A sole gang
// may reserve as many as it needs.
func (r *reservations) mayAdd(ps *pass, endpoints int) bool {
	return r.gangs == 0 || r.gangs < ps.limit(reservingGangShare) && r.endpoints+endpoints <= ps.limit(reservedShare)
}

// endReservation ends the reservation of a gang that has not started within
// maxReservation, and begins the pause until its next one.
func (s *step) endReservation(now definer.Instant) {
	s.dropReservation()
	s.wait.holdsSince = 0
	s.wait.mayReserveAt = now.Add(maxReservation << min(s.wait.reservations, maxReservationDoublings))
	s.wait.reservations++
}

// reserveAssigned reserves the endpoints in assigned, each once, for a gang that asks for
// tickets for them, if it may reserve any. A gang beyond the rate of its account may not.
func (ps *pass) reserveAssigned(s *step, assigned []*endpoint) {
	since := s.reservedSince
	s.dropReservation()
	wanted := distinct(assigned)
	if s.job.excess || !ps.held.mayAdd(ps, len(wanted)) || !ps.mayReserveForTickets(s) {
		return
	}
	s.reserved = wanted
	for _, e := range wanted {
		ps.reserve(e, s)
	}
	if s.reservedSince = since; since == 0 {
		s.reservedSince = ps.now
	}
	ps.held.add(s)
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

// mayReserveForTickets reports whether a gang may reserve room while it asks for tickets:
// for maxTicketReservation, and not while the gangs of its queue do so in vain.
func (ps *pass) mayReserveForTickets(s *step) bool {
	queue := ps.planner.stats(s.job.Queue.Name)
	switch {
	case ps.now < queue.ticketReservationsFrom:
		return false
	case s.wait.ticketsSince == 0:
		s.wait.ticketsSince = ps.now
	case ps.now.Sub(s.wait.ticketsSince) > maxTicketReservation:
		s.wait.ticketsSince = 0
		queue.ticketReservationsFrom = ps.now.Add(ticketReservationPause)

		return false
	}

	return true
}

// reserveEndpoints reserves endpoints until the gang fits on them. The same
// endpoints stay reserved from round to round, so that they become free. After
// preemptDelay it preempts less urgent runs there.
func (ps *pass) reserveEndpoints(s *step, candidates []*endpoint, count int) {
	if s.job.excess || !ps.held.mayAdd(ps, 1) {
		s.dropReservation()

		return
	}
	if !ps.reservationValid(s, count) {
		s.reserved = ps.chooseReservation(s, candidates, count)
		s.reservedSince, s.preempted = ps.now, false
	}
	if len(s.reserved) == 0 {
		s.wait.mayReserveAt = ps.now.Add(reservationRetryPause)

		return
	}
	if !ps.held.mayAdd(ps, len(s.reserved)) {
		s.dropReservation()

		return
	}
	ps.held.add(s)
	for _, e := range s.reserved {
		ps.reserve(e, s)
	}
	if !s.preempted && ps.now.Sub(s.reservedSince) > preemptDelay {
		s.preempted = true
		ps.preempt(s, count)
	}
}

// reservationValid reports whether the reserved endpoints are usable and large
// enough for the gang.
func (ps *pass) reservationValid(s *step, count int) bool {
	total := 0
	for _, e := range s.reserved {
		if holder := e.reservedFor; holder != nil && holder != s || !ps.isUsable(s, e) {
			return false
		}
		total += tasksFitting(s, e.reclaimable(), s.def.PerEndpoint)
	}

	return total >= count
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

// chooseReservation returns endpoints that can hold a gang, or nil. It prefers
// those with the most resources that are free or used by preemptible runs.
func (ps *pass) chooseReservation(s *step, candidates []*endpoint, count int) []*endpoint {
	type option struct {
		endpoint *endpoint
		fits     int
	}
	var options []option
	for _, e := range candidates {
		if holder := e.reservedFor; holder == nil || holder == s {
			options = append(options, option{e, tasksFitting(s, e.free().Add(preemptibleUsage(s, e)), s.def.PerEndpoint)})
		}
	}
	sort.SliceStable(options, func(a, b int) bool { return options[a].fits > options[b].fits })
	var chosen []*endpoint
	for _, o := range options {
		room := tasksFitting(s, o.endpoint.reclaimable(), s.def.PerEndpoint)
		if room == 0 {
			continue
		}
		chosen = append(chosen, o.endpoint)
		if count -= room; count <= 0 {
			return chosen
		}
	}

	// A partial reservation could deadlock: two gangs would each wait for the other's endpoints.
	return nil
}
