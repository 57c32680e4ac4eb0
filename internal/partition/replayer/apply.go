package replayer

import (
	"slices"
	"time"

	"gitlab.com/greengagewall/greengagewall/internal/codec/encoder"
	"gitlab.com/greengagewall/greengagewall/internal/domain/modeler"
)

// maxTransferHistory limits the transfers remembered for partitions that have not yet
// received them.
const maxTransferHistory = 4096

// Apply applies one record of the stream to the state and reports whether its
// batch was valid. A batch is valid if it was written under the current term by
// the owner of that term, or under a later term that its author may take, and
// is not a repetition. Apply returns an error when a snapshot cannot be
// decoded.
func (s *State) Apply(offset modeler.Offset, batch encoder.Batch) (bool, error) {
	if offset < s.NextOffset {
		return false, nil
	}
	if offset > s.NextOffset {
		s.Complete = false
	}
	s.NextOffset = offset + 1
	if !s.Complete {
		// An author writes under a term only after its claim is in the stream,
		// so a snapshot of a lower term was written late and is void.
		if batch.Snapshot == nil || batch.Term < s.Term {
			s.Term = max(s.Term, batch.Term)

			return false, nil
		}

		return true, s.restoreSnapshot(batch)
	}
	if !s.acceptTerm(batch) {
		return false, nil
	}
	s.applyContents(batch)

	return true, nil
}

// acceptTerm reports whether the batch is valid under the current term or may
// begin a later one, and moves the state to the batch's term.
func (s *State) acceptTerm(batch encoder.Batch) bool {
	switch {
	case batch.Term < s.Term:
		return false
	case batch.Term == s.Term:
		if batch.Author != s.Owner || batch.Seq <= s.LastSeq {
			return false
		}
		if batch.Seq > s.LastSeq+1 {
			// An owner writes its batches without a gap, so this reader began
			// at a late copy of a snapshot. It waits for the next snapshot.
			s.Complete = false

			return false
		}
		s.LastSeq = batch.Seq

		return true
	case batch.Term.Epoch() == s.Term.Epoch():
		rank := int(batch.Term.Rank())
		if rank > len(s.Successors) || s.Successors[rank-1] != batch.Author {
			return false
		}
	case batch.Term == modeler.NewTerm(s.Term.Epoch()+1, 0) && batch.Claim != nil:
		s.Successors = slices.Clone(batch.Claim.Successors)
		s.Endpoints = slices.Clone(batch.Claim.Endpoints)
	default:
		// The state was restored from a snapshot that a superseded owner wrote
		// late, or claims are missing. The reader drops what may be void and
		// waits for a snapshot of the new term.
		if batch.Term.Epoch() > s.Term.Epoch()+1 || batch.Claim == nil {
			s.discard(batch.Term)
		}

		return false
	}
	s.Term, s.Owner, s.LastSeq = batch.Term, batch.Author, batch.Seq

	return true
}

// discard drops the state, because a batch of a later term has shown that it may
// rest on void batches.
func (s *State) discard(term modeler.Term) {
	empty := New(s.Partition)
	empty.Complete, empty.NextOffset, empty.Term = false, s.NextOffset, max(s.Term, term)
	*s = *empty
}

// applyContents applies the contents of a valid batch.
func (s *State) applyContents(batch encoder.Batch) {
	for _, job := range batch.Jobs {
		s.addJob(job)
	}
	for _, id := range batch.Cancels {
		if job, ok := s.Jobs[id]; ok {
			job.Cancelled = true
		}
	}
	for _, change := range batch.Tasks {
		s.applyTaskChange(change)
	}
	for _, change := range batch.Requests {
		s.applyRequestChange(change)
	}
	for _, transfer := range batch.Transfers {
		s.applyTransfer(transfer)
	}
	for _, record := range batch.Records {
		s.appendRecord(record)
	}
}

// addJob adds a job unless its ID is known.
func (s *State) addJob(job modeler.Job) {
	if _, ok := s.Jobs[job.ID]; ok {
		return
	}
	tasks := make([]Task, job.Tasks)
	for i := range tasks {
		tasks[i].State = modeler.TaskQueued
	}
	s.Jobs[job.ID] = &Job{Job: job, Tasks: tasks, Open: job.Tasks}
}

// applyTaskChange sets the state of a task. A final state never changes, and a
// change that belongs to an earlier attempt is ignored.
func (s *State) applyTaskChange(change encoder.TaskChange) {
	job, ok := s.Jobs[change.Job]
	if !ok {
		return
	}
	index, ok := TaskIndex(change.Job, change.Task)
	if !ok || index >= len(job.Tasks) {
		return
	}
	task := &job.Tasks[index]
	if task.State.Final() || change.Attempt < task.Attempt {
		return
	}
	task.State, task.Attempt, task.Cause = change.State, change.Attempt, change.Cause
	switch {
	case change.State == modeler.TaskQueued:
		task.Endpoint, task.Started = "", time.Time{}
	case change.State.Final():
		task.Ended = change.Time
		job.Open--
		if job.Open == 0 {
			job.Ended = change.Time
		}
	default:
		task.Endpoint, task.Started = change.Endpoint, change.Time
	}
}

// applyRequestChange sets the state of a request. The states ran and voided are
// final, and an intent never replaces another state.
func (s *State) applyRequestChange(change encoder.RequestChange) {
	key := RequestKey{Team: change.Team, Request: change.Request}
	previous, known := s.Requests[key]
	if known {
		if previous.State == encoder.RequestRan || previous.State == encoder.RequestVoided || change.State == encoder.RequestIntent {
			return
		}
		if change.Endpoint == "" {
			change.Endpoint = previous.Endpoint
		}
		if change.Queue == "" {
			change.Queue = previous.Queue
		}
	}
	s.Requests[key] = change
}

// applyTransfer applies a transfer that this partition sent or received.
func (s *State) applyTransfer(transfer encoder.Transfer) {
	parts := transfer.Parts
	switch {
	case transfer.Released && !transfer.Received:
		for i := range s.Transfers.Sent {
			if s.Transfers.Sent[i].Seq == transfer.Seq {
				s.Transfers.Sent[i].Released = true
			}
		}

		return
	case !transfer.Received && transfer.From == s.Partition:
		if transfer.Seq <= s.Transfers.LastSent {
			return
		}
		s.Transfers.LastSent = transfer.Seq
		s.Transfers.Sent = append(s.Transfers.Sent, transfer)
		if excess := len(s.Transfers.Sent) - maxTransferHistory; excess > 0 {
			s.Transfers.Sent = slices.Delete(s.Transfers.Sent, 0, excess)
		}
		parts = modeler.Resources{}.Sub(parts)
	case transfer.Received && transfer.To == s.Partition:
		if transfer.Seq <= s.Transfers.LastReceived[transfer.From] {
			return
		}
		s.Transfers.LastReceived[transfer.From] = transfer.Seq
	default:
		return
	}
	teams, ok := s.Transfers.Net[transfer.LayoutHash]
	if !ok {
		teams = map[modeler.TeamID]modeler.Resources{}
		s.Transfers.Net[transfer.LayoutHash] = teams
	}
	teams[transfer.Team] = teams[transfer.Team].Add(parts)
}

// appendRecord appends a record to its team's chain.
func (s *State) appendRecord(record modeler.Record) {
	chain, ok := s.Chains[record.Team]
	if !ok {
		chain = &Chain{}
		s.Chains[record.Team] = chain
	}
	if record.Previous != chain.Head {
		chain.Broken++
	}
	chain.Head, chain.Seq = record.Digest, record.Seq
	chain.Records = append(chain.Records, record)
}
