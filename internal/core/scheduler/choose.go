package scheduler

import (
	"time"

	"gitlab.com/greengagewall/greengagewall/internal/core/accountant"
	"gitlab.com/greengagewall/greengagewall/internal/domain/modeler"
)

// updateSize sets the amount charged for each queued task of j. The size does not
// change while tasks are queued, so that capacity reserved for them suffices.
func (s *Scheduler) updateSize(j *job) {
	j.size = j.history.chargedSize(j.Needs)
	if j.size != j.Needs && (!s.ledger.FitsEmpty(j.size) || (j.Kind == modeler.WorkGang && s.capacityFor(j, j.size) < j.Tasks)) {
		j.size = j.Needs
	}
}

// chooseEndpoint returns the position of the endpoint for the next task of j, or
// -1 if none has room.
func (s *Scheduler) chooseEndpoint(j *job, scorer scorer, now time.Time) int {
	needs := j.size
	if s.knownUnplaceable(needs) {
		return -1
	}
	if s.settings.Choice == ChoiceTwoRandom {
		if at := s.chooseTwoRandom(j, needs, now); at >= 0 {
			return at
		}
	}
	search := search{scorer: scorer, needs: needs, best: -1}
	from := 0
	if scorer.randomStart() && s.settings.Choice == ChoiceScored {
		from = s.random.IntN(max(s.ledger.Positions(), 1))
	}
	s.scan(&search, j, from, s.ledger.Positions(), now)
	if search.seen < s.settings.MaxCandidates {
		s.scan(&search, j, 0, from, now)
	}
	if search.best < 0 && search.skipped == 0 {
		s.unplaceable = append(s.unplaceable, needs)
	}

	return search.best
}

// maxSkipped bounds the endpoints with room that a search skips because the task
// may not use them. In a full cluster nearly all endpoints with room are reserved.
const maxSkipped = 12

// search is the state of a search for an endpoint over one or two scans.
type search struct {
	scorer    scorer
	needs     modeler.Resources
	best      int
	seen      int
	bestScore float64
	// skipped counts the endpoints with room that the task may not use.
	skipped int
}

// scan scores endpoints with room at positions in [from, to).
func (s *Scheduler) scan(search *search, j *job, from, to int, now time.Time) {
	for at := s.ledger.NextWithRoom(from, search.needs); at >= 0 && at < to; at = s.ledger.NextWithRoom(at+1, search.needs) {
		if j.avoids(at, now) || s.awaitsHealthy(j, at, now) || !s.reservationPermits(j, at, now) {
			if search.skipped++; search.skipped >= maxSkipped {
				return
			}

			continue
		}
		score := search.scorer.score(s.ledger.Node(at), search.needs)
		if search.best < 0 || score < search.bestScore {
			search.best, search.bestScore = at, score
		}
		if search.seen++; search.seen >= s.settings.MaxCandidates {
			return
		}
	}
}

// chooseTwoRandom returns the emptier of two endpoints with room, each found from
// a random position, or -1.
func (s *Scheduler) chooseTwoRandom(j *job, needs modeler.Resources, now time.Time) int {
	best := -1
	var bestScore float64
	for range 2 {
		at := s.ledger.NextWithRoom(s.random.IntN(max(s.ledger.Positions(), 1)), needs)
		if at < 0 || j.avoids(at, now) {
			continue
		}
		if score := (spread{}).score(s.ledger.Node(at), needs); best < 0 || score < bestScore {
			best, bestScore = at, score
		}
	}

	return best
}

// knownUnplaceable reports whether needs are known to fit no endpoint. The list of
// unplaceable needs is valid until the next release.
func (s *Scheduler) knownUnplaceable(needs modeler.Resources) bool {
	if s.unplaceableRelease != s.ledger.Releases() {
		s.unplaceable, s.unplaceableRelease = s.unplaceable[:0], s.ledger.Releases()
	}
	if !s.ledger.MayFit(needs) {
		return true
	}
	for _, unplaceable := range s.unplaceable {
		if unplaceable.Fits(needs) {
			return true
		}
	}

	return false
}

// fitsEmptyEndpoint reports whether a task of j would fit some endpoint if it were
// empty.
func (s *Scheduler) fitsEmptyEndpoint(j *job) bool { return s.ledger.FitsEmpty(j.Needs) }

// capacityFor returns the number of tasks of j of the given size that the cluster,
// or the best rack if j requires one rack, would hold if empty. It counts no further
// than j.Tasks.
func (s *Scheduler) capacityFor(j *job, size modeler.Resources) int {
	best, total := 0, 0
	for _, rack := range s.ledger.Racks() {
		inRack := 0
		for _, at := range rack.Members {
			inRack += accountant.MaxCopies(size, s.ledger.Node(at).Capacity)
		}
		best, total = max(best, inRack), total+inRack
		if best >= j.Tasks || (!j.SameRack && total >= j.Tasks) {
			return j.Tasks
		}
	}
	if j.SameRack {
		return best
	}

	return total
}
