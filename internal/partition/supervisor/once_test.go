package supervisor

import (
	"context"
	"strconv"
	"testing"
	"time"

	"gitlab.com/greengagewall/greengagewall/internal/domain/modeler"
)

func itoa(i int) string { return strconv.Itoa(i) }

// setFaults makes the endpoint drop requests or answers.
func (e *fakeEndpoint) setFaults(dropRequests, dropAnswers bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.dropRequests, e.dropAnswers = dropRequests, dropAnswers
}

// onceCall returns a non-idempotent call.
func onceCall(id string) modeler.CallMsg {
	return modeler.CallMsg{
		Partition: "costa-1", Team: "humo", Service: "recall", Request: modeler.RequestID(id), Body: []byte(id), Timeout: 2 * time.Second,
	}
}

// TestOnceCall_LostAnswer guards against a non-idempotent call that is executed
// twice after a lost answer, and against an unknown outcome that cannot be
// resolved.
func TestOnceCall_LostAnswer(t *testing.T) {
	runSimulated(t, func(ctx context.Context, t *testing.T) {
		c := newCluster(t, 2, 1)
		n := c.start(ctx, "a")
		c.waitForOwner(3 * time.Second)
		executor := c.endpoints["executor-0"]
		executor.callTime = 100 * time.Millisecond
		go func() {
			time.Sleep(80 * time.Millisecond)
			executor.setFaults(false, true)
			time.Sleep(4 * time.Second)
			executor.setFaults(false, false)
		}()
		_, err := n.Call(ctx, onceCall("r1"))
		if got := refusalOf(t, err); got.Outcome != modeler.OutcomeUnknown {
			t.Errorf("call whose answer was lost: %v", got)
		}
		_, err = n.Call(ctx, onceCall("r1"))
		if got := refusalOf(t, err); got.Outcome != modeler.OutcomeUnknown {
			t.Errorf("repeated call: %v", got)
		}
		time.Sleep(5 * time.Second)
		resolved, err := n.Resolve(ctx, modeler.ResolveMsg{Partition: "costa-1", Team: "humo", Request: "r1"})
		if err != nil || resolved.Outcome != modeler.OutcomeRan || string(resolved.Answer) != "answer to r1" {
			t.Errorf("resolved: %+v, %v", resolved, err)
		}
		if again, err := n.Call(ctx, onceCall("r1")); err != nil || !again.Duplicate {
			t.Errorf("call after resolving: %+v, %v", again, err)
		}
		neverSent, err := n.Resolve(ctx, modeler.ResolveMsg{Partition: "costa-1", Team: "humo", Request: "r2"})
		if err != nil || neverSent.Outcome != modeler.OutcomeNotRun {
			t.Errorf("request that was never sent: %+v, %v", neverSent, err)
		}
		_, err = n.Call(ctx, onceCall("r2"))
		if got := refusalOf(t, err); got.Outcome != modeler.OutcomeNotRun || c.executions("r2") != 0 {
			t.Errorf("call of a voided request: %v", got)
		}
		if got := c.executions("r1"); got != 1 {
			t.Errorf("request was executed %d times", got)
		}
		c.check()
	})
}

// TestOnceJob_UnknownAfterLeaseExpiry guards against a second execution of a job
// that may run only once, after the loss of its endpoint.
func TestOnceJob_UnknownAfterLeaseExpiry(t *testing.T) {
	runSimulated(t, func(ctx context.Context, t *testing.T) {
		c := newCluster(t, 3, 0)
		first := c.startThree(ctx)
		msg := submission("j1", 1)
		msg.Job.Once = true
		if _, err := first.Submit(ctx, msg); err != nil {
			t.Fatal(err)
		}
		c.waitUntil(time.Second, "running tasks", func() bool { return states(first, "j1")[modeler.TaskRunning] == 1 })
		c.host().setFaults(true, false)
		c.kill(first)
		second := c.waitForOwner(5 * time.Second)
		c.waitUntil(15*time.Second, "unknown tasks", func() bool { return states(second, "j1")[modeler.TaskUnknown] == 1 })
		if c.executions("j1/0") != 1 {
			t.Error("a task was executed again")
		}
		c.check()
	})
}

// TestCancel_StopsAllTasks guards against tasks of a cancelled job that start or
// continue to run.
func TestCancel_StopsAllTasks(t *testing.T) {
	runSimulated(t, func(ctx context.Context, t *testing.T) {
		c := newCluster(t, 2, 0)
		n := c.start(ctx, "a")
		c.waitForOwner(3 * time.Second)
		if _, err := n.Submit(ctx, submission("j1", 12)); err != nil {
			t.Fatal(err)
		}
		c.waitUntil(time.Second, "running tasks", func() bool { return states(n, "j1")[modeler.TaskRunning] == 8 })
		if err := n.Cancel(ctx, modeler.CancelMsg{Partition: "costa-1", Team: "other", Job: "j1"}); err == nil {
			t.Error("another team cancelled the job")
		}
		if err := n.Cancel(ctx, modeler.CancelMsg{Partition: "costa-1", Team: "humo", Job: "j1"}); err != nil {
			t.Fatal(err)
		}
		c.waitUntil(3*time.Second, "cancelled tasks", func() bool { return states(n, "j1")[modeler.TaskCancelled] == 12 })
		c.check()
	})
}

// TestSubmit_Refusals guards against jobs that are accepted although they can
// never run or their queue is full.
func TestSubmit_Refusals(t *testing.T) {
	runSimulated(t, func(ctx context.Context, t *testing.T) {
		c := newCluster(t, 2, 0)
		c.document.Queues = []modeler.Queue{{Name: "q", Depth: 1}}
		n := c.start(ctx, "a")
		c.waitForOwner(3 * time.Second)
		time.Sleep(time.Second)
		for name, test := range map[string]struct {
			change func(j *modeler.Job)
			code   modeler.Code
		}{
			"task too large":     {func(j *modeler.Job) { j.Needs.Millis = 4001 }, modeler.CodeNeverFits},
			"gang too large":     {func(j *modeler.Job) { j.Kind, j.Tasks = modeler.WorkGang, 9 }, modeler.CodeNeverFits},
			"above the limit":    {func(j *modeler.Job) { j.Needs.Accelerators = 1 }, modeler.CodeOverLimit},
			"unknown team":       {func(j *modeler.Job) { j.Team = "nobody" }, modeler.CodeWrongTeam},
			"job without a task": {func(j *modeler.Job) { j.Tasks = 0 }, modeler.CodeBadRequest},
		} {
			msg := submission("x", 1)
			test.change(&msg.Job)
			_, err := n.Submit(ctx, msg)
			if got := refusalOf(t, err); got.Code != test.code || got.Outcome != modeler.OutcomeNotRun {
				t.Errorf("%s: %v", name, got)
			}
		}
		if _, err := n.Submit(ctx, submission("j1", 20)); err != nil {
			t.Fatal(err)
		}
		_, err := n.Submit(ctx, submission("j2", 1))
		if got := refusalOf(t, err); got.Code != modeler.CodeQueueFull {
			t.Errorf("submission to a full queue: %v", got)
		}
		c.check()
	})
}

// TestDrain_KeepsCallsAndOwnership guards against a graceful shutdown that loses a
// call in progress or leaves the partition without an owner.
func TestDrain_KeepsCallsAndOwnership(t *testing.T) {
	runSimulated(t, func(ctx context.Context, t *testing.T) {
		c := newCluster(t, 2, 1)
		first := c.startThree(ctx)
		c.endpoints["executor-0"].callTime = 3 * time.Second
		answered := make(chan error, 1)
		go func() {
			msg := onceCall("r1")
			msg.Timeout = 5 * time.Second
			_, err := first.Call(ctx, msg)
			answered <- err
		}()
		time.Sleep(200 * time.Millisecond)
		begin := time.Now()
		drainCtx, cancel := context.WithTimeout(ctx, 10*time.Second)
		defer cancel()
		first.Drain(drainCtx)
		if err := <-answered; err != nil {
			t.Errorf("call during the drain: %v", err)
		}
		if took := time.Since(begin); took > 4*time.Second {
			t.Errorf("the drain took %s", took)
		}
		first.stop()
		<-first.Done()
		if second := c.waitForOwner(2 * time.Second); second == first {
			t.Error("the drained instance still owns the partition")
		}
		c.check()
	})
}

// TestTokens_MoveOnDemand guards against a limit that is exceeded, or that cannot
// be used in full, when all work of a team is in one partition.
func TestTokens_MoveOnDemand(t *testing.T) {
	runSimulated(t, func(ctx context.Context, t *testing.T) {
		c := newCluster(t, 4, 0)
		c.document.Partitions = append(c.document.Partitions, modeler.Partition{Name: "sierra-1", Region: "sierra", Weight: 1})
		c.document.Teams[0].Limit = modeler.Resources{Millis: 8000, Memory: 8 * gib}
		n := c.start(ctx, "a")
		c.waitUntil(3*time.Second, "an owner", func() bool {
			for _, load := range n.Loads() {
				if load.Partition == "costa-1" && load.Ready {
					return len(n.Loads()) == 2
				}
			}

			return false
		})
		if _, err := n.Submit(ctx, submission("j1", 12)); err != nil {
			t.Fatal(err)
		}
		highest := 0
		c.waitUntil(20*time.Second, "use of the whole limit", func() bool {
			running := 0
			for _, e := range c.endpoints {
				e.mu.Lock()
				running += len(e.tasks)
				e.mu.Unlock()
			}
			highest = max(highest, running)

			return running >= 7
		})
		time.Sleep(5 * time.Second)
		if highest > 8 {
			t.Errorf("%d tasks ran, the limit is 8", highest)
		}
		c.check()
	})
}
