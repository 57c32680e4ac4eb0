package scheduler

import (
	"slices"
	"time"

	"gitlab.com/greengagewall/greengagewall/internal/core/accountant"
	"gitlab.com/greengagewall/greengagewall/internal/domain/modeler"
)

const (
	// leastReservations is how many jobs may hold capacity at once, or one for as many
	// endpoints as reservationPer; each of them costs packing while its
	// endpoints drain.
	leastReservations = 1
	reservationPer    = 1000
	// reserveAfter is how long a job waits for room before it may reserve.
	reserveAfter = 5 * time.Second
	// renewEvery is the time between two estimates of a reservation's start;
	// shorter times change little and make reviews dear.
	renewEvery = 5 * time.Second
	// replanEvery is how long a reservation keeps its endpoints before a better
	// set is looked for.
	replanEvery = time.Minute
	// maxGroup bounds the endpoints that one reservation is planned over.
	maxGroup = 128
	// maxGroups bounds the groups of endpoints compared for one reservation.
	maxGroups = 6
)

// reservation holds capacity for a job that waits for room.
type reservation struct {
	job *job
	// places are the positions of the reserved endpoints.
	places []int
	// start is when the job is expected to find its room.
	start time.Time
	// made is when the endpoints were chosen, renewed when the start was
	// estimated last.
	made, renewed time.Time
	// until is set for room that was made by preemption and is kept for so
	// long; copies is the number of tasks it was made for.
	until  time.Time
	copies int
}

// hold is the part of a reservation on one endpoint.
type hold struct {
	owner  *reservation
	amount modeler.Resources
	// spare is what will be free beyond the amount when the job starts.
	spare modeler.Resources
}

// permitted reports whether a reservation of another job lets a task of j
// start on an endpoint: work that is more urgent, that is expected to end
// before the reserved start, or that fits beside the reserved amount. Room that
// was made by preemption is kept from more urgent work too, which would
// otherwise cause a second preemption.
func (s *Scheduler) permitted(j *job, at int, now time.Time) bool {
	if at >= len(s.holds) || s.holds[at].owner == nil {
		return true
	}
	h := &s.holds[at]
	if h.owner.job == j || (j.band < h.owner.job.band && h.owner.until.IsZero()) {
		return true
	}

	return j.size.Fits(h.spare) || !now.Add(j.cautious()).After(h.owner.start)
}

// useReservation accounts for a task of j that starts beside a reservation.
func (s *Scheduler) useReservation(j *job, at int, now time.Time) {
	if at >= len(s.holds) || s.holds[at].owner == nil {
		return
	}
	h := &s.holds[at]
	if h.owner.job == j {
		s.redeem(h, at)

		return
	}
	if now.Add(j.cautious()).After(h.owner.start) {
		h.spare = h.spare.Sub(j.size)
	}
}

// redeem accounts for a task that starts in room that was made for its job.
func (s *Scheduler) redeem(h *hold, at int) {
	r := h.owner
	if r.until.IsZero() {
		return
	}
	r.copies--
	h.amount = h.amount.Sub(r.job.size)
	if r.copies <= 0 {
		s.dropReservation(r.job)
	} else if h.amount.Zero() {
		r.places = slices.DeleteFunc(r.places, func(place int) bool { return place == at })
		s.holds[at] = hold{}
	}
}

// dropReservation gives up what is held for a job.
func (s *Scheduler) dropReservation(j *job) {
	if j.reserved == nil {
		return
	}
	s.unhold(j.reserved)
	s.reservations = slices.DeleteFunc(s.reservations, func(r *reservation) bool { return r == j.reserved })
	j.reserved = nil
	s.changed = true
}

func (s *Scheduler) unhold(r *reservation) {
	for _, at := range r.places {
		s.holds[at] = hold{}
	}
	r.places = nil
}

// dropReservationsAt gives up the reservation that includes an endpoint.
func (s *Scheduler) dropReservationsAt(at int) {
	if at < len(s.holds) && s.holds[at].owner != nil {
		s.dropReservation(s.holds[at].owner.job)
	}
}

// growHolds makes room for the holds of all positions.
func (s *Scheduler) growHolds() {
	for len(s.holds) < s.ledger.Positions() {
		s.holds = append(s.holds, hold{})
	}
}

// reviewReservations brings the expected starts up to date and lets further
// jobs reserve.
func (s *Scheduler) reviewReservations(now time.Time) {
	if !s.settings.Reserve && !s.settings.Preempt && !s.settings.Reclaim {
		return
	}
	s.growHolds()
	// One projection in a chore keeps it short.
	count, busy := 0, false
	for _, r := range slices.Clone(s.reservations) {
		if !r.until.IsZero() {
			if !now.Before(r.until) {
				s.dropReservation(r.job)
			}

			continue
		}
		count++
		if busy || now.Sub(r.renewed) < renewEvery {
			continue
		}
		busy = true
		r.renewed = now
		if !r.job.team.Allows(r.job.Needs.Scale(int64(r.job.width()))) {
			s.dropReservation(r.job)

			continue
		}
		s.renew(r, now)
	}
	var wanting []*job
	if most := max(leastReservations, s.ledger.Count()/reservationPer); s.settings.Reserve && !busy && count < most {
		wanting = s.wanting(now)
	}
	if len(wanting) > 0 {
		s.reserve(wanting[0], now)
	}
	s.blocked = slices.DeleteFunc(s.blocked, func(j *job) bool {
		j.listed = len(j.waiting) > 0 && j.reserved == nil

		return !j.listed
	})
}

// wanting returns the jobs that found no room and may reserve, the most
// entitled first.
func (s *Scheduler) wanting(now time.Time) []*job {
	wanting := make([]*job, 0, len(s.blocked))
	for _, j := range s.blocked {
		if j.reserved == nil && len(j.waiting) > 0 && !j.blocked.IsZero() && now.Sub(j.blocked) >= reserveAfter && now.Sub(j.sought) >= renewEvery && s.needsReserving(j) {
			wanting = append(wanting, j)
		}
	}
	slices.SortStableFunc(wanting, func(a, b *job) int {
		switch {
		case a.band != b.band:
			return int(a.band - b.band)
		case a.team.WeightedShare() != b.team.WeightedShare():
			if a.team.WeightedShare() < b.team.WeightedShare() {
				return -1
			}

			return 1
		}

		return a.blocked.Compare(b.blocked)
	})

	return wanting
}

// needsReserving reports whether small tasks could keep a job from ever finding room.
func (s *Scheduler) needsReserving(j *job) bool {
	if j.cause == causeNeverFits {
		return false
	}
	if j.Kind == modeler.WorkGang {
		return j.running == 0
	}

	return 2*j.size.DominantShare(s.largest) >= 1
}

// renew estimates the start again on the reserved endpoints, and from time to
// time looks for endpoints with an earlier start.
func (s *Scheduler) renew(r *reservation, now time.Time) {
	places := slices.Clone(r.places)
	s.unhold(r)
	p, ok := s.project(r.job, places, now)
	if !ok || now.Sub(r.made) >= replanEvery {
		r.made = now
		if other, found := s.bestProjection(r.job, now); found && (!ok || other.start.Before(p.start.Add(-replanEvery))) {
			p, ok = other, true
		}
	}
	if !ok {
		s.dropReservation(r.job)

		return
	}
	s.holdPlaces(r, p)
}

// reserve holds capacity for a job where it is expected to start first.
func (s *Scheduler) reserve(j *job, now time.Time) {
	j.sought = now
	p, found := s.bestProjection(j, now)
	if !found {
		return
	}
	r := &reservation{job: j, made: now, renewed: now}
	j.reserved = r
	s.reservations = append(s.reservations, r)
	s.holdPlaces(r, p)
}

func (s *Scheduler) holdPlaces(r *reservation, p projection) {
	r.start = p.start
	for _, place := range p.places {
		r.places = append(r.places, place.at)
		amount := r.job.size.Scale(int64(place.copies))
		s.holds[place.at] = hold{owner: r, amount: amount, spare: place.free.Sub(amount)}
	}
	s.changed = true
}

// projection is where and when a job is expected to find room.
type projection struct {
	start  time.Time
	places []place
}

// place is an endpoint's part of a projection.
type place struct {
	at, copies int
	// free is what will be free at the start.
	free modeler.Resources
}

// bestProjection compares groups of endpoints, starting behind the group that
// the last comparison ended with.
func (s *Scheduler) bestProjection(j *job, now time.Time) (projection, bool) {
	racks := s.ledger.Racks()
	if len(racks) == 0 {
		return projection{}, false
	}
	var best projection
	found := false
	for range min(len(racks), maxGroups) {
		s.cursor = (s.cursor + 1) % len(racks)
		members := racks[s.cursor].Members
		if !j.SameRack && j.width() > 1 {
			members = s.window(j, s.cursor)
		}
		p, ok := s.project(j, members, now)
		if ok && (!found || p.start.Before(best.start)) {
			best, found = p, true
		}
		if found && !j.SameRack && j.width() > 1 {
			break
		}
	}

	return best, found
}

// window returns the endpoints of consecutive racks that hold several times
// what j needs, up to maxGroup.
func (s *Scheduler) window(j *job, from int) []int {
	racks := s.ledger.Racks()
	each := max(1, accountant.MaxCopies(j.size, s.largest))
	most := min(maxGroup, max(16, 4*j.width()/each))
	members := make([]int, 0, maxGroup)
	for i := range racks {
		next := racks[(from+i)%len(racks)].Members
		if len(members) >= most || (len(members)+len(next) > maxGroup && i > 0) {
			break
		}
		members = append(members, next...)
	}

	return members
}
