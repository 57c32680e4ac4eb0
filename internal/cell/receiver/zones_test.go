package receiver

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"gitlab.com/greengagewall/greengagewall/internal/cell/definer"
)

// TestNextOwnerKnowsEvacuatedZones guards against starts in an evacuated zone by an owner whose
// instance has not read the record before its claim. The instances of the test pass on no
// evacuations, so the owner reads them itself.
func TestNextOwnerKnowsEvacuatedZones(t *testing.T) {
	store, endpoints, nodes := newCell(t, 100*time.Millisecond)
	first, others := awaitOwner(t, nodes...)
	store.mu.Lock()
	for _, zone := range []string{"e0", "e1"} {
		store.tables[definer.TableOperator] = append(store.tables[definer.TableOperator], definer.Record{Key: evacuatedPrefix + zone, Value: []byte("{}")})
	}
	store.mu.Unlock()
	first.kill()
	others[0].submit(t, "job", 40)
	others[0].awaitDone(t, "job", 15*time.Second)
	endpoints.mu.Lock()
	defer endpoints.mu.Unlock()
	if endpoints.startsOn["e0"]+endpoints.startsOn["e1"] != 0 || endpoints.starts != 40 {
		t.Errorf("starts by endpoint %v, want 40, none of them on e0 and e1", endpoints.startsOn)
	}
}

// TestOwnerFollowsEvacuations guards against evacuations that reach the instance of the owner and
// not the owner or a later one, and against a zone that stays out of use when it was taken back.
func TestOwnerFollowsEvacuations(t *testing.T) {
	_, endpoints, nodes := newCell(t, 100*time.Millisecond)
	owner, others := awaitOwner(t, nodes...)
	for i, zones := range [][]string{{"e0", "e1", "e2"}, {"e1", "e2", "e3"}} {
		owner.elector.Evacuate(definer.Evacuations{Offset: int64(i + 1), Zones: zones})
		id := string(rune('a' + i))
		others[0].submit(t, id, 4)
		others[0].awaitDone(t, id, 10*time.Second)
	}
	for _, other := range others {
		other.elector.Evacuate(definer.Evacuations{Offset: 100, Zones: []string{"e0", "e2", "e3"}})
	}
	owner.kill()
	others[0].submit(t, "c", 4)
	others[0].awaitDone(t, "c", 15*time.Second)
	endpoints.mu.Lock()
	defer endpoints.mu.Unlock()
	if diff := cmp.Diff(map[string]int{"e0": 4, "e1": 4, "e3": 4}, endpoints.startsOn); diff != "" {
		t.Errorf("starts by endpoint (-want +got):\n%s", diff)
	}
}
