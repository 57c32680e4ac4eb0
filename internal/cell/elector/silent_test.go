package elector

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"gitlab.com/greengagewall/greengagewall/internal/cell/definer"
	"gitlab.com/greengagewall/greengagewall/internal/cell/forwarder"
	"gitlab.com/greengagewall/greengagewall/internal/cell/planner"
)

// silentPrefix begins the ids of the jobs whose policy does not answer.
const silentPrefix = "silent"

// partlySilentAdviser answers at once, but not about jobs whose ids begin with silentPrefix.
type partlySilentAdviser struct{}

func (partlySilentAdviser) Advise(ctx context.Context, job string, occurrence, step int, endpoints []string) ([]definer.Ticket, error) {
	return testAdviser{silent: strings.HasPrefix(job, silentPrefix)}.Advise(ctx, job, occurrence, step, endpoints)
}

// repeatedAsk asks for a job until ctx ends.
type repeatedAsk struct {
	elector  *Elector
	job      string
	decision time.Duration
}

func (a *repeatedAsk) run(ctx context.Context) {
	for ctx.Err() == nil {
		a.elector.Ask(ctx, &forwarder.Question{Queue: silentPrefix, Job: a.job, Endpoints: []string{"e"}, Timeout: planner.QuestionTime(a.decision)}, a.decision)
	}
}

// TestSilentPolicyLeavesOthersTheirAnswers guards against a job that stands because the
// policy of another queue does not answer and its questions use up the budget.
func TestSilentPolicyLeavesOthersTheirAnswers(t *testing.T) {
	const (
		decision  = 50 * time.Millisecond
		silent    = 16
		lostBound = 3 * time.Second
	)
	e := askingElector(t, "x", false)
	e.adviser = partlySilentAdviser{}
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	for n := range silent {
		ask := &repeatedAsk{e, fmt.Sprint(silentPrefix, n), decision}
		go ask.run(ctx)
	}
	time.Sleep(500 * time.Millisecond)
	began := definer.Now()
	for answered := false; !answered && ctx.Err() == nil; {
		advice, _ := e.Ask(ctx, &forwarder.Question{Queue: "queue", Job: "job", Endpoints: []string{"e"}, Timeout: planner.QuestionTime(decision)}, decision)
		answered = advice.Answered
	}
	if took := definer.Since(began); took > lostBound {
		t.Errorf("answered after %v beside %d questions to a silent policy, want at most %v", took, silent, lostBound)
	}
}
