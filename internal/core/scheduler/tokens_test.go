package scheduler

import (
	"testing"
	"time"

	"gitlab.com/greengagewall/greengagewall/internal/domain/modeler"
)

// TestDecide_RepeatsTokenRequests guards against a job that its team's limit blocks
// forever because a single token request was refused.
func TestDecide_RepeatsTokenRequests(t *testing.T) {
	s := New()
	now := time.Unix(1_800_000_000, 0)
	needs := modeler.Resources{Millis: 1000}
	s.Update(EndpointMsg{ID: "w", Capacity: needs.Scale(8), Usable: true}, now)
	s.Update(TeamMsg{ID: "a", Share: 1, Allotment: needs}, now)
	s.Update(JobMsg{Job: modeler.Job{
		ID: "j", Team: "a", Kind: modeler.WorkBatch, Class: modeler.ClassStandard, Tasks: 2, Needs: needs, Attempts: 3,
	}}, now)
	requests := 0
	for range 4 {
		for _, cmd := range s.Update(DecideMsg{Budget: 8}, now) {
			if _, ok := cmd.(TokensCmd); ok {
				requests++
			}
		}
		now = now.Add(2 * time.Second)
	}
	if requests < 3 {
		t.Fatalf("%d token requests in 4 passes 2 s apart, want at least 3", requests)
	}
}
