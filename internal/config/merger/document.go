package merger

import (
	"gitlab.com/greengagewall/greengagewall/internal/config/parser"
	"gitlab.com/greengagewall/greengagewall/internal/domain/modeler"
)

// toDocument converts a merged file. The default weight of a partition and the
// default number of tasks of a job are 1.
func toDocument(file parser.File) modeler.Document {
	doc := modeler.Document{Cell: file.Cell.Value}
	for _, p := range file.Partitions {
		doc.Partitions = append(doc.Partitions, modeler.Partition{
			Name: modeler.PartitionID(p.Name.Value), Region: p.Region.Value, Weight: max(p.Weight.Value, 1),
			Services: p.Services.Value,
		})
	}
	for _, t := range file.Teams {
		doc.Teams = append(doc.Teams, toTeam(t))
	}
	for _, q := range file.Queues {
		doc.Queues = append(doc.Queues, toQueue(q))
	}
	for _, s := range file.Services {
		doc.Services = append(doc.Services, modeler.Service{
			Name: s.Name.Value, Queue: modeler.QueueID(s.Queue.Value),
			Idempotent: s.Idempotent.Value, Timeout: s.Timeout.Value,
		})
	}
	for _, j := range file.Jobs {
		doc.Jobs = append(doc.Jobs, toTemplate(j))
	}
	for _, o := range file.Operators {
		doc.Operators = append(doc.Operators, modeler.Operator{Name: o.Name.Value, Keys: toKeys(o.Keys)})
	}

	return doc
}

// toResources converts a set of resources.
func toResources(a parser.Amount) modeler.Resources {
	return modeler.Resources{
		Millis: a.Millis.Value, Memory: a.Memory.Value, Accelerators: a.Accelerators.Value, Slots: a.Slots.Value,
	}
}

// toTeam converts a team and its keys.
func toTeam(t parser.Team) modeler.Team {
	return modeler.Team{
		Name: modeler.TeamID(t.Name.Value), Share: t.Share.Value, Limit: toResources(t.Limit), Keys: toKeys(t.Keys),
	}
}

// toKeys converts the keys of a team or an operator.
func toKeys(list []parser.Key) []modeler.Key {
	if len(list) == 0 {
		return nil
	}
	converted := make([]modeler.Key, len(list))
	for i, k := range list {
		converted[i] = modeler.Key{Name: k.Name.Value, Digest: k.Digest.Value, Withdrawn: k.Withdrawn.Value}
	}

	return converted
}

// toQueue converts a queue.
func toQueue(q parser.Queue) modeler.Queue {
	converted := modeler.Queue{
		Name: modeler.QueueID(q.Name.Value), Kind: modeler.WorkKind(q.Kind.Value), Class: modeler.Class(q.Class.Value),
		Open: q.Open.Value, Team: modeler.TeamID(q.Team.Value),
		Depth: int(q.Depth.Value), Attempts: int(q.Attempts.Value), Within: q.Within.Value,
		Objective: modeler.Objective{Wait: q.Wait.Value, Target: q.Target.Value},
	}
	for _, name := range q.Teams.Value {
		converted.Teams = append(converted.Teams, modeler.TeamID(name))
	}

	return converted
}

// toTemplate converts a declared job.
func toTemplate(j parser.Job) modeler.Template {
	return modeler.Template{
		Name: j.Name.Value, Team: modeler.TeamID(j.Team.Value), Queue: modeler.QueueID(j.Queue.Value),
		Tasks: max(int(j.Tasks.Value), 1), Needs: toResources(j.Needs), Runtime: j.Runtime.Value,
		Deadline: j.Deadline.Value, Rack: j.Rack.Value, Once: j.Once.Value, Command: j.Command.Value,
	}
}
