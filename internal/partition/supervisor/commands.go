package supervisor

import (
	"context"
	"sync"
	"time"

	"gitlab.com/greengagewall/greengagewall/internal/domain/modeler"
)

const (
	// finishTimeout bounds the time for which a draining owner waits for calls
	// before it hands its partitions over. Longer calls finish after the
	// handover.
	finishTimeout = 2 * time.Second
	// drainPollInterval is the interval at which a drain polls the runners.
	drainPollInterval = 25 * time.Millisecond
	// handOverTimeout bounds one request to take over a partition.
	handOverTimeout = 2 * time.Second
)

// Submit implements modeler.Commands.
func (s *Supervisor) Submit(ctx context.Context, msg modeler.SubmitMsg) (modeler.SubmitReply, error) {
	r, err := s.runnerOf(msg.Partition)
	if err != nil {
		return modeler.SubmitReply{}, err
	}

	return r.Submit(ctx, msg)
}

// Cancel implements modeler.Commands.
func (s *Supervisor) Cancel(ctx context.Context, msg modeler.CancelMsg) error {
	r, err := s.runnerOf(msg.Partition)
	if err != nil {
		return err
	}

	return r.Cancel(ctx, msg)
}

// Call implements modeler.Commands.
func (s *Supervisor) Call(ctx context.Context, msg modeler.CallMsg) (modeler.CallReply, error) {
	r, err := s.runnerOf(msg.Partition)
	if err != nil {
		return modeler.CallReply{}, err
	}

	return r.Call(ctx, msg)
}

// Resolve implements modeler.Commands.
func (s *Supervisor) Resolve(ctx context.Context, msg modeler.ResolveMsg) (modeler.ResolveReply, error) {
	r, err := s.runnerOf(msg.Partition)
	if err != nil {
		return modeler.ResolveReply{}, err
	}

	return r.Resolve(ctx, msg)
}

// TransferTokens implements modeler.Commands. msg.Partition transfers the tokens.
func (s *Supervisor) TransferTokens(ctx context.Context, msg modeler.TokensMsg) error {
	r, err := s.runnerOf(msg.Partition)
	if err != nil {
		return err
	}

	return r.TransferTokens(ctx, msg)
}

// TakeOver implements modeler.Commands.
func (s *Supervisor) TakeOver(_ context.Context, msg modeler.TakeOverMsg) error {
	r, err := s.runnerOf(msg.Partition)
	if err != nil {
		return err
	}
	if s.draining.Load() {
		return modeler.NotRun(modeler.CodeDraining, 0, "this instance is shutting down")
	}
	r.TakeOver(msg.Term)

	return nil
}

// Drain prepares for the end of the process. It refuses new work, waits for calls
// in progress, and hands each partition over to its first successor that accepts
// it. It returns when this instance owns no partition and no calls are in
// progress, or when ctx is done; the caller then cancels the context of Run.
func (s *Supervisor) Drain(ctx context.Context) {
	s.draining.Store(true)
	runners := s.sortedRunners()
	for _, r := range runners {
		r.Drain()
	}
	var group sync.WaitGroup
	for _, r := range runners {
		group.Go(func() { s.drain(ctx, r) })
	}
	group.Wait()
}

// drain waits for the calls of one partition and hands the partition over.
func (s *Supervisor) drain(ctx context.Context, r *managedRunner) {
	finishCtx, cancel := context.WithTimeout(ctx, finishTimeout)
	waitUntil(finishCtx, func() bool { return !r.Busy() })
	cancel()
	for r.Owning() && ctx.Err() == nil {
		s.handOver(ctx, r)
	}
	waitUntil(ctx, func() bool { return !r.Busy() })
}

// handOver requests the successors of a partition, one after the other, to take
// it over, and waits until one has done so.
func (s *Supervisor) handOver(ctx context.Context, r *managedRunner) {
	ownership := r.Ownership()
	for _, successor := range ownership.Successors {
		if s.peers == nil || !r.Owning() {
			break
		}
		askCtx, cancel := context.WithTimeout(ctx, handOverTimeout)
		err := s.peers.HandOver(askCtx, successor, modeler.TakeOverMsg{Partition: ownership.Partition, Term: ownership.Term})
		if err != nil {
			s.settings.Logger.Warn("successor does not take the partition", "partition", ownership.Partition, "successor", successor, "error", err)
		} else {
			waitUntil(askCtx, func() bool { return !r.Owning() })
		}
		cancel()
	}
	if !r.Owning() || ctx.Err() != nil {
		return
	}
	// No successor has taken it over. A peer that sees this instance draining in
	// its heartbeats claims it.
	waitCtx, cancel := context.WithTimeout(ctx, handOverTimeout)
	waitUntil(waitCtx, func() bool { return !r.Owning() })
	cancel()
}

// waitUntil polls until condition returns true or ctx is done.
func waitUntil(ctx context.Context, condition func() bool) {
	ticker := time.NewTicker(drainPollInterval)
	defer ticker.Stop()
	for !condition() {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}
