package replayer

import (
	"gitlab.com/greengagewall/greengagewall/internal/codec/encoder"
	"gitlab.com/greengagewall/greengagewall/internal/domain/modeler"
)

// snapshotState is the encoded form of a State.
type snapshotState struct {
	Partition  modeler.PartitionID       `msgpack:"p"`
	Successors []modeler.InstanceID      `msgpack:"u"`
	Endpoints  []modeler.Instance        `msgpack:"e,omitempty"`
	Jobs       []Job                     `msgpack:"j"`
	Requests   []encoder.RequestChange   `msgpack:"q"`
	Chains     map[modeler.TeamID]*Chain `msgpack:"c"`
	Transfers  Transfers                 `msgpack:"g"`
}

// Snapshot encodes the state for encoder.Snapshot.
func (s *State) Snapshot() ([]byte, error) {
	content := snapshotState{
		Partition: s.Partition, Successors: s.Successors, Endpoints: s.Endpoints, Chains: s.Chains, Transfers: s.Transfers,
		Jobs:     make([]Job, 0, len(s.Jobs)),
		Requests: make([]encoder.RequestChange, 0, len(s.Requests)),
	}
	for _, job := range s.Jobs {
		content.Jobs = append(content.Jobs, *job)
	}
	for _, request := range s.Requests {
		content.Requests = append(content.Requests, request)
	}

	return encoder.Marshal(&content)
}

// restoreSnapshot replaces the state with the batch's snapshot and applies the
// rest of the batch. It returns an error when the snapshot cannot be decoded.
func (s *State) restoreSnapshot(batch encoder.Batch) error {
	var content snapshotState
	if err := encoder.Unmarshal(batch.Snapshot.State, &content); err != nil {
		return err
	}
	fresh := New(s.Partition)
	fresh.NextOffset = s.NextOffset
	fresh.Term, fresh.Owner, fresh.LastSeq = batch.Term, batch.Author, batch.Seq
	fresh.Successors, fresh.Endpoints = content.Successors, content.Endpoints
	for _, job := range content.Jobs {
		fresh.Jobs[job.Job.ID] = &job
	}
	for _, request := range content.Requests {
		fresh.Requests[RequestKey{Team: request.Team, Request: request.Request}] = request
	}
	if content.Chains != nil {
		fresh.Chains = content.Chains
	}
	fresh.Transfers.Sent, fresh.Transfers.LastSent = content.Transfers.Sent, content.Transfers.LastSent
	if content.Transfers.LastReceived != nil {
		fresh.Transfers.LastReceived = content.Transfers.LastReceived
	}
	if content.Transfers.Net != nil {
		fresh.Transfers.Net = content.Transfers.Net
	}
	*s = *fresh
	s.applyContents(batch)

	return nil
}
