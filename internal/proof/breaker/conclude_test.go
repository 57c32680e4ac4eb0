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

// Guards against a takeover time that is measured to a late start of the dead
// owner, or to a start on an endpoint that it did not own.
func TestTakeover(t *testing.T) {
	dead := kill{owner: "a", at: time.UnixMilli(100)}
	events := []worker.Event{
		event(10, worker.KindHello, 1, "a"), event(101, worker.KindStart, 1, ""),
		event(900, worker.KindHello, 2, "b"), event(1100, worker.KindStart, 2, ""),
	}
	if took, ok := takeover(events, dead); !ok || took != time.Second {
		t.Errorf("got %s, %v, want 1s", took, ok)
	}
	if _, ok := takeover(events[:3], dead); ok {
		t.Error("a takeover without new work was found")
	}
	if _, ok := takeover(events, kill{owner: "c", at: dead.at}); ok {
		t.Error("a takeover from an instance that owned nothing was found")
	}
}

// Guards against runs of one seed that draw different faults.
func TestFaultsDependOnSeed(t *testing.T) {
	kinds := func() (names []string, draws []draw) {
		b := &breaker{random: rand.New(rand.NewPCG(7, 0))}
		for _, f := range b.faults() {
			names = append(names, f.kind)
			draws = append(draws, newDraw(b.random, f))
		}

		return names, draws
	}
	names, draws := kinds()
	for range 5 {
		otherNames, otherDraws := kinds()
		for i := range names {
			if names[i] != otherNames[i] || draws[i] != otherDraws[i] {
				t.Fatalf("fault %d is %s %+v, was %s %+v", i, otherNames[i], otherDraws[i], names[i], draws[i])
			}
		}
	}
}
