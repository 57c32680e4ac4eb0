package leader

import (
	"context"
	"fmt"
	"testing"
	"time"

	"gitlab.com/greengagewall/greengagewall/internal/cell/definer"
	"gitlab.com/greengagewall/greengagewall/internal/cell/forwarder"
	"gitlab.com/greengagewall/greengagewall/internal/cell/journaler"
	"gitlab.com/greengagewall/greengagewall/internal/cell/planner"
	"gitlab.com/greengagewall/greengagewall/internal/domain/modeler"
)

// testValidity is the validity of the tickets of askingOwner.
const testValidity = time.Second

// askingOwner returns an owner with an endpoint and a job of one task, and the question
// that it asks about the job.
func askingOwner(t *testing.T, now definer.Instant) (*Leader, planner.AskPolicyCmd) {
	t.Helper()
	l := owner(1, journaler.NewState(), now)
	l.planner.UpdateListing(listing("e"), now)
	l.planner.EndpointsStored([]definer.Listing{listing("e")}, nil)
	l.planner.Report("e", now, now, definer.Report{Clock: 1, Born: 1})
	l.planner.Accept(definer.Job{
		ID: "job", Account: "account",
		Queue: definer.Queue{Name: "queue", Service: "service", Policy: &definer.Policy{Validity: testValidity}},
		Steps: []definer.Step{{Count: 1, Need: modeler.Resources{Millis: 1000}}},
	}, now, time.Now())
	l.planner.Plan(now)
	for _, command := range l.planner.Commands() {
		if ask, ok := command.(planner.AskPolicyCmd); ok {
			return l, ask
		}
	}
	t.Fatal("no question")

	return nil, planner.AskPolicyCmd{}
}

// TestQueuedAnswerExpiresAfterDecision guards against starts with expired tickets whose
// answer waited in the owner's queue of messages.
func TestQueuedAnswerExpiresAfterDecision(t *testing.T) {
	now := definer.Now()
	for _, c := range []struct {
		age    time.Duration
		starts int
	}{{0, 1}, {testValidity, 0}} {
		l, ask := askingOwner(t, now)
		advice := &forwarder.Advice{Answered: true, Tickets: []definer.Ticket{{Endpoint: "e", Value: "ticket"}}}
		advisedMsg{command: ask, advice: advice, arrived: now.Add(-c.age)}.apply(context.Background(), l, now)
		l.planner.Plan(now)
		starts := 0
		for _, command := range l.planner.Commands() {
			if _, ok := command.(planner.StartCmd); ok {
				starts++
			}
		}
		if starts != c.starts {
			t.Errorf("%d starts with tickets of %v ago, want %d", starts, c.age, c.starts)
		}
	}
}

// recordingClient is a policy client that records a question.
type recordingClient struct {
	question *forwarder.Question
	// free is the free question time, and reads counts how often it was read.
	free  time.Duration
	reads int
}

func (c *recordingClient) FreeQuestionTime() time.Duration {
	c.reads++

	return c.free
}

func (c *recordingClient) Ask(_ context.Context, question *forwarder.Question, _ time.Duration) (*forwarder.Advice, definer.Instant) {
	c.question = question

	return &forwarder.Advice{}, 0
}

// TestQuestionEndsAtDeadline guards against a question that is out for longer than the
// planner waits for it because the call began late.
func TestQuestionEndsAtDeadline(t *testing.T) {
	now := definer.Now().Add(-time.Second)
	l, ask := askingOwner(t, now)
	client := &recordingClient{}
	l.policy = client
	call := &askCall{leader: l, command: ask}
	call.run(context.Background())
	if limit := planner.QuestionTime(ask.DecisionTime) - time.Second; client.question.Timeout > limit {
		t.Errorf("the question has %v left, want at most %v", client.question.Timeout, limit)
	}
	if client.question.Queue != "queue" {
		t.Errorf("the question is of queue %q", client.question.Queue)
	}
}

// TestRoundKnowsFreeQuestionTime guards against rounds of placement whose gangs ask about
// as many endpoints as if the policies had no time for more.
func TestRoundKnowsFreeQuestionTime(t *testing.T) {
	now := definer.Now()
	l, _ := askingOwner(t, now)
	for n := range 400 {
		id := fmt.Sprintf("e%03d", n)
		l.planner.UpdateListing(listing(id), now)
		l.planner.EndpointsStored([]definer.Listing{listing(id)}, nil)
		l.planner.Report(id, now, now, definer.Report{Clock: 1, Born: 1})
	}
	asked := func(id string, free time.Duration) int {
		client := &recordingClient{free: free}
		l.policy = client
		l.planner.Accept(definer.Job{
			ID: id, Account: "account",
			Queue: definer.Queue{Name: "gangs", Service: "service", Policy: &definer.Policy{Decide: time.Second, Validity: testValidity}},
			Steps: []definer.Step{{Count: 60, Gang: true, Need: modeler.Resources{Millis: 1000}}},
		}, now, time.Now())
		l.nextPlan = 0
		l.planRound(now)
		if client.reads != 1 {
			t.Errorf("free time was read %d times, want once", client.reads)
		}
		endpoints := 0
		for _, command := range l.planner.Commands() {
			if ask, ok := command.(planner.AskPolicyCmd); ok && ask.Job == id {
				endpoints += len(ask.Endpoints)
			}
		}

		return endpoints
	}
	if least, more := asked("a", 0), asked("b", time.Minute); least == 0 || more <= least {
		t.Errorf("gangs ask about %d endpoints without free time and %d with a minute of it", least, more)
	}
}
