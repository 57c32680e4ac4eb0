package scheduler

import (
	"slices"
	"time"

	"gitlab.com/greengagewall/greengagewall/internal/core/accountant"
	"gitlab.com/greengagewall/greengagewall/internal/domain/modeler"
)

const (
	// At most minReservations jobs, or one per endpointsPerReservation endpoints
	// if that is more, have a reservation at a time. Each one lowers utilization
	// while its endpoints drain.
	minReservations         = 1
	endpointsPerReservation = 1000
	// reserveAfter is how long a job must be blocked before it gets a reservation.
	reserveAfter = 5 * time.Second
	// renewInterval is the time between two estimates of a reservation's start.
	// Shorter intervals change the estimates little and make reviews expensive.
	renewInterval = 5 * time.Second
	// replanInterval is how long a reservation keeps its endpoints before a search
	// for endpoints with an earlier start.
	replanInterval = time.Minute
	// maxGroupSize bounds the endpoints considered for one reservation.
	maxGroupSize = 128
	// maxGroups bounds the groups of endpoints compared for one reservation.
	maxGroups = 6
)

// reservation reserves capacity for a job, either from running tasks that are
// expected to end or from tasks preempted for it.
type reservation struct {
	job *job
	// positions are the positions of the reserved endpoints.
	positions []int
	// start is when the job is expected to have room.
	start time.Time
	// plannedAt is when the endpoints were chosen, estimatedAt when the start was
	// last estimated.
	plannedAt, estimatedAt time.Time
	// expires is set for capacity freed by preemption, which is reserved until
	// then; copies is the number of tasks that it was freed for.
	expires time.Time
	copies  int
}

// endpointReservation is the part of a reservation on one endpoint. The zero value
// means that the endpoint is not reserved.
type endpointReservation struct {
	reservation *reservation
	reserved    modeler.Resources
	// spare is the capacity beyond reserved that will be free when the job
	// starts.
	spare modeler.Resources
}

// reservationPermits reports whether a task of j may start on an endpoint despite
// another job's reservation. It may if it is more urgent, is expected to end before
// the reserved start, or fits beside the reserved amount. Capacity freed by
// preemption is denied to more urgent work too, which would otherwise cause a second
// preemption.
func (s *Scheduler) reservationPermits(j *job, at int, now time.Time) bool {
	if at >= len(s.reservedAt) || s.reservedAt[at].reservation == nil {
		return true
	}
	er := &s.reservedAt[at]
	if er.reservation.job == j || (j.band < er.reservation.job.band && er.reservation.expires.IsZero()) {
		return true
	}

	return j.size.Fits(er.spare) || !now.Add(j.cautiousRuntime()).After(er.reservation.start)
}

// chargeReservation updates the reservation of an endpoint where a task of j starts.
func (s *Scheduler) chargeReservation(j *job, at int, now time.Time) {
	if at >= len(s.reservedAt) || s.reservedAt[at].reservation == nil {
		return
	}
	er := &s.reservedAt[at]
	if er.reservation.job == j {
		s.consumeReservation(er, at)

		return
	}
	if now.Add(j.cautiousRuntime()).After(er.reservation.start) {
		er.spare = er.spare.Sub(j.size)
	}
}

// consumeReservation reduces a reservation of freed capacity by a task of its job
// that starts on the endpoint at position at.
func (s *Scheduler) consumeReservation(er *endpointReservation, at int) {
	r := er.reservation
	if r.expires.IsZero() {
		return
	}
	r.copies--
	er.reserved = er.reserved.Sub(r.job.size)
	if r.copies <= 0 {
		s.dropReservation(r.job)
	} else if er.reserved.Zero() {
		r.positions = slices.DeleteFunc(r.positions, func(position int) bool { return position == at })
		s.reservedAt[at] = endpointReservation{}
	}
}

// dropReservation removes the reservation of a job, if it has one.
func (s *Scheduler) dropReservation(j *job) {
	if j.reservation == nil {
		return
	}
	s.clearReserved(j.reservation)
	s.reservations = slices.DeleteFunc(s.reservations, func(r *reservation) bool { return r == j.reservation })
	j.reservation = nil
	s.changed = true
}

func (s *Scheduler) clearReserved(r *reservation) {
	for _, at := range r.positions {
		s.reservedAt[at] = endpointReservation{}
	}
	r.positions = nil
}

// dropReservationsAt removes the reservation that includes an endpoint.
func (s *Scheduler) dropReservationsAt(at int) {
	if at < len(s.reservedAt) && s.reservedAt[at].reservation != nil {
		s.dropReservation(s.reservedAt[at].reservation.job)
	}
}

// growReservedAt extends reservedAt to all positions of the ledger.
func (s *Scheduler) growReservedAt() {
	for len(s.reservedAt) < s.ledger.Positions() {
		s.reservedAt = append(s.reservedAt, endpointReservation{})
	}
}

// reviewReservations drops expired reservations, updates an expected start and
// creates a reservation if fewer than the maximum exist.
func (s *Scheduler) reviewReservations(now time.Time) {
	if !s.settings.Reserve && !s.settings.Preempt && !s.settings.Reclaim {
		return
	}
	s.growReservedAt()
	// At most one projection per maintenance step keeps the step short.
	count, projected := 0, false
	for _, r := range slices.Clone(s.reservations) {
		if !r.expires.IsZero() {
			if !now.Before(r.expires) {
				s.dropReservation(r.job)
			}

			continue
		}
		count++
		if projected || now.Sub(r.estimatedAt) < renewInterval {
			continue
		}
		projected = true
		r.estimatedAt = now
		if !r.job.team.Allows(r.job.Needs.Scale(int64(r.job.groupSize()))) {
			s.dropReservation(r.job)

			continue
		}
		s.renew(r, now)
	}
	var candidates []*job
	if limit := max(minReservations, s.ledger.Count()/endpointsPerReservation); s.settings.Reserve && !projected && count < limit {
		candidates = s.reservationCandidates(now)
	}
	if len(candidates) > 0 {
		s.reserve(candidates[0], now)
	}
	s.blocked = slices.DeleteFunc(s.blocked, func(j *job) bool {
		j.inBlocked = len(j.waiting) > 0 && j.reservation == nil

		return !j.inBlocked
	})
}

// reservationCandidates returns the blocked jobs that may get a reservation, ordered
// by band, weighted share of the team and blocked time.
func (s *Scheduler) reservationCandidates(now time.Time) []*job {
	candidates := make([]*job, 0, len(s.blocked))
	for _, j := range s.blocked {
		if j.reservation == nil && len(j.waiting) > 0 && !j.blockedSince.IsZero() && now.Sub(j.blockedSince) >= reserveAfter && now.Sub(j.reservationSearchedAt) >= renewInterval && s.needsReservation(j) {
			candidates = append(candidates, j)
		}
	}
	slices.SortStableFunc(candidates, func(a, b *job) int {
		switch {
		case a.band != b.band:
			return int(a.band - b.band)
		case a.team.WeightedShare() != b.team.WeightedShare():
			if a.team.WeightedShare() < b.team.WeightedShare() {
				return -1
			}

			return 1
		}

		return a.blockedSince.Compare(b.blockedSince)
	})

	return candidates
}

// needsReservation reports whether smaller tasks could starve a job: a gang, or a task
// that needs at least half of the largest endpoint.
func (s *Scheduler) needsReservation(j *job) bool {
	if j.lastCause == causeNeverFits {
		return false
	}
	if j.Kind == modeler.WorkGang {
		return j.running == 0
	}

	return 2*j.size.DominantShare(s.maxCapacity) >= 1
}

// renew updates the expected start of a reservation on its endpoints and, every
// replanInterval, moves it if other endpoints allow a considerably earlier start.
func (s *Scheduler) renew(r *reservation, now time.Time) {
	positions := slices.Clone(r.positions)
	s.clearReserved(r)
	p, ok := s.projectStart(r.job, positions, now)
	if !ok || now.Sub(r.plannedAt) >= replanInterval {
		r.plannedAt = now
		if other, found := s.bestProjection(r.job, now); found && (!ok || other.start.Before(p.start.Add(-replanInterval))) {
			p, ok = other, true
		}
	}
	if !ok {
		s.dropReservation(r.job)

		return
	}
	s.reservePlaces(r, p)
}

// reserve creates a reservation for a job on the endpoints with the earliest
// expected start.
func (s *Scheduler) reserve(j *job, now time.Time) {
	j.reservationSearchedAt = now
	p, found := s.bestProjection(j, now)
	if !found {
		return
	}
	r := &reservation{job: j, plannedAt: now, estimatedAt: now}
	j.reservation = r
	s.reservations = append(s.reservations, r)
	s.reservePlaces(r, p)
}

func (s *Scheduler) reservePlaces(r *reservation, p projection) {
	r.start = p.start
	for _, place := range p.places {
		r.positions = append(r.positions, place.at)
		amount := r.job.size.Scale(int64(place.copies))
		s.reservedAt[place.at] = endpointReservation{reservation: r, reserved: amount, spare: place.free.Sub(amount)}
	}
	s.changed = true
}

// projection is the expected start of a job and the endpoints that have room then.
type projection struct {
	start  time.Time
	places []place
}

// place is an endpoint of a projection and the number of tasks placed on it.
type place struct {
	at, copies int
	// free is the capacity that will be free at the start.
	free modeler.Resources
}

// bestProjection returns the projection with the earliest start over several groups
// of endpoints. It continues after the group where the last search ended.
func (s *Scheduler) bestProjection(j *job, now time.Time) (projection, bool) {
	racks := s.ledger.Racks()
	if len(racks) == 0 {
		return projection{}, false
	}
	var best projection
	found := false
	for range min(len(racks), maxGroups) {
		s.rackCursor = (s.rackCursor + 1) % len(racks)
		members := racks[s.rackCursor].Members
		if !j.SameRack && j.groupSize() > 1 {
			members = s.rackWindow(j, s.rackCursor)
		}
		p, ok := s.projectStart(j, members, now)
		if ok && (!found || p.start.Before(best.start)) {
			best, found = p, true
		}
		if found && !j.SameRack && j.groupSize() > 1 {
			break
		}
	}

	return best, found
}

// rackWindow returns the endpoints of consecutive racks that together hold several
// times what j needs, up to maxGroupSize.
func (s *Scheduler) rackWindow(j *job, from int) []int {
	racks := s.ledger.Racks()
	perEndpoint := max(1, accountant.MaxCopies(j.size, s.maxCapacity))
	limit := min(maxGroupSize, max(16, 4*j.groupSize()/perEndpoint))
	members := make([]int, 0, maxGroupSize)
	for i := range racks {
		next := racks[(from+i)%len(racks)].Members
		if len(members) >= limit || (len(members)+len(next) > maxGroupSize && i > 0) {
			break
		}
		members = append(members, next...)
	}

	return members
}
