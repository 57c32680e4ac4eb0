package disrupter

import (
	"testing"
	"time"

	"gitlab.com/greengagewall/greengagewall/internal/standin/executor"
)

// TestEvacuatedZonesGetNoTask guards against tasks that start in an evacuated zone while instances are killed, paused and
// cut from the store.
func TestEvacuatedZonesGetNoTask(t *testing.T) {
	runMix(t, Settings{Duration: 12 * time.Second, Endpoints: 6, Mix: MixSingle, Evacuations: true})
}

// TestZoneWatcher guards against a check of evacuated zones that misses a late start, or reports one within the bound,
// after the zone was taken back, or while the store refused the owner's reads.
func TestZoneWatcher(t *testing.T) {
	const refusal = 2 * time.Second
	for _, test := range []struct {
		name       string
		after      time.Duration
		repeated   bool
		withdrawn  bool
		refused    bool
		endpoint   string
		violations int
	}{
		{name: "within the bound", after: evacuateBound, endpoint: "e"},
		{name: "late", after: evacuateBound + 1, endpoint: "e", violations: 1},
		{name: "other zone", after: evacuateBound + 1, endpoint: "f"},
		{name: "repeated record", after: evacuateBound + 1, repeated: true, endpoint: "e", violations: 1},
		{name: "taken back", after: evacuateBound + 1, withdrawn: true, endpoint: "e"},
		{name: "store refused reads", after: evacuateBound + refusal, refused: true, endpoint: "e"},
		{name: "late after the store refused reads", after: evacuateBound + refusal + 1, refused: true, endpoint: "e", violations: 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			ledger := executor.NewLedger(nil, 0)
			w := newZoneWatcher(ledger)
			w.addEndpoint("e", "a")
			w.addEndpoint("f", "b")
			began := time.Now()
			w.evacuate("a", began)
			if test.repeated {
				w.evacuate("a", began.Add(time.Second))
			}
			if test.withdrawn {
				w.beginWithdrawal("a")
			}
			if test.refused {
				w.storeRefuses(true, began)
				w.storeRefuses(false, began.Add(refusal))
			}
			w.checkStart(test.endpoint, "task", began.Add(test.after))
			if found := len(ledger.Violations()); found != test.violations {
				t.Errorf("%d violations, want %d: %v", found, test.violations, ledger.Violations())
			}
		})
	}
}
