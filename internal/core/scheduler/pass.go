package scheduler

import (
	"container/heap"
	"time"

	"gitlab.com/greengagewall/greengagewall/internal/domain/modeler"
)

// missLimit bounds the jobs without room that a pass looks at in one band, so
// that the time of a pass does not grow with the number of teams.
const missLimit = 128

// planEvery is the shortest time between two plans for an all-at-once job,
// which cost more than the placement of a single task.
const planEvery = 100 * time.Millisecond

// outcome is what became of an attempt to place a job.
type outcome int

const (
	placed outcome = iota
	overLimit
	noRoom
	// notYet is an all-at-once job whose earlier tasks have not all stopped, or
	// that found no room a moment ago.
	notYet
)

// decide runs a placement pass of at most budget starts.
func (s *Scheduler) decide(budget int, now time.Time) {
	s.runChores(now)
	s.passStart = s.stats.Starts
	if !s.changed && s.servedRelease == s.ledger.Releases() {
		return
	}
	s.servedRelease = s.ledger.Releases()
	budget -= s.serveWide(now)
	for b := range s.waiting {
		if budget <= 0 {
			break
		}
		s.promises = promiseMost
		budget = s.serve(band(b), budget, now)
	}
	// A pass that ran out of budget has more to start in the next one.
	s.changed = budget <= 0 || s.wide != nil
	s.noteFresh(now)
}

// serveWide tries the all-at-once job that the last pass had no budget for.
func (s *Scheduler) serveWide(now time.Time) int {
	j := s.wide
	s.wide = nil
	if j != nil && len(j.waiting) > 0 && s.try(j, now) == placed {
		return int(s.stats.Starts - s.passStart)
	}

	return 0
}

// serve places work of one band and returns the budget left.
func (s *Scheduler) serve(b band, budget int, now time.Time) int {
	contest := s.contest(b)
	for misses := 0; len(contest) > 0 && budget > 0 && misses < missLimit; {
		first := contest[0]
		started, done := s.attempt(first, budget, now)
		budget -= started
		if started == 0 {
			misses++
		}
		if done {
			contest.drop()

			continue
		}
		first.key = s.key(first)
		contest.settle()
	}

	return budget
}

// contest returns the lines with work in a band that may find room.
func (s *Scheduler) contest(b band) contest {
	lines := s.waiting[b]
	keep := lines[:0]
	s.contenders = s.contenders[:0]
	for _, l := range lines {
		if l.jobs[b].Len() == 0 {
			l.present[b] = false

			continue
		}
		keep = append(keep, l)
		if b > bandDanger && !s.ledger.MayFit(l.least[b]) && !l.urges(b) {
			continue
		}
		first, _ := l.jobs[b].Min()
		s.contenders = append(s.contenders, contender{line: l, band: b, first: first})
	}
	s.waiting[b] = keep
	s.ring = s.ring[:0]
	for i := range s.contenders {
		s.contenders[i].key = s.key(&s.contenders[i])
		s.ring = append(s.ring, &s.contenders[i])
	}
	heap.Init(&s.ring)

	return s.ring
}

// key orders contenders; the lowest is served first.
func (s *Scheduler) key(c *contender) float64 {
	j := c.first
	if s.settings.Order == OrderArrival {
		return float64(j.seq)
	}
	if j.band == bandDanger && !j.Deadline.IsZero() {
		return float64(j.Deadline.Unix())
	}

	return c.line.team.WeightedShare()
}

// attempt tries the next job of a contender. It returns the number of tasks
// started and whether the contender is done for this pass.
func (s *Scheduler) attempt(c *contender, budget int, now time.Time) (int, bool) {
	j := c.first
	if j.width() > max(budget, 1) && s.stats.Starts != s.passStart {
		// An all-at-once job wider than what is left of the budget comes first
		// in the next pass, and may exceed a whole budget there.
		s.wide = j

		return 0, true
	}
	before := s.stats.Starts
	done := false
	switch s.try(j, now) {
	case placed:
		if len(j.waiting) == 0 {
			done = !c.advance(s.settings.MaxJobsPerTeam)
		}
	case notYet:
		done = !c.advance(s.settings.MaxJobsPerTeam)
	case overLimit:
		s.blockedByLimit(j, now)
		done = !c.advance(s.settings.MaxJobsPerTeam)
	case noRoom:
		s.blockedByRoom(j, now)
		done = !c.advance(s.settings.MaxJobsPerTeam)
	}

	return int(s.stats.Starts - before), done
}

// try places the next task of a job, or all tasks of an all-at-once job.
func (s *Scheduler) try(j *job, now time.Time) outcome {
	together := j.Kind == modeler.WorkGang
	if together && (j.running > 0 || now.Before(j.retry)) {
		return notYet
	}
	if !j.team.Allows(j.Needs.Scale(int64(j.width()))) {
		return overLimit
	}
	if j.kind.place(s, j, now) {
		return placed
	}
	if together {
		j.retry = now.Add(planEvery)
	}

	return noRoom
}

// blockedByLimit records that the team's upper limit holds a job back and asks
// for more of it.
func (s *Scheduler) blockedByLimit(j *job, now time.Time) {
	s.note(j, modeler.EventQueued, causeLimit)
	if now.Sub(j.line.asked) < askEvery {
		return
	}
	j.line.asked = now
	wanted := j.team.Running.Add(j.Needs.Scale(int64(j.width()))).Sub(j.team.Allotment)
	wanted = wanted.Sub(wanted.Min(modeler.Resources{}))
	s.emit(TokensCmd{Team: j.Team, Wanted: wanted, Since: j.Accepted})
}

// blockedByRoom records that no endpoint has room and tries to make some.
func (s *Scheduler) blockedByRoom(j *job, now time.Time) {
	if j.blocked.IsZero() {
		j.blocked = now
	}
	s.note(j, modeler.EventQueued, s.roomCause(j))
	if s.settings.Reserve && !j.listed && s.needsReserving(j) {
		j.listed = true
		s.blocked = append(s.blocked, j)
	}
	s.makeRoom(j, now)
}
