package planner

import "time"

const (
	// prefetchShare bounds the waiting steps that request tickets before there is room,
	// as a share of the usable endpoints.
	prefetchShare = 1.0 / 8
	// prefetchPace is the time between the questions of the steps beyond prefetchShare, as a multiple of the
	// decision time, so that they leave the policy to the others.
	prefetchPace = 2
)

// prefetchTickets asks the policy for tickets for a step that waits for room,
// so that the step can start as soon as there is room. It does so only for urgent steps:
// for the first of the order, up to prefetchShare, and for the others in turn.
func (ps *pass) prefetchTickets(s *step) {
	if s.job.Queue.Policy == nil || s.urgency > urgencyLate {
		return
	}
	if ps.prefetched >= ps.limit(prefetchShare) {
		ps.leftOut = append(ps.leftOut, s)

		return
	}
	ps.prefetched++
	if !s.admission.askBlocked(ps.now) && !s.holdsTickets(ps.now) {
		ps.planner.ask(s, ps.planner.endpointsToAsk(s, ps.candidates(s), s.def.Count), ps.now)
	}
}

// prefetchInTurn asks for tickets for the step beyond prefetchShare whose last turn was
// longest ago. The first steps may be unable to use any of the room that becomes free, and
// without tickets the others would lose it to less urgent work.
func (ps *pass) prefetchInTurn() {
	p := ps.planner
	if ps.now < p.nextPrefetch {
		return
	}
	var next *step
	for _, s := range ps.leftOut {
		if s.queuedSince == 0 {
			s.queuedSince = ps.now
		}
		if s.admission.askBlocked(ps.now) || s.holdsTickets(ps.now) {
			continue
		}
		if next == nil || s.queuedSince < next.queuedSince {
			next = s
		}
	}
	if next == nil {
		return
	}
	next.queuedSince = ps.now
	endpoints := p.endpointsToAsk(next, ps.candidates(next), next.def.Count)
	p.ask(next, endpoints, ps.now)
	policy := next.job.Queue.Policy
	p.nextPrefetch = ps.now.Add(prefetchPace * (policy.Decide + time.Duration(min(len(endpoints), maxAskedEndpoints))*policy.Each))
}
