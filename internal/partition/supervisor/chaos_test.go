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
func (s *chaosCluster) instances() []*node {
	s.cluster.mu.Lock()
	defer s.cluster.mu.Unlock()
	nodes := make([]*node, 0, len(s.nodes))
	for _, n := range s.nodes {
		nodes = append(nodes, n)
	}

	return nodes
}

// tryInstances tries instances until one owns the partition, as a dispatcher
// does.
func (s *chaosCluster) tryInstances(ctx context.Context, try func(n *node) error) error {
	err := error(modeler.NotRun(modeler.CodeNoOwner, 0, "nobody"))
	for ctx.Err() == nil {
		for _, n := range s.instances() {
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
func (s *chaosCluster) recordOutcome(item string, err error) {
	outcome := modeler.OutcomeRan
	var refusal *modeler.Refusal
	if errors.As(err, &refusal) {
		outcome = refusal.Outcome
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.outcomes[item] = outcome
}

// callers submits jobs and non-idempotent calls until ctx is done.
func (s *chaosCluster) callers(ctx context.Context) {
	for i := 0; ctx.Err() == nil; i++ {
		s.group.Go(func() {
			askCtx, cancel := context.WithTimeout(context.Background(), 8*time.Second)
			defer cancel()
			if i%2 == 0 {
				msg := submission(fmt.Sprintf("j%d", i), 1+i%5)
				msg.Job.Once = i%6 == 0
				s.recordOutcome(string(msg.Job.ID), s.tryInstances(askCtx, func(n *node) error {
					_, err := n.Submit(askCtx, msg)

					return err
				}))

				return
			}
			msg := onceCall(fmt.Sprintf("r%d", i))
			s.recordOutcome(string(msg.Request), s.tryInstances(askCtx, func(n *node) error {
				reply, err := n.Call(askCtx, msg)
				if err == nil && string(reply.Answer) != "answer to "+string(msg.Request) {
					s.t.Errorf("request %s got %q", msg.Request, reply.Answer)
				}

				return err
			}))
		})
		time.Sleep(150 * time.Millisecond)
	}
}

// fault injects one random fault.
func (s *chaosCluster) injectFault(ctx context.Context) {
	nodes := s.instances()
	n := nodes[s.random.IntN(len(nodes))]
	ids := []modeler.InstanceID{"worker-0", "worker-1", "worker-2", "worker-3", "executor-0", "executor-1"}
	e := s.endpoints[ids[s.random.IntN(len(ids))]]
	duration := time.Duration(s.random.IntN(9000)) * time.Millisecond
	switch s.random.IntN(9) {
	case 0:
		s.kill(n)
		s.started++
		s.start(ctx, modeler.InstanceID(fmt.Sprintf("n%d", s.started)))
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
		s.log.setDown(true)
		time.AfterFunc(duration, func() { s.log.setDown(false) })
	case 5:
		s.log.mu.Lock()
		s.log.loseAnswers = s.random.IntN(4)
		s.log.mu.Unlock()
	case 6:
		e.restart()
	case 7:
		s.cancelOne(ctx)
	case 8:
		s.drainOne(ctx, n)
	}
}

// cancelOne cancels an arbitrary accepted job.
func (s *chaosCluster) cancelOne(ctx context.Context) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for item, outcome := range s.outcomes {
		if item[0] != 'j' || outcome != modeler.OutcomeRan || s.cancelled[item] {
			continue
		}
		s.cancelled[item] = true
		s.group.Go(func() {
			askCtx, cancel := context.WithTimeout(ctx, 5*time.Second)
			defer cancel()
			_ = s.tryInstances(askCtx, func(n *node) error {
				return n.Cancel(askCtx, modeler.CancelMsg{Partition: "costa-1", Team: "humo", Job: modeler.JobID(item)})
			})
		})

		return
	}
}

// drainOne shuts an instance down gracefully and replaces it.
func (s *chaosCluster) drainOne(ctx context.Context, n *node) {
	s.cluster.mu.Lock()
	n.draining = true
	s.cluster.mu.Unlock()
	drainCtx, cancel := context.WithTimeout(ctx, 5*time.Second)
	defer cancel()
	n.Drain(drainCtx)
	s.kill(n)
	s.started++
	s.start(ctx, modeler.InstanceID(fmt.Sprintf("n%d", s.started)))
}

// verify checks the outcomes against the executions at the endpoints.
func (s *chaosCluster) verify(ctx context.Context, n *node) {
	for item, outcome := range s.outcomes {
		if item[0] == 'j' {
			s.verifyJob(n, modeler.JobID(item), outcome)

			continue
		}
		count := s.executions(item)
		resolved, err := n.Resolve(ctx, modeler.ResolveMsg{Partition: "costa-1", Team: "humo", Request: modeler.RequestID(item)})
		switch {
		case err != nil:
			s.t.Errorf("request %s: %v", item, err)
		case count > 1:
			s.t.Errorf("request %s was executed %d times", item, count)
		case outcome == modeler.OutcomeRan && count != 1, outcome == modeler.OutcomeNotRun && count != 0:
			s.t.Errorf("request %s: answer was %q, executions %d", item, outcome, count)
		case resolved.Outcome == modeler.OutcomeRan && count != 1, resolved.Outcome == modeler.OutcomeNotRun && count != 0:
			s.t.Errorf("request %s: resolved as %q, executions %d", item, resolved.Outcome, count)
		case resolved.Outcome == modeler.OutcomeUnknown:
			s.t.Errorf("request %s cannot be resolved", item)
		}
	}
}

// verifyJob checks the outcome and the tasks of one job.
func (s *chaosCluster) verifyJob(n *node, id modeler.JobID, outcome modeler.Outcome) {
	status, found := n.Job("humo", id)
	switch {
	case !found && outcome == modeler.OutcomeRan:
		s.t.Errorf("accepted job %s is lost", id)
	case found && outcome == modeler.OutcomeNotRun:
		s.t.Errorf("job %s was refused as not run and is in the stream", id)
	}
	for _, task := range status.Tasks {
		count := s.executions(string(task.Task))
		switch {
		case status.Job.Once && count > 1:
			s.t.Errorf("task %s may run only once and was executed %d times", task.Task, count)
		case !task.State.Final():
			s.t.Errorf("task %s is still %s", task.Task, task.State)
		case task.State == modeler.TaskCancelled && s.cancelled[string(id)]:
		case !status.Job.Once && task.State != modeler.TaskFinished:
			s.t.Errorf("task %s ended as %s: %s", task.Task, task.State, task.Cause)
		case task.State == modeler.TaskFinished && count == 0:
			s.t.Errorf("task %s has finished without an execution", task.Task)
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
				s := &chaosCluster{
					cluster: newCluster(t, 4, 2), random: rand.New(rand.NewPCG(seed, 0)), outcomes: map[string]modeler.Outcome{}, cancelled: map[string]bool{},
				}
				for id, e := range s.endpoints {
					e.callTime, e.runFor = 30*time.Millisecond, time.Duration(100+len(id)*50)*time.Millisecond
				}
				s.startThree(ctx)
				loadCtx, cancel := context.WithTimeout(ctx, time.Minute)
				s.group.Go(func() { s.callers(loadCtx) })
				for loadCtx.Err() == nil {
					time.Sleep(time.Duration(s.random.IntN(4000)) * time.Millisecond)
					s.injectFault(ctx)
				}
				cancel()
				s.group.Wait()
				time.Sleep(30 * time.Second)
				n := s.waitForOwner(5 * time.Second)
				s.verify(ctx, n)
				if err := chainer.Verify(n.Export("humo")["costa-1"]); err != nil {
					t.Error(err)
				}
				s.check()
			})
		})
	}
}
