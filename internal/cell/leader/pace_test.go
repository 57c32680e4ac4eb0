package leader

import (
	"testing"
	"time"

	"gitlab.com/greengagewall/greengagewall/internal/cell/definer"
)

// TestRoundsLeaveTimeForOtherWork guards against an owner that spends all of its time
// on placement once a round takes longer than the longest interval between two.
func TestRoundsLeaveTimeForOtherWork(t *testing.T) {
	began := definer.Instant(time.Hour)
	for took, want := range map[time.Duration]time.Duration{
		time.Millisecond:       minPlanInterval,
		10 * time.Millisecond:  40 * time.Millisecond,
		20 * time.Millisecond:  maxPlanInterval,
		156 * time.Millisecond: 312 * time.Millisecond,
	} {
		if got := nextPlan(began, took).Sub(began); got != want {
			t.Errorf("a round of %v: next after %v, want %v", took, got, want)
		}
	}
}
