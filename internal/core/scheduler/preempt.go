package scheduler

import (
	"slices"
	"time"

	"gitlab.com/greengagewall/greengagewall/internal/core/accountant"
	"gitlab.com/greengagewall/greengagewall/internal/core/sharer"
	"gitlab.com/greengagewall/greengagewall/internal/domain/modeler"
)

const (
	// throttleAfter and stopAfter escalate a preemption whose checkpoint does
	// not come to an end.
	throttleAfter = 3 * time.Second
	stopAfter     = 6 * time.Second
	// claimEvery is the shortest time between two searches for victims for a
	// job, after one that found none.
	claimEvery = 500 * time.Millisecond
	// promiseFor is how long room that was made is kept for the job it was
	// made for.
	promiseFor = 10 * time.Second
	// preemptScan bounds the endpoints compared for one task.
	preemptScan = 48
	// preemptEnough bounds those where room can be made.
	preemptEnough = 6
	// promiseMost bounds the tasks that one band gets room made for in a pass.
	promiseMost = 64
	// maxPreemptions bounds how often a task is preempted, so that it ends.
	maxPreemptions = 3
	// servicePatience is how long a service waits before it preempts.
	servicePatience = 10 * time.Second
)

// cost of preempting a task: the band decides first, then the work lost.
type victim struct {
	ref
	band band
	lost float64
}

// claim is a request to make room.
type claim struct {
	job *job
	// most bounds the tasks to make room for; zero means all that wait.
	most int
	// may reports whether a task may be a victim besides those in pending.
	may func(r ref) bool
	// pending is what the victims that are being considered have, by team.
	pending map[*line]modeler.Resources
	why     string
}

// consider adds a task to the victims that are being considered, or with sign
// -1 takes it out again.
func (c claim) consider(r ref, sign int64) {
	if c.pending != nil {
		c.pending[r.job.line] = c.pending[r.job.line].Add(r.job.Needs.Scale(sign))
	}
}

// makeRoom preempts less urgent batch work for a job that found no room, if
// its urgency allows that.
func (s *Scheduler) makeRoom(j *job, now time.Time) {
	patient := j.Kind == modeler.WorkService && now.Sub(j.blocked) >= servicePatience
	if !s.settings.Preempt || (j.band > bandDanger && !patient) || j.cause == causeNeverFits {
		return
	}
	s.preempt(claim{job: j, why: "preempted by more urgent work", may: func(r ref) bool {
		return r.job.band > j.band || (patient && r.job.band == j.band)
	}}, now)
}

// preempt makes room for the waiting tasks of a claim's job and keeps it.
func (s *Scheduler) preempt(c claim, now time.Time) {
	s.growHolds()
	j := c.job
	if now.Sub(j.claimed) < claimEvery {
		return
	}
	if j.Kind == modeler.WorkGang {
		if j.reserved == nil || j.reserved.until.IsZero() {
			j.claimed = now
			s.preemptTogether(c, now)
		}

		return
	}
	if j.reserved != nil && j.reserved.until.IsZero() {
		s.dropReservation(j)
	}
	promised := 0
	if j.reserved != nil {
		promised = j.reserved.copies
	}
	wanted := len(j.waiting)
	if c.most > 0 {
		wanted = min(wanted, c.most)
	}
	for promised < wanted && s.promises > 0 && j.team.Allows(j.Needs.Scale(int64(promised+1))) {
		at, victims := s.cheapest(c, now)
		if at < 0 {
			j.claimed = now

			return
		}
		s.promise(c, at, 1, victims, now)
		promised++
	}
}

// cheapest returns the endpoint where the least work is lost by making room
// for one task, with the victims.
func (s *Scheduler) cheapest(c claim, now time.Time) (int, []ref) {
	best, least, seen := -1, 0.0, 0
	var chosen []ref
	count := s.ledger.Positions()
	for range min(count, preemptScan) {
		s.preemptCursor = (s.preemptCursor + 1) % count
		at := s.preemptCursor
		if s.holds[at].owner != nil || c.job.avoids(at, now) {
			continue
		}
		clear(c.pending)
		victims, lost, ok := s.victims(c, at, 1, now)
		if !ok {
			continue
		}
		if best < 0 || lost < least {
			best, least, chosen = at, lost, victims
		}
		if seen++; seen >= preemptEnough {
			break
		}
	}

	return best, chosen
}

// victims returns the tasks to preempt on an endpoint so that it has room for
// a number of copies of the claim's task, and what that loses.
func (s *Scheduler) victims(c claim, at, copies int, now time.Time) ([]ref, float64, bool) {
	node := s.ledger.Node(at)
	wanted := c.job.size.Scale(int64(copies))
	if !node.Usable || node.Quarantined || node.Removed || !wanted.Fits(node.Capacity) {
		return nil, 0, false
	}
	free := node.Free()
	var candidates []victim
	possible := free
	for _, r := range s.tenants[at] {
		t := r.task()
		if t.stage != stageNone || r.job.cancelled {
			// It is on its way out.
			free, possible = free.Add(t.charged), possible.Add(t.charged)

			continue
		}
		if r.job.kind.preemptible() && !r.job.Once && t.preempted < maxPreemptions && c.may(r) {
			candidates = append(candidates, victim{r, r.job.band, s.loss(r, now)})
			possible = possible.Add(t.charged)
		}
	}
	if !wanted.Fits(possible) {
		return nil, 0, false
	}
	slices.SortStableFunc(candidates, func(a, b victim) int {
		switch {
		case a.band != b.band:
			return int(b.band - a.band)
		case a.lost < b.lost:
			return -1
		case a.lost > b.lost:
			return 1
		}

		return 0
	})

	return c.choose(candidates, free, wanted)
}

// choose takes candidates in order until wanted fits, then gives back those
// that turn out not to be needed, the dearest first.
func (c claim) choose(candidates []victim, free, wanted modeler.Resources) ([]ref, float64, bool) {
	taken := make([]victim, 0, len(candidates))
	for _, v := range candidates {
		if wanted.Fits(free) {
			break
		}
		if !c.may(v.ref) {
			continue
		}
		free = free.Add(v.task().charged)
		c.consider(v.ref, 1)
		taken = append(taken, v)
	}
	fits := wanted.Fits(free)
	kept := make([]ref, 0, len(taken))
	lost := 0.0
	for _, v := range slices.Backward(taken) {
		without := free.Sub(v.task().charged)
		if !fits || wanted.Fits(without) {
			free = without
			c.consider(v.ref, -1)

			continue
		}
		kept = append(kept, v.ref)
		lost += v.lost
	}

	return kept, lost, fits
}

// loss returns the processor time, in thousandths of a second, that preempting
// a task is expected to lose: what a failed checkpoint forgets, and the time
// that a checkpoint takes. An all-at-once job loses the work of all its tasks.
func (s *Scheduler) loss(r ref, now time.Time) float64 {
	elapsed := now.Sub(r.task().started).Seconds()
	lost := (elapsed*(1-r.job.queue.kept) + 1) * float64(r.job.Needs.Millis)
	if r.job.Kind == modeler.WorkGang {
		lost *= float64(r.job.running)
	}

	return lost
}

// promise stops the victims and keeps the room that they leave.
func (s *Scheduler) promise(c claim, at, copies int, victims []ref, now time.Time) {
	s.promises -= copies
	free := s.ledger.Node(at).Free()
	for _, r := range s.tenants[at] {
		if t := r.task(); t.stage != stageNone || r.job.cancelled {
			free = free.Add(t.charged)
		}
	}
	for _, r := range victims {
		free = free.Add(r.task().charged)
		s.stop(r, c.why, now)
	}
	j := c.job
	if j.reserved == nil {
		j.reserved = &reservation{job: j, start: now, made: now}
		s.reservations = append(s.reservations, j.reserved)
	}
	j.reserved.until = now.Add(promiseFor)
	j.reserved.copies += copies
	j.reserved.places = append(j.reserved.places, at)
	amount := j.size.Scale(int64(copies))
	s.holds[at] = hold{owner: j.reserved, amount: amount, spare: free.Sub(amount)}
}

// stop begins the preemption of a task with a checkpoint.
func (s *Scheduler) stop(r ref, why string, now time.Time) {
	t := r.task()
	t.stage, t.stopped = stageCheckpoint, now
	t.preempted++
	r.job.line.leaving = r.job.line.leaving.Add(r.job.Needs)
	s.stopping = append(s.stopping, r)
	s.stats.Preempted++
	s.emit(StopCmd{Task: FormatTaskID(r.job.ID, r.index), Endpoint: s.ledger.Node(t.at).ID, Checkpoint: true, Reason: why})
}

// preemptTogether makes room for a whole all-at-once job, in one rack if the
// job asks for that.
func (s *Scheduler) preemptTogether(c claim, now time.Time) {
	j := c.job
	if j.running > 0 || !j.team.Allows(j.Needs.Scale(int64(j.width()))) {
		return
	}
	racks := s.ledger.Racks()
	for range min(len(racks), maxGroups) {
		s.cursor = (s.cursor + 1) % len(racks)
		members := racks[s.cursor].Members
		if !j.SameRack {
			members = s.window(j, s.cursor)
		}
		if s.clear(c, members, now) {
			return
		}
		if !j.SameRack && s.ledger.Count() <= maxGroup {
			return
		}
	}
}

// clear makes room for a whole all-at-once job on some of the members and
// reports whether that is possible.
func (s *Scheduler) clear(c claim, members []int, now time.Time) bool {
	type part struct {
		at, copies int
		victims    []ref
	}
	clear(c.pending)
	wanted := c.job.width()
	parts := make([]part, 0, len(members))
	for _, at := range members {
		if wanted == 0 || s.holds[at].owner != nil || c.job.avoids(at, now) {
			continue
		}
		copies := min(wanted, accountant.MaxCopies(c.job.size, s.ledger.Node(at).Capacity))
		for ; copies > 0; copies-- {
			if victims, _, ok := s.victims(c, at, copies, now); ok {
				parts = append(parts, part{at, copies, victims})
				wanted -= copies

				break
			}
		}
	}
	if wanted > 0 {
		return false
	}
	s.dropReservation(c.job)
	clear(c.pending)
	for _, p := range parts {
		s.promise(c, p.at, p.copies, p.victims, now)
	}

	return true
}

// escalate throttles, then stops, tasks whose checkpoint takes too long.
func (s *Scheduler) escalate(now time.Time) {
	keep := s.stopping[:0]
	for _, r := range s.stopping {
		t := r.task()
		if t.state != modeler.TaskRunning || t.stage == stageNone {
			continue
		}
		keep = append(keep, r)
		name, endpoint, waited := FormatTaskID(r.job.ID, r.index), s.ledger.Node(t.at).ID, now.Sub(t.stopped)
		switch {
		case t.stage == stageCheckpoint && waited >= throttleAfter:
			t.stage = stageThrottle
			s.emit(ThrottleCmd{Task: name, Endpoint: endpoint, Reason: "its checkpoint takes too long"})
		case t.stage == stageThrottle && waited >= stopAfter:
			t.stage = stageStop
			s.emit(StopCmd{Task: name, Endpoint: endpoint, Reason: "its checkpoint did not end"})
		}
	}
	clear(s.stopping[len(keep):])
	s.stopping = keep
}

// countLoss adds up the work that a preempted task lost.
func (s *Scheduler) countLoss(r ref, m EndedMsg, now time.Time) {
	if t := r.task(); t.stage != stageNone && m.Result == ResultRequeue && !m.Checkpointed {
		s.stats.LostCPUTime += time.Duration(float64(now.Sub(t.started)) * float64(r.job.Needs.Millis) / 1000)
	}
}

// shrink stops work of a team that has more running than a lowered upper limit
// allows: deferred work first, services last, and never work that may run only
// once, which could not be started again.
func (s *Scheduler) shrink(team *sharer.Team, now time.Time) {
	var candidates []victim
	running := team.Running
	for _, list := range s.tenants {
		for _, r := range list {
			switch {
			case r.job.team != team:
			case r.task().stage != stageNone || r.job.cancelled:
				running = running.Sub(r.job.Needs)
			case !r.job.Once:
				candidates = append(candidates, victim{r, r.job.band, s.loss(r, now)})
			}
		}
	}
	slices.SortStableFunc(candidates, func(a, b victim) int {
		if x, y := a.job.kind.preemptible(), b.job.kind.preemptible(); x != y {
			if x {
				return -1
			}

			return 1
		}
		if a.band != b.band {
			return int(b.band - a.band)
		}

		return int(a.lost - b.lost)
	})
	for _, v := range candidates {
		if running.Fits(team.Allotment) {
			return
		}
		running = running.Sub(v.job.Needs)
		s.stop(v.ref, "above the team's lowered limit", now)
	}
}
