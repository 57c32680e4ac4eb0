package runner

import (
	"testing"
	"time"

	"gitlab.com/greengagewall/greengagewall/internal/domain/modeler"
)

// TestTokenSources_EveryPartitionComesFirst guards against a partition with idle
// tokens that is never asked, because one before it transfers a little to each
// request.
func TestTokenSources_EveryPartitionComesFirst(t *testing.T) {
	partitions := []modeler.Partition{
		{Name: "costa-1", Region: "costa"}, {Name: "costa-2", Region: "costa"}, {Name: "costa-3", Region: "costa"},
		{Name: "sierra-1", Region: "sierra"}, {Name: "selva-1", Region: "selva"},
	}
	first := map[modeler.PartitionID]int{}
	for second := range 8 {
		order := tokenSources(partitions, partitions[0], time.Unix(int64(second), 0))
		if len(order) != 4 {
			t.Fatalf("order %v, want 4 partitions", order)
		}
		first[order[0]]++
	}
	for _, p := range partitions[1:] {
		if first[p.Name] != 2 {
			t.Errorf("%s came first %d times in 8 requests, want 2", p.Name, first[p.Name])
		}
	}
}
