package breaker

import (
	"math/rand/v2"
	"testing"
	"time"

	"gitlab.com/greengagewall/greengagewall/internal/domain/modeler"
	"gitlab.com/greengagewall/greengagewall/internal/standin/worker"
)

func event(ms int, kind worker.Kind, session int, owner string) worker.Event {
	return worker.Event{
		Time: time.UnixMilli(int64(ms)), Endpoint: "w", Kind: kind, Session: modeler.SessionID(session),
		Owner: modeler.InstanceID(owner),
	}
}

// TestTakeoverTime guards against a takeover time that ends at a late start sent
// by the killed owner, or at a start on an endpoint that it did not own.
func TestTakeoverTime(t *testing.T) {
	killed := ownerKill{owner: "a", killedAt: time.UnixMilli(100)}
	events := []worker.Event{
		event(10, worker.KindHello, 1, "a"), event(101, worker.KindStart, 1, ""),
		event(900, worker.KindHello, 2, "b"), event(1100, worker.KindStart, 2, ""),
	}
	if took, ok := takeoverTime(events, killed); !ok || took != time.Second {
		t.Errorf("got %s, %v, want 1s", took, ok)
	}
	if _, ok := takeoverTime(events[:3], killed); ok {
		t.Error("a takeover without new work was found")
	}
	if _, ok := takeoverTime(events, ownerKill{owner: "c", killedAt: killed.killedAt}); ok {
		t.Error("a takeover from an instance that owned nothing was found")
	}
}

// TestFaults_DependOnSeedOnly guards against runs with the same seed that choose
// different faults.
func TestFaults_DependOnSeedOnly(t *testing.T) {
	kinds := func() (names []string, params []faultParams) {
		r := &chaosRun{random: rand.New(rand.NewPCG(7, 0))}
		for _, f := range r.faults() {
			names = append(names, f.kind)
			params = append(params, newFaultParams(r.random, f))
		}

		return names, params
	}
	names, params := kinds()
	for range 5 {
		otherNames, otherParams := kinds()
		for i := range names {
			if names[i] != otherNames[i] || params[i] != otherParams[i] {
				t.Fatalf("fault %d is %s %+v, was %s %+v", i, otherNames[i], otherParams[i], names[i], params[i])
			}
		}
	}
}
