package demonstrator

import (
	"slices"

	"github.com/pkg/errors"

	"gitlab.com/greengagewall/greengagewall/internal/domain/modeler"
	"gitlab.com/greengagewall/greengagewall/internal/proof/caller"
)

// target is a queue together with a team that may use it.
type target struct {
	team  caller.Team
	queue modeler.QueueID
	limit modeler.Resources
}

// plan says which teams, queues and services of a deployment are shown.
type plan struct {
	// operator is the secret that the configuration is published with.
	operator string
	regions  []string
	// idempotent and once are calls with a key, open is one without.
	idempotent, once, open          caller.Service
	idempotentTeam, onceTeam, owner caller.Team
	urgent, batch, gang, withdrawn  target
}

// planner chooses from a deployment.
type planner struct {
	doc     modeler.Document
	secrets map[string]string
}

// newPlan chooses one queue or service for each kind of work. It fails if the
// deployment has none of a kind.
func newPlan(doc modeler.Document, secrets map[string]string) (plan, error) {
	var p plan
	for _, partition := range doc.Partitions {
		if !slices.Contains(p.regions, partition.Region) {
			p.regions = append(p.regions, partition.Region)
		}
	}
	r := planner{doc: doc, secrets: secrets}
	var ok [7]bool
	p.idempotent, p.idempotentTeam, ok[0] = r.service(true, false)
	p.once, p.onceTeam, ok[1] = r.service(false, false)
	p.open, p.owner, ok[2] = r.service(true, true)
	p.urgent, ok[3] = r.queue(func(q modeler.Queue) bool {
		return q.Kind == modeler.WorkBatch && q.Class == modeler.ClassUrgent
	}, false)
	p.batch, ok[4] = r.queue(func(q modeler.Queue) bool {
		return q.Kind == modeler.WorkBatch && q.Class != modeler.ClassUrgent
	}, false)
	p.gang, ok[5] = r.queue(func(q modeler.Queue) bool { return q.Kind == modeler.WorkGang }, false)
	p.withdrawn, ok[6] = r.queue(func(q modeler.Queue) bool { return q.Kind == modeler.WorkBatch }, true)
	names := []string{
		"idempotent service", "non-idempotent service", "service on an open queue", "urgent batch queue",
		"batch queue", "all-at-once queue", "batch queue of a team with a withdrawn key",
	}
	for i, name := range names {
		if !ok[i] {
			return p, errors.Errorf("the deployment has no %s with a secret in keys.txt", name)
		}
	}

	return p, nil
}

// service returns the first service of the wanted kind and a team for it.
func (r planner) service(idempotent, open bool) (caller.Service, caller.Team, bool) {
	for _, service := range r.doc.Services {
		i := slices.IndexFunc(r.doc.Queues, func(q modeler.Queue) bool { return q.Name == service.Queue })
		if i < 0 || service.Idempotent != idempotent || r.doc.Queues[i].Open != open {
			continue
		}
		chosen := caller.Service{Name: service.Name, Idempotent: idempotent}
		if open {
			return chosen, caller.Team{Name: r.doc.Queues[i].Team}, true
		}
		if found, ok := r.member(r.doc.Queues[i], false); ok {
			return chosen, found.team, true
		}
	}

	return caller.Service{}, caller.Team{}, false
}

// queue returns the first queue that is wanted with a team that has a key in
// force, or a withdrawn one.
func (r planner) queue(wanted func(modeler.Queue) bool, withdrawn bool) (target, bool) {
	for _, queue := range r.doc.Queues {
		if !wanted(queue) || queue.Open {
			continue
		}
		if found, ok := r.member(queue, withdrawn); ok {
			return found, true
		}
	}

	return target{}, false
}

// member returns the first team of a queue that has such a key and whose
// secret is known.
func (r planner) member(queue modeler.Queue, withdrawn bool) (target, bool) {
	for _, team := range r.doc.Teams {
		if len(queue.Teams) > 0 && !slices.Contains(queue.Teams, team.Name) {
			continue
		}
		for _, key := range team.Keys {
			secret := r.secrets[string(team.Name)+"/"+key.Name]
			if key.Withdrawn == withdrawn && secret != "" {
				return target{
					team: caller.Team{Name: team.Name, Secret: secret}, queue: queue.Name, limit: team.Limit,
				}, true
			}
		}
	}

	return target{}, false
}
