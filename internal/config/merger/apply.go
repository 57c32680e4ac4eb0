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

// indexPositions records the positions at which the base file declares entries.
func (m *merge) indexPositions(file parser.File) {
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

// applyOverlay applies one overlay to file.
func (m *merge) applyOverlay(file *parser.File, over parser.File) {
	matchEntries(m, "partitions", file.Partitions, over.Partitions, partitionName,
		func(path string, base *parser.Partition, change parser.Partition) {
			if base.Region.Value != over.Site.Value {
				m.addProblem(change.Name.At, path+" is in the region "+base.Region.Value+", not at the site "+over.Site.Value)
			}
			overrideField(m, path+"/weight", &base.Weight, change.Weight)
		})
	matchEntries(m, "teams", file.Teams, over.Teams, teamName, m.applyTeam)
	matchEntries(m, "queues", file.Queues, over.Queues, queueName, m.applyQueue)
	matchEntries(m, "services", file.Services, over.Services, serviceName,
		func(path string, base *parser.Service, change parser.Service) {
			overrideField(m, path+"/timeout", &base.Timeout, change.Timeout)
		})
	matchEntries(m, "jobs", file.Jobs, over.Jobs, jobName, m.applyJob)
	matchEntries(m, "operators", file.Operators, over.Operators, operatorName,
		func(path string, base *parser.Operator, change parser.Operator) {
			m.applyKeys(path+"/keys", base.Keys, change.Keys)
		})
}

// applyTeam applies the changes to a team.
func (m *merge) applyTeam(path string, base *parser.Team, change parser.Team) {
	overrideField(m, path+"/share", &base.Share, change.Share)
	m.applyAmount(path+"/limit", &base.Limit, change.Limit)
	m.applyKeys(path+"/keys", base.Keys, change.Keys)
}

// applyKeys applies the changes to the keys of a team or an operator.
func (m *merge) applyKeys(path string, base, change []parser.Key) {
	matchEntries(m, path, base, change, keyName, func(path string, base *parser.Key, change parser.Key) {
		overrideField(m, path+"/withdrawn", &base.Withdrawn, change.Withdrawn)
	})
}

// applyAmount applies the changes to a set of resources.
func (m *merge) applyAmount(path string, base *parser.Amount, change parser.Amount) {
	overrideField(m, path+"/processors", &base.Millis, change.Millis)
	overrideField(m, path+"/memory", &base.Memory, change.Memory)
	overrideField(m, path+"/accelerators", &base.Accelerators, change.Accelerators)
	overrideField(m, path+"/slots", &base.Slots, change.Slots)
}

// applyQueue applies the changes to a queue.
func (m *merge) applyQueue(path string, base *parser.Queue, change parser.Queue) {
	overrideField(m, path+"/class", &base.Class, change.Class)
	overrideField(m, path+"/open", &base.Open, change.Open)
	overrideField(m, path+"/team", &base.Team, change.Team)
	overrideField(m, path+"/teams", &base.Teams, change.Teams)
	overrideField(m, path+"/depth", &base.Depth, change.Depth)
	overrideField(m, path+"/attempts", &base.Attempts, change.Attempts)
	overrideField(m, path+"/within", &base.Within, change.Within)
	overrideField(m, path+"/objective/wait", &base.Wait, change.Wait)
	overrideField(m, path+"/objective/target", &base.Target, change.Target)
}

// applyJob applies the changes to a declared job.
func (m *merge) applyJob(path string, base *parser.Job, change parser.Job) {
	overrideField(m, path+"/tasks", &base.Tasks, change.Tasks)
	m.applyAmount(path+"/needs", &base.Needs, change.Needs)
	overrideField(m, path+"/runtime", &base.Runtime, change.Runtime)
	overrideField(m, path+"/deadline", &base.Deadline, change.Deadline)
	overrideField(m, path+"/rack", &base.Rack, change.Rack)
	overrideField(m, path+"/command", &base.Command, change.Command)
}
