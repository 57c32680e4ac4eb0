package planner

import (
	"fmt"
	"testing"
	"time"

	"gitlab.com/greengagewall/greengagewall/internal/cell/definer"
)

// askAboutGangs returns the questions of the first round in a cell of empty endpoints about
// gangs of 40 tasks while the policies have the given free time.
func askAboutGangs(t *testing.T, gangs int, free time.Duration) []AskPolicyCmd {
	t.Helper()
	const endpoints = 800
	c := newCell(t, endpoints)
	c.planner.stats("queue").admissionRate = 0.25
	for n := range gangs {
		step := simpleStep(40)
		step.Gang = true
		job := c.job(fmt.Sprintf("gang-%02d", n), step)
		job.Queue.Policy = &definer.Policy{Decide: 490 * time.Millisecond, Each: 7 * time.Millisecond, Validity: 1500 * time.Millisecond}
		c.accept(job)
	}
	c.planner.SetFreeQuestionTime(free)
	c.plan()

	return c.takeAsked()
}

// totalOf returns the number of endpoints in the questions and their decision time.
func totalOf(questions []AskPolicyCmd) (endpoints int, cost time.Duration) {
	for _, q := range questions {
		endpoints += len(q.Endpoints)
		cost += q.DecisionTime
	}

	return endpoints, cost
}

// TestGangAsksAboutMoreWhilePoliciesHaveTime guards against a gang that asks about so few
// endpoints that it has to ask again when others have used their room meanwhile.
func TestGangAsksAboutMoreWhilePoliciesHaveTime(t *testing.T) {
	least, leastCost := totalOf(askAboutGangs(t, 1, 0))
	// Four tasks have room on an endpoint, and one endpoint in four is admitted.
	if want := 100; least != want {
		t.Errorf("without free time the gang asks about %d endpoints, want %d", least, want)
	}
	some, cost := totalOf(askAboutGangs(t, 1, 12*time.Second))
	if limit := time.Duration(questionTimeShare * float64(12*time.Second)); some <= least || cost > limit {
		t.Errorf("with 12 s of free time the gang asks about %d endpoints for %v, want more than %d for at most %v", some, cost, least, limit)
	}
	if all, _ := totalOf(askAboutGangs(t, 1, time.Hour)); all != usefulRoomFactor*40 {
		t.Errorf("with an hour of free time the gang asks about %d endpoints, want %d", all, usefulRoomFactor*40)
	}
	if _, cost := totalOf(askAboutGangs(t, 1, -time.Hour)); cost != leastCost {
		t.Errorf("while questions wait the gang's take %v, want %v", cost, leastCost)
	}
}

// TestGangsShareFreeQuestionTime guards against gangs that ask about more than the least
// beyond the free time of the policies, so that other questions wait.
func TestGangsShareFreeQuestionTime(t *testing.T) {
	const gangs, free = 20, 30 * time.Second
	_, least := totalOf(askAboutGangs(t, 1, 0))
	questions := askAboutGangs(t, gangs, free)
	if _, cost := totalOf(questions); cost > free+gangs*least {
		t.Errorf("questions take %v, want at most %v", cost, free+gangs*least)
	}
	asked := map[string]time.Duration{}
	for _, q := range questions {
		asked[q.Job] += q.DecisionTime
	}
	if len(asked) != gangs {
		t.Errorf("%d gangs ask, want %d", len(asked), gangs)
	}
	pair := map[string]time.Duration{}
	for _, q := range askAboutGangs(t, 2, 9*time.Second) {
		pair[q.Job] += q.DecisionTime
	}
	for job, cost := range pair {
		if cost <= least {
			t.Errorf("%s has questions of %v beside one other gang, want more than %v", job, cost, least)
		}
	}
}

// TestGangsAskAboutDifferentEndpoints guards against gangs that all ask about the same
// endpoints and take their room from one another.
func TestGangsAskAboutDifferentEndpoints(t *testing.T) {
	asked := map[string]int{}
	most := 0
	for _, q := range askAboutGangs(t, 8, 0) {
		for _, id := range q.Endpoints {
			asked[id]++
			most = max(most, asked[id])
		}
	}
	// Eight gangs ask about 100 of 800 endpoints each.
	if len(asked) < 400 || most > 6 {
		t.Errorf("8 gangs ask about %d endpoints, about one of them %d times; want 400 at least, and at most 6", len(asked), most)
	}
}
