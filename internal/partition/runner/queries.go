package runner

import (
	"slices"

	"gitlab.com/greengagewall/greengagewall/internal/codec/encoder"
	"gitlab.com/greengagewall/greengagewall/internal/domain/modeler"
)

// Owning reports whether this instance owns the partition.
func (r *Runner) Owning() bool { return r.owning.Load() }

// Busy reports whether callers are waiting for calls or for the log.
func (r *Runner) Busy() bool { return r.busy.Load() }

// Load returns the load of the partition. It reports false if this instance does
// not own it.
func (r *Runner) Load() (modeler.Load, bool) {
	load := r.load.Load()
	if load == nil {
		return modeler.Load{}, false
	}

	return *load, true
}

// Job returns the state of a team's job according to the stream.
func (r *Runner) Job(team modeler.TeamID, id modeler.JobID) (modeler.JobStatus, bool) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	status, ok := r.state.Status(id)
	if !ok || status.Job.Team != team {
		return modeler.JobStatus{}, false
	}

	return status, true
}

// Records returns the records of a team's job or request, oldest first.
func (r *Runner) Records(team modeler.TeamID, item string) []modeler.Record {
	r.mu.RLock()
	defer r.mu.RUnlock()

	return r.state.Records(team, item)
}

// Export returns all records of a team in this partition, oldest first.
func (r *Runner) Export(team modeler.TeamID) []modeler.Record {
	r.mu.RLock()
	defer r.mu.RUnlock()
	chain, ok := r.state.Chains[team]
	if !ok {
		return nil
	}

	return slices.Clone(chain.Records)
}

// Ownership returns the owner, the term and the successors of the partition
// according to the stream.
func (r *Runner) Ownership() modeler.Ownership {
	r.mu.RLock()
	defer r.mu.RUnlock()

	return modeler.Ownership{
		Partition: r.state.Partition, Owner: r.state.Owner, Term: r.state.Term,
		Successors: slices.Clone(r.state.Successors), Next: r.state.NextOffset,
	}
}

// TransfersTo returns the released token transfers of this partition to another
// one.
func (r *Runner) TransfersTo(to modeler.PartitionID) []encoder.Transfer {
	r.mu.RLock()
	defer r.mu.RUnlock()
	var transfers []encoder.Transfer
	for _, transfer := range r.state.Transfers.Sent {
		if transfer.To == to && transfer.Released {
			transfers = append(transfers, transfer)
		}
	}

	return transfers
}
