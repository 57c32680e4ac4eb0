package supervisor

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"gitlab.com/greengagewall/greengagewall/internal/domain/modeler"
	"gitlab.com/greengagewall/greengagewall/internal/record/chainer"
)

// chaosCluster is a cluster with random faults and callers that check the
// answers.
type chaosCluster struct {
	*cluster
	random *rand.Rand
	group  sync.WaitGroup
	// started counts the instances started to replace others.
	started int

	mu       sync.Mutex
	outcomes map[string]modeler.Outcome
	// cancelled holds the jobs for which a cancellation was requested.
	cancelled map[string]bool
}

// instances returns the running instances.
func (c *chaosCluster) instances() []*node {
	c.cluster.mu.Lock()
	defer c.cluster.mu.Unlock()
	nodes := make([]*node, 0, len(c.nodes))
	for _, n := range c.nodes {
		nodes = append(nodes, n)
	}

	return nodes
}

// tryInstances tries instances until one owns the partition, as a dispatcher
// does.
func (c *chaosCluster) tryInstances(ctx context.Context, try func(n *node) error) error {
	err := error(modeler.NotRun(modeler.CodeNoOwner, 0, "nobody"))
	for ctx.Err() == nil {
		for _, n := range c.instances() {
			err = try(n)
			var refusal *modeler.Refusal
			if !errors.As(err, &refusal) || refusal.Outcome != modeler.OutcomeNotRun {
				return err
			}
		}
		time.Sleep(200 * time.Millisecond)
	}

	return err
}

// recordOutcome records the outcome that a caller received.
func (c *chaosCluster) recordOutcome(item string, err error) {
	outcome := modeler.OutcomeRan
	var refusal *modeler.Refusal
	if errors.As(err, &refusal) {
		outcome = refusal.Outcome
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.outcomes[item] = outcome
}

// callers submits jobs and non-idempotent calls until ctx is done.
func (c *chaosCluster) callers(ctx context.Context) {
	for i := 0; ctx.Err() == nil; i++ {
		c.group.Go(func() {
			askCtx, cancel := context.WithTimeout(context.Background(), 8*time.Second)
			defer cancel()
			if i%2 == 0 {
				msg := submission(fmt.Sprintf("j%d", i), 1+i%5)
				msg.Job.Once = i%6 == 0
				c.recordOutcome(string(msg.Job.ID), c.tryInstances(askCtx, func(n *node) error {
					_, err := n.Submit(askCtx, msg)

					return err
				}))

				return
			}
			msg := onceCall(fmt.Sprintf("r%d", i))
			c.recordOutcome(string(msg.Request), c.tryInstances(askCtx, func(n *node) error {
				reply, err := n.Call(askCtx, msg)
				if err == nil && string(reply.Answer) != "answer to "+string(msg.Request) {
					c.t.Errorf("request %s got %q", msg.Request, reply.Answer)
				}

				return err
			}))
		})
		time.Sleep(150 * time.Millisecond)
	}
}

// injectFault injects one random fault.
func (c *chaosCluster) injectFault(ctx context.Context) {
	nodes := c.instances()
	n := nodes[c.random.IntN(len(nodes))]
	ids := []modeler.InstanceID{"worker-0", "worker-1", "worker-2", "worker-3", "executor-0", "executor-1"}
	e := c.endpoints[ids[c.random.IntN(len(ids))]]
	duration := time.Duration(c.random.IntN(9000)) * time.Millisecond
	switch c.random.IntN(9) {
	case 0:
		c.kill(n)
		c.started++
		c.start(ctx, modeler.InstanceID(fmt.Sprintf("n%d", c.started)))
	case 1:
		n.setIsolated(true)
		time.AfterFunc(duration, func() { n.setIsolated(false) })
	case 2:
		e.setFaults(true, false)
		time.AfterFunc(duration, func() { e.setFaults(false, false) })
	case 3:
		e.setFaults(false, true)
		time.AfterFunc(duration, func() { e.setFaults(false, false) })
	case 4:
		c.log.setDown(true)
		time.AfterFunc(duration, func() { c.log.setDown(false) })
	case 5:
		c.log.mu.Lock()
		c.log.loseAnswers = c.random.IntN(4)
		c.log.mu.Unlock()
	case 6:
		e.restart()
	case 7:
		c.cancelOne(ctx)
	case 8:
		c.drainOne(ctx, n)
	}
}

// cancelOne cancels an arbitrary accepted job.
func (c *chaosCluster) cancelOne(ctx context.Context) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for item, outcome := range c.outcomes {
		if item[0] != 'j' || outcome != modeler.OutcomeRan || c.cancelled[item] {
			continue
		}
		c.cancelled[item] = true
		c.group.Go(func() {
			askCtx, cancel := context.WithTimeout(ctx, 5*time.Second)
			defer cancel()
			_ = c.tryInstances(askCtx, func(n *node) error {
				return n.Cancel(askCtx, modeler.CancelMsg{Partition: "costa-1", Team: "humo", Job: modeler.JobID(item)})
			})
		})

		return
	}
}

// drainOne shuts an instance down gracefully and replaces it.
func (c *chaosCluster) drainOne(ctx context.Context, n *node) {
	c.cluster.mu.Lock()
	n.draining = true
	c.cluster.mu.Unlock()
	drainCtx, cancel := context.WithTimeout(ctx, 5*time.Second)
	defer cancel()
	n.Drain(drainCtx)
	c.kill(n)
	c.started++
	c.start(ctx, modeler.InstanceID(fmt.Sprintf("n%d", c.started)))
}

// verify checks the outcomes against the executions at the endpoints.
func (c *chaosCluster) verify(ctx context.Context, n *node) {
	for item, outcome := range c.outcomes {
		if item[0] == 'j' {
			c.verifyJob(n, modeler.JobID(item), outcome)

			continue
		}
		count := c.executions(item)
		resolved, err := n.Resolve(ctx, modeler.ResolveMsg{Partition: "costa-1", Team: "humo", Request: modeler.RequestID(item)})
		switch {
		case err != nil:
			c.t.Errorf("request %s: %v", item, err)
		case count > 1:
			c.t.Errorf("request %s was executed %d times", item, count)
		case outcome == modeler.OutcomeRan && count != 1, outcome == modeler.OutcomeNotRun && count != 0:
			c.t.Errorf("request %s: answer was %q, executions %d", item, outcome, count)
		case resolved.Outcome == modeler.OutcomeRan && count != 1, resolved.Outcome == modeler.OutcomeNotRun && count != 0:
			c.t.Errorf("request %s: resolved as %q, executions %d", item, resolved.Outcome, count)
		case resolved.Outcome == modeler.OutcomeUnknown:
			c.t.Errorf("request %s cannot be resolved", item)
		}
	}
}

// verifyJob checks the outcome and the tasks of one job.
func (c *chaosCluster) verifyJob(n *node, id modeler.JobID, outcome modeler.Outcome) {
	status, found := n.Job("humo", id)
	switch {
	case !found && outcome == modeler.OutcomeRan:
		c.t.Errorf("accepted job %s is lost", id)
	case found && outcome == modeler.OutcomeNotRun:
		c.t.Errorf("job %s was refused as not run and is in the stream", id)
	}
	for _, task := range status.Tasks {
		count := c.executions(string(task.Task))
		switch {
		case status.Job.Once && count > 1:
			c.t.Errorf("task %s may run only once and was executed %d times", task.Task, count)
		case !task.State.Final():
			c.t.Errorf("task %s is still %s", task.Task, task.State)
		case task.State == modeler.TaskCancelled && c.cancelled[string(id)]:
		case !status.Job.Once && task.State != modeler.TaskFinished:
			c.t.Errorf("task %s ended as %s: %s", task.Task, task.State, task.Cause)
		case task.State == modeler.TaskFinished && count == 0:
			c.t.Errorf("task %s has finished without an execution", task.Task)
		}
	}
}

// TestChaos_Invariants guards against any sequence of faults after which work
// runs twice, accepted work is lost or an answer is wrong.
func TestChaos_Invariants(t *testing.T) {
	seeds := uint64(4)
	if testing.Short() {
		seeds = 1
	}
	for seed := range seeds {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			runSimulated(t, func(ctx context.Context, t *testing.T) {
				c := &chaosCluster{
					cluster: newCluster(t, 4, 2), random: rand.New(rand.NewPCG(seed, 0)), outcomes: map[string]modeler.Outcome{}, cancelled: map[string]bool{},
				}
				for id, e := range c.endpoints {
					e.callTime, e.runFor = 30*time.Millisecond, time.Duration(100+len(id)*50)*time.Millisecond
				}
				c.startThree(ctx)
				loadCtx, cancel := context.WithTimeout(ctx, time.Minute)
				c.group.Go(func() { c.callers(loadCtx) })
				for loadCtx.Err() == nil {
					time.Sleep(time.Duration(c.random.IntN(4000)) * time.Millisecond)
					c.injectFault(ctx)
				}
				cancel()
				c.group.Wait()
				time.Sleep(30 * time.Second)
				n := c.waitForOwner(5 * time.Second)
				c.verify(ctx, n)
				if err := chainer.Verify(n.Export("humo")["costa-1"]); err != nil {
					t.Error(err)
				}
				c.check()
			})
		})
	}
}
