package supervisor

import (
	"context"
	"sync"
	"time"

	"gitlab.com/greengagewall/greengagewall/internal/domain/modeler"
)

const (
	// finishFor bounds how long a draining owner finishes calls before it
	// hands its partitions over; calls that last longer are finished after.
	finishFor = 2 * time.Second
	// drainPoll is the pace at which a drain looks at the runners.
	drainPoll = 25 * time.Millisecond
	// handOverTimeout bounds one request to take over a partition.
	handOverTimeout = 2 * time.Second
)

// Submit implements modeler.Commands.
func (s *Supervisor) Submit(ctx context.Context, msg modeler.SubmitMsg) (modeler.SubmitReply, error) {
	r, err := s.find(msg.Partition)
	if err != nil {
		return modeler.SubmitReply{}, err
	}

	return r.Submit(ctx, msg)
}

// Cancel implements modeler.Commands.
func (s *Supervisor) Cancel(ctx context.Context, msg modeler.CancelMsg) error {
	r, err := s.find(msg.Partition)
	if err != nil {
		return err
	}

	return r.Cancel(ctx, msg)
}

// Call implements modeler.Commands.
func (s *Supervisor) Call(ctx context.Context, msg modeler.CallMsg) (modeler.CallReply, error) {
	r, err := s.find(msg.Partition)
	if err != nil {
		return modeler.CallReply{}, err
	}

	return r.Call(ctx, msg)
}

// Resolve implements modeler.Commands.
func (s *Supervisor) Resolve(ctx context.Context, msg modeler.ResolveMsg) (modeler.ResolveReply, error) {
	r, err := s.find(msg.Partition)
	if err != nil {
		return modeler.ResolveReply{}, err
	}

	return r.Resolve(ctx, msg)
}

// GiveTokens implements modeler.Commands; msg.Partition is the giver.
func (s *Supervisor) GiveTokens(ctx context.Context, msg modeler.TokensMsg) error {
	r, err := s.find(msg.Partition)
	if err != nil {
		return err
	}

	return r.GiveTokens(ctx, msg)
}

// TakeOver implements modeler.Commands.
func (s *Supervisor) TakeOver(_ context.Context, partition modeler.PartitionID) error {
	r, err := s.find(partition)
	if err != nil {
		return err
	}
	if s.draining.Load() {
		return modeler.NotRun(modeler.CodeDraining, 0, "this instance is shutting down")
	}
	r.TakeOver()

	return nil
}

// Drain prepares for the end of the process: new work is refused, open calls
// are finished, and each partition is handed to its first successor that takes
// it. It returns when nothing is left to do or ctx ends; the caller then ends
// the context of Run.
func (s *Supervisor) Drain(ctx context.Context) {
	s.draining.Store(true)
	runners := s.all()
	for _, r := range runners {
		r.Drain()
	}
	var group sync.WaitGroup
	for _, r := range runners {
		group.Go(func() { s.drain(ctx, r) })
	}
	group.Wait()
}

// drain finishes the calls of one partition and hands it over.
func (s *Supervisor) drain(ctx context.Context, r *running) {
	finish, cancel := context.WithTimeout(ctx, finishFor)
	until(finish, func() bool { return !r.Busy() })
	cancel()
	for r.Owning() && ctx.Err() == nil {
		s.handOver(ctx, r)
	}
	until(ctx, func() bool { return !r.Busy() })
}

// handOver asks the successors of a partition, one after the other, to take it
// over, and waits until one has.
func (s *Supervisor) handOver(ctx context.Context, r *running) {
	owned := r.Ownership()
	for _, successor := range owned.Successors {
		if s.peers == nil || !r.Owning() {
			break
		}
		ask, cancel := context.WithTimeout(ctx, handOverTimeout)
		err := s.peers.HandOver(ask, successor, owned.Partition)
		if err != nil {
			s.set.Logger.Warn("successor does not take the partition", "partition", owned.Partition, "successor", successor, "error", err)
		} else {
			until(ask, func() bool { return !r.Owning() })
		}
		cancel()
	}
	if !r.Owning() || ctx.Err() != nil {
		return
	}
	// Nobody took it: a peer that sees this instance draining claims it.
	pause, cancel := context.WithTimeout(ctx, handOverTimeout)
	until(pause, func() bool { return !r.Owning() })
	cancel()
}

// until polls a condition until it holds or ctx ends.
func until(ctx context.Context, holds func() bool) {
	ticker := time.NewTicker(drainPoll)
	defer ticker.Stop()
	for !holds() {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}
