package sharer

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"gitlab.com/greengagewall/greengagewall/internal/domain/modeler"
)

// TestFairSharesTwoResources guards against shares computed from one resource only: two
// teams with different dominant resources must get equal dominant shares.
func TestFairSharesTwoResources(t *testing.T) {
	total := modeler.Resources{Millis: 9000, Memory: 18 << 10}
	shares := FairShares([]Demand{
		{Weight: 1, Wanted: modeler.Resources{Millis: 1000, Memory: 4 << 10}.Scale(100)},
		{Weight: 1, Wanted: modeler.Resources{Millis: 3000, Memory: 1 << 10}.Scale(100)},
	}, total)
	for i, want := range []float64{2.0 / 3, 2.0 / 3} {
		if got := shares[i].DominantShare(total); got < want-0.01 || got > want+0.01 {
			t.Errorf("team %d has a dominant share of %.3f, want %.3f", i, got, want)
		}
	}
}

// TestFairSharesAreFair guards against shares above demand or capacity, capacity that
// stays undivided despite unmet demand, and a team with unmet demand that gets less per
// weight than another.
func TestFairSharesAreFair(t *testing.T) {
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
		shares := FairShares(demands, total)
		for i, share := range shares {
			sum += share.Millis
			if share.Millis > demands[i].Wanted.Millis {
				t.Fatalf("team %d gets %d of %d wanted", i, share.Millis, demands[i].Wanted.Millis)
			}
			for k, other := range shares {
				unmet := share.Millis < demands[i].Wanted.Millis-10
				if mine, theirs := float64(share.Millis)/demands[i].Weight, float64(other.Millis)/demands[k].Weight; unmet && mine < theirs-10 {
					t.Fatalf("team %d gets %.0f per weight, team %d gets %.0f", i, mine, k, theirs)
				}
			}
		}
		if want := min(wanted, total.Millis); sum > want || sum < want-20 {
			t.Fatalf("shares add up to %d, want %d", sum, want)
		}
	})
}
