package simulator

import (
	"math"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"gitlab.com/greengagewall/greengagewall/internal/cell/definer"
	"gitlab.com/greengagewall/greengagewall/internal/cell/planner"
)

const (
	// shortBudget and longBudget are the total times of the outstanding questions for each
	// instance, as those of an owner; long ones may also use what short ones leave.
	shortBudget = 200 * time.Millisecond
	longBudget  = 500 * time.Millisecond
	// longQuestion is the time from which a question is a long one.
	longQuestion = 250 * time.Millisecond
)

// questionLine holds the questions of one kind.
type questionLine struct {
	// outstanding is the total time of the questions that are out, and waiting holds those
	// that wait for a part of the budget, in the order of their priorities.
	outstanding time.Duration
	waiting     []planner.AskPolicyCmd
}

// policyService answers the questions of the instances, those of each one at a time.
type policyService struct {
	cell *cell
	// free is when each instance has had all its questions answered.
	free        []definer.Instant
	short, long questionLine
}

func newPolicyService(c *cell, instances int) policyService {
	return policyService{cell: c, free: make([]definer.Instant, instances)}
}

// lineOf returns the line of a question.
func (s *policyService) lineOf(question planner.AskPolicyCmd) *questionLine {
	if question.DecisionTime >= longQuestion {
		return &s.long
	}

	return &s.short
}

// budget returns how much time of the questions of a line may be out.
func (s *policyService) budget(line *questionLine) time.Duration {
	instances := time.Duration(len(s.free))
	if line == &s.short {
		return instances * shortBudget
	}

	return instances*longBudget + max(instances*shortBudget-s.short.outstanding, 0)
}

// ask asks a question, or lets it wait for a part of the budget.
func (s *policyService) ask(question planner.AskPolicyCmd) {
	line := s.lineOf(question)
	at, _ := slices.BinarySearchFunc(line.waiting, question.Priority, func(q planner.AskPolicyCmd, priority int) int {
		if q.Priority <= priority {
			return -1
		}

		return 1
	})
	line.waiting = slices.Insert(line.waiting, at, question)
	s.grant(line)
}

// grant asks the waiting questions for which there is budget, each at the instance that is
// free first.
func (s *policyService) grant(line *questionLine) {
	c := s.cell
	for len(line.waiting) > 0 && line.outstanding < s.budget(line) {
		question := line.waiting[0]
		line.waiting = line.waiting[1:]
		first := 0
		for i, free := range s.free {
			if free < s.free[first] {
				first = i
			}
		}
		line.outstanding += question.DecisionTime
		c.result.Questions++
		c.result.QuestionTime += question.DecisionTime
		s.free[first] = max(s.free[first], c.now.Add(callTime)).Add(question.DecisionTime)
		c.after(s.free[first].Sub(c.now), func() { s.decide(question) })
	}
}

// freeTime returns what is left of the time for long questions beside those that are out
// and those that wait.
func (s *policyService) freeTime() time.Duration {
	free := time.Duration(len(s.free))*longBudget - s.long.outstanding
	for _, question := range s.long.waiting {
		free -= question.DecisionTime
	}

	return free
}

// decide answers a question.
func (s *policyService) decide(question planner.AskPolicyCmd) {
	c := s.cell
	line := s.lineOf(question)
	line.outstanding -= question.DecisionTime
	j := c.jobs[question.Job]
	var tickets []definer.Ticket
	for _, id := range question.Endpoints {
		if j.class.admits(question.Job, question.Step, id) {
			tickets = append(tickets, definer.Ticket{Endpoint: id, Value: strconv.FormatInt(int64(c.now), 10)})
		}
	}
	c.after(callTime, func() {
		c.planner.PolicyAnswered(&question, planner.PolicyAnswer{Answered: true, Tickets: tickets, Arrived: c.now}, c.now)
	})
	s.grant(&s.short)
	s.grant(&s.long)
}

// valid reports whether a start may be carried out on an endpoint.
func (s *policyService) valid(order definer.StartOrder, e *endpoint) bool {
	j := s.cell.jobs[order.Task.Job]
	if j.class.Policy == nil {
		return true
	}
	issued, err := strconv.ParseInt(order.Ticket, 10, 64)

	return err == nil && j.class.admits(order.Task.Job, order.Task.Step, e.listing.ID) && s.cell.now.Sub(definer.Instant(issued)) <= j.class.Policy.Validity
}

// admits reports whether the policy of the class lets an endpoint run a step.
func (c *Class) admits(jobID string, step int, endpointID string) bool {
	hash := xxhash.Sum64String(jobID + "/" + strconv.Itoa(step) + "/" + endpointID)

	return float64(hash) < c.Admitted*math.MaxUint64
}
