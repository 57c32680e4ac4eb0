package planner

import (
	"testing"
	"time"

	"gitlab.com/greengagewall/greengagewall/internal/cell/definer"
)

// TestQuestionsOfExcessComeLast guards against work beyond the rate of its account that
// delays the policy's answers for the work of others.
func TestQuestionsOfExcessComeLast(t *testing.T) {
	c := newCell(t, 2)
	c.planner.Configure(&definer.Configuration{Routes: testRoutes, Accounts: []definer.Account{{Name: "over", Weight: 0.001}}})
	for _, account := range []string{"over", "within"} {
		job := c.job(account, simpleStep(1))
		job.Account = account
		job.Queue.Policy = &definer.Policy{Decide: time.Millisecond, Validity: time.Second}
		if account == "within" {
			job.Queue.Priority++
		}
		c.accept(job)
	}
	c.plan()
	priorities := map[string]int{}
	for _, ask := range c.takeAsked() {
		priorities[ask.Job] = ask.Priority
	}
	if len(priorities) != 2 || priorities["over"] <= priorities["within"] {
		t.Errorf("priorities %v, want both, and the lower one within the rate", priorities)
	}
}
