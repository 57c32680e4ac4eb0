package supervisor

import (
	"context"
	"fmt"
	"testing"
	"time"

	"gitlab.com/greengagewall/greengagewall/internal/domain/modeler"
)

// TestTokens_TwoGangsDoNotDeadlock guards against two partitions that both wait
// for part of the same limit and keep transferring their parts to each other, so
// that neither ever has enough for its gang.
func TestTokens_TwoGangsDoNotDeadlock(t *testing.T) {
	runSimulated(t, func(ctx context.Context, t *testing.T) {
		c := newCluster(t, 4, 0)
		for i := range 4 {
			c.addEndpoint(modeler.Instance{
				ID: modeler.InstanceID(fmt.Sprintf("worker-s%d", i)), Kind: modeler.KindWorker, Region: "sierra", Rack: "r1",
			}, modeler.Resources{Millis: 4000, Memory: 16 * gib})
		}
		c.document.Partitions = append(c.document.Partitions, modeler.Partition{Name: "sierra-1", Region: "sierra", Weight: 1})
		c.document.Teams[0].Limit = modeler.Resources{Millis: 8000, Memory: 8 * gib}
		n := c.start(ctx, "a")
		c.waitUntil(3*time.Second, "owners", func() bool {
			loads := n.Loads()

			return len(loads) == 2 && loads[0].Ready && loads[1].Ready
		})
		for i, partition := range []modeler.PartitionID{"costa-1", "sierra-1"} {
			msg := submission(fmt.Sprintf("j%d", i), 6)
			msg.Partition, msg.Job.Kind = partition, modeler.WorkGang
			if _, err := n.Submit(ctx, msg); err != nil {
				t.Fatal(err)
			}
		}
		c.waitUntil(30*time.Second, "the end of both jobs", func() bool {
			c.finishAll()

			return states(n, "j0")[modeler.TaskFinished] == 6 && states(n, "j1")[modeler.TaskFinished] == 6
		})
		c.check()
	})
}
