package supervisor

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gitlab.com/greengagewall/greengagewall/internal/domain/modeler"
	"gitlab.com/greengagewall/greengagewall/internal/record/chainer"
)

// runSimulated runs a test in virtual time with a context that ends with the test.
func runSimulated(t *testing.T, test func(ctx context.Context, t *testing.T)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		// The goroutines must also end if the test fails. Otherwise synctest
		// reports a deadlock and hides the reason.
		defer time.Sleep(time.Minute)
		defer cancel()
		test(ctx, t)
	})
}

func submission(id string, tasks int) modeler.SubmitMsg {
	return modeler.SubmitMsg{Partition: "costa-1", Job: modeler.Job{
		ID: modeler.JobID(id), Team: "humo", Queue: "q", Kind: modeler.WorkBatch, Class: modeler.ClassStandard, Tasks: tasks,
		Needs: modeler.Resources{Millis: 1000, Memory: gib}, Accepted: time.Now(),
	}}
}

// states counts the tasks of a job by state according to a node's stream.
func states(n *node, id modeler.JobID) map[modeler.TaskState]int {
	counts := map[modeler.TaskState]int{}
	status, _ := n.Job("humo", id)
	for _, task := range status.Tasks {
		counts[task.State]++
	}

	return counts
}

// finishAll ends every running task successfully.
func (c *cluster) finishAll() {
	for _, e := range c.endpoints {
		e.mu.Lock()
		ids := make([]modeler.TaskID, 0, len(e.tasks))
		for id := range e.tasks {
			ids = append(ids, id)
		}
		e.mu.Unlock()
		for _, id := range ids {
			e.end(id, true, "")
		}
	}
}

// TestSubmit_RunsToCompletion guards against a failure at any stage from the
// submission through the log and the endpoints to the records.
func TestSubmit_RunsToCompletion(t *testing.T) {
	runSimulated(t, func(ctx context.Context, t *testing.T) {
		c := newCluster(t, 3, 0)
		n := c.start(ctx, "a")
		c.waitForOwner(3 * time.Second)
		reply, err := n.Submit(ctx, submission("j1", 6))
		if err != nil || reply.Head == "" {
			t.Fatalf("submit: %+v, %v", reply, err)
		}
		if again, err := n.Submit(ctx, submission("j1", 6)); err != nil || !again.Duplicate {
			t.Fatalf("second submit: %+v, %v", again, err)
		}
		c.waitUntil(2*time.Second, "running tasks", func() bool { return states(n, "j1")[modeler.TaskRunning] == 6 })
		c.finishAll()
		c.waitUntil(2*time.Second, "finished job", func() bool { return states(n, "j1")[modeler.TaskFinished] == 6 })
		for _, records := range n.Export("humo") {
			if err := chainer.Verify(records); err != nil {
				t.Error(err)
			}
		}
		c.check()
	})
}

// TestCall_AnswersEachCaller guards against answers that reach the wrong caller
// and against executor slots that are overcommitted or leak.
func TestCall_AnswersEachCaller(t *testing.T) {
	runSimulated(t, func(ctx context.Context, t *testing.T) {
		c := newCluster(t, 0, 2)
		for _, e := range c.endpoints {
			e.callTime = 20 * time.Millisecond
		}
		n := c.start(ctx, "a")
		c.waitForOwner(3 * time.Second)
		errs := make(chan error)
		for i := range 40 {
			go func() {
				body := fmt.Sprintf("body-%d", i)
				reply, err := n.Call(ctx, modeler.CallMsg{
					Partition: "costa-1", Team: "humo", Service: "air", Request: modeler.RequestID(fmt.Sprintf("r%d", i)),
					Idempotent: i%2 == 0, Body: []byte(body), Timeout: 5 * time.Second,
				})
				if err == nil && string(reply.Answer) != "answer to "+body {
					err = fmt.Errorf("call %d got %q", i, reply.Answer)
				}
				errs <- err
			}()
		}
		for range 40 {
			if err := <-errs; err != nil {
				t.Error(err)
			}
		}
		c.check()
	})
}
