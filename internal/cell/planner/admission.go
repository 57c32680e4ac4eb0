package planner

import (
	"math"
	"sort"
	"time"

	"gitlab.com/greengagewall/greengagewall/internal/cell/definer"
)

const (
	// initialAdmission is the share of endpoints assumed to be admitted until a queue's policy has answered.
	initialAdmission = 0.5
	// admissionGain is the weight of a new answer in the mean.
	admissionGain = 0.2
	// ticketMargin is the remaining validity that a ticket needs when a start is sent.
	ticketMargin = 150 * time.Millisecond
	// mostAsked is the most endpoints that one question may name.
	mostAsked = 100
	// spareAsked is how many endpoints more than needed are asked for.
	spareAsked = 4
	// askPause is the pause after a question that was not answered.
	askPause = 150 * time.Millisecond
	// askTimeout is when a question counts as lost, beyond the time of its decision.
	askTimeout = 2500 * time.Millisecond
)

// admission is what the placement policy of a queue has said of a step.
type admission struct {
	// known holds the answer for each endpoint asked for, by the endpoint's slot.
	known []ticket
	// validUntil is when the last ticket expires.
	validUntil definer.Instant
	// asking is when the outstanding question counts as lost, or 0.
	asking definer.Instant
}

// ticket admits a step on an endpoint for a time.
type ticket struct {
	// endpoint is nil when it has not been asked for; a slot may have had another endpoint before.
	endpoint *endpoint
	admitted bool
	value    string
	life     int64
	expires  definer.Instant
}

// ticket returns the answer for e, or nil when it has not been asked for.
func (a *admission) ticket(e *endpoint) *ticket {
	if e.slot >= len(a.known) || a.known[e.slot].endpoint != e {
		return nil
	}

	return &a.known[e.slot]
}

// note keeps the answer for an endpoint.
func (a *admission) note(e *endpoint, t ticket) {
	if e.slot >= len(a.known) {
		a.known = append(a.known, make([]ticket, e.slot+1-len(a.known))...)
	}
	t.endpoint = e
	a.known[e.slot] = t
}

func (a *admission) expire(e *endpoint) {
	if t := a.ticket(e); t != nil {
		t.expires = 0
	}
}

// admits reports whether the policy has admitted e.
func (a *admission) admits(e *endpoint) bool {
	t := a.ticket(e)

	return t != nil && t.admitted
}

// valid reports whether a start on e may be sent now.
func (a *admission) valid(e *endpoint, now definer.Instant) bool {
	t := a.ticket(e)

	return t != nil && t.admitted && t.life == e.life && now.Add(ticketMargin) < t.expires
}

// value returns the ticket for a start on e.
func (a *admission) value(e *endpoint) string {
	if t := a.ticket(e); t != nil {
		return t.value
	}

	return ""
}

// admitted returns the endpoints that the policy has admitted.
func (a *admission) admitted(endpoints []*endpoint) []*endpoint {
	var admitted []*endpoint
	for _, e := range endpoints {
		if a.admits(e) {
			admitted = append(admitted, e)
		}
	}

	return admitted
}

// refusedFor reports whether the policy has refused e.
func (a *admission) refusedFor(e *endpoint) bool {
	t := a.ticket(e)

	return t != nil && !t.admitted
}

// ask emits a question about endpoints; it is a no-op while one is outstanding.
func (p *Planner) ask(s *step, endpoints []*endpoint, now definer.Instant) {
	if len(endpoints) == 0 || s.admission.asking != 0 && now < s.admission.asking {
		return
	}
	if len(endpoints) > mostAsked {
		endpoints = endpoints[:mostAsked]
	}
	policy := s.job.Queue.Policy
	cost := policy.Decide + time.Duration(len(endpoints))*policy.Each
	s.admission.asking = now.Add(cost*2 + askTimeout)
	ids := make([]string, len(endpoints))
	for i, e := range endpoints {
		ids[i] = e.ID
	}
	p.emit(AskPolicyCmd{Job: s.job.ID, Occurrence: s.occurrence.number, Step: s.index, Endpoints: ids, DecisionTime: cost, Priority: s.job.Queue.Priority})
}

// PolicyAnswered takes the answer of a placement policy about endpoints. A ticket is
// valid from its decision on; ticketMargin covers the way from there.
func (p *Planner) PolicyAnswered(id string, occurrence, index int, endpoints []string, tickets []definer.Ticket, answered bool, now definer.Instant) {
	j := p.jobs[id]
	if j == nil {
		return
	}
	o := j.occurrence(occurrence)
	if o == nil {
		return
	}
	s := o.steps[index]
	if !answered {
		s.admission.asking = now.Add(askPause)

		return
	}
	s.admission.asking = 0
	for _, endpointID := range endpoints {
		if e := p.endpoints[endpointID]; e != nil {
			s.admission.note(e, ticket{life: e.life})
		}
	}
	for _, admitted := range tickets {
		if e := p.endpoints[admitted.Endpoint]; e != nil {
			s.admission.note(e, ticket{admitted: true, value: admitted.Value, life: e.life, expires: now.Add(j.Queue.Policy.Validity)})
		}
	}
	if len(tickets) > 0 {
		s.admission.validUntil = now.Add(j.Queue.Policy.Validity)
	}
	q := p.stats(j.Queue.Name)
	q.admitted += admissionGain * (float64(len(tickets))/float64(max(len(endpoints), 1)) - q.admitted)
	q.admitted = max(q.admitted, 0.05)
}

// unasked returns the endpoints that the policy has not been asked about.
func (a *admission) unasked(endpoints []*endpoint) []*endpoint {
	var unasked []*endpoint
	for _, e := range endpoints {
		if a.ticket(e) == nil {
			unasked = append(unasked, e)
		}
	}

	return unasked
}

// question chooses the endpoints to ask about: all that may run the step, in
// the order of their room, while that at most doubles the time of a decision,
// and as many as the tasks are likely to need. The policy's answer for an
// endpoint does not change, only its tickets expire.
func (p *Planner) question(s *step, candidates []*endpoint, pending int) []*endpoint {
	ordered := append([]*endpoint(nil), candidates...)
	sort.SliceStable(ordered, func(a, b int) bool { return ordered[a].room().Millis > ordered[b].room().Millis })
	if s.def.Gang {
		return ordered
	}
	policy := s.job.Queue.Policy
	want := int(math.Ceil(float64(pending)/p.stats(s.job.Queue.Name).admitted)) + spareAsked
	if policy.Each > 0 {
		want = max(want, int(policy.Decide/policy.Each))
	}

	return ordered[:min(want, len(ordered))]
}
