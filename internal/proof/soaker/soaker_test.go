package soaker

import (
	"context"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// TestRun_Seeds guards against violations of invariants under faults, and against
// runs that cannot be reproduced from their seed.
func TestRun_Seeds(t *testing.T) {
	for _, seed := range []uint64{1, 2} {
		var digests [2][]uint64
		for i := range digests {
			report, err := Run(context.Background(), Settings{Seed: seed, Rounds: 1, Steps: 60_000, Out: t.Output()})
			if err != nil {
				t.Fatal(err)
			}
			digests[i] = report.Digests
		}
		if diff := cmp.Diff(digests[0], digests[1]); diff != "" {
			t.Fatalf("two runs with seed %d have different traces (-first +second):\n%s", seed, diff)
		}
	}
}
