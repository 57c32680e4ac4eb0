package supervisor

import (
	"context"
	"errors"
	"testing"
	"time"

	"gitlab.com/greengagewall/greengagewall/internal/domain/modeler"
)

// refusalOf returns the refusal in an error.
func refusalOf(t *testing.T, err error) *modeler.Refusal {
	t.Helper()
	var refusal *modeler.Refusal
	if !errors.As(err, &refusal) {
		t.Fatalf("error is %v, want a refusal", err)
	}

	return refusal
}

// executions returns the number of executions of a task or request at all
// endpoints.
func (c *cluster) executions(item string) int {
	count := 0
	for _, e := range c.endpoints {
		e.mu.Lock()
		count += e.executions[item]
		e.mu.Unlock()
	}

	return count
}

// startThree starts three entry instances and returns the owner.
func (c *cluster) startThree(ctx context.Context) *node {
	for _, id := range []modeler.InstanceID{"a", "b", "c"} {
		c.start(ctx, id)
	}

	return c.waitForOwner(3 * time.Second)
}

// TestTakeover_KeepsWork guards against work that is lost or run twice when
// its owner fails, and against a takeover that takes longer than 5 s.
func TestTakeover_KeepsWork(t *testing.T) {
	runSimulated(t, func(ctx context.Context, t *testing.T) {
		c := newCluster(t, 4, 0)
		first := c.startThree(ctx)
		if _, err := first.Submit(ctx, submission("j1", 20)); err != nil {
			t.Fatal(err)
		}
		c.waitUntil(2*time.Second, "running tasks", func() bool { return states(first, "j1")[modeler.TaskRunning] == 16 })
		c.kill(first)
		second := c.waitForOwner(5 * time.Second)
		for range 2 {
			c.waitUntil(3*time.Second, "running tasks", func() bool { return states(second, "j1")[modeler.TaskRunning] > 0 })
			c.finishAll()
			time.Sleep(time.Second)
		}
		c.waitUntil(3*time.Second, "finished job", func() bool { return states(second, "j1")[modeler.TaskFinished] == 20 })
		for i := range 20 {
			if got := c.executions(string(modeler.TaskID("j1/" + itoa(i)))); got != 1 {
				t.Errorf("task %d was executed %d times", i, got)
			}
		}
		c.check()
	})
}

// TestTakeover_UnreachableEndpoint guards against tasks that are started a
// second time while an unreachable endpoint still runs them.
func TestTakeover_UnreachableEndpoint(t *testing.T) {
	runSimulated(t, func(ctx context.Context, t *testing.T) {
		c := newCluster(t, 4, 0)
		first := c.startThree(ctx)
		if _, err := first.Submit(ctx, submission("j1", 8)); err != nil {
			t.Fatal(err)
		}
		c.waitUntil(2*time.Second, "running tasks", func() bool { return states(first, "j1")[modeler.TaskRunning] == 8 })
		c.host().setFaults(true, false)
		c.kill(first)
		second := c.waitForOwner(5 * time.Second)
		if _, err := second.Submit(ctx, submission("j2", 1)); err != nil {
			t.Fatal(err)
		}
		c.waitUntil(time.Second, "start of work accepted after the takeover", func() bool { return states(second, "j2")[modeler.TaskRunning] == 1 })
		c.waitUntil(15*time.Second, "restart of the lost tasks", func() bool {
			return c.executions("j1/0") == 2 && states(second, "j1")[modeler.TaskRunning] == 8
		})
		c.check()
	})
}

// TestOwner_Isolated guards against an owner that continues to start work after
// another instance has taken over, and against tasks that both of them start.
func TestOwner_Isolated(t *testing.T) {
	runSimulated(t, func(ctx context.Context, t *testing.T) {
		c := newCluster(t, 4, 0)
		first := c.startThree(ctx)
		if _, err := first.Submit(ctx, submission("j1", 24)); err != nil {
			t.Fatal(err)
		}
		first.setIsolated(true)
		second := c.waitForOwner(5 * time.Second)
		c.waitUntil(2*time.Second, "running tasks", func() bool { return states(second, "j1")[modeler.TaskRunning] == 16 })
		first.setIsolated(false)
		time.Sleep(3 * time.Second)
		if first.Ownership()[0].Owner != second.instance.ID || len(first.Loads()) != 0 {
			t.Errorf("the old owner still owns the partition: %+v", first.Ownership())
		}
		c.finishAll()
		time.Sleep(time.Second)
		c.finishAll()
		c.waitUntil(3*time.Second, "finished job", func() bool { return states(second, "j1")[modeler.TaskFinished] == 24 })
		c.check()
	})
}

// TestOwner_IsolatedDoesNotRenewLeases guards against an old owner that continues
// to renew the leases at an endpoint that only it can reach, while the new owner
// considers them expired.
func TestOwner_IsolatedDoesNotRenewLeases(t *testing.T) {
	runSimulated(t, func(ctx context.Context, t *testing.T) {
		c := newCluster(t, 5, 0)
		first := c.startThree(ctx)
		if _, err := first.Submit(ctx, submission("j1", 10)); err != nil {
			t.Fatal(err)
		}
		c.waitUntil(2*time.Second, "running tasks", func() bool { return states(first, "j1")[modeler.TaskRunning] == 10 })
		host := c.host()
		c.mu.Lock()
		first.reachable = map[modeler.InstanceID]bool{host.instance.ID: true}
		for _, n := range c.nodes {
			if n != first {
				n.lostEndpoints = map[modeler.InstanceID]bool{host.instance.ID: true}
			}
		}
		c.mu.Unlock()
		first.setIsolated(true)
		second := c.waitForOwner(5 * time.Second)
		c.waitUntil(15*time.Second, "restart of the lost tasks", func() bool {
			return c.executions("j1/0") == 2 && states(second, "j1")[modeler.TaskRunning] == 10
		})
		c.check()
	})
}

// TestEndpoint_Unreachable guards against a restart of tasks before the leases at
// an unreachable endpoint have expired, and against leases that are renewed
// forever although the endpoint's answers are lost.
func TestEndpoint_Unreachable(t *testing.T) {
	for name, dropAnswers := range map[string]bool{"requests lost": false, "answers lost": true} {
		t.Run(name, func(t *testing.T) {
			runSimulated(t, func(ctx context.Context, t *testing.T) {
				c := newCluster(t, 3, 0)
				n := c.start(ctx, "a")
				c.waitForOwner(3 * time.Second)
				if _, err := n.Submit(ctx, submission("j1", 4)); err != nil {
					t.Fatal(err)
				}
				c.waitUntil(time.Second, "running tasks", func() bool { return states(n, "j1")[modeler.TaskRunning] == 4 })
				faulty := c.host()
				faulty.setFaults(!dropAnswers, dropAnswers)
				c.waitUntil(15*time.Second, "restart", func() bool {
					return c.executions("j1/0") == 2 && states(n, "j1")[modeler.TaskRunning] == 4
				})
				faulty.setFaults(false, false)
				time.Sleep(3 * time.Second)
				c.check()
			})
		})
	}
}

// TestLog_Outage guards against work that stops during an outage of the log,
// against a wrong "not run" outcome, and against a lost backlog of records.
func TestLog_Outage(t *testing.T) {
	runSimulated(t, func(ctx context.Context, t *testing.T) {
		c := newCluster(t, 2, 1)
		n := c.start(ctx, "a")
		c.waitForOwner(3 * time.Second)
		if _, err := n.Submit(ctx, submission("j1", 10)); err != nil {
			t.Fatal(err)
		}
		c.waitUntil(time.Second, "running tasks", func() bool { return states(n, "j1")[modeler.TaskRunning] == 8 })
		c.log.setDown(true)
		c.finishAll()
		c.waitUntil(time.Second, "starts without the log", func() bool { return c.executions("j1/9") == 1 })
		_, err := n.Submit(ctx, submission("j2", 1))
		if got := refusalOf(t, err); got.Outcome != modeler.OutcomeNotRun || got.Code != modeler.CodeLogDown {
			t.Errorf("submission during the outage: %v", got)
		}
		if _, err := n.Call(ctx, modeler.CallMsg{
			Partition: "costa-1", Team: "humo", Service: "air", Request: "r1", Idempotent: true, Timeout: time.Second,
		}); err != nil {
			t.Errorf("idempotent call during the outage: %v", err)
		}
		time.Sleep(2 * time.Minute)
		c.finishAll()
		c.log.setDown(false)
		c.waitUntil(3*time.Second, "finished job", func() bool { return states(n, "j1")[modeler.TaskFinished] == 10 })
		if _, found := n.Job("humo", "j2"); found {
			t.Error("a job that was refused as not run is in the log")
		}
		c.check()
	})
}

// TestLog_LostAnswers guards against a batch that is applied twice or not at all
// after the log's answer was lost, and against a wrong outcome if the log goes
// down during an append.
func TestLog_LostAnswers(t *testing.T) {
	runSimulated(t, func(ctx context.Context, t *testing.T) {
		c := newCluster(t, 2, 0)
		n := c.start(ctx, "a")
		c.waitForOwner(3 * time.Second)
		c.log.mu.Lock()
		c.log.loseAnswers = 3
		c.log.mu.Unlock()
		if _, err := n.Submit(ctx, submission("j1", 2)); err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Second)
		c.log.setDown(true)
		_, err := n.Submit(ctx, submission("j2", 1))
		got := refusalOf(t, err)
		if got.Outcome != modeler.OutcomeUnknown || got.Code != modeler.CodeLostAnswer {
			t.Errorf("submission with an unconfirmed append: %v", got)
		}
		c.log.setDown(false)
		if again, err := n.Submit(ctx, submission("j2", 1)); err != nil || !again.Duplicate {
			t.Errorf("repeated submission: %+v, %v", again, err)
		}
		c.waitUntil(time.Second, "running tasks", func() bool { return c.executions("j1/0")+c.executions("j1/1")+c.executions("j2/0") == 3 })
		c.check()
	})
}

// TestTakeover_WithoutLog guards against a partition that stays without an owner
// after its owner fails during an outage of the log.
func TestTakeover_WithoutLog(t *testing.T) {
	runSimulated(t, func(ctx context.Context, t *testing.T) {
		c := newCluster(t, 3, 0)
		first := c.startThree(ctx)
		if _, err := first.Submit(ctx, submission("j1", 14)); err != nil {
			t.Fatal(err)
		}
		c.waitUntil(time.Second, "running tasks", func() bool { return states(first, "j1")[modeler.TaskRunning] == 12 })
		c.log.setDown(true)
		c.kill(first)
		second := c.waitForOwner(5 * time.Second)
		c.finishAll()
		c.waitUntil(3*time.Second, "starts without the log", func() bool { return c.executions("j1/12") == 1 && c.executions("j1/13") == 1 })
		_, err := second.Submit(ctx, submission("j2", 1))
		if got := refusalOf(t, err); got.Outcome != modeler.OutcomeNotRun {
			t.Errorf("submission without the log: %v", got)
		}
		c.finishAll()
		c.log.setDown(false)
		c.waitUntil(5*time.Second, "finished job", func() bool { return states(second, "j1")[modeler.TaskFinished] == 14 })
		if _, err := second.Submit(ctx, submission("j2", 1)); err != nil {
			t.Errorf("submission after the outage: %v", err)
		}
		c.check()
	})
}

// TestSnapshot_LateReader guards against an instance that starts after old
// records have expired and takes over the partition without its jobs.
func TestSnapshot_LateReader(t *testing.T) {
	runSimulated(t, func(ctx context.Context, t *testing.T) {
		c := newCluster(t, 3, 0)
		c.retention = 2 * time.Minute
		first := c.start(ctx, "a")
		c.waitForOwner(3 * time.Second)
		if _, err := first.Submit(ctx, submission("j1", 14)); err != nil {
			t.Fatal(err)
		}
		c.waitUntil(2*time.Second, "running tasks", func() bool { return states(first, "j1")[modeler.TaskRunning] == 12 })
		time.Sleep(6 * time.Minute)
		c.log.expire(2 * time.Minute)
		late := c.start(ctx, "b")
		time.Sleep(2 * time.Second)
		c.kill(first)
		c.waitForOwner(5 * time.Second)
		c.finishAll()
		time.Sleep(2 * time.Second)
		c.finishAll()
		c.waitUntil(3*time.Second, "finished job", func() bool { return states(late, "j1")[modeler.TaskFinished] == 14 })
		c.check()
	})
}
