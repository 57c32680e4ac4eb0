package executor

import (
	"testing"
	"time"

	"gitlab.com/greengagewall/greengagewall/internal/domain/modeler"
)

// TestStanding guards against jobs that stand beside room and are not found, and against jobs that are found
// although they have no cause to go on.
func TestStanding(t *testing.T) {
	refusing := testPolicy
	refusing.Admitted = 0
	for _, c := range []struct {
		name    string
		work    Work
		prepare func(h *Host)
		want    bool
	}{
		{"stands", Work{Count: 2}, nil, true},
		{"stands with a policy", Work{Count: 2, Policy: testPolicy}, nil, true},
		{"policy admits nothing", Work{Count: 2, Policy: refusing}, nil, false},
		{"at work", Work{Count: 2}, func(h *Host) { startTask(t, h.endpoints[0], 0, 0, "") }, false},
		{"not accepted", Work{Count: 2}, func(h *Host) { h.ledger.jobs[jobName].Accepted = false }, false},
		{"is being cancelled", Work{Count: 2}, func(h *Host) { h.ledger.RecordCancelling(jobName) }, false},
		{"shown as failed", Work{Count: 2}, func(h *Host) { h.ledger.RecordShown(jobName, stateFailed, time.Now()) }, false},
		{"all done", Work{Count: 1}, func(h *Host) { runTask(t, h, endDone) }, false},
		{"failed too often", Work{Count: 2}, func(h *Host) {
			h.ledger.jobs[jobName].Attempts = 1
			runTask(t, h, endFailed)
		}, false},
		{"second step waits", Work{Count: 1, Steps: 2}, func(h *Host) { runTask(t, h, endDone) }, true},
		{"ended tasks do not count for the limit", Work{Count: 2, PerEndpoint: 1}, func(h *Host) { runTask(t, h, endDone) }, true},
		{"no label", Work{Count: 1, Requires: "other"}, nil, false},
		{"room for the task once", Work{Count: 2}, func(h *Host) { h.endpoints[0].Capacity.Millis, h.endpoints[1].Capacity.Millis = 1, 0 }, false},
		{"gang fits once", Work{Count: 5, Gang: true}, nil, false},
		{"gang fits twice", Work{Count: 4, Gang: true}, nil, true},
	} {
		h := newPolicyHost(c.work, 2)
		if c.prepare != nil {
			c.prepare(h)
		}
		stands := h.Standing([]Usable{{h.endpoints[0], "label"}, {h.endpoints[1], "label"}})
		if got := len(stands) == 1; got != c.want {
			t.Errorf("%s: %d jobs stand, want %t", c.name, len(stands), c.want)
		}
	}
}

// runTask starts the first task of the job on the first endpoint and ends it.
func runTask(t *testing.T, h *Host, outcome string) {
	t.Helper()
	e := h.endpoints[0]
	startTask(t, e, 0, 0, "")
	h.mu.Lock()
	defer h.mu.Unlock()
	e.finish(e.running[taskID(jobName, 0, 0)], outcome)
}

// TestStandingShares guards against a job that is excused by the load of its account or of the service when that is
// low, or counted when it is high.
func TestStandingShares(t *testing.T) {
	h := newPolicyHost(Work{Count: 1}, 2)
	other := Work{Account: "account", Spec: specText, Attempts: 1, Count: 4, Need: modeler.Resources{Millis: 1}, Length: time.Minute}
	h.ledger.Expect("k", other)
	for index := range 4 {
		var answer reply
		order := order{Task: taskID("k", 0, index), Run: 1, Spec: specText, LeaseEnd: 60000, Token: 1}
		post(t, h.endpoints[0].Router(), "/v1/run-start", "e0", order, &answer)
	}
	stands := h.Standing([]Usable{{h.endpoints[0], ""}, {h.endpoints[1], ""}})
	if len(stands) != 1 || stands[0].ServiceShare != 0.5 || stands[0].AccountShare != 0.04 || stands[0].Room != 2 || stands[0].Endpoints != 1 {
		t.Errorf("stands %+v", stands)
	}
}

// TestPossible guards against waiting for the end of a gang for which the policy admits too few endpoints.
func TestPossible(t *testing.T) {
	for _, c := range []struct {
		count int
		want  bool
	}{{8, true}, {9, false}} {
		h := newPolicyHost(Work{Count: c.count, Gang: true, Policy: testPolicy}, 2)
		if got := h.Possible(jobName, []Usable{{h.endpoints[0], ""}, {h.endpoints[1], ""}}); got != c.want {
			t.Errorf("gang of %d possible: %t, want %t", c.count, got, c.want)
		}
	}
}
