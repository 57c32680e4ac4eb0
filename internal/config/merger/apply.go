package merger

import (
	"gitlab.com/greengagewall/greengagewall/internal/config/parser"
)

func partitionName(p parser.Partition) parser.Field[string] { return p.Name }
func teamName(t parser.Team) parser.Field[string]           { return t.Name }
func keyName(k parser.Key) parser.Field[string]             { return k.Name }
func queueName(q parser.Queue) parser.Field[string]         { return q.Name }
func serviceName(s parser.Service) parser.Field[string]     { return s.Name }
func operatorName(o parser.Operator) parser.Field[string]   { return o.Name }
func jobName(j parser.Job) parser.Field[string]             { return j.Name }

// index records where the entries of the base are declared.
func (m *merge) index(file parser.File) {
	m.positions["cell"] = file.Cell.At
	for _, p := range file.Partitions {
		m.positions["partitions/"+p.Name.Value] = p.Name.At
	}
	for _, t := range file.Teams {
		path := "teams/" + t.Name.Value
		m.positions[path] = t.Name.At
		for _, k := range t.Keys {
			m.positions[path+"/keys/"+k.Name.Value] = k.Name.At
		}
	}
	for _, o := range file.Operators {
		path := "operators/" + o.Name.Value
		m.positions[path] = o.Name.At
		for _, k := range o.Keys {
			m.positions[path+"/keys/"+k.Name.Value] = k.Name.At
		}
	}
	for _, q := range file.Queues {
		m.positions["queues/"+q.Name.Value] = q.Name.At
	}
	for _, s := range file.Services {
		m.positions["services/"+s.Name.Value] = s.Name.At
	}
	for _, j := range file.Jobs {
		m.positions["jobs/"+j.Name.Value] = j.Name.At
	}
}

// apply applies one overlay.
func (m *merge) apply(file *parser.File, over parser.File) {
	match(m, "partitions", file.Partitions, over.Partitions, partitionName,
		func(path string, base *parser.Partition, change parser.Partition) {
			if base.Region.Value != over.Site.Value {
				m.fail(change.Name.At, path+" is in the region "+base.Region.Value+", not at the site "+over.Site.Value)
			}
			override(m, path+"/weight", &base.Weight, change.Weight)
		})
	match(m, "teams", file.Teams, over.Teams, teamName, m.applyTeam)
	match(m, "queues", file.Queues, over.Queues, queueName, m.applyQueue)
	match(m, "services", file.Services, over.Services, serviceName,
		func(path string, base *parser.Service, change parser.Service) {
			override(m, path+"/timeout", &base.Timeout, change.Timeout)
		})
	match(m, "jobs", file.Jobs, over.Jobs, jobName, m.applyJob)
	match(m, "operators", file.Operators, over.Operators, operatorName,
		func(path string, base *parser.Operator, change parser.Operator) {
			m.applyKeys(path+"/keys", base.Keys, change.Keys)
		})
}

// applyTeam applies the changes of a team.
func (m *merge) applyTeam(path string, base *parser.Team, change parser.Team) {
	override(m, path+"/share", &base.Share, change.Share)
	m.applyAmount(path+"/limit", &base.Limit, change.Limit)
	m.applyKeys(path+"/keys", base.Keys, change.Keys)
}

// applyKeys applies the changes of the keys of a team or an operator.
func (m *merge) applyKeys(path string, base, change []parser.Key) {
	match(m, path, base, change, keyName, func(path string, base *parser.Key, change parser.Key) {
		override(m, path+"/withdrawn", &base.Withdrawn, change.Withdrawn)
	})
}

// applyAmount applies the changes of a set of resources.
func (m *merge) applyAmount(path string, base *parser.Amount, change parser.Amount) {
	override(m, path+"/processors", &base.Millis, change.Millis)
	override(m, path+"/memory", &base.Memory, change.Memory)
	override(m, path+"/accelerators", &base.Accelerators, change.Accelerators)
	override(m, path+"/slots", &base.Slots, change.Slots)
}

// applyQueue applies the changes of a queue.
func (m *merge) applyQueue(path string, base *parser.Queue, change parser.Queue) {
	override(m, path+"/class", &base.Class, change.Class)
	override(m, path+"/open", &base.Open, change.Open)
	override(m, path+"/team", &base.Team, change.Team)
	override(m, path+"/teams", &base.Teams, change.Teams)
	override(m, path+"/depth", &base.Depth, change.Depth)
	override(m, path+"/attempts", &base.Attempts, change.Attempts)
	override(m, path+"/within", &base.Within, change.Within)
	override(m, path+"/objective/wait", &base.Wait, change.Wait)
	override(m, path+"/objective/target", &base.Target, change.Target)
}

// applyJob applies the changes of a declared job.
func (m *merge) applyJob(path string, base *parser.Job, change parser.Job) {
	override(m, path+"/tasks", &base.Tasks, change.Tasks)
	m.applyAmount(path+"/needs", &base.Needs, change.Needs)
	override(m, path+"/runtime", &base.Runtime, change.Runtime)
	override(m, path+"/deadline", &base.Deadline, change.Deadline)
	override(m, path+"/rack", &base.Rack, change.Rack)
	override(m, path+"/command", &base.Command, change.Command)
}
