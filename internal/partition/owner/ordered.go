package owner

import (
	"cmp"
	"iter"
	"maps"
	"slices"

	"gitlab.com/greengagewall/greengagewall/internal/partition/replayer"
)

// ordered iterates over a map in key order, so that equal inputs give equal
// commands and a run can be reproduced.
func ordered[K cmp.Ordered, V any](m map[K]V) iter.Seq2[K, V] {
	return func(yield func(K, V) bool) {
		for _, key := range slices.Sorted(maps.Keys(m)) {
			if value, ok := m[key]; ok && !yield(key, value) {
				return
			}
		}
	}
}

// compareRequests orders requests by team and ID.
func compareRequests(a, b replayer.RequestKey) int {
	return cmp.Or(cmp.Compare(a.Team, b.Team), cmp.Compare(a.Request, b.Request))
}
