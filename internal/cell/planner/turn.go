package planner

import (
	"cmp"
	"slices"
)

// deferrableShare bounds the steps in a round that are too late to be useful or exceed the rate of their account,
// as a share of the usable endpoints, so that their number does not lengthen the rounds.
const deferrableShare = 1.0 / 4

// placeInTurn places the deferrable steps that have their turn in this round: those whose
// last turn was longest ago.
func (ps *pass) placeInTurn(deferrable []*step) {
	for _, s := range deferrable {
		if s.queuedSince == 0 {
			s.queuedSince = ps.now
		}
	}
	slices.SortStableFunc(deferrable, func(a, b *step) int { return cmp.Compare(a.queuedSince, b.queuedSince) })
	ps.placeFirst(deferrable)
}

// placeFirst places the first of the steps, up to deferrableShare.
func (ps *pass) placeFirst(steps []*step) {
	for _, s := range steps[:min(len(steps), ps.limit(deferrableShare))] {
		s.queuedSince = ps.now
		ps.place(s)
	}
}
