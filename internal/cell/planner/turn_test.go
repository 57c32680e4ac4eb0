package planner

import (
	"fmt"
	"testing"
	"time"

	"gitlab.com/greengagewall/greengagewall/internal/cell/definer"
	"gitlab.com/greengagewall/greengagewall/internal/domain/modeler"
)

// TestDeferrableStepIsNotLeftOut guards against a step that never has its turn, because
// others come and go at the pace of the rounds.
func TestDeferrableStepIsNotLeftOut(t *testing.T) {
	const endpoints, resident, rounds = 12, 8, 100
	c := newCell(t, endpoints)
	c.planner.Configure(&definer.Configuration{Accounts: []definer.Account{{Name: "account", Weight: 0.001}}, Routes: testRoutes})
	accept := func(id int, waited time.Duration) string {
		job := c.job(fmt.Sprintf("%016x", id), definer.Step{Count: 1, Need: modeler.Resources{Millis: 1000}, Estimate: time.Second})
		job.Queue.Policy = &definer.Policy{Decide: 100 * time.Millisecond, Each: time.Millisecond, Validity: time.Second}
		job.Accepted = c.wall.Add(-waited)
		c.planner.Accept(job, c.now, c.wall)

		return job.ID
	}
	unasked := map[string]bool{}
	for n := range resident {
		unasked[accept(1000*(n+1), 0)] = true
	}
	for round := range rounds {
		var passing []string
		if round%2 == 0 {
			for n := range resident / 2 {
				passing = append(passing, accept(10*round+n+1, time.Minute), accept(1_000_000+10*round+n, 0))
			}
		}
		c.now = c.now.Add(10 * time.Millisecond)
		c.plan()
		for _, question := range c.takeAsked() {
			delete(unasked, question.Job)
		}
		for _, id := range passing {
			c.planner.Cancel(id)
			c.planner.CancelStored(id, c.now)
		}
	}
	if len(unasked) > 0 {
		t.Errorf("%d of %d jobs had no turn in %d rounds", len(unasked), resident, rounds)
	}
}
