package supervisor

import (
	"context"
	"testing"
	"time"
)

// TestSuccessors_FollowLivePeers guards against an owner whose claim names no
// live successor, so that no instance can take over while the log is down.
func TestSuccessors_FollowLivePeers(t *testing.T) {
	runSimulated(t, func(ctx context.Context, t *testing.T) {
		c := newCluster(t, 3, 0)
		first := c.start(ctx, "a")
		c.waitForOwner(3 * time.Second)
		c.start(ctx, "b")
		if _, err := first.Submit(ctx, submission("j1", 14)); err != nil {
			t.Fatal(err)
		}
		time.Sleep(3 * successorCheckInterval)
		c.log.setDown(true)
		c.kill(first)
		second := c.waitForOwner(5 * time.Second)
		c.waitUntil(3*time.Second, "running tasks", func() bool {
			return second.Loads()[0].Ready && c.runningTasks() == 12
		})
		c.finishAll()
		c.waitUntil(3*time.Second, "work that was queued", func() bool { return c.runningTasks() == 2 })
		c.check()
	})
}

// successorCheckInterval is the interval at which an owner checks its successors.
const successorCheckInterval = 2 * time.Second

// runningTasks returns the number of tasks that the endpoints run.
func (c *cluster) runningTasks() int {
	running := 0
	for _, e := range c.endpoints {
		e.mu.Lock()
		running += len(e.tasks)
		e.mu.Unlock()
	}

	return running
}
