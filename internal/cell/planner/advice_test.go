package planner

import (
	"fmt"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"

	"gitlab.com/greengagewall/greengagewall/internal/cell/definer"
	"gitlab.com/greengagewall/greengagewall/internal/domain/modeler"
)

// slowPolicy answers questions after their decision time, all at once, and admits each
// endpoint with the given share.
type slowPolicy struct {
	share   float64
	pending []pendingQuestion
}

type pendingQuestion struct {
	ask AskPolicyCmd
	at  definer.Instant
}

func (s *slowPolicy) take(asked []AskPolicyCmd, now definer.Instant) {
	for _, ask := range asked {
		s.pending = append(s.pending, pendingQuestion{ask, now.Add(ask.DecisionTime)})
	}
}

func (s *slowPolicy) answer(c *testCell) {
	waiting := s.pending[:0]
	for _, question := range s.pending {
		if question.at > c.now {
			waiting = append(waiting, question)

			continue
		}
		var tickets []definer.Ticket
		for _, id := range question.ask.Endpoints {
			if float64(xxhash.Sum64String(id)%1000) < s.share*1000 {
				tickets = append(tickets, definer.Ticket{Endpoint: id, Value: "t"})
			}
		}
		ask := question.ask
		c.planner.PolicyAnswered(&ask, PolicyAnswer{Answered: true, Tickets: tickets, Arrived: c.now}, c.now)
	}
	s.pending = waiting
}

// TestWideGangGetsTicketsTogether guards against a gang that needs more endpoints than
// one question may name and asks about them one question after the other: the
// tickets of the first expire before the last answer arrives.
func TestWideGangGetsTicketsTogether(t *testing.T) {
	c := newCell(t, 600)
	policy := &slowPolicy{share: 0.25}
	c.planner.stats("queue").admissionRate = policy.share
	job := c.job("0000000000000001", definer.Step{Count: 240, Gang: true, Need: modeler.Resources{Millis: 4500, Memory: 9 << 30}, Estimate: 5 * time.Second})
	job.Queue.Policy = &definer.Policy{Decide: 490 * time.Millisecond, Each: 7 * time.Millisecond, Validity: 1500 * time.Millisecond}
	c.planner.Accept(job, c.now, c.wall)
	const limit = 2 * time.Second
	for began := c.now; len(c.started) == 0; {
		if c.now.Sub(began) > limit {
			t.Fatalf("a gang with room on idle endpoints has not started after %v", limit)
		}
		c.advance(10 * time.Millisecond)
		policy.answer(c)
		c.plan()
		policy.take(c.takeAsked(), c.now)
	}
	if len(c.started) != job.Steps[0].Count {
		t.Errorf("%d members started, want %d", len(c.started), job.Steps[0].Count)
	}
}

// TestDeferrableStepsTakeTurns replays an account that sends many times its rate. It
// guards against rounds of placement, and questions to the policy, that grow with the
// work that may wait, and against such work that never has its turn.
func TestDeferrableStepsTakeTurns(t *testing.T) {
	const endpoints, jobs = 24, 100
	c := newCell(t, endpoints)
	c.planner.Configure(&definer.Configuration{Accounts: []definer.Account{{Name: "account", Weight: 0.001}}})
	for n := range jobs {
		job := c.job(fmt.Sprintf("%016x", n+1), definer.Step{Count: 1, Need: modeler.Resources{Millis: 1000}, Estimate: time.Second})
		job.Queue.Policy = &definer.Policy{Decide: 100 * time.Millisecond, Each: time.Millisecond, Validity: time.Second}
		c.planner.Accept(job, c.now, c.wall)
	}
	asked := map[string]bool{}
	for round := range jobs {
		c.now = c.now.Add(time.Millisecond)
		c.plan()
		questions := c.takeAsked()
		if limit := 1 + endpoints/4; len(questions) > limit {
			t.Fatalf("%d questions in round %d, want at most %d", len(questions), round, limit)
		}
		for _, question := range questions {
			asked[question.Job] = true
		}
	}
	if len(asked) != jobs {
		t.Errorf("%d of %d jobs had their turn", len(asked), jobs)
	}
}

// testValidity is the validity of the tickets of askFirst.
const testValidity = time.Second

// askFirst accepts a job of one task on a queue with a policy and returns the first question.
func (c *testCell) askFirst() AskPolicyCmd {
	job := c.job("0000000000000001", definer.Step{Count: 1, Need: modeler.Resources{Millis: 1000}, Estimate: time.Second})
	job.Queue.Policy = &definer.Policy{Decide: 100 * time.Millisecond, Each: time.Millisecond, Validity: testValidity}
	c.planner.Accept(job, c.now, c.wall)
	c.plan()

	return c.takeAsked()[0]
}

// askAfterLost lets a question get lost and returns the next one.
func (c *testCell) askAfterLost(lost AskPolicyCmd) AskPolicyCmd {
	c.advance(lost.Deadline.Sub(c.now))
	c.plan()

	return c.takeAsked()[0]
}

// admitAll answers a question: the policy admitted all endpoints at a time.
func (c *testCell) admitAll(ask AskPolicyCmd, decided definer.Instant) {
	tickets := make([]definer.Ticket, 0, len(ask.Endpoints))
	for _, id := range ask.Endpoints {
		tickets = append(tickets, definer.Ticket{Endpoint: id, Value: "ticket"})
	}
	c.planner.PolicyAnswered(&ask, PolicyAnswer{Answered: true, Tickets: tickets, Arrived: decided}, c.now)
}

// TestLostQuestionIsAskedAgain guards against a step that waits for an answer after its
// question has ended, or asks again while the question is still out.
func TestLostQuestionIsAskedAgain(t *testing.T) {
	c := newCell(t, 12)
	first := c.askFirst()
	for len(c.asked) == 0 {
		c.advance(10 * time.Millisecond)
		c.plan()
		if late := c.now.Sub(first.Deadline); late > 10*time.Millisecond {
			t.Fatalf("not asked again %v after the end of the question", late)
		}
	}
	if c.now < first.Deadline {
		t.Errorf("asked again %v before the end of the question", first.Deadline.Sub(c.now))
	}
}

// TestLateFailureDoesNotUnblock guards against a step with several questions out at a
// time: the end of a lost question was taken for that of the one that replaced it.
func TestLateFailureDoesNotUnblock(t *testing.T) {
	c := newCell(t, 12)
	first := c.askFirst()
	c.askAfterLost(first)
	c.planner.PolicyAnswered(&first, PolicyAnswer{}, c.now)
	c.advance(askRetryPause)
	c.plan()
	if len(c.asked) > 0 {
		t.Error("asked again while a question is out")
	}
}

// TestLateFailureDoesNotBlock guards against a step that may not ask because a question
// that was lost earlier has failed as well.
func TestLateFailureDoesNotBlock(t *testing.T) {
	c := newCell(t, 12)
	first := c.askFirst()
	second := c.askAfterLost(first)
	c.admitAll(second, c.now)
	c.planner.PolicyAnswered(&first, PolicyAnswer{}, c.now)
	if s := c.planner.jobs[first.Job].occurrence(first.Occurrence).steps[first.Step]; s.admission.askBlockedUntil > c.now {
		t.Error("the step may not ask although its last question was answered")
	}
}

// TestLateAnswerBringsTickets guards against tickets that are lost because the answer
// came late.
func TestLateAnswerBringsTickets(t *testing.T) {
	c := newCell(t, 12)
	first := c.askFirst()
	c.askAfterLost(first)
	c.admitAll(first, c.now)
	c.plan()
	if len(c.started) == 0 {
		t.Error("not started with the tickets of a late answer")
	}
}

// TestTicketsExpireAfterDecision guards against starts that endpoints refuse because the
// validity of a ticket was counted from the arrival of the answer.
func TestTicketsExpireAfterDecision(t *testing.T) {
	c := newCell(t, 12)
	first := c.askFirst()
	c.admitAll(first, c.now.Add(-testValidity))
	c.plan()
	if len(c.started) > 0 {
		t.Error("started with an expired ticket")
	}
	if len(c.asked) == 0 {
		t.Error("no question for new tickets")
	}
}

// TestLateAnswerKeepsNewerTickets guards against newer tickets that are replaced by those
// of an answer that was delayed.
func TestLateAnswerKeepsNewerTickets(t *testing.T) {
	c := newCell(t, 12)
	first := c.askFirst()
	second := c.askAfterLost(first)
	c.admitAll(second, c.now)
	c.admitAll(first, c.now.Add(-testValidity))
	c.plan()
	if len(c.started) == 0 {
		t.Error("not started with the newer tickets")
	}
}
