// Package journaler encodes the records that the owner of a cell keeps in the
// store. Keys are a letter for the kind and a name; values are MessagePack.
package journaler

import (
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"

	"gitlab.com/greengagewall/greengagewall/internal/cell/definer"
	"gitlab.com/greengagewall/greengagewall/internal/cell/planner"
)

// The kinds of records in the state table.
const (
	claimKey       = "owner"
	jobPrefix      = "j/"
	progressPrefix = "p/"
	endpointPrefix = "e/"
)

// Claim names the owner of a cell. The owner's term is the offset of its claim.
type Claim struct {
	Name    string
	Address string
	// Life distinguishes the processes of an instance.
	Life int64
	// Term is that of the claim which a heartbeat repeats; 0 in the claim itself.
	Term int64
	// Beat counts heartbeats, so that each record differs.
	Beat int64
	// Resigned means that the owner leaves.
	Resigned bool
}

// Entry is a decoded record; one of its pointers is set, or Dropped.
type Entry struct {
	Claim    *Claim
	Job      *definer.Job
	Progress *planner.Snapshot
	Endpoint *definer.Listing
	// Dropped is the id of a job or endpoint that was dropped, by kind.
	DroppedJob, DroppedProgress, DroppedEndpoint string
}

func encode(value any) []byte {
	data, err := msgpack.Marshal(value)
	if err != nil {
		// Only types of this module are encoded, and all of them can be.
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

// EncodeProgress returns the records for the progress of a job; a final job no
// longer needs its definition.
func EncodeProgress(snapshot planner.Snapshot) []definer.Record {
	records := []definer.Record{{Key: progressPrefix + snapshot.ID, Value: encode(snapshot)}}
	if snapshot.Progress.State.Final() {
		records = append(records, definer.Record{Key: jobPrefix + snapshot.ID})
	}

	return records
}

// EncodeJobRemoval returns the record that drops a job.
func EncodeJobRemoval(id string) definer.Record { return definer.Record{Key: progressPrefix + id} }

// EncodeEndpoint returns the record of an endpoint in use.
func EncodeEndpoint(listing *definer.Listing) definer.Record {
	kept := definer.Listing{ID: listing.ID, Service: listing.Service, Address: listing.Address}

	return definer.Record{Key: endpointPrefix + listing.ID, Value: encode(kept)}
}

// EncodeEndpointRemoval returns the record that drops an endpoint.
func EncodeEndpointRemoval(id string) definer.Record { return definer.Record{Key: endpointPrefix + id} }

// Decode decodes a record.
func Decode(record definer.Record) (Entry, error) {
	kind, id, _ := strings.Cut(record.Key, "/")
	dropped := len(record.Value) == 0
	switch kind + "/" {
	case claimKey + "/":
		claim := &Claim{}

		return Entry{Claim: claim}, errors.Wrap(msgpack.Unmarshal(record.Value, claim), "decode claim")
	case jobPrefix:
		if dropped {
			return Entry{DroppedJob: id}, nil
		}
		job := &definer.Job{}

		return Entry{Job: job}, errors.Wrap(msgpack.Unmarshal(record.Value, job), "decode job")
	case progressPrefix:
		if dropped {
			return Entry{DroppedProgress: id}, nil
		}
		snapshot := &planner.Snapshot{}

		return Entry{Progress: snapshot}, errors.Wrap(msgpack.Unmarshal(record.Value, snapshot), "decode progress")
	case endpointPrefix:
		if dropped {
			return Entry{DroppedEndpoint: id}, nil
		}
		listing := &definer.Listing{}

		return Entry{Endpoint: listing}, errors.Wrap(msgpack.Unmarshal(record.Value, listing), "decode endpoint")
	default:
		return Entry{}, errors.Errorf("unknown record %q", record.Key)
	}
}

// State is the content of the state table.
type State struct {
	Claim     *Claim
	Jobs      map[string]*definer.Job
	Progress  map[string]*planner.Snapshot
	Endpoints map[string]*definer.Listing
}

// NewState returns an empty state.
func NewState() *State {
	return &State{Jobs: map[string]*definer.Job{}, Progress: map[string]*planner.Snapshot{}, Endpoints: map[string]*definer.Listing{}}
}

// Apply takes a record.
func (s *State) Apply(record definer.Record) error {
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
	case entry.DroppedJob != "":
		delete(s.Jobs, entry.DroppedJob)
	case entry.DroppedProgress != "":
		delete(s.Progress, entry.DroppedProgress)
	case entry.DroppedEndpoint != "":
		delete(s.Endpoints, entry.DroppedEndpoint)
	}

	return nil
}

// Restore fills a planner from the state.
func (s *State) Restore(p *planner.Planner, now definer.Instant, wall time.Time) {
	for id, listing := range s.Endpoints {
		p.RestoreEndpoint(id, *listing)
	}
	for id, job := range s.Jobs {
		if snapshot := s.Progress[id]; snapshot == nil {
			p.Restore(*job, planner.Progress{}, now, wall)
		} else if !snapshot.Progress.State.Final() {
			p.Restore(*job, snapshot.Progress, now, wall)
		}
	}
	for id, snapshot := range s.Progress {
		if snapshot.Progress.State.Final() {
			p.RestoreFinal(id, snapshot.Queue, snapshot.Account, snapshot.Progress.State, now)
		}
	}
}
