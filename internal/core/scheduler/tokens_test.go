package scheduler

import (
	"testing"
	"time"

	"gitlab.com/greengagewall/greengagewall/internal/domain/modeler"
)

// TestDecide_AsksAgainForTokens guards against a job that waits behind its
// team's limit for ever because the one request for more was refused.
func TestDecide_AsksAgainForTokens(t *testing.T) {
	s := New()
	now := time.Unix(1_800_000_000, 0)
	needs := modeler.Resources{Millis: 1000}
	s.Update(EndpointMsg{ID: "w", Capacity: needs.Scale(8), Usable: true}, now)
	s.Update(TeamMsg{ID: "a", Share: 1, Allotment: needs}, now)
	s.Update(JobMsg{Job: modeler.Job{
		ID: "j", Team: "a", Kind: modeler.WorkBatch, Class: modeler.ClassStandard, Tasks: 2, Needs: needs, Attempts: 3,
	}}, now)
	asked := 0
	for range 4 {
		for _, cmd := range s.Update(DecideMsg{Budget: 8}, now) {
			if _, ok := cmd.(TokensCmd); ok {
				asked++
			}
		}
		now = now.Add(2 * time.Second)
	}
	if asked < 3 {
		t.Fatalf("asked %d times in 4 passes 2 s apart, want at least 3", asked)
	}
}
