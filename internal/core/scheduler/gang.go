package scheduler

import (
	"time"

	"gitlab.com/greengagewall/greengagewall/internal/core/accountant"
)

// rackScan bounds the racks with room that are compared for a job.
const rackScan = 16

// together is the policy of all-at-once jobs.
type together struct{}

func (together) preemptible() bool { return true }

// place starts every waiting task of j or none.
func (together) place(s *Scheduler, j *job, now time.Time) bool {
	plan := s.plan(j, len(j.waiting), now)
	if plan == nil {
		return false
	}
	for _, at := range plan {
		if !s.start(j, at, now) {
			s.fault("a planned all-at-once task was refused by the ledger")
		}
	}

	return true
}

// plan returns the positions for count tasks of j, or nil if they do not all
// have room. It prefers one rack, and the rack with the least room to spare.
func (s *Scheduler) plan(j *job, count int, now time.Time) []int {
	if !s.ledger.MayFit(j.size) {
		return nil
	}
	whole := j.size.Scale(int64(count))
	racks := s.ledger.Racks()
	best, spare, seen := -1, 0, 0
	for number := s.ledger.NextRackWithRoom(0, whole); number >= 0 && seen < rackScan; number = s.ledger.NextRackWithRoom(number+1, whole) {
		seen++
		room := s.rackRoom(j, racks[number], count, now)
		if room >= count && (best < 0 || room < spare) {
			best, spare = number, room
		}
	}
	if best >= 0 {
		return s.fill(j, racks[best].Members, count, now)
	}
	if j.SameRack {
		return nil
	}

	return s.scatter(j, count, now)
}

// rackRoom returns how many tasks of j the rack holds, counting no further
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

// fill returns positions for count tasks among the given endpoints.
func (s *Scheduler) fill(j *job, members []int, count int, now time.Time) []int {
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

// scatter returns positions for count tasks over any racks.
func (s *Scheduler) scatter(j *job, count int, now time.Time) []int {
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
	if room == 0 || s.permitted(j, at, now) && (at >= len(s.holds) || s.holds[at].owner == nil || s.holds[at].owner.job == j) {
		return room
	}
	if (j.band < s.holds[at].owner.job.band && s.holds[at].owner.until.IsZero()) || !now.Add(j.cautious()).After(s.holds[at].owner.start) {
		return room
	}

	return min(room, accountant.MaxCopies(j.size, s.holds[at].spare))
}
