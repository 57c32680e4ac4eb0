// Package journaler encodes and decodes the records of the state table, in which
// the owner of a cell stores its state. Keys consist of a prefix for the kind and
// an id, except the key of claims; values are MessagePack. A record without a
// value removes its key.
package journaler

import (
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"

	"gitlab.com/greengagewall/greengagewall/internal/cell/definer"
	"gitlab.com/greengagewall/greengagewall/internal/cell/estimator"
	"gitlab.com/greengagewall/greengagewall/internal/cell/planner"
	"gitlab.com/greengagewall/greengagewall/internal/codec/inspector"
)

// The key of claims and the key prefixes of the other records in the state table.
const (
	claimKey       = "owner"
	jobPrefix      = "j/"
	progressPrefix = "p/"
	endpointPrefix = "e/"
	learnedPrefix  = "l/"
)

// Ranges returns keys that divide the state table into parts, which can be loaded at
// the same time. Each part follows its key and goes up to the next one, including it;
// the first key is empty. Most of the records are those of the progress of jobs, whose
// ids begin with hexadecimal digits.
func Ranges() []string { return []string{"", jobPrefix, progressPrefix, progressPrefix + "8"} }

// Claim is a claim or a heartbeat of the owner of a cell. The owner's term is the
// offset after its claim.
type Claim struct {
	Name    string
	Address string
	// Life identifies the process; each process of an instance has a different value.
	Life int64
	// Term is the owner's term in a heartbeat, and 0 in the claim itself.
	Term int64
	// Beat counts heartbeats, so that no two heartbeat records are equal.
	Beat int64
	// Resigned means that the owner is releasing the cell. It is not set at present.
	Resigned bool
}

// Entry is a decoded record. Exactly one of its fields is set.
type Entry struct {
	Claim    *Claim
	Job      *definer.Job
	Progress *planner.Snapshot
	Endpoint *definer.Listing
	Learned  *estimator.Shard
	Part     *Part
	// The Removed fields hold the id of the job, progress or endpoint that the record removes.
	RemovedJob, RemovedProgress, RemovedEndpoint string
	// RemovedPart holds the id of the job and the number of the part that the record removes.
	RemovedPart *Part
}

// Part is a further part of the progress of a job whose tasks have no room in one record.
type Part struct {
	ID string
	// Number is the number of the part, from 1 on.
	Number int
	Tasks  []planner.TaskProgress
}

func encode(value any) []byte {
	data, err := msgpack.Marshal(value)
	if err != nil {
		// Only types of this module are encoded, and all of them can be encoded.
		panic(errors.Wrap(err, "encode record"))
	}

	return data
}

// EncodeClaim returns the record of a claim or of a heartbeat.
func EncodeClaim(claim Claim) definer.Record {
	return definer.Record{Key: claimKey, Value: encode(claim)}
}

// EncodeJob returns the record of an accepted job.
func EncodeJob(job *definer.Job) definer.Record {
	return definer.Record{Key: jobPrefix + job.ID, Value: encode(job)}
}

// EncodeProgress returns the records for the progress of a job. For a final job
// they also remove its definition and the further parts of its progress, which are
// no longer needed.
func EncodeProgress(snapshot planner.Snapshot) []definer.Record {
	records := []definer.Record{{Key: progressPrefix + snapshot.ID, Value: encode(snapshot)}}
	for i, tasks := range snapshot.Progress.More {
		part := Part{ID: snapshot.ID, Number: i + 1, Tasks: tasks}
		records = append(records, definer.Record{Key: partKey(part.ID, part.Number), Value: encode(part)})
	}
	if !snapshot.Progress.State.Final() {
		return records
	}
	for number := range snapshot.Progress.Parts {
		records = append(records, definer.Record{Key: partKey(snapshot.ID, number+1)})
	}

	return append(records, definer.Record{Key: jobPrefix + snapshot.ID})
}

// partKey returns the key of a further part of the progress of a job.
func partKey(id string, number int) string {
	return progressPrefix + id + "/" + strconv.Itoa(number)
}

// EncodeJobRemoval returns the record that removes the progress of a final job.
func EncodeJobRemoval(id string) definer.Record { return definer.Record{Key: progressPrefix + id} }

// EncodeEndpoint returns the record of an endpoint in use. It holds only the id,
// service, address and capacity.
func EncodeEndpoint(listing *definer.Listing) definer.Record {
	kept := definer.Listing{ID: listing.ID, Service: listing.Service, Address: listing.Address, Capacity: listing.Capacity}

	return definer.Record{Key: endpointPrefix + listing.ID, Value: encode(kept)}
}

// EncodeEndpointRemoval returns the record that removes an endpoint.
func EncodeEndpointRemoval(id string) definer.Record { return definer.Record{Key: endpointPrefix + id} }

// maxLearnedSize bounds the value of a record of learned run times, in bytes.
const maxLearnedSize = 24 << 10

// EncodeLearned returns the record of a part of the learned run times. A part that would be larger than
// maxLearnedSize loses its last entries.
func EncodeLearned(shard *estimator.Shard) definer.Record {
	value := encode(shard)
	for kept := *shard; len(value) > maxLearnedSize; value = encode(kept) {
		kept.Keys, kept.Speeds = kept.Keys[:len(kept.Keys)/2], kept.Speeds[:len(kept.Speeds)/2]
	}

	return definer.Record{Key: learnedPrefix + strconv.Itoa(shard.Number), Value: value}
}

// decode decodes a value. The tables are shared with other writers, so its form is
// checked first.
func decode(data []byte, v any) error {
	if err := inspector.Check(data); err != nil {
		return err
	}

	return msgpack.Unmarshal(data, v)
}

// Decode decodes a record. It returns an error for an unknown key or an invalid value.
func Decode(record definer.Record) (Entry, error) {
	kind, id, _ := strings.Cut(record.Key, "/")
	removed := len(record.Value) == 0
	switch kind + "/" {
	case claimKey + "/":
		claim := &Claim{}

		return Entry{Claim: claim}, errors.Wrap(decode(record.Value, claim), "decode claim")
	case jobPrefix:
		if removed {
			return Entry{RemovedJob: id}, nil
		}
		job := &definer.Job{}

		return Entry{Job: job}, errors.Wrap(decode(record.Value, job), "decode job")
	case progressPrefix:
		if job, number, isPart := strings.Cut(id, "/"); isPart {
			return decodePart(job, number, record.Value)
		}
		if removed {
			return Entry{RemovedProgress: id}, nil
		}
		snapshot := &planner.Snapshot{}

		return Entry{Progress: snapshot}, errors.Wrap(decode(record.Value, snapshot), "decode progress")
	case endpointPrefix:
		if removed {
			return Entry{RemovedEndpoint: id}, nil
		}
		listing := &definer.Listing{}

		return Entry{Endpoint: listing}, errors.Wrap(decode(record.Value, listing), "decode endpoint")
	case learnedPrefix:
		if removed {
			return Entry{}, nil
		}
		shard := &estimator.Shard{}

		return Entry{Learned: shard}, errors.Wrap(decode(record.Value, shard), "decode learned run times")
	default:
		return Entry{}, errors.Errorf("unknown record %q", record.Key)
	}
}

// decodePart decodes the record of a further part of the progress of a job.
func decodePart(job, number string, value []byte) (Entry, error) {
	parsed, err := strconv.Atoi(number)
	if err != nil {
		return Entry{}, errors.Wrap(err, "decode number of part")
	}
	part := &Part{ID: job, Number: parsed}
	if len(value) == 0 {
		return Entry{RemovedPart: part}, nil
	}

	return Entry{Part: part}, errors.Wrap(decode(value, part), "decode part of progress")
}

// State is the decoded content of the state table.
type State struct {
	Claim    *Claim
	Jobs     map[string]*definer.Job
	Progress map[string]*planner.Snapshot
	// Parts holds the further parts of the progress of each job, by their number.
	Parts     map[string]map[int]*Part
	Endpoints map[string]*definer.Listing
	// Learned holds the parts of the learned run times, by their number.
	Learned map[int]*estimator.Shard
	// Size is the size of the applied records in bytes.
	Size int
}

// NewState returns an empty state.
func NewState() *State {
	return &State{Jobs: map[string]*definer.Job{}, Progress: map[string]*planner.Snapshot{}, Parts: map[string]map[int]*Part{}, Endpoints: map[string]*definer.Listing{}, Learned: map[int]*estimator.Shard{}}
}

// Apply applies a record to the state. It returns the error of Decode.
func (s *State) Apply(record definer.Record) error {
	s.Size += record.Size()
	entry, err := Decode(record)
	if err != nil {
		return err
	}
	switch {
	case entry.Claim != nil:
		s.Claim = entry.Claim
	case entry.Job != nil:
		s.Jobs[entry.Job.ID] = entry.Job
	case entry.Progress != nil:
		s.Progress[entry.Progress.ID] = entry.Progress
	case entry.Endpoint != nil:
		s.Endpoints[entry.Endpoint.ID] = entry.Endpoint
	case entry.Learned != nil:
		s.Learned[entry.Learned.Number] = entry.Learned
	case entry.Part != nil:
		parts := s.Parts[entry.Part.ID]
		if parts == nil {
			parts = map[int]*Part{}
			s.Parts[entry.Part.ID] = parts
		}
		parts[entry.Part.Number] = entry.Part
	case entry.RemovedPart != nil:
		delete(s.Parts[entry.RemovedPart.ID], entry.RemovedPart.Number)
	case entry.RemovedJob != "":
		delete(s.Jobs, entry.RemovedJob)
	case entry.RemovedProgress != "":
		delete(s.Progress, entry.RemovedProgress)
	case entry.RemovedEndpoint != "":
		delete(s.Endpoints, entry.RemovedEndpoint)
	}

	return nil
}

// Restore loads the state into a planner.
func (s *State) Restore(p *planner.Planner, now definer.Instant, wall time.Time) {
	for _, number := range slices.Sorted(maps.Keys(s.Learned)) {
		p.RestoreLearned(s.Learned[number])
	}
	for id, listing := range s.Endpoints {
		p.RestoreEndpoint(id, *listing)
	}
	p.ForgetUnknownEndpoints()
	for id, job := range s.Jobs {
		if snapshot := s.Progress[id]; snapshot == nil {
			p.Restore(*job, planner.Progress{}, now, wall)
		} else if !snapshot.Progress.State.Final() {
			p.Restore(*job, s.progressOf(snapshot), now, wall)
		}
	}
	for _, snapshot := range s.Progress {
		if snapshot.Progress.State.Final() {
			p.RestoreFinal(snapshot, now)
		}
	}
}

// progressOf returns the progress of a job with the tasks of its further parts.
func (s *State) progressOf(snapshot *planner.Snapshot) planner.Progress {
	progress := snapshot.Progress
	for number := range progress.Parts {
		if part := s.Parts[snapshot.ID][number+1]; part != nil {
			progress.Tasks = append(progress.Tasks, part.Tasks...)
		}
	}

	return progress
}
