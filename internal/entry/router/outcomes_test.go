package router

import (
	"net/http"
	"testing"

	"github.com/sebdah/goldie/v2"

	"gitlab.com/greengagewall/greengagewall/internal/domain/modeler"
	"gitlab.com/greengagewall/greengagewall/internal/entry/admitter"
)

// TestRouter_Outcomes guards against a burn report that misses idempotent calls or
// shed ones, counts non-idempotent calls in addition to their records, counts
// invalid requests, or shows a team's calls to another team.
func TestRouter_Outcomes(t *testing.T) {
	cell := newFakeCell()
	for i := range cell.doc.Queues {
		cell.doc.Queues[i].Objective = modeler.Objective{Wait: 1, Target: 0.99}
	}
	call := func(service string, failure error) {
		cell.failure = failure
		cell.send("POST /v1/services/"+service+"/calls", "lima", "Authorization", goodKey, HeaderKey, "r")
	}
	call("quality", nil)
	call("quality", nil)
	call("quality", modeler.NotRun(modeler.CodeTimeout, 0, "late"))
	call("quality", modeler.NotRun(modeler.CodeOverLimit, 0, "excused"))
	call("none", nil)
	call("recall", nil)
	cell.failure = nil
	cell.send("POST /v1/services/quality/calls", "lima")
	got := cell.send("GET /v1/outcomes", "", "Authorization", goodKey)
	goldie.New(t).Assert(t, "outcomes", got.Body.Bytes())
	for _, key := range []string{"", "Bearer nobody-has-this"} {
		if got := cell.send("GET /v1/outcomes", "", "Authorization", key); got.Code != http.StatusUnauthorized {
			t.Errorf("key %q: status %d: %s", key, got.Code, got.Body)
		}
	}
}

// rejectingAdmitter refuses every request for overload.
type rejectingAdmitter struct{}

func (rejectingAdmitter) Admit(admitter.Request) (*admitter.Permit, error) {
	return nil, modeler.NotRun(modeler.CodeOverload, 0, "full")
}

// TestRouter_OutcomesShed guards against a burn report that misses the calls that
// are shed under overload.
func TestRouter_OutcomesShed(t *testing.T) {
	cell := newFakeCell()
	cell.doc.Queues[2].Objective = modeler.Objective{Wait: 1, Target: 0.99}
	cell.served = cell.router()
	cell.served.admitter = rejectingAdmitter{}
	cell.send("POST /v1/services/quality/calls", "lima", "Authorization", goodKey)
	if got := cell.served.tally.Outcomes("apchf"); len(got) != 1 || got[0].Bad != 1 {
		t.Errorf("got %+v", got)
	}
}
