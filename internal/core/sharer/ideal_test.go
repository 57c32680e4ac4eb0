package sharer

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"gitlab.com/greengagewall/greengagewall/internal/domain/modeler"
)

// TestIdealTwoResources guards against shares by one resource only: two teams
// whose dominant resources differ get equal dominant shares.
func TestIdealTwoResources(t *testing.T) {
	total := modeler.Resources{Millis: 9000, Memory: 18 << 10}
	ideals := FairShares([]Demand{
		{Weight: 1, Wanted: modeler.Resources{Millis: 1000, Memory: 4 << 10}.Scale(100)},
		{Weight: 1, Wanted: modeler.Resources{Millis: 3000, Memory: 1 << 10}.Scale(100)},
	}, total)
	for i, want := range []float64{2.0 / 3, 2.0 / 3} {
		if got := ideals[i].DominantShare(total); got < want-0.01 || got > want+0.01 {
			t.Errorf("team %d has a dominant share of %.3f instead of %.3f", i, got, want)
		}
	}
}

// TestIdealIsFair guards against ideals above demand or capacity, capacity left
// while all want it, and a team that has less per weight than one whose demand
// is not met either.
func TestIdealIsFair(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		total := modeler.Resources{Millis: 100_000}
		demands := make([]Demand, rapid.IntRange(1, 8).Draw(t, "teams"))
		var wanted int64
		for i := range demands {
			demands[i] = Demand{
				Weight: float64(rapid.IntRange(1, 5).Draw(t, "weight")),
				Wanted: modeler.Resources{Millis: int64(rapid.IntRange(0, 80_000).Draw(t, fmt.Sprint("wanted", i)))},
			}
			wanted += demands[i].Wanted.Millis
		}
		var sum int64
		ideals := FairShares(demands, total)
		for i, ideal := range ideals {
			sum += ideal.Millis
			if ideal.Millis > demands[i].Wanted.Millis {
				t.Fatalf("team %d gets %d of %d wanted", i, ideal.Millis, demands[i].Wanted.Millis)
			}
			for k, other := range ideals {
				unmet := ideal.Millis < demands[i].Wanted.Millis-10
				if mine, theirs := float64(ideal.Millis)/demands[i].Weight, float64(other.Millis)/demands[k].Weight; unmet && mine < theirs-10 {
					t.Fatalf("team %d has %.0f by weight, team %d has %.0f", i, mine, k, theirs)
				}
			}
		}
		if want := min(wanted, total.Millis); sum > want || sum < want-20 {
			t.Fatalf("%d of %d given", sum, want)
		}
	})
}
