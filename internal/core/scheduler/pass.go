package scheduler

import (
	"container/heap"
	"time"

	"gitlab.com/greengagewall/greengagewall/internal/domain/modeler"
)

// maxMissesPerBand bounds the jobs in one band that a pass tries without success,
// so that the time of a pass does not grow with the number of teams.
const maxMissesPerBand = 128

// gangPlanInterval is the minimum time between two attempts to plan a gang, which
// cost more than the placement of a single task.
const gangPlanInterval = 100 * time.Millisecond

// placementResult is the result of trying to place a job.
type placementResult int

const (
	placed placementResult = iota
	overLimit
	noRoom
	// notYet means that a gang's earlier tasks have not all stopped, or that it
	// found no room less than gangPlanInterval ago.
	notYet
)

// decide runs a placement pass of at most budget starts.
func (s *Scheduler) decide(budget int, now time.Time) {
	s.runMaintenance(now)
	s.startsBeforePass = s.stats.Starts
	if !s.changed && s.lastPassRelease == s.ledger.Releases() {
		return
	}
	s.lastPassRelease = s.ledger.Releases()
	budget -= s.serveDeferredGang(now)
	for b := range s.queuesByBand {
		if budget <= 0 {
			break
		}
		s.preemptionBudget = maxPreemptionsPerBand
		budget = s.serve(band(b), budget, now)
	}
	// A pass that used up its budget may have left startable work.
	s.changed = budget <= 0 || s.deferredGang != nil
	s.recordNewJobs(now)
}

// serveDeferredGang tries the gang that did not fit the budget of the last pass and
// returns the number of tasks started.
func (s *Scheduler) serveDeferredGang(now time.Time) int {
	j := s.deferredGang
	s.deferredGang = nil
	if j != nil && len(j.waiting) > 0 && s.placeNext(j, now) == placed {
		return int(s.stats.Starts - s.startsBeforePass)
	}

	return 0
}

// serve places work of one band and returns the remaining budget.
func (s *Scheduler) serve(b band, budget int, now time.Time) int {
	contenders := s.contendersFor(b)
	for misses := 0; len(contenders) > 0 && budget > 0 && misses < maxMissesPerBand; {
		first := contenders[0]
		started, done := s.tryNext(first, budget, now)
		budget -= started
		if started == 0 {
			misses++
		}
		if done {
			contenders.removeFirst()

			continue
		}
		first.key = s.contenderKey(first)
		contenders.fixFirst()
	}

	return budget
}

// contendersFor returns the team queues whose work in a band may find room.
func (s *Scheduler) contendersFor(b band) contenderHeap {
	queues := s.queuesByBand[b]
	keep := queues[:0]
	s.contenders = s.contenders[:0]
	for _, q := range queues {
		if q.jobs[b].Len() == 0 {
			q.listed[b] = false

			continue
		}
		keep = append(keep, q)
		if b > bandEndangered && !s.ledger.MayFit(q.minSize[b]) && !q.mayPreempt(b) {
			continue
		}
		first, _ := q.jobs[b].Min()
		s.contenders = append(s.contenders, contender{teamQueue: q, band: b, job: first})
	}
	s.queuesByBand[b] = keep
	s.contenderHeap = s.contenderHeap[:0]
	for i := range s.contenders {
		s.contenders[i].key = s.contenderKey(&s.contenders[i])
		s.contenderHeap = append(s.contenderHeap, &s.contenders[i])
	}
	heap.Init(&s.contenderHeap)

	return s.contenderHeap
}

// contenderKey returns the key by which contenders are served, lowest first.
func (s *Scheduler) contenderKey(c *contender) float64 {
	j := c.job
	if s.settings.Order == OrderArrival {
		return float64(j.seq)
	}
	if j.band == bandEndangered && !j.Deadline.IsZero() {
		return float64(j.Deadline.Unix())
	}

	return c.teamQueue.team.WeightedShare()
}

// tryNext tries the next job of a contender. It returns the number of tasks
// started and whether the contender is done for this pass.
func (s *Scheduler) tryNext(c *contender, budget int, now time.Time) (int, bool) {
	j := c.job
	if j.groupSize() > max(budget, 1) && s.stats.Starts != s.startsBeforePass {
		// A gang larger than the remaining budget is tried first in the next
		// pass, where it may exceed the whole budget.
		s.deferredGang = j

		return 0, true
	}
	before := s.stats.Starts
	done := false
	switch s.placeNext(j, now) {
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

// placeNext places the next task of a job, or all queued tasks of a gang.
func (s *Scheduler) placeNext(j *job, now time.Time) placementResult {
	gang := j.Kind == modeler.WorkGang
	if gang && (j.running > 0 || now.Before(j.retryAt)) {
		return notYet
	}
	if !j.team.Allows(j.Needs.Scale(int64(j.groupSize()))) {
		return overLimit
	}
	if j.policy.place(s, j, now) {
		return placed
	}
	if gang {
		j.retryAt = now.Add(gangPlanInterval)
	}

	return noRoom
}

// blockedByLimit records that the team's allotment blocks a job and requests a
// larger one.
func (s *Scheduler) blockedByLimit(j *job, now time.Time) {
	s.recordCause(j, modeler.EventQueued, causeLimit)
	if now.Sub(j.teamQueue.tokensRequestedAt) < tokenRequestInterval {
		return
	}
	j.teamQueue.tokensRequestedAt = now
	wanted := j.team.Running.Add(j.Needs.Scale(int64(j.groupSize()))).Sub(j.team.Allotment)
	wanted = wanted.Sub(wanted.Min(modeler.Resources{}))
	s.emit(TokensCmd{Team: j.Team, Wanted: wanted, Since: j.Accepted})
}

// blockedByRoom records that no endpoint has room for a job, lists the job for a
// reservation and tries to preempt other work.
func (s *Scheduler) blockedByRoom(j *job, now time.Time) {
	if j.blockedSince.IsZero() {
		j.blockedSince = now
	}
	s.recordCause(j, modeler.EventQueued, s.noRoomCause(j))
	if s.settings.Reserve && !j.inBlocked && s.needsReservation(j) {
		j.inBlocked = true
		s.blocked = append(s.blocked, j)
	}
	s.preemptFor(j, now)
}
