package simulator

import (
	"time"

	"gitlab.com/greengagewall/greengagewall/internal/cell/definer"
)

// SmallClass is the index of the small jobs among the classes of Mix.
const SmallClass = 2

// Mix returns classes of unlike work that need about the given share of the cores of the
// endpoints on average: wide gangs with a slow policy that admits few endpoints, elastic
// batches that are less urgent, and many small jobs that are more urgent.
func Mix(endpoints int, load float64) []Class {
	classes := []Class{
		{
			Name: "gang", PerSecond: 6.6, Priority: 1, Stretch: 2.2, Target: 1200 * time.Millisecond,
			Steps: Spread{1.2, 0.4, 3}, Width: Spread{40, 0.8, 240}, Cores: Spread{4.5, 0.4, 7.6}, Gigabytes: Spread{9.4, 0.5, 19}, Seconds: Spread{5, 0.5, 12},
			EstimateError: 0.2, GangShare: 1, CheckpointShare: 0.5, FailureShare: 0.08,
			Policy: &definer.Policy{Decide: 490 * time.Millisecond, Each: 7 * time.Millisecond, Validity: 1500 * time.Millisecond}, Admitted: 0.25,
		},
		{
			Name: "batch", PerSecond: 11.2, Priority: 2, Stretch: 4, Target: 3 * time.Second,
			Steps: Spread{1.5, 0.4, 3.8}, Width: Spread{40, 0.6, 200}, Cores: Spread{2.7, 0.45, 8.2}, Gigabytes: Spread{5.6, 0.6, 17}, Seconds: Spread{2.7, 0.5, 6.8},
			EstimateError: 0.5, CheckpointShare: 0.8,
			Policy: &definer.Policy{Decide: 140 * time.Millisecond, Each: 2 * time.Millisecond, Validity: 1500 * time.Millisecond}, Admitted: 0.45,
		},
		{
			Name: "small", PerSecond: 114, Priority: 0, Stretch: 1.5, Target: 600 * time.Millisecond,
			Steps: Spread{1, 0, 1}, Width: Spread{4.5, 0.8, 27}, Cores: Spread{3.9, 0.45, 12}, Gigabytes: Spread{11, 0.6, 34}, Seconds: Spread{1, 0.5, 2.5},
			EstimateError: 0.5, GangShare: 0.3, FailureShare: 0.005,
			Policy: &definer.Policy{Decide: 14 * time.Millisecond, Each: 200 * time.Microsecond, Validity: 1500 * time.Millisecond}, Admitted: 0.7,
		},
	}
	offered := 0.0
	for i := range classes {
		offered += classes[i].offered()
	}
	scale := load * float64(endpoints) * float64(endpointCapacity.Millis) / coreMillis / offered
	for i := range classes {
		classes[i].PerSecond *= scale
	}

	return classes
}
