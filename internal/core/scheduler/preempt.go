package scheduler

import (
	"slices"
	"time"

	"gitlab.com/greengagewall/greengagewall/internal/core/accountant"
	"gitlab.com/greengagewall/greengagewall/internal/core/sharer"
	"gitlab.com/greengagewall/greengagewall/internal/domain/modeler"
)

const (
	// A preempted task whose checkpoint does not finish is throttled after
	// throttleAfter and stopped without a checkpoint after stopAfter.
	throttleAfter = 3 * time.Second
	stopAfter     = 6 * time.Second
	// preemptionRetryInterval is the minimum time between two searches for victims
	// for a job after one that found none.
	preemptionRetryInterval = 500 * time.Millisecond
	// freedReservationTTL is how long capacity freed by preemption stays reserved
	// for the job that it was freed for.
	freedReservationTTL = 10 * time.Second
	// maxEndpointsScanned bounds the endpoints compared for one task.
	maxEndpointsScanned = 48
	// maxEndpointsFeasible bounds those among them where preemption can free enough.
	maxEndpointsFeasible = 6
	// maxPreemptionsPerBand bounds the tasks of one band for which a pass preempts
	// others.
	maxPreemptionsPerBand = 64
	// maxPreemptions bounds how often a task is preempted, so that it eventually
	// finishes.
	maxPreemptions = 3
	// servicePreemptAfter is how long a service must be blocked before it preempts.
	servicePreemptAfter = 10 * time.Second
)

// victim is a candidate for preemption. Candidates are preferred by lower urgency
// first, then by smaller expected loss.
type victim struct {
	taskRef
	band band
	loss float64
}

// preemptionRequest asks for capacity for a job at the expense of other tasks.
type preemptionRequest struct {
	job *job
	// limit bounds the tasks to free capacity for; zero means all queued tasks.
	limit int
	// eligible reports whether a task may be a victim in addition to those in
	// pending.
	eligible func(r taskRef) bool
	// pending is the sum of the needs of the victims selected so far, by team; nil
	// if eligible does not depend on it.
	pending map[*teamQueue]modeler.Resources
	reason  string
}

// addPending adds a task to the pending victims, or removes it if sign is -1.
func (req preemptionRequest) addPending(r taskRef, sign int64) {
	if req.pending != nil {
		req.pending[r.job.teamQueue] = req.pending[r.job.teamQueue].Add(r.job.Needs.Scale(sign))
	}
}

// preemptFor preempts less urgent batch work for a blocked job if the job is urgent,
// has an endangered deadline, or is a service that has been blocked for
// servicePreemptAfter.
func (s *Scheduler) preemptFor(j *job, now time.Time) {
	waitedService := j.Kind == modeler.WorkService && now.Sub(j.blockedSince) >= servicePreemptAfter
	if !s.settings.Preempt || (j.band > bandEndangered && !waitedService) || j.lastCause == causeNeverFits {
		return
	}
	s.preempt(preemptionRequest{job: j, reason: "preempted by more urgent work", eligible: func(r taskRef) bool {
		return r.job.band > j.band || (waitedService && r.job.band == j.band)
	}}, now)
}

// preempt frees capacity for the queued tasks of a request's job and reserves it.
func (s *Scheduler) preempt(req preemptionRequest, now time.Time) {
	s.growReservedAt()
	j := req.job
	if now.Sub(j.preemptionSearchedAt) < preemptionRetryInterval {
		return
	}
	if j.Kind == modeler.WorkGang {
		if j.reservation == nil || j.reservation.expires.IsZero() {
			j.preemptionSearchedAt = now
			s.preemptForGang(req, now)
		}

		return
	}
	if j.reservation != nil && j.reservation.expires.IsZero() {
		s.dropReservation(j)
	}
	reserved := 0
	if j.reservation != nil {
		reserved = j.reservation.copies
	}
	wanted := len(j.waiting)
	if req.limit > 0 {
		wanted = min(wanted, req.limit)
	}
	for reserved < wanted && s.preemptionBudget > 0 && j.team.Allows(j.Needs.Scale(int64(reserved+1))) {
		at, victims := s.cheapestEndpoint(req, now)
		if at < 0 {
			j.preemptionSearchedAt = now

			return
		}
		s.reserveFreed(req, at, 1, victims, now)
		reserved++
	}
}

// cheapestEndpoint returns the position where preemption for one task loses the
// least work, and the victims. It returns -1 if no endpoint examined is suitable.
func (s *Scheduler) cheapestEndpoint(req preemptionRequest, now time.Time) (int, []taskRef) {
	best, leastLoss, seen := -1, 0.0, 0
	var chosen []taskRef
	count := s.ledger.Positions()
	for range min(count, maxEndpointsScanned) {
		s.preemptCursor = (s.preemptCursor + 1) % count
		at := s.preemptCursor
		if s.reservedAt[at].reservation != nil || req.job.avoids(at, now) {
			continue
		}
		clear(req.pending)
		victims, loss, ok := s.victims(req, at, 1, now)
		if !ok {
			continue
		}
		if best < 0 || loss < leastLoss {
			best, leastLoss, chosen = at, loss, victims
		}
		if seen++; seen >= maxEndpointsFeasible {
			break
		}
	}

	return best, chosen
}

// victims returns the tasks to preempt on an endpoint so that it has room for the
// given number of the request's tasks, and the expected loss. It reports false if
// preemption cannot free enough.
func (s *Scheduler) victims(req preemptionRequest, at, copies int, now time.Time) ([]taskRef, float64, bool) {
	node := s.ledger.Node(at)
	wanted := req.job.size.Scale(int64(copies))
	if !node.Usable || node.Quarantined || node.Removed || !wanted.Fits(node.Capacity) {
		return nil, 0, false
	}
	free := node.Free()
	var candidates []victim
	maxFree := free
	for _, r := range s.tasksAt[at] {
		t := r.task()
		if t.stage != stageNone || r.job.cancelled {
			// The task is already being stopped.
			free, maxFree = free.Add(t.charged), maxFree.Add(t.charged)

			continue
		}
		if r.job.policy.preemptible() && !r.job.Once && t.preemptions < maxPreemptions && req.eligible(r) {
			candidates = append(candidates, victim{r, r.job.band, s.expectedLoss(r, now)})
			maxFree = maxFree.Add(t.charged)
		}
	}
	if !wanted.Fits(maxFree) {
		return nil, 0, false
	}
	slices.SortStableFunc(candidates, func(a, b victim) int {
		switch {
		case a.band != b.band:
			return int(b.band - a.band)
		case a.loss < b.loss:
			return -1
		case a.loss > b.loss:
			return 1
		}

		return 0
	})

	return req.selectVictims(candidates, free, wanted)
}

// selectVictims takes candidates in order until wanted fits, then drops those that
// are not needed after all, starting with the most expensive.
func (req preemptionRequest) selectVictims(candidates []victim, free, wanted modeler.Resources) ([]taskRef, float64, bool) {
	taken := make([]victim, 0, len(candidates))
	for _, v := range candidates {
		if wanted.Fits(free) {
			break
		}
		if !req.eligible(v.taskRef) {
			continue
		}
		free = free.Add(v.task().charged)
		req.addPending(v.taskRef, 1)
		taken = append(taken, v)
	}
	fits := wanted.Fits(free)
	kept := make([]taskRef, 0, len(taken))
	loss := 0.0
	for _, v := range slices.Backward(taken) {
		without := free.Sub(v.task().charged)
		if !fits || wanted.Fits(without) {
			free = without
			req.addPending(v.taskRef, -1)

			continue
		}
		kept = append(kept, v.taskRef)
		loss += v.loss
	}

	return kept, loss, fits
}

// expectedLoss returns the processor time, in thousandths of a second, that
// preempting a task is expected to lose: the progress lost if the checkpoint fails,
// plus the time for the checkpoint. A gang loses the work of all its tasks.
func (s *Scheduler) expectedLoss(r taskRef, now time.Time) float64 {
	elapsed := now.Sub(r.task().startedAt).Seconds()
	loss := (elapsed*(1-r.job.history.checkpointRate) + 1) * float64(r.job.Needs.Millis)
	if r.job.Kind == modeler.WorkGang {
		loss *= float64(r.job.running)
	}

	return loss
}

// reserveFreed preempts the victims and reserves the capacity that they free for the
// request's job.
func (s *Scheduler) reserveFreed(req preemptionRequest, at, copies int, victims []taskRef, now time.Time) {
	s.preemptionBudget -= copies
	free := s.ledger.Node(at).Free()
	for _, r := range s.tasksAt[at] {
		if t := r.task(); t.stage != stageNone || r.job.cancelled {
			free = free.Add(t.charged)
		}
	}
	for _, r := range victims {
		free = free.Add(r.task().charged)
		s.preemptTask(r, req.reason, now)
	}
	j := req.job
	if j.reservation == nil {
		j.reservation = &reservation{job: j, start: now, plannedAt: now}
		s.reservations = append(s.reservations, j.reservation)
	}
	j.reservation.expires = now.Add(freedReservationTTL)
	j.reservation.copies += copies
	j.reservation.positions = append(j.reservation.positions, at)
	amount := j.size.Scale(int64(copies))
	s.reservedAt[at] = endpointReservation{reservation: j.reservation, reserved: amount, spare: free.Sub(amount)}
}

// preemptTask starts the preemption of a task by requesting a checkpoint and stop.
func (s *Scheduler) preemptTask(r taskRef, reason string, now time.Time) {
	t := r.task()
	t.stage, t.stopRequestedAt = stageCheckpoint, now
	t.preemptions++
	r.job.teamQueue.stopping = r.job.teamQueue.stopping.Add(r.job.Needs)
	s.preempting = append(s.preempting, r)
	s.stats.Preempted++
	s.emit(StopCmd{Task: FormatTaskID(r.job.ID, r.index), Endpoint: s.ledger.Node(t.at).ID, Checkpoint: true, Reason: reason})
}

// preemptForGang frees capacity for all queued tasks of a gang, in one rack if the
// job requires that.
func (s *Scheduler) preemptForGang(req preemptionRequest, now time.Time) {
	j := req.job
	if j.running > 0 || !j.team.Allows(j.Needs.Scale(int64(j.groupSize()))) {
		return
	}
	racks := s.ledger.Racks()
	for range min(len(racks), maxGroups) {
		s.rackCursor = (s.rackCursor + 1) % len(racks)
		members := racks[s.rackCursor].Members
		if !j.SameRack {
			members = s.rackWindow(j, s.rackCursor)
		}
		if s.preemptForGangOn(req, members, now) {
			return
		}
		if !j.SameRack && s.ledger.Count() <= maxGroupSize {
			return
		}
	}
}

// preemptForGangOn frees capacity for all queued tasks of a gang on the given
// endpoints. If that is not possible, it preempts nothing and reports false.
func (s *Scheduler) preemptForGangOn(req preemptionRequest, members []int, now time.Time) bool {
	type part struct {
		at, copies int
		victims    []taskRef
	}
	clear(req.pending)
	wanted := req.job.groupSize()
	parts := make([]part, 0, len(members))
	for _, at := range members {
		if wanted == 0 || s.reservedAt[at].reservation != nil || req.job.avoids(at, now) {
			continue
		}
		copies := min(wanted, accountant.MaxCopies(req.job.size, s.ledger.Node(at).Capacity))
		for ; copies > 0; copies-- {
			if victims, _, ok := s.victims(req, at, copies, now); ok {
				parts = append(parts, part{at, copies, victims})
				wanted -= copies

				break
			}
		}
	}
	if wanted > 0 {
		return false
	}
	s.dropReservation(req.job)
	clear(req.pending)
	for _, p := range parts {
		s.reserveFreed(req, p.at, p.copies, p.victims, now)
	}

	return true
}

// escalatePreemptions throttles and then stops tasks whose checkpoint takes too
// long.
func (s *Scheduler) escalatePreemptions(now time.Time) {
	keep := s.preempting[:0]
	for _, r := range s.preempting {
		t := r.task()
		if t.state != modeler.TaskRunning || t.stage == stageNone {
			continue
		}
		keep = append(keep, r)
		id, endpoint, waited := FormatTaskID(r.job.ID, r.index), s.ledger.Node(t.at).ID, now.Sub(t.stopRequestedAt)
		switch {
		case t.stage == stageCheckpoint && waited >= throttleAfter:
			t.stage = stageThrottle
			s.emit(ThrottleCmd{Task: id, Endpoint: endpoint, Reason: "its checkpoint takes too long"})
		case t.stage == stageThrottle && waited >= stopAfter:
			t.stage = stageStop
			s.emit(StopCmd{Task: id, Endpoint: endpoint, Reason: "its checkpoint did not end"})
		}
	}
	clear(s.preempting[len(keep):])
	s.preempting = keep
}

// countLoss adds the work lost by a preempted task to the statistics.
func (s *Scheduler) countLoss(r taskRef, m EndedMsg, now time.Time) {
	if t := r.task(); t.stage != stageNone && m.Result == ResultRequeue && !m.Checkpointed {
		s.stats.LostCPUTime += time.Duration(float64(now.Sub(t.startedAt)) * float64(r.job.Needs.Millis) / 1000)
	}
}

// enforceLimit preempts tasks of a team that uses more than its lowered allotment:
// deferred work first, services last, and never work that may run only once, which
// could not be started again.
func (s *Scheduler) enforceLimit(team *sharer.Team, now time.Time) {
	var candidates []victim
	running := team.Running
	for _, list := range s.tasksAt {
		for _, r := range list {
			switch {
			case r.job.team != team:
			case r.task().stage != stageNone || r.job.cancelled:
				running = running.Sub(r.job.Needs)
			case !r.job.Once:
				candidates = append(candidates, victim{r, r.job.band, s.expectedLoss(r, now)})
			}
		}
	}
	slices.SortStableFunc(candidates, func(a, b victim) int {
		if x, y := a.job.policy.preemptible(), b.job.policy.preemptible(); x != y {
			if x {
				return -1
			}

			return 1
		}
		if a.band != b.band {
			return int(b.band - a.band)
		}

		return int(a.loss - b.loss)
	})
	for _, v := range candidates {
		if running.Fits(team.Allotment) {
			return
		}
		running = running.Sub(v.job.Needs)
		s.preemptTask(v.taskRef, "above the team's lowered limit", now)
	}
}
