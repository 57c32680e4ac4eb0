package simulator

import (
	"testing"
	"time"
)

// TestSameSeedSameResult guards against simulations that can't be compared with one another.
func TestSameSeedSameResult(t *testing.T) {
	options := Options{
		Seed: 3, Endpoints: 40, Instances: 7, Classes: Mix(40, 0.7), Duration: 5 * time.Second, DrainTime: 5 * time.Second, Accounts: 6, LimitFactor: 1.9,
		Round: 15 * time.Millisecond,
	}
	first, second := Run(options), Run(options)
	if first.Questions != second.Questions || first.Classes[0].Earned != second.Classes[0].Earned || first.Classes[0].Jobs == 0 {
		t.Errorf("%d and %d questions, %v and %v earned", first.Questions, second.Questions, first.Classes[0].Earned, second.Classes[0].Earned)
	}
}
