package scheduler

import (
	"time"

	"gitlab.com/greengagewall/greengagewall/internal/core/accountant"
)

// maxRacksCompared bounds the racks with room that are compared for a gang.
const maxRacksCompared = 16

// gangPolicy is the placement policy of gangs.
type gangPolicy struct{}

func (gangPolicy) preemptible() bool { return true }

// place starts all queued tasks of j or none.
func (gangPolicy) place(s *Scheduler, j *job, now time.Time) bool {
	plan := s.planGang(j, len(j.waiting), now)
	if plan == nil {
		return false
	}
	for _, at := range plan {
		if !s.start(j, at, now) {
			s.recordViolation("the ledger refused a planned task of a gang")
		}
	}

	return true
}

// planGang returns positions for count tasks of j, or nil if there is not room for
// all. It prefers a single rack, and among those the one with the least room.
func (s *Scheduler) planGang(j *job, count int, now time.Time) []int {
	if !s.ledger.MayFit(j.size) {
		return nil
	}
	total := j.size.Scale(int64(count))
	racks := s.ledger.Racks()
	best, spare, seen := -1, 0, 0
	for number := s.ledger.NextRackWithRoom(0, total); number >= 0 && seen < maxRacksCompared; number = s.ledger.NextRackWithRoom(number+1, total) {
		seen++
		room := s.rackRoom(j, racks[number], count, now)
		if room >= count && (best < 0 || room < spare) {
			best, spare = number, room
		}
	}
	if best >= 0 {
		return s.planWithin(j, racks[best].Members, count, now)
	}
	if j.SameRack {
		return nil
	}

	return s.planAcrossRacks(j, count, now)
}

// rackRoom returns how many tasks of j the rack has room for. It counts no further
// than needed to compare racks.
func (s *Scheduler) rackRoom(j *job, rack accountant.Rack, count int, now time.Time) int {
	room := 0
	for _, at := range rack.Members {
		room += s.roomFor(j, at, now)
		if room > 4*count {
			break
		}
	}

	return room
}

// planWithin returns positions for count tasks on the given endpoints, or nil if
// there is not room for all.
func (s *Scheduler) planWithin(j *job, members []int, count int, now time.Time) []int {
	plan := make([]int, 0, count)
	for _, at := range members {
		for range s.roomFor(j, at, now) {
			if len(plan) == count {
				return plan
			}
			plan = append(plan, at)
		}
	}
	if len(plan) < count {
		return nil
	}

	return plan
}

// planAcrossRacks returns positions for count tasks on endpoints of any rack, or nil
// if there is not room for all.
func (s *Scheduler) planAcrossRacks(j *job, count int, now time.Time) []int {
	plan := make([]int, 0, count)
	needs := j.size
	for at := s.ledger.NextWithRoom(0, needs); at >= 0; at = s.ledger.NextWithRoom(at+1, needs) {
		for range s.roomFor(j, at, now) {
			plan = append(plan, at)
			if len(plan) == count {
				return plan
			}
		}
	}

	return nil
}

// roomFor returns how many tasks of j may be started on an endpoint now.
func (s *Scheduler) roomFor(j *job, at int, now time.Time) int {
	if j.avoids(at, now) {
		return 0
	}
	room := s.ledger.MaxCopiesAt(at, j.size)
	if room == 0 || s.reservationPermits(j, at, now) && (at >= len(s.reservedAt) || s.reservedAt[at].reservation == nil || s.reservedAt[at].reservation.job == j) {
		return room
	}
	if (j.band < s.reservedAt[at].reservation.job.band && s.reservedAt[at].reservation.expires.IsZero()) || !now.Add(j.cautiousRuntime()).After(s.reservedAt[at].reservation.start) {
		return room
	}

	return min(room, accountant.MaxCopies(j.size, s.reservedAt[at].spare))
}
