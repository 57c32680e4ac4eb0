package demonstrator

import (
	"slices"

	"github.com/pkg/errors"

	"gitlab.com/greengagewall/greengagewall/internal/domain/modeler"
	"gitlab.com/greengagewall/greengagewall/internal/proof/caller"
)

// queueAccess is a queue with a team that may use it and the team's upper limit.
type queueAccess struct {
	team  caller.Team
	queue modeler.QueueID
	limit modeler.Resources
}

// plan holds the teams, queues and services of a deployment that the demo uses.
type plan struct {
	// operator is the secret with which the configuration is published.
	operator string
	regions  []string
	// idempotent and nonIdempotent are services that need a key; open is one that
	// does not.
	idempotent, nonIdempotent, open             caller.Service
	idempotentTeam, nonIdempotentTeam, openTeam caller.Team
	urgent, batch, gang, withdrawn              queueAccess
}

// selector selects queues and services from a deployment.
type selector struct {
	doc     modeler.Document
	secrets map[string]string
}

// newPlan selects one queue or service for each kind of work. It returns an
// error if the deployment has none of a kind.
func newPlan(doc modeler.Document, secrets map[string]string) (plan, error) {
	var p plan
	for _, partition := range doc.Partitions {
		if !slices.Contains(p.regions, partition.Region) {
			p.regions = append(p.regions, partition.Region)
		}
	}
	s := selector{doc: doc, secrets: secrets}
	var ok [7]bool
	p.idempotent, p.idempotentTeam, ok[0] = s.service(true, false)
	p.nonIdempotent, p.nonIdempotentTeam, ok[1] = s.service(false, false)
	p.open, p.openTeam, ok[2] = s.service(true, true)
	p.urgent, ok[3] = s.queue(func(q modeler.Queue) bool {
		return q.Kind == modeler.WorkBatch && q.Class == modeler.ClassUrgent
	}, false)
	p.batch, ok[4] = s.queue(func(q modeler.Queue) bool {
		return q.Kind == modeler.WorkBatch && q.Class != modeler.ClassUrgent
	}, false)
	p.gang, ok[5] = s.queue(func(q modeler.Queue) bool { return q.Kind == modeler.WorkGang }, false)
	p.withdrawn, ok[6] = s.queue(func(q modeler.Queue) bool { return q.Kind == modeler.WorkBatch }, true)
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

// service returns the first service that is idempotent and open as requested,
// with a team that may call it.
func (s selector) service(idempotent, open bool) (caller.Service, caller.Team, bool) {
	for _, service := range s.doc.Services {
		i := slices.IndexFunc(s.doc.Queues, func(q modeler.Queue) bool { return q.Name == service.Queue })
		if i < 0 || service.Idempotent != idempotent || s.doc.Queues[i].Open != open {
			continue
		}
		selected := caller.Service{Name: service.Name, Idempotent: idempotent}
		if open {
			return selected, caller.Team{Name: s.doc.Queues[i].Team}, true
		}
		if found, ok := s.member(s.doc.Queues[i], false); ok {
			return selected, found.team, true
		}
	}

	return caller.Service{}, caller.Team{}, false
}

// queue returns the first wanted queue of which a team has a key that is usable,
// or withdrawn if withdrawn is set.
func (s selector) queue(wanted func(modeler.Queue) bool, withdrawn bool) (queueAccess, bool) {
	for _, queue := range s.doc.Queues {
		if !wanted(queue) || queue.Open {
			continue
		}
		if found, ok := s.member(queue, withdrawn); ok {
			return found, true
		}
	}

	return queueAccess{}, false
}

// member returns the first team of a queue that has a usable or withdrawn key
// whose secret is known.
func (s selector) member(queue modeler.Queue, withdrawn bool) (queueAccess, bool) {
	for _, team := range s.doc.Teams {
		if len(queue.Teams) > 0 && !slices.Contains(queue.Teams, team.Name) {
			continue
		}
		for _, key := range team.Keys {
			secret := s.secrets[string(team.Name)+"/"+key.Name]
			if key.Withdrawn == withdrawn && secret != "" {
				return queueAccess{
					team: caller.Team{Name: team.Name, Secret: secret}, queue: queue.Name, limit: team.Limit,
				}, true
			}
		}
	}

	return queueAccess{}, false
}
