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
	restored := New(s.Partition)
	restored.NextOffset = s.NextOffset
	restored.Term, restored.Owner, restored.LastSeq = batch.Term, batch.Author, batch.Seq
	restored.Successors, restored.Endpoints = content.Successors, content.Endpoints
	for _, job := range content.Jobs {
		restored.Jobs[job.Job.ID] = &job
	}
	for _, request := range content.Requests {
		restored.Requests[RequestKey{Team: request.Team, Request: request.Request}] = request
	}
	if content.Chains != nil {
		restored.Chains = content.Chains
	}
	restored.Transfers.Sent, restored.Transfers.LastSent = content.Transfers.Sent, content.Transfers.LastSent
	if content.Transfers.LastReceived != nil {
		restored.Transfers.LastReceived = content.Transfers.LastReceived
	}
	if content.Transfers.Net != nil {
		restored.Transfers.Net = content.Transfers.Net
	}
	*s = *restored
	s.applyContents(batch)

	return nil
}
