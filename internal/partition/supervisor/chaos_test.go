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

// storm is a cluster under random faults with callers that check the answers.
type storm struct {
	*cluster
	random *rand.Rand
	group  sync.WaitGroup
	born   int

	mu       sync.Mutex
	outcomes map[string]modeler.Outcome
	// cancelled holds the jobs that somebody tried to cancel.
	cancelled map[string]bool
}

// alive returns the running instances.
func (s *storm) alive() []*node {
	s.cluster.mu.Lock()
	defer s.cluster.mu.Unlock()
	nodes := make([]*node, 0, len(s.nodes))
	for _, n := range s.nodes {
		nodes = append(nodes, n)
	}

	return nodes
}

// anywhere tries instances until one owns the partition, as a dispatcher does.
func (s *storm) anywhere(ctx context.Context, try func(n *node) error) error {
	err := error(modeler.NotRun(modeler.CodeNoOwner, 0, "nobody"))
	for ctx.Err() == nil {
		for _, n := range s.alive() {
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

// note keeps the outcome that a caller was told.
func (s *storm) note(item string, err error) {
	outcome := modeler.OutcomeRan
	var refusal *modeler.Refusal
	if errors.As(err, &refusal) {
		outcome = refusal.Outcome
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.outcomes[item] = outcome
}

// callers submit jobs and non-idempotent calls until ctx ends.
func (s *storm) callers(ctx context.Context) {
	for i := 0; ctx.Err() == nil; i++ {
		s.group.Go(func() {
			ask, cancel := context.WithTimeout(context.Background(), 8*time.Second)
			defer cancel()
			if i%2 == 0 {
				msg := submission(fmt.Sprintf("j%d", i), 1+i%5)
				msg.Job.Once = i%6 == 0
				s.note(string(msg.Job.ID), s.anywhere(ask, func(n *node) error {
					_, err := n.Submit(ask, msg)

					return err
				}))

				return
			}
			msg := notice(fmt.Sprintf("r%d", i))
			s.note(string(msg.Request), s.anywhere(ask, func(n *node) error {
				reply, err := n.Call(ask, msg)
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
func (s *storm) fault(ctx context.Context) {
	nodes := s.alive()
	n := nodes[s.random.IntN(len(nodes))]
	ids := []modeler.InstanceID{"worker-0", "worker-1", "worker-2", "worker-3", "executor-0", "executor-1"}
	e := s.endpoints[ids[s.random.IntN(len(ids))]]
	hold := time.Duration(s.random.IntN(9000)) * time.Millisecond
	switch s.random.IntN(9) {
	case 0:
		s.kill(n)
		s.born++
		s.start(ctx, modeler.InstanceID(fmt.Sprintf("n%d", s.born)))
	case 1:
		n.cutOff(true)
		time.AfterFunc(hold, func() { n.cutOff(false) })
	case 2:
		e.setFaults(true, false)
		time.AfterFunc(hold, func() { e.setFaults(false, false) })
	case 3:
		e.setFaults(false, true)
		time.AfterFunc(hold, func() { e.setFaults(false, false) })
	case 4:
		s.log.set(true)
		time.AfterFunc(hold, func() { s.log.set(false) })
	case 5:
		s.log.mu.Lock()
		s.log.lose = s.random.IntN(4)
		s.log.mu.Unlock()
	case 6:
		e.restart()
	case 7:
		s.cancelOne(ctx)
	case 8:
		s.drainOne(ctx, n)
	}
}

// cancelOne cancels some job that was accepted.
func (s *storm) cancelOne(ctx context.Context) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for item, outcome := range s.outcomes {
		if item[0] != 'j' || outcome != modeler.OutcomeRan || s.cancelled[item] {
			continue
		}
		s.cancelled[item] = true
		s.group.Go(func() {
			ask, cancel := context.WithTimeout(ctx, 5*time.Second)
			defer cancel()
			_ = s.anywhere(ask, func(n *node) error {
				return n.Cancel(ask, modeler.CancelMsg{Partition: "costa-1", Team: "humo", Job: modeler.JobID(item)})
			})
		})

		return
	}
}

// drainOne replaces an instance by way of a graceful shutdown.
func (s *storm) drainOne(ctx context.Context, n *node) {
	s.cluster.mu.Lock()
	n.draining = true
	s.cluster.mu.Unlock()
	drain, cancel := context.WithTimeout(ctx, 5*time.Second)
	defer cancel()
	n.Drain(drain)
	s.kill(n)
	s.born++
	s.start(ctx, modeler.InstanceID(fmt.Sprintf("n%d", s.born)))
}

// verify checks the answers against what was executed.
func (s *storm) verify(ctx context.Context, n *node) {
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

// verifyJob checks one job.
func (s *storm) verifyJob(n *node, id modeler.JobID, outcome modeler.Outcome) {
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

// TestChaos_KeepsPromises guards against any sequence of faults that runs work
// twice, loses accepted work or makes an answer false.
func TestChaos_KeepsPromises(t *testing.T) {
	seeds := uint64(4)
	if testing.Short() {
		seeds = 1
	}
	for seed := range seeds {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			run(t, func(ctx context.Context, t *testing.T) {
				s := &storm{
					cluster: newCluster(t, 4, 2), random: rand.New(rand.NewPCG(seed, 0)), outcomes: map[string]modeler.Outcome{}, cancelled: map[string]bool{},
				}
				for id, e := range s.endpoints {
					e.callTime, e.runFor = 30*time.Millisecond, time.Duration(100+len(id)*50)*time.Millisecond
				}
				s.trio(ctx)
				busy, cancel := context.WithTimeout(ctx, time.Minute)
				s.group.Go(func() { s.callers(busy) })
				for busy.Err() == nil {
					time.Sleep(time.Duration(s.random.IntN(4000)) * time.Millisecond)
					s.fault(ctx)
				}
				cancel()
				s.group.Wait()
				time.Sleep(30 * time.Second)
				n := s.owner(5 * time.Second)
				s.verify(ctx, n)
				if err := chainer.Verify(n.Export("humo")["costa-1"]); err != nil {
					t.Error(err)
				}
				s.check()
			})
		})
	}
}
