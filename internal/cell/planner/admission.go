package planner

import (
	"math"
	"slices"
	"time"

	"gitlab.com/greengagewall/greengagewall/internal/cell/definer"
)

const (
	// initialAdmission is the assumed share of admitted endpoints until a queue's policy has answered.
	initialAdmission = 0.5
	// admissionGain is the weight of a new answer in the moving average.
	admissionGain = 0.2
	// ticketMargin is the remaining validity that a ticket needs for a start to be sent with it.
	ticketMargin = 150 * time.Millisecond
	// maxAskedEndpoints is the maximum number of endpoints in one question.
	maxAskedEndpoints = 100
	// spareAskedEndpoints is how many endpoints beyond the expected need a question names.
	spareAskedEndpoints = 4
	// askRetryPause is the pause after a question that was not answered.
	askRetryPause = 150 * time.Millisecond
	// questionSlack is the time, in addition to twice the decision time, after which a question counts as lost.
	questionSlack = 2500 * time.Millisecond
)

// QuestionTime returns the total time of a question with the decision time: the wait
// for its turn and all attempts to have it answered.
func QuestionTime(decision time.Duration) time.Duration { return 2*decision + questionSlack }

// admission holds the answers of the queue's placement policy for a step.
type admission struct {
	// answers holds the answers in the order in which they arrived first.
	answers []policyAnswer
	// positions holds, by the slots of the endpoints, 1 plus the index of the last answer for an endpoint of the slot;
	// 0 means none. A step asks about few of the endpoints, and a cell holds thousands of steps.
	positions []uint32
	// admitted holds the endpoints that the policy has admitted, each once, in the order of the answers.
	admitted []*endpoint
	// validUntil is when the tickets of the last answer expire.
	validUntil definer.Instant
	// retryAt is when the pause after an unanswered question ends, while others are outstanding, or 0.
	retryAt definer.Instant
	// outstanding counts the last questions, which were asked together, without an answer. firstNumber is the number
	// of the first of them: earlier ones count as lost.
	outstanding, firstNumber int
	// askedAt is when a question was last sent, and answeredAt when one was last answered, or 0.
	askedAt, answeredAt definer.Instant
	// askBlockedUntil is when the outstanding questions count as lost, or when the
	// pause after an unanswered one ends. It is 0 after the last answer.
	askBlockedUntil definer.Instant
}

// policyAnswer is the policy's answer for one endpoint. If the endpoint is
// admitted, it holds a ticket that is valid for a limited time.
type policyAnswer struct {
	// endpoint is the endpoint that the answer is for, or nil when there is no answer.
	// It may differ from the current endpoint of the slot, since slots are reused.
	endpoint *endpoint
	admitted bool
	// listed means that the endpoint is in the list of the admitted endpoints.
	listed  bool
	value   string
	life    int64
	expires definer.Instant
}

// answer returns the policy's answer for e, or nil when there is none.
func (a *admission) answer(e *endpoint) *policyAnswer {
	if e.slot >= len(a.positions) || a.positions[e.slot] == 0 {
		return nil
	}
	if answer := &a.answers[a.positions[e.slot]-1]; answer.endpoint == e {
		return answer
	}

	return nil
}

// record stores the answer for an endpoint.
func (a *admission) record(e *endpoint, answer policyAnswer) {
	answer.endpoint = e
	previous := a.answer(e)
	if previous == nil {
		if e.slot >= len(a.positions) {
			a.positions = append(a.positions, make([]uint32, e.slot+1-len(a.positions))...)
		}
		a.answers = append(a.answers, policyAnswer{})
		a.positions[e.slot] = uint32(len(a.answers))
		previous = &a.answers[len(a.answers)-1]
	}
	answer.listed = previous.listed
	if answer.admitted && !answer.listed {
		answer.listed = true
		a.admitted = append(a.admitted, e)
	}
	if previous.admitted && answer.admitted && previous.life == answer.life && answer.expires < previous.expires {
		// The answer was delayed, and a newer one has arrived.
		return
	}
	*previous = answer
}

func (a *admission) expireTicket(e *endpoint) {
	if answer := a.answer(e); answer != nil {
		answer.expires = 0
	}
}

// admits reports whether the policy has admitted e, also if the ticket has expired.
func (a *admission) admits(e *endpoint) bool {
	answer := a.answer(e)

	return answer != nil && answer.admitted
}

// validFor reports whether a start may be sent to e now with the ticket of an admission.
func (a *policyAnswer) validFor(e *endpoint, now definer.Instant) bool {
	return a.life == e.life && now.Add(ticketMargin) < a.expires
}

// ticketValue returns the ticket for a start on e, or an empty string.
func (a *admission) ticketValue(e *endpoint) string {
	if answer := a.answer(e); answer != nil {
		return answer.value
	}

	return ""
}

// refuses reports whether the policy has refused e.
func (a *admission) refuses(e *endpoint) bool {
	answer := a.answer(e)

	return answer != nil && !answer.admitted
}

// ask emits questions to the policy about the endpoints. Those of a gang go to several
// instances at once if they are many, because the tickets for all members have to be
// valid at the same time; any other step asks about at most maxAskedEndpoints. It is a
// no-op while asking is blocked.
func (p *Planner) ask(s *step, endpoints []*endpoint, now definer.Instant) {
	if len(endpoints) == 0 || s.admission.askBlocked(now) {
		return
	}
	policy := s.job.Queue.Policy
	if !s.def.Gang && len(endpoints) > maxAskedEndpoints {
		endpoints = endpoints[:maxAskedEndpoints]
	}
	questions := (len(endpoints) + maxAskedEndpoints - 1) / maxAskedEndpoints
	size := (len(endpoints) + questions - 1) / questions
	s.admission.outstanding, s.admission.firstNumber, s.admission.askedAt = 0, p.questions+1, now
	for question := range slices.Chunk(endpoints, size) {
		s.admission.outstanding++
		s.waited.questions++
		s.waited.named += len(question)
		cost := policy.Decide + time.Duration(len(question))*policy.Each
		deadline := now.Add(QuestionTime(cost))
		s.admission.askBlockedUntil = max(s.admission.askBlockedUntil, deadline)
		ids := make([]string, len(question))
		for i, e := range question {
			ids[i] = e.ID
		}
		p.questions++
		p.freeQuestionTime -= cost
		p.emit(AskPolicyCmd{
			Number: p.questions, Job: s.job.ID, Occurrence: s.occurrence.number, Step: s.index, Endpoints: ids, DecisionTime: cost,
			Queue: s.job.Queue.Name, Priority: s.questionPriority(), Deadline: deadline,
		})
	}
}

// askBlocked reports whether a question is out, or the pause after an unanswered one has
// not ended.
func (a *admission) askBlocked(now definer.Instant) bool {
	return a.askBlockedUntil != 0 && now < a.askBlockedUntil
}

// urgencyPriorities is the number of priorities of the questions of one urgency.
const urgencyPriorities = 1000

// questionPriority returns the priority of the questions of s: like its place in the order
// of the steps, it depends on the urgency first. Work beyond the rate of an account would
// otherwise delay the answers for that of others.
func (s *step) questionPriority() int {
	return s.urgency*urgencyPriorities + min(s.job.Queue.Priority, urgencyPriorities-1)
}

// answered records that a question was answered, or not, and unblocks asking after the
// last one. The end of a question that was lost before is not that of a newer one.
func (a *admission) answered(number int, ok bool, now definer.Instant) {
	if number < a.firstNumber || a.outstanding == 0 {
		return
	}
	a.outstanding--
	if !ok {
		a.retryAt = now.Add(askRetryPause)
	}
	if a.outstanding == 0 {
		a.askBlockedUntil, a.retryAt = a.retryAt, 0
	}
}

// PolicyAnswered processes the answer of a placement policy to a question. The tickets
// of a late answer count as well; their validity counts from the arrival of the answer.
func (p *Planner) PolicyAnswered(question *AskPolicyCmd, answer PolicyAnswer, now definer.Instant) {
	j := p.jobs[question.Job]
	if j == nil {
		return
	}
	o := j.occurrence(question.Occurrence)
	if o == nil {
		return
	}
	s := o.steps[question.Step]
	if s.tasksLeft == 0 || j.state.Final() {
		return
	}
	s.admission.answered(question.Number, answer.Answered, now)
	if !answer.Answered {
		return
	}
	s.admission.answeredAt = now
	p.stats(j.Queue.Name).observeAnswer(now.Sub(s.admission.askedAt) - question.DecisionTime)
	values := make(map[string]string, len(answer.Tickets))
	for _, t := range answer.Tickets {
		values[t.Endpoint] = t.Value
	}
	admittedBefore := len(s.admission.admitted)
	expires := answer.Arrived.Add(j.Queue.Policy.Validity)
	for _, endpointID := range question.Endpoints {
		e := p.endpoints[endpointID]
		if e == nil {
			continue
		}
		value, admitted := values[endpointID]
		s.admission.record(e, policyAnswer{admitted: admitted, value: value, life: e.life, expires: expires})
	}
	if len(answer.Tickets) > 0 {
		s.admission.validUntil = max(s.admission.validUntil, expires)
	}
	p.recordAdmitted(s, admittedBefore)
	q := p.stats(j.Queue.Name)
	q.admissionRate += admissionGain * (float64(len(answer.Tickets))/float64(max(len(question.Endpoints), 1)) - q.admissionRate)
	q.admissionRate = max(q.admissionRate, 0.05)
}

// observeAnswer adds the time from a question to its answer, beyond the decision time, to
// the moving average.
func (q *queueStats) observeAnswer(wait time.Duration) {
	q.questionWait += time.Duration(admissionGain * float64(max(wait, 0)-q.questionWait))
}

// filterUnasked returns the endpoints that the policy has not answered about.
func (a *admission) filterUnasked(endpoints []*endpoint) []*endpoint {
	var result []*endpoint
	for _, e := range endpoints {
		if a.answer(e) == nil {
			result = append(result, e)
		}
	}

	return result
}

// endpointsToAsk returns the endpoints to ask the policy about, from candidates in
// the order of preference. For a gang these are those of gangEndpointsToAsk. Any other
// step asks about as many as its tasks are likely to need, or about more as long as
// that at most doubles the time of the decision. The policy's answer for an
// endpoint does not change; only its tickets expire.
func (p *Planner) endpointsToAsk(s *step, candidates []*endpoint, pending int) []*endpoint {
	if s.def.Gang {
		return p.gangEndpointsToAsk(s, candidates, pending)
	}
	policy := s.job.Queue.Policy
	want := int(math.Ceil(float64(pending)/p.stats(s.job.Queue.Name).admissionRate)) + spareAskedEndpoints
	if policy.Each > 0 {
		want = max(want, int(policy.Decide/policy.Each))
	}

	return p.suitedFirst(s, candidates, want)[:min(want, len(candidates))]
}
