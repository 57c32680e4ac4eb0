package encoder

import (
	"fmt"
	"testing"

	"gitlab.com/greengagewall/greengagewall/internal/domain/modeler"
)

// BenchmarkLoad measures the encoded size of a partition's load in a heartbeat by
// the number of teams with work in the partition.
func BenchmarkLoad(b *testing.B) {
	for _, teams := range []int{6, 50, 390} {
		load := modeler.Load{
			Partition: "costa-1", Term: modeler.NewTerm(3, 0), Ready: true,
			Capacity: modeler.Resources{Millis: 1 << 20, Memory: 1 << 44, Accelerators: 99, Slots: 800},
			Usage:    map[modeler.TeamID]modeler.Resources{}, Idle: map[modeler.TeamID]modeler.Resources{},
		}
		for i := range teams {
			id := modeler.TeamID(fmt.Sprintf("team-%03d", i))
			load.Usage[id] = modeler.Resources{Millis: 31000, Memory: 1 << 36, Slots: 8}
			load.Idle[id] = modeler.Resources{Millis: 1000, Memory: 1 << 33}
		}
		b.Run(fmt.Sprintf("teams=%d", teams), func(b *testing.B) {
			size := 0
			for b.Loop() {
				data, err := Marshal([]modeler.Load{load})
				if err != nil {
					b.Fatal(err)
				}
				size = len(data)
			}
			b.ReportMetric(float64(size), "bytes/load")
		})
	}
}
