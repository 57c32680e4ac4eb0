// Package checker validates documents: every reference must be declared and every
// amount must be in range. Instances check each document that an operator
// publishes, because it may not come from checked files.
package checker

import (
	"fmt"
	"regexp"
	"slices"
	"strings"
	"time"

	"gitlab.com/greengagewall/greengagewall/internal/domain/modeler"
)

// Problem is an error in a document.
type Problem struct {
	// Path names the invalid part, such as queues/lookups/team.
	Path   string `json:"path"`
	Reason string `json:"reason"`
}

// String formats the problem as a single line.
func (p Problem) String() string { return p.Path + ": " + p.Reason }

// Problems is the error type for all problems that were found.
type Problems []Problem

// Error implements error. It returns one line for each problem.
func (p Problems) Error() string {
	lines := make([]string, len(p))
	for i, problem := range p {
		lines[i] = problem.String()
	}

	return strings.Join(lines, "\n")
}

// maxWeight is the maximum weight of a partition. It keeps the integer arithmetic
// of limits from overflowing.
const maxWeight = 1000

var digestPattern = regexp.MustCompile(`^[0-9a-f]{64}$`)

// Check returns all problems of doc as Problems, or nil if it is valid.
func Check(doc modeler.Document) error {
	c := &check{doc: doc, teams: map[modeler.TeamID]bool{}, queues: map[modeler.QueueID]modeler.Queue{}, digests: map[string]string{}}
	c.expectf(doc.Cell != "", "cell", "the cell needs a name")
	c.expectf(len(doc.Partitions) > 0, "partitions", "at least one partition is needed")
	c.expectf(len(doc.Teams) > 0, "teams", "at least one team is needed")
	c.checkPartitions()
	c.checkTeams()
	c.checkQueues()
	c.checkServices()
	c.checkJobs()
	c.checkOperators()
	if len(c.problems) == 0 {
		return nil
	}

	return c.problems
}

// check holds the state of one check.
type check struct {
	doc    modeler.Document
	teams  map[modeler.TeamID]bool
	queues map[modeler.QueueID]modeler.Queue
	// digests maps the digest of each key to the path of the key.
	digests  map[string]string
	problems Problems
}

// expectf adds a problem unless ok is true.
func (c *check) expectf(ok bool, path, format string, args ...any) {
	if !ok {
		c.problems = append(c.problems, Problem{Path: path, Reason: fmt.Sprintf(format, args...)})
	}
}

// checkUnique adds a problem for each empty or repeated name in a list.
func checkUnique[T any](c *check, list []T, path string, name func(T) string) {
	seen := map[string]bool{}
	for _, item := range list {
		key := name(item)
		c.expectf(key != "", path, "an entry has no name")
		c.expectf(!seen[key], path+"/"+key, "the name is used twice")
		seen[key] = true
	}
}

// checkPartitions checks the names, regions, weights and services of partitions.
func (c *check) checkPartitions() {
	checkUnique(c, c.doc.Partitions, "partitions", func(p modeler.Partition) string { return string(p.Name) })
	for _, p := range c.doc.Partitions {
		path := "partitions/" + string(p.Name)
		c.expectf(p.Region != "", path+"/region", "a partition needs a region")
		c.expectf(p.Weight >= 1 && p.Weight <= maxWeight, path+"/weight", "weight %d is out of range 1 to %d", p.Weight, maxWeight)
		checkUnique(c, p.Services, path+"/services", func(name string) string { return name })
		for _, name := range p.Services {
			declared := slices.ContainsFunc(c.doc.Services, func(s modeler.Service) bool { return s.Name == name })
			c.expectf(declared, path+"/services", "service %q is not declared", name)
		}
	}
}

// checkTeams checks the names, shares, limits and keys of teams.
func (c *check) checkTeams() {
	checkUnique(c, c.doc.Teams, "teams", func(t modeler.Team) string { return string(t.Name) })
	for _, t := range c.doc.Teams {
		c.teams[t.Name] = true
		path := "teams/" + string(t.Name)
		c.expectf(t.Share > 0, path+"/share", "share %d is not positive", t.Share)
		c.checkNonNegative(t.Limit, path+"/limit", "the limit")
		c.expectf(t.Limit.Slots > 0 || t.Limit.Millis > 0 && t.Limit.Memory > 0, path+"/limit",
			"the limit admits no work: it needs slots for calls, or processors and memory for jobs")
		c.checkKeys(t.Keys, path+"/keys")
	}
}

// checkKeys checks names and digests. A digest must be unique in the document, so
// that each key belongs to one team or operator.
func (c *check) checkKeys(keys []modeler.Key, path string) {
	checkUnique(c, keys, path, func(k modeler.Key) string { return k.Name })
	for _, k := range keys {
		keyPath := path + "/" + k.Name
		c.expectf(digestPattern.MatchString(k.Digest), keyPath+"/digest", "the digest is not a SHA-256 digest in lower-case hexadecimal")
		if first, duplicate := c.digests[k.Digest]; duplicate {
			c.expectf(false, keyPath+"/digest", "the digest is also that of %s", first)
		}
		c.digests[k.Digest] = keyPath
	}
}

// checkOperators checks names and keys. If operators are declared, at least one
// needs a usable key; otherwise nobody could publish again.
func (c *check) checkOperators() {
	checkUnique(c, c.doc.Operators, "operators", func(o modeler.Operator) string { return o.Name })
	for _, o := range c.doc.Operators {
		c.checkKeys(o.Keys, "operators/"+o.Name+"/keys")
	}
	c.expectf(len(c.doc.Operators) == 0 || slices.ContainsFunc(c.doc.Operators, modeler.Operator.Usable),
		"operators", "no operator has a usable key; nobody could publish again")
}

// checkNonNegative checks that no resource is negative.
func (c *check) checkNonNegative(r modeler.Resources, path, what string) {
	ok := r.Millis >= 0 && r.Memory >= 0 && r.Accelerators >= 0 && r.Slots >= 0
	c.expectf(ok, path, "%s has a negative component", what)
}

// checkQueues checks the kinds, classes, references, limits and objectives of
// queues.
func (c *check) checkQueues() {
	checkUnique(c, c.doc.Queues, "queues", func(q modeler.Queue) string { return string(q.Name) })
	kinds := []modeler.WorkKind{modeler.WorkService, modeler.WorkBatch, modeler.WorkGang}
	classes := []modeler.Class{modeler.ClassUrgent, modeler.ClassStandard, modeler.ClassDeferred}
	for _, q := range c.doc.Queues {
		c.queues[q.Name] = q
		path := "queues/" + string(q.Name)
		c.expectf(slices.Contains(kinds, q.Kind), path+"/kind", "kind %q is unknown", q.Kind)
		c.expectf(slices.Contains(classes, q.Class), path+"/class", "class %q is unknown", q.Class)
		c.expectf(!q.Open || q.Team != "", path+"/team", "an open queue needs the team that its work is charged to")
		c.expectf(q.Open || q.Team == "", path+"/team", "only an open queue names the team that its work is charged to")
		c.expectf(q.Team == "" || c.teams[q.Team], path+"/team", "team %q is not declared", q.Team)
		for _, name := range q.Teams {
			c.expectf(c.teams[name], path+"/teams", "team %q is not declared", name)
		}
		c.expectf(q.Depth >= 0, path+"/depth", "depth %d is negative", q.Depth)
		c.expectf(q.Attempts >= 0, path+"/attempts", "attempts %d is negative", q.Attempts)
		c.expectf(q.Within >= 0, path+"/within", "within %s is negative", q.Within)
		c.checkObjective(q.Objective, path+"/objective")
	}
}

// checkObjective checks that an objective has both a wait and a target, or
// neither.
func (c *check) checkObjective(o modeler.Objective, path string) {
	if o == (modeler.Objective{}) {
		return
	}
	c.expectf(o.Wait > 0, path+"/wait", "wait %s is not positive", o.Wait)
	c.expectf(o.Target > 0 && o.Target < 1, path+"/target", "target %v is not between 0 and 1", o.Target)
}

// checkServices checks the references and timeouts of services.
func (c *check) checkServices() {
	checkUnique(c, c.doc.Services, "services", func(s modeler.Service) string { return s.Name })
	for _, s := range c.doc.Services {
		path := "services/" + s.Name
		queue, ok := c.queues[s.Queue]
		c.expectf(ok, path+"/queue", "queue %q is not declared", s.Queue)
		c.expectf(!ok || queue.Kind == modeler.WorkService, path+"/queue", "queue %q is of kind %s, not service", s.Queue, queue.Kind)
		served := slices.ContainsFunc(c.doc.Partitions, func(p modeler.Partition) bool { return p.Serves(s.Name) })
		c.expectf(served, path, "no partition lists the service")
		c.expectf(s.Timeout > 0 && s.Timeout <= time.Hour, path+"/timeout", "timeout %s is out of range 0s to 1h", s.Timeout)
	}
}

// checkJobs checks the declared jobs.
func (c *check) checkJobs() {
	checkUnique(c, c.doc.Jobs, "jobs", func(j modeler.Template) string { return j.Name })
	for _, j := range c.doc.Jobs {
		path := "jobs/" + j.Name
		queue, ok := c.queues[j.Queue]
		c.expectf(ok, path+"/queue", "queue %q is not declared", j.Queue)
		c.expectf(!ok || queue.Kind != modeler.WorkService, path+"/queue", "queue %q takes calls, not jobs", j.Queue)
		c.expectf(c.teams[j.Team], path+"/team", "team %q is not declared", j.Team)
		admitted := len(queue.Teams) == 0 || slices.Contains(queue.Teams, j.Team)
		c.expectf(!ok || admitted, path+"/team", "queue %q does not admit team %q", j.Queue, j.Team)
		c.expectf(j.Tasks > 0, path+"/tasks", "tasks %d is not positive", j.Tasks)
		c.checkNonNegative(j.Needs, path+"/needs", "the amount")
		c.expectf(!j.Needs.Zero(), path+"/needs", "the job needs nothing")
		c.checkTeamLimit(j, path)
		_, err := j.Deadline.At(time.Time{}.Add(time.Hour))
		c.expectf(err == nil, path+"/deadline", "%v", err)
	}
}

// checkTeamLimit checks that the job fits the limit of its team: a single task, or
// all tasks together if the queue is for gangs.
func (c *check) checkTeamLimit(j modeler.Template, path string) {
	needs, what := j.Needs, "one task needs"
	if c.queues[j.Queue].Kind == modeler.WorkGang {
		needs, what = needs.Scale(int64(j.Tasks)), "all tasks together need"
	}
	for _, t := range c.doc.Teams {
		if t.Name == j.Team {
			c.expectf(needs.Fits(t.Limit), path+"/needs", "%s more than the limit of team %q", what, j.Team)
		}
	}
}
