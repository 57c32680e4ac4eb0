package dispatcher

import (
	"crypto/sha256"
	"encoding/hex"
	"slices"

	"github.com/cespare/xxhash/v2"

	"gitlab.com/greengagewall/greengagewall/internal/domain/modeler"
)

// jobIDBytes is the length of the digest in a job id. With 96 bits a collision
// among the jobs of a team within two years is negligible.
const jobIDBytes = 12

// JobID derives the id of a job from its team and request key.
func JobID(team modeler.TeamID, key string) modeler.JobID {
	sum := sha256.Sum256([]byte(string(team) + "\x00" + key))

	return modeler.JobID("j-" + hex.EncodeToString(sum[:jobIDBytes]))
}

// Home returns the home partition of an item of a team, which is selected by
// rendezvous hashing. For a job the item is its id, which is a function of team
// and request key, so that the home of a job can be found from its id alone; for
// a call it is the request key.
func Home(partitions []modeler.Partition, team modeler.TeamID, item string) modeler.PartitionID {
	return chooseByHash(partitions, team, item, func(modeler.PartitionID) bool { return true })
}

// HomeOfCall returns the home partition of a non-idempotent call, which is
// selected by rendezvous hashing among the partitions that list the service. It
// depends on the configuration alone, so that a resend reaches the same
// partition whichever executors are present.
func HomeOfCall(partitions []modeler.Partition, service string, team modeler.TeamID, request modeler.RequestID) modeler.PartitionID {
	serving := make([]modeler.Partition, 0, len(partitions))
	for _, p := range partitions {
		if p.Serves(service) {
			serving = append(serving, p)
		}
	}

	return Home(serving, team, string(request))
}

// homesOfRequest returns the partitions that may be the home of a request whose
// service is not known. There is only one unless partitions list different
// non-idempotent services.
func homesOfRequest(doc modeler.Document, team modeler.TeamID, request modeler.RequestID) []modeler.PartitionID {
	var homes []modeler.PartitionID
	for _, s := range doc.Services {
		if s.Idempotent {
			continue
		}
		if home := HomeOfCall(doc.Partitions, s.Name, team, request); home != "" && !slices.Contains(homes, home) {
			homes = append(homes, home)
		}
	}
	if len(homes) == 0 {
		homes = append(homes, Home(doc.Partitions, team, string(request)))
	}

	return homes
}

// chooseByHash returns the partition with the highest rendezvous score among
// those allowed, or among all if none is allowed.
func chooseByHash(partitions []modeler.Partition, team modeler.TeamID, item string,
	allowed func(modeler.PartitionID) bool,
) modeler.PartitionID {
	var best, fallback modeler.PartitionID
	var bestScore, fallbackScore uint64
	for _, p := range partitions {
		score := xxhash.Sum64String(string(p.Name) + "\x00" + string(team) + "\x00" + item)
		if fallback == "" || score > fallbackScore {
			fallback, fallbackScore = p.Name, score
		}
		if (best == "" || score > bestScore) && allowed(p.Name) {
			best, bestScore = p.Name, score
		}
	}
	if best == "" {
		return fallback
	}

	return best
}

// homeOfJob returns the partition that a job is sent to. A job that is already
// known stays in its partition, even if the list of partitions has changed. A
// job that may run more than once avoids partitions whose current endpoints can
// never hold it. A job that may run only once does not, because its home must
// not depend on a view that differs between instances.
func (d *Dispatcher) homeOfJob(doc modeler.Document, job modeler.Job) modeler.PartitionID {
	if status, ok := d.queries.Job(job.Team, job.ID); ok {
		return status.Partition
	}
	if job.Once {
		return Home(doc.Partitions, job.Team, string(job.ID))
	}
	routes := d.routes()

	return chooseByHash(doc.Partitions, job.Team, string(job.ID), func(id modeler.PartitionID) bool {
		route, ok := routes[id]

		return !ok || !route.load.Ready || canHold(route.load, job)
	})
}

// CheckFit returns a refusal for a job that no partition can ever hold. It
// accepts every job while the capacity of any partition is unknown.
func (d *Dispatcher) CheckFit(job modeler.Job) error {
	doc, _, ok := d.config.InForce()
	if !ok {
		return noConfiguration()
	}
	routes := d.routes()
	for _, p := range doc.Partitions {
		if route, ok := routes[p.Name]; !ok || !route.load.Ready || canHold(route.load, job) {
			return nil
		}
	}
	if job.Kind == modeler.WorkGang {
		return modeler.NotRun(modeler.CodeNeverFits, 0,
			"no partition can hold %d tasks of %s at once", job.Tasks, job.Needs)
	}

	return modeler.NotRun(modeler.CodeNeverFits, 0, "no endpoint is as large as a task of %s", job.Needs)
}

// canHold reports whether the endpoints of a partition could hold the job if
// they were all empty. For a gang it compares only the total with the capacity,
// so a gang that fits in total but not on the individual endpoints still passes.
func canHold(load modeler.Load, job modeler.Job) bool {
	if !job.Needs.Fits(load.Largest) {
		return false
	}

	return job.Kind != modeler.WorkGang || job.Needs.Scale(int64(job.Tasks)).Fits(load.Capacity)
}
