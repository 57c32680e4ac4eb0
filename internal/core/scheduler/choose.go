package scheduler

import (
	"time"

	"gitlab.com/greengagewall/greengagewall/internal/core/accountant"
	"gitlab.com/greengagewall/greengagewall/internal/domain/modeler"
)

// resize sets what endpoints are charged for the waiting tasks of j. It stays
// the same while tasks wait, so that room kept for them is enough.
func (s *Scheduler) resize(j *job) {
	j.size = j.queue.size(j.Needs)
	if j.size != j.Needs && (!s.ledger.FitsEmpty(j.size) || (j.Kind == modeler.WorkGang && s.capacityFor(j, j.size) < j.Tasks)) {
		j.size = j.Needs
	}
}

// choose returns the position for the next task of j, or -1 if none has room.
func (s *Scheduler) choose(j *job, by scorer, now time.Time) int {
	needs := j.size
	if s.isUnfit(needs) {
		return -1
	}
	if s.settings.Choice == ChoiceTwoRandom {
		if at := s.chooseOfTwo(j, needs, now); at >= 0 {
			return at
		}
	}
	search := search{by: by, needs: needs, best: -1}
	from := 0
	if by.scattered() && s.settings.Choice == ChoiceScored {
		from = s.random.IntN(max(s.ledger.Positions(), 1))
	}
	s.scan(&search, j, from, s.ledger.Positions(), now)
	if search.seen < s.settings.MaxCandidates {
		s.scan(&search, j, 0, from, now)
	}
	if search.best < 0 && search.refused == 0 {
		s.unfit = append(s.unfit, needs)
	}

	return search.best
}

// maxRefused bounds the endpoints with room that a search passes over because
// they are reserved; while the cluster is full nearly all with room are.
const maxRefused = 12

// search is the state of a search for an endpoint.
type search struct {
	by    scorer
	needs modeler.Resources
	best  int
	seen  int
	least float64
	// refused counts the endpoints with room that are kept from the task.
	refused int
}

// scan compares endpoints with room at positions from up to below to.
func (s *Scheduler) scan(c *search, j *job, from, to int, now time.Time) {
	for at := s.ledger.NextWithRoom(from, c.needs); at >= 0 && at < to; at = s.ledger.NextWithRoom(at+1, c.needs) {
		if j.avoids(at, now) || s.suspects(j, at, now) || !s.permitted(j, at, now) {
			if c.refused++; c.refused >= maxRefused {
				return
			}

			continue
		}
		score := c.by.score(s.ledger.Node(at), c.needs)
		if c.best < 0 || score < c.least {
			c.best, c.least = at, score
		}
		if c.seen++; c.seen >= s.settings.MaxCandidates {
			return
		}
	}
}

// chooseOfTwo returns the emptier of two endpoints with room, each found from
// a random position, or -1.
func (s *Scheduler) chooseOfTwo(j *job, needs modeler.Resources, now time.Time) int {
	best := -1
	var least float64
	for range 2 {
		at := s.ledger.NextWithRoom(s.random.IntN(max(s.ledger.Positions(), 1)), needs)
		if at < 0 || j.avoids(at, now) {
			continue
		}
		if score := (spread{}).score(s.ledger.Node(at), needs); best < 0 || score < least {
			best, least = at, score
		}
	}

	return best
}

// isUnfit reports whether needs are known to fit nowhere. The list of what did
// not fit holds until something is released.
func (s *Scheduler) isUnfit(needs modeler.Resources) bool {
	if s.unfitRelease != s.ledger.Releases() {
		s.unfit, s.unfitRelease = s.unfit[:0], s.ledger.Releases()
	}
	if !s.ledger.MayFit(needs) {
		return true
	}
	for _, known := range s.unfit {
		if known.Fits(needs) {
			return true
		}
	}

	return false
}

// fits reports whether one task of j fits an endpoint at all.
func (s *Scheduler) fits(j *job) bool { return s.ledger.FitsEmpty(j.Needs) }

// capacityFor counts how many tasks of j, each of the given size, all endpoints would hold if empty.
func (s *Scheduler) capacityFor(j *job, size modeler.Resources) int {
	best, sum := 0, 0
	for _, rack := range s.ledger.Racks() {
		inRack := 0
		for _, at := range rack.Members {
			inRack += accountant.MaxCopies(size, s.ledger.Node(at).Capacity)
		}
		best, sum = max(best, inRack), sum+inRack
		if best >= j.Tasks || (!j.SameRack && sum >= j.Tasks) {
			return j.Tasks
		}
	}
	if j.SameRack {
		return best
	}

	return sum
}
