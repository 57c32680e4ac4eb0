package planner

import "slices"

// withTickets returns the candidates to which a start may be sent now. expired reports
// whether one was left out only because its ticket is no longer valid.
func (ps *pass) withTickets(s *step, candidates []*endpoint) (ready []*endpoint, expired bool) {
	if s.job.Queue.Policy == nil {
		return candidates, false
	}
	for _, e := range candidates {
		answer := s.admission.answer(e)
		switch {
		case answer == nil || !answer.admitted:
		case answer.validFor(e, ps.now):
			ready = append(ready, e)
		case s.belowEndpointLimit(e) && s.need().Fits(e.availableTo(s)):
			expired = true
		}
	}

	return ready, expired
}

// askForRoom asks the policy for the tickets that a step with unplaced tasks lacks.
// candidates are the endpoints that had room for a task.
func (ps *pass) askForRoom(s *step, candidates []*endpoint, unplaced int, ticketExpired bool) {
	p := ps.planner
	if unasked := s.admission.filterUnasked(candidates); len(unasked) > 0 && len(s.admission.answers) > 0 {
		p.ask(s, p.endpointsToAsk(s, unasked, unplaced), ps.now)

		return
	}
	if ticketExpired || len(s.admission.answers) == 0 {
		p.ask(s, p.endpointsToAsk(s, ps.candidatesAfter(s, ps.withExpiredTickets(s, candidates)), unplaced), ps.now)

		return
	}
	ps.prefetchTickets(s)
}

// withExpiredTickets returns the endpoints on which a task of s may start once its ticket
// is renewed, as many as one question may name.
func (ps *pass) withExpiredTickets(s *step, candidates []*endpoint) []*endpoint {
	var expired []*endpoint
	for _, e := range candidates {
		if len(expired) == maxAskedEndpoints {
			break
		}
		answer := s.admission.answer(e)
		if answer != nil && answer.admitted && !answer.validFor(e, ps.now) && s.belowEndpointLimit(e) && s.need().Fits(e.availableTo(s)) {
			expired = append(expired, e)
		}
	}

	return expired
}

// candidatesAfter returns the endpoints in first and then other candidates of s, as many
// as one question may name.
func (ps *pass) candidatesAfter(s *step, first []*endpoint) []*endpoint {
	candidates := first
	for _, e := range ps.candidates(s) {
		if len(candidates) >= maxAskedEndpoints {
			break
		}
		if !slices.Contains(first, e) {
			candidates = append(candidates, e)
		}
	}

	return candidates
}
