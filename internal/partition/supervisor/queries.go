package supervisor

import "gitlab.com/greengagewall/greengagewall/internal/domain/modeler"

// Job implements modeler.Queries.
func (s *Supervisor) Job(team modeler.TeamID, job modeler.JobID) (modeler.JobStatus, bool) {
	for _, r := range s.sortedRunners() {
		if status, ok := r.Job(team, job); ok {
			return status, true
		}
	}

	return modeler.JobStatus{}, false
}

// Records implements modeler.Queries.
func (s *Supervisor) Records(team modeler.TeamID, item string) []modeler.Record {
	for _, r := range s.sortedRunners() {
		// A job or request has one home partition.
		if records := r.Records(team, item); len(records) > 0 {
			return records
		}
	}

	return nil
}

// Export implements modeler.Queries.
func (s *Supervisor) Export(team modeler.TeamID) map[modeler.PartitionID][]modeler.Record {
	export := map[modeler.PartitionID][]modeler.Record{}
	for _, r := range s.sortedRunners() {
		if records := r.Export(team); len(records) > 0 {
			export[r.Ownership().Partition] = records
		}
	}

	return export
}

// Loads implements modeler.Queries.
func (s *Supervisor) Loads() []modeler.Load {
	var loads []modeler.Load
	for _, r := range s.sortedRunners() {
		if load, ok := r.Load(); ok {
			loads = append(loads, load)
		}
	}

	return loads
}

// Ownership implements modeler.Queries.
func (s *Supervisor) Ownership() []modeler.Ownership {
	runners := s.sortedRunners()
	ownership := make([]modeler.Ownership, 0, len(runners))
	for _, r := range runners {
		ownership = append(ownership, r.Ownership())
	}

	return ownership
}
