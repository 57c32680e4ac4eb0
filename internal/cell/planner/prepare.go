package planner

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"gitlab.com/greengagewall/greengagewall/internal/cell/definer"
)

const (
	// prepareDelay is how long tasks of an urgent step wait for room that becomes free by itself before less urgent
	// runs are preempted for them.
	prepareDelay = 150 * time.Millisecond
	// prepareTimeout is how long endpoints are kept for the tasks for which runs were preempted there. It covers a stop
	// and the report of its end.
	prepareTimeout = 1500 * time.Millisecond
	// maxPreparedShare bounds the endpoints on which runs are preempted for tasks at the same time, as a share of the
	// usable endpoints.
	maxPreparedShare = 1.0 / 12
)

// preparation is the room that a step of an urgent queue has had made for its tasks. In
// a full cell the room that one end leaves is soon taken by small tasks, so that a
// large task would wait until several runs of an endpoint end at the same time.
type preparation struct {
	// waitingSince is when tasks of the step first found no room, or 0.
	waitingSince definer.Instant
	// endpoints are kept for the step until the time.
	endpoints []*endpoint
	until     definer.Instant
}

// restorePreparations renews the reservations of the endpoints that are being prepared
// for tasks.
func (ps *pass) restorePreparations(steps []*step) {
	for _, s := range steps {
		p := &s.preparation
		if len(p.endpoints) == 0 {
			continue
		}
		if ps.now >= p.until || s.pendingCount == 0 {
			*p = preparation{}

			continue
		}
		for _, e := range p.endpoints {
			if availableTo(e, s) {
				e.reservedFor = s
			}
		}
		ps.prepared += len(p.endpoints)
	}
}

// prepareRoom preempts less urgent runs for unplaced tasks of a step that can still meet
// its objective and has waited for prepareDelay. It does so on endpoints that may run
// the step, one for each task, and where the fewest runs have to end.
func (ps *pass) prepareRoom(s *step, unplaced int) {
	p := &s.preparation
	if s.urgency != urgencyOnTime || len(p.endpoints) > 0 {
		return
	}
	if p.waitingSince == 0 {
		p.waitingSince = ps.now
	}
	if ps.now.Sub(p.waitingSince) < prepareDelay {
		return
	}
	for _, e := range ps.admittedTo(s) {
		if len(p.endpoints) >= unplaced || ps.prepared >= ps.limit(maxPreparedShare) {
			break
		}
		if e.reservedFor != nil || !s.belowEndpointLimit(e) || s.job.Queue.Policy != nil && !s.admission.answer(e).validFor(e, ps.now) {
			continue
		}
		if runs := ps.runsToPreempt(s, e); len(runs) > 0 {
			ps.preemptOn(s, e, runs)
		}
	}
	if len(p.endpoints) > 0 {
		p.until = ps.now.Add(prepareTimeout)
		ps.planner.note("preempted for tasks", s.job.ID, "step", s.index, "endpoints", len(p.endpoints), "waited", ps.now.Sub(p.waitingSince))
	}
}

// maxPreemptedRuns bounds the runs that are preempted for one task.
const maxPreemptedRuns = 2

// runsToPreempt returns the latest runs on e whose end makes room for a task of s, or
// none if more than maxPreemptedRuns would have to end.
func (ps *pass) runsToPreempt(s *step, e *endpoint) []*run {
	var preemptible []*run
	for _, r := range e.runs {
		if r.phase == phaseStopping || r.phase == phaseStopped {
			return nil // Room becomes free here soon.
		}
		if preemptibleFor(s, r) {
			preemptible = append(preemptible, r)
		}
	}
	slices.SortFunc(preemptible, func(a, b *run) int {
		return cmp.Or(cmp.Compare(b.sentAt, a.sentAt), strings.Compare(a.name.Job, b.name.Job), cmp.Compare(a.name.Index, b.name.Index))
	})
	room := e.free()
	for n, r := range preemptible[:min(len(preemptible), maxPreemptedRuns)] {
		if room = room.Add(r.need); s.need().Fits(room) {
			return preemptible[:n+1]
		}
	}

	return nil
}

// preemptOn stops runs on e and keeps the endpoint for s.
func (ps *pass) preemptOn(s *step, e *endpoint, runs []*run) {
	for _, r := range runs {
		ps.planner.stopRun(r)
	}
	e.reservedFor = s
	ps.prepared++
	s.preparation.endpoints = append(s.preparation.endpoints, e)
}
