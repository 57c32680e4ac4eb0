package supervisor

import (
	"context"
	"testing"
	"time"
)

// TestSuccessors_FollowThePeers guards against an owner whose claim names no
// live successor, so that nobody can take over while the log is down.
func TestSuccessors_FollowThePeers(t *testing.T) {
	run(t, func(ctx context.Context, t *testing.T) {
		c := newCluster(t, 3, 0)
		first := c.start(ctx, "a")
		c.owner(3 * time.Second)
		c.start(ctx, "b")
		if _, err := first.Submit(ctx, submission("j1", 14)); err != nil {
			t.Fatal(err)
		}
		time.Sleep(3 * refreshTime)
		c.log.set(true)
		c.kill(first)
		second := c.owner(5 * time.Second)
		c.until(3*time.Second, "running tasks", func() bool {
			return second.Loads()[0].Ready && c.running() == 12
		})
		c.finishAll()
		c.until(3*time.Second, "work that was queued", func() bool { return c.running() == 2 })
		c.check()
	})
}

// refreshTime is the pace at which an owner looks at its successors.
const refreshTime = 2 * time.Second

// running returns the number of tasks that the endpoints run.
func (c *cluster) running() int {
	running := 0
	for _, e := range c.endpoints {
		e.mu.Lock()
		running += len(e.tasks)
		e.mu.Unlock()
	}

	return running
}
