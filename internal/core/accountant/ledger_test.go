package accountant

import (
	"errors"
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"gitlab.com/greengagewall/greengagewall/internal/domain/modeler"
)

// randomAmount returns a small random amount, so that many searches just fit or just
// fail.
func randomAmount(t *rapid.T) modeler.Resources {
	return modeler.Resources{
		Millis: int64(rapid.IntRange(0, 4).Draw(t, "millis")), Memory: int64(rapid.IntRange(0, 4).Draw(t, "memory")),
		Accelerators: int64(rapid.IntRange(0, 2).Draw(t, "accelerators")),
	}
}

// TestSearchAgainstScan guards against indexes that miss an endpoint with room, return
// one without, or hold a wrong sum for a rack, and against allocations beyond the
// capacity.
func TestSearchAgainstScan(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := NewLedger()
		allocated := map[int][]modeler.Resources{}
		for range rapid.IntRange(1, 150).Draw(t, "steps") {
			id := modeler.InstanceID(fmt.Sprint("w", rapid.IntRange(0, 90).Draw(t, "endpoint")))
			at, known := l.Position(id)
			switch kind := rapid.IntRange(0, 5).Draw(t, "kind"); {
			case kind == 0 || !known:
				l.Set(id, "z", fmt.Sprint("r", rapid.IntRange(0, 9).Draw(t, "rack")), randomAmount(t).Scale(3), rapid.Bool().Draw(t, "usable"))
			case kind == 1:
				l.Remove(id)
				delete(allocated, at)
			case kind == 2 && len(allocated[at]) > 0:
				l.Release(at, allocated[at][0])
				allocated[at] = allocated[at][1:]
			case kind == 3:
				l.Observe(at, randomAmount(t))
			default:
				amount, free := randomAmount(t), l.Node(at).Free()
				if err := l.Allocate(at, amount); err == nil {
					allocated[at] = append(allocated[at], amount)
				} else if !errors.Is(err, ErrInsufficientCapacity) || (l.Node(at).schedulable() && amount.Fits(free)) {
					t.Fatalf("allocate %v of %v free: %v", amount, free, err)
				}
			}
			checkSearches(t, l, randomAmount(t))
		}
	})
}

// checkSearches compares the indexes with a linear scan of all accounts.
func checkSearches(t *rapid.T, l *Ledger, needs modeler.Resources) {
	first, sums := -1, map[int]modeler.Resources{}
	for at := range l.nodes {
		node := &l.nodes[at]
		if !node.schedulable() {
			continue
		}
		if first < 0 && needs.Fits(node.Free()) {
			first = at
		}
		free := node.Free()
		sums[node.Rack] = sums[node.Rack].Add(free.Sub(free.Min(modeler.Resources{})))
	}
	if got := l.NextWithRoom(0, needs); got != first {
		t.Fatalf("first endpoint with room for %v is %d, got %d", needs, first, got)
	}
	for number := range l.racks {
		if sums[number] != l.racks[number].free {
			t.Fatalf("rack %d has %v free, got %v", number, sums[number], l.racks[number].free)
		}
	}
}
