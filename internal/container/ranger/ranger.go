// Package ranger provides sets of integers that are stored as ranges, so that a set
// of many consecutive integers takes little memory.
package ranger

import (
	"iter"
	"slices"
)

// Set is a set of integers that are not negative. The zero value is an empty set.
type Set struct {
	// bounds holds the first integer of each range and the one after its last, in
	// increasing order.
	bounds []int
	count  int
}

// FromBounds returns the set of the ranges that Bounds has returned. It leaves out
// what lies outside from 0 to limit, limit excluded, and a range without integers.
func FromBounds(bounds []int, limit int) Set {
	var s Set
	for i := 0; i+1 < len(bounds); i += 2 {
		s.Add(max(bounds[i], 0), min(bounds[i+1], limit))
	}

	return s
}

// Bounds returns the first integer of each range and the one after its last.
func (s *Set) Bounds() []int { return slices.Clone(s.bounds) }

// Count returns the number of integers in s.
func (s *Set) Count() int { return s.count }

// Has reports whether n is in s.
func (s *Set) Has(n int) bool {
	at, found := slices.BinarySearch(s.bounds, n)
	if found {
		return at%2 == 0
	}

	return at%2 == 1
}

// Add adds the integers from first to end, end excluded. It returns how many of them
// were not in s.
func (s *Set) Add(first, end int) int {
	if first >= end {
		return 0
	}
	// The ranges that overlap the new one or adjoin it become one with it.
	from, _ := slices.BinarySearch(s.bounds, first)
	if from%2 == 1 {
		from--
	}
	to := from
	added := end - first
	for to < len(s.bounds) && s.bounds[to] <= end {
		added -= max(min(s.bounds[to+1], end)-max(s.bounds[to], first), 0)
		first, end = min(first, s.bounds[to]), max(end, s.bounds[to+1])
		to += 2
	}
	s.bounds = slices.Replace(s.bounds, from, to, first, end)
	s.count += added

	return added
}

// NextMissing returns the lowest integer from n on that is not in s.
func (s *Set) NextMissing(n int) int {
	at, found := slices.BinarySearch(s.bounds, n)
	switch {
	case found && at%2 == 0:
		return s.bounds[at+1]
	case !found && at%2 == 1:
		return s.bounds[at]
	}

	return n
}

// Ranges returns the first integer of each range and the one after its last.
func (s *Set) Ranges() iter.Seq2[int, int] {
	return func(yield func(first, end int) bool) {
		for i := 0; i < len(s.bounds); i += 2 {
			if !yield(s.bounds[i], s.bounds[i+1]) {
				return
			}
		}
	}
}
