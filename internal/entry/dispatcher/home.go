package dispatcher

import (
	"crypto/sha256"
	"encoding/hex"
	"slices"

	"github.com/cespare/xxhash/v2"

	"gitlab.com/greengagewall/greengagewall/internal/domain/modeler"
)

// idBytes is the length of the digest in a job id. 96 bits make a collision
// within a team's jobs of two years negligible.
const idBytes = 12

// JobID derives the id of a job from its team and request key.
func JobID(team modeler.TeamID, key string) modeler.JobID {
	sum := sha256.Sum256([]byte(string(team) + "\x00" + key))

	return modeler.JobID("j-" + hex.EncodeToString(sum[:idBytes]))
}

// Home returns the partition that rendezvous hashing selects for an item of a
// team. For a job the item is its id, which is a function of team and request
// key, so that the home of a job can be found from its id alone; for a call it
// is the request key.
func Home(partitions []modeler.Partition, team modeler.TeamID, item string) modeler.PartitionID {
	return choose(partitions, team, item, func(modeler.PartitionID) bool { return true })
}

// HomeOfCall returns the home partition of a non-idempotent call: the one that
// rendezvous hashing selects among the partitions that list the service. It is
// a function of the configuration alone, so that a resend reaches the same
// partition whatever executors are present.
func HomeOfCall(partitions []modeler.Partition, service string, team modeler.TeamID, request modeler.RequestID) modeler.PartitionID {
	listing := make([]modeler.Partition, 0, len(partitions))
	for _, p := range partitions {
		if p.Serves(service) {
			listing = append(listing, p)
		}
	}

	return Home(listing, team, string(request))
}

// homesOfRequest returns the partitions that may be the home of a request whose
// service is not known. It is one partition unless partitions list different
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

// choose returns the partition of the highest score among those allowed, or
// among all if none is.
func choose(partitions []modeler.Partition, team modeler.TeamID, item string,
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
// known stays where it is, even if the list of partitions has changed. A job
// that may run more than once avoids partitions whose present endpoints can
// never hold it; a job that may run only once does not, because its home must
// not depend on a view that differs between instances.
func (d *Dispatcher) homeOfJob(doc modeler.Document, job modeler.Job) modeler.PartitionID {
	if status, ok := d.queries.Job(job.Team, job.ID); ok {
		return status.Partition
	}
	if job.Once {
		return Home(doc.Partitions, job.Team, string(job.ID))
	}
	routes := d.routes()

	return choose(doc.Partitions, job.Team, string(job.ID), func(id modeler.PartitionID) bool {
		route, ok := routes[id]

		return !ok || !route.load.Ready || holds(route.load, job)
	})
}

// CheckFit refuses a job that no partition can ever hold. It says nothing while
// the size of any partition is unknown.
func (d *Dispatcher) CheckFit(job modeler.Job) error {
	doc, _, ok := d.config.InForce()
	if !ok {
		return noConfiguration()
	}
	routes := d.routes()
	for _, p := range doc.Partitions {
		if route, ok := routes[p.Name]; !ok || !route.load.Ready || holds(route.load, job) {
			return nil
		}
	}
	if job.Kind == modeler.WorkGang {
		return modeler.NotRun(modeler.CodeNeverFits, 0,
			"no partition can hold %d tasks of %s at once", job.Tasks, job.Needs)
	}

	return modeler.NotRun(modeler.CodeNeverFits, 0, "no endpoint is as large as a task of %s", job.Needs)
}

// holds reports whether the endpoints of a partition could hold the job if
// they were all empty. For an all-at-once job it compares the total only, so a
// job that is divided badly among the endpoints still passes.
func holds(load modeler.Load, job modeler.Job) bool {
	if !job.Needs.Fits(load.Largest) {
		return false
	}

	return job.Kind != modeler.WorkGang || job.Needs.Scale(int64(job.Tasks)).Fits(load.Capacity)
}
