package accountant

import (
	"errors"
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"gitlab.com/greengagewall/greengagewall/internal/domain/modeler"
)

// drawn returns a small amount, so that searches often just fit or just fail.
func drawn(t *rapid.T) modeler.Resources {
	return modeler.Resources{
		Millis: int64(rapid.IntRange(0, 4).Draw(t, "millis")), Memory: int64(rapid.IntRange(0, 4).Draw(t, "memory")),
		Accelerators: int64(rapid.IntRange(0, 2).Draw(t, "accelerators")),
	}
}

// TestSearchAgainstScan guards against an index that misses an endpoint or a
// rack with room, names one without, or lets a charge exceed the capacity.
func TestSearchAgainstScan(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := NewLedger()
		taken := map[int][]modeler.Resources{}
		for range rapid.IntRange(1, 150).Draw(t, "steps") {
			id := modeler.InstanceID(fmt.Sprint("w", rapid.IntRange(0, 90).Draw(t, "endpoint")))
			at, known := l.Position(id)
			switch kind := rapid.IntRange(0, 5).Draw(t, "kind"); {
			case kind == 0 || !known:
				l.Set(id, "z", fmt.Sprint("r", rapid.IntRange(0, 9).Draw(t, "rack")), drawn(t).Scale(3), rapid.Bool().Draw(t, "usable"))
			case kind == 1:
				l.Remove(id)
				delete(taken, at)
			case kind == 2 && len(taken[at]) > 0:
				l.Release(at, taken[at][0])
				taken[at] = taken[at][1:]
			case kind == 3:
				l.Observe(at, drawn(t))
			default:
				amount, free := drawn(t), l.Node(at).Free()
				if err := l.Allocate(at, amount); err == nil {
					taken[at] = append(taken[at], amount)
				} else if !errors.Is(err, ErrInsufficientCapacity) || (l.Node(at).open() && amount.Fits(free)) {
					t.Fatalf("take %v of %v: %v", amount, free, err)
				}
			}
			check(t, l, drawn(t))
		}
	})
}

// check compares the searches for needs with a scan of all accounts.
func check(t *rapid.T, l *Ledger, needs modeler.Resources) {
	first, sums := -1, map[int]modeler.Resources{}
	for at := range l.nodes {
		node := &l.nodes[at]
		if !node.open() {
			continue
		}
		if first < 0 && needs.Fits(node.Free()) {
			first = at
		}
		free := node.Free()
		sums[node.Rack] = sums[node.Rack].Add(free.Sub(free.Min(modeler.Resources{})))
	}
	if got := l.NextWithRoom(0, needs); got != first {
		t.Fatalf("first endpoint with room for %v is %d, not %d", needs, first, got)
	}
	for number := range l.racks {
		if sums[number] != l.racks[number].free {
			t.Fatalf("rack %d has %v free, not %v", number, sums[number], l.racks[number].free)
		}
	}
}
