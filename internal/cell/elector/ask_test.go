package elector

import (
	"context"
	"net"
	"net/netip"
	"testing"
	"time"

	"gitlab.com/greengagewall/greengagewall/internal/cell/definer"
	"gitlab.com/greengagewall/greengagewall/internal/cell/forwarder"
	"gitlab.com/greengagewall/greengagewall/internal/cell/planner"
)

const (
	// testDecision is the decision time of the policy of a test.
	testDecision = 10 * time.Millisecond
	// callSlack is the time that the calls of a test may take beside what they wait for.
	callSlack = 300 * time.Millisecond
)

// testAdviser is a policy that answers at once, or not at all if it is silent.
type testAdviser struct{ silent bool }

func (a testAdviser) Advise(ctx context.Context, _ string, _, _ int, endpoints []string) ([]definer.Ticket, error) {
	if a.silent {
		<-ctx.Done()

		return nil, ctx.Err()
	}

	return []definer.Ticket{{Endpoint: endpoints[0], Value: "ticket"}}, nil
}

// askingElector returns an elector whose instance gets answers of the policy, or none.
func askingElector(t *testing.T, name string, silent bool) *Elector {
	t.Helper()
	var listen net.ListenConfig
	listener, err := listen.Listen(context.Background(), "tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	e := newElector(Settings{Name: name, Address: netip.MustParseAddrPort(listener.Addr().String())}, nil)
	e.adviser = testAdviser{silent}
	server := forwarder.NewServer(e)
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(server.Stop)
	t.Cleanup(e.Pool().Close)

	return e
}

// addPeer makes a peer a live instance that remains so.
func (e *Elector) addPeer(peer *Elector) {
	e.peers[peer.settings.Name] = Instance{Name: peer.settings.Name, Address: peer.settings.Address}
	e.lastHeartbeat[peer.settings.Address] = definer.Now().Add(time.Hour)
}

// newQuestion returns a question of a job with the total time of its decision.
func newQuestion(job string) *forwarder.Question {
	return &forwarder.Question{Job: job, Endpoints: []string{"e"}, Timeout: planner.QuestionTime(testDecision)}
}

// TestSilentInstanceLeavesTimeForAnother guards against a question that is lost because
// the first instance to which it is assigned gets no answer of the policy.
func TestSilentInstanceLeavesTimeForAnother(t *testing.T) {
	e := askingElector(t, "x", true)
	e.addPeer(askingElector(t, "y", false))
	question := newQuestion("job")
	began := definer.Now()
	advice, _ := e.Ask(context.Background(), question, testDecision)
	if took := definer.Since(began); !advice.Answered || took > question.Timeout {
		t.Errorf("answered %t after %v, want an answer within %v", advice.Answered, took, question.Timeout)
	}
}

// TestSilentPolicyEndsQuestion guards against questions that are out for longer than
// the planner waits for them.
func TestSilentPolicyEndsQuestion(t *testing.T) {
	e := askingElector(t, "x", true)
	e.addPeer(askingElector(t, "y", true))
	question := newQuestion("job")
	began := definer.Now()
	advice, _ := e.Ask(context.Background(), question, testDecision)
	if took := definer.Since(began); advice.Answered || took > question.Timeout+callSlack {
		t.Errorf("answered %t after %v, want the end of the question within %v", advice.Answered, took, question.Timeout)
	}
}

// TestQuestionWithoutTurnIsNotAsked guards against a question that gets its turn so late
// that its answer is of no use, and costs the policy a decision.
func TestQuestionWithoutTurnIsNotAsked(t *testing.T) {
	e := askingElector(t, "x", false)
	e.shortQuestions.used = time.Hour
	question := newQuestion("job")
	began := definer.Now()
	advice, _ := e.Ask(context.Background(), question, testDecision)
	if took := definer.Since(began); advice.Answered || took > question.Timeout-attemptTime(testDecision) {
		t.Errorf("answered %t after %v, want the end of the question while there is time for an attempt", advice.Answered, took)
	}
}
