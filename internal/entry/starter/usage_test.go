package starter

import (
	"fmt"
	"testing"

	"gitlab.com/greengagewall/greengagewall/internal/codec/encoder"
	"gitlab.com/greengagewall/greengagewall/internal/domain/modeler"
)

// TestWithoutTeamUsage guards against heartbeats that grow with the number of
// teams.
func TestWithoutTeamUsage(t *testing.T) {
	load := modeler.Load{
		Partition: "costa-1", Term: modeler.NewTerm(3, 0), Ready: true, Capacity: modeler.Resources{Millis: 1 << 20, Memory: 1 << 44},
		Usage: map[modeler.TeamID]modeler.Resources{}, Idle: map[modeler.TeamID]modeler.Resources{},
	}
	for i := range 390 {
		id := modeler.TeamID(fmt.Sprintf("team-%03d", i))
		load.Usage[id], load.Idle[id] = modeler.Resources{Millis: 1000}, modeler.Resources{Millis: 1000}
	}
	data, err := encoder.Marshal(withoutTeamUsage([]modeler.Load{load}))
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("%d bytes", len(data))
	if len(data) > 1024 || len(load.Usage) != 390 {
		t.Fatalf("heartbeat holds %d bytes of load, original has %d teams", len(data), len(load.Usage))
	}
}
