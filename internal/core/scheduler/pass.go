package scheduler

import (
	"container/heap"
	"time"

	"gitlab.com/greengagewall/greengagewall/internal/domain/modeler"
)

// outcome is what became of an attempt to place a job.
type outcome int

const (
	placed outcome = iota
	overLimit
	noRoom
	// notYet is an all-at-once job whose earlier tasks have not all stopped.
	notYet
)

// decide runs a placement pass of at most budget starts.
func (s *Scheduler) decide(budget int, now time.Time) {
	if s.ticked.IsZero() || now.Sub(s.ticked) >= tickEvery {
		s.ticked = now
		s.tick(now)
		// A request for more of a limit may have been refused or lost, so a job
		// that waits behind its limit asks again without another change.
		s.changed = s.changed || s.limited
		s.limited = false
	}
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
		budget = s.serve(band(b), budget, now)
	}
	// A pass that ran out of budget has more to start in the next one.
	s.changed = budget <= 0 || s.wide != nil
	s.noteFresh(now)
}

// tick does what needs no attention at every pass.
func (s *Scheduler) tick(now time.Time) {
	s.heal(now)
	s.shares.Balance()
	s.reviewDeadlines(now)
	s.reviewReservations(now)
	s.escalate(now)
	s.reclaim(now)
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
	for len(contest) > 0 && budget > 0 {
		first := contest[0]
		started, done := s.attempt(first, budget, now)
		budget -= started
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
	s.contenders, s.heads = s.contenders[:0], s.heads[:0]
	for _, l := range lines {
		if l.jobs[b].Len() == 0 {
			l.present[b] = false

			continue
		}
		keep = append(keep, l)
		if b > bandDanger && !s.ledger.MayFit(l.least[b]) && !l.urges(b) {
			continue
		}
		from := len(s.heads)
		s.heads = l.head(b, from+s.settings.Scan, s.heads)
		s.contenders = append(s.contenders, contender{line: l, jobs: s.heads[from:len(s.heads):len(s.heads)]})
	}
	s.waiting[b] = keep
	result := make(contest, len(s.contenders))
	for i := range s.contenders {
		s.contenders[i].key = s.key(&s.contenders[i])
		result[i] = &s.contenders[i]
	}
	heap.Init(&result)

	return result
}

// key orders contenders; the lowest is served first.
func (s *Scheduler) key(c *contender) float64 {
	j := c.jobs[0]
	if s.settings.Order == OrderArrival {
		return float64(j.seq)
	}
	if j.band == bandDanger && !j.Deadline.IsZero() {
		return float64(j.Deadline.Unix())
	}

	return c.line.team.Level()
}

// attempt tries the next job of a contender. It returns the number of tasks
// started and whether the contender is done for this pass.
func (s *Scheduler) attempt(c *contender, budget int, now time.Time) (int, bool) {
	j := c.jobs[0]
	if j.width() > max(budget, 1) && s.stats.Starts != s.passStart {
		// An all-at-once job wider than what is left of the budget comes first
		// in the next pass, and may exceed a whole budget there.
		s.wide = j

		return 0, true
	}
	before := s.stats.Starts
	switch s.try(j, now) {
	case placed:
		if len(j.waiting) == 0 {
			c.jobs = c.jobs[1:]
		}
	case notYet:
		c.jobs = c.jobs[1:]
	case overLimit:
		s.blockedByLimit(j, now)
		c.jobs = c.jobs[1:]
	case noRoom:
		s.blockedByRoom(j, now)
		c.jobs = c.jobs[1:]
	}

	return int(s.stats.Starts - before), len(c.jobs) == 0
}

// try places the next task of a job, or all tasks of an all-at-once job.
func (s *Scheduler) try(j *job, now time.Time) outcome {
	if j.Kind == modeler.WorkAllAtOnce && j.running > 0 {
		return notYet
	}
	if !j.team.Allows(j.Needs.Scale(int64(j.width()))) {
		return overLimit
	}
	if j.kind.place(s, j, now) {
		return placed
	}

	return noRoom
}

// blockedByLimit records that the team's upper limit holds a job back and asks
// for more of it.
func (s *Scheduler) blockedByLimit(j *job, now time.Time) {
	s.note(j, modeler.EventQueued, causeLimit)
	s.limited = true
	if now.Sub(j.line.asked) < tickEvery {
		return
	}
	j.line.asked = now
	wanted := j.team.Running.Add(j.Needs.Scale(int64(j.width()))).Sub(j.team.Allotment)
	wanted = wanted.Sub(wanted.Min(modeler.Resources{}))
	s.emit(TokensCmd{Team: j.Team, Wanted: wanted})
}

// blockedByRoom records that no endpoint has room and tries to make some.
func (s *Scheduler) blockedByRoom(j *job, now time.Time) {
	if j.blocked.IsZero() {
		j.blocked = now
	}
	if s.settings.Reserve {
		s.blocked = append(s.blocked, j)
	}
	s.note(j, modeler.EventQueued, s.roomCause(j))
	s.makeRoom(j, now)
}
